package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"geraniumsaddle/core/config"
	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/caller"
	"geraniumsaddle/io/store"
)

// configKinds are the kinds that every router holds.
var configKinds = []object.Kind{
	object.KindOrganisation, object.KindBudget, object.KindTarget, object.KindVersion, object.KindService,
	object.KindRelease, object.KindOutcome, object.KindOperator, object.KindRouter,
}

// ledgerKinds are the kinds that watchers follow and hand on entry by entry.
var ledgerKinds = []object.Kind{object.KindLedger, object.KindSlots}

const listPage = 500

// feeds runs the lists and watches of this router. It belongs to the control goroutine.
type feeds struct {
	n     *Node
	rows  []*feedRow
	store *config.Store
	// ledgers is apart, so that shards are not part of the digests.
	ledgers *config.Store
	active  bool
}

type feedRow struct {
	kind   object.Kind
	feed   *config.Feed
	turn   uint64
	cancel context.CancelFunc
}

func newFeeds(n *Node, rng *rand.Rand) *feeds {
	f := &feeds{n: n, store: config.New(), ledgers: config.New()}
	for _, k := range configKinds {
		f.rows = append(f.rows, &feedRow{kind: k, feed: config.NewFeed(f.store, k, rng)})
	}
	for _, k := range ledgerKinds {
		f.rows = append(f.rows, &feedRow{kind: k, feed: config.NewFeed(f.ledgers, k, rng)})
	}
	return f
}

// setActive starts or stops following the platform.
func (f *feeds) setActive(on bool) {
	if f.active == on {
		return
	}
	f.active = on
	if on {
		return
	}
	for _, r := range f.rows {
		r.turn++
		if r.cancel != nil {
			r.cancel()
		}
		r.feed.Stop()
	}
}

// tick starts the requests that are due.
func (f *feeds) tick(now time.Time) {
	if !f.active {
		return
	}
	for _, r := range f.rows {
		if a := r.feed.Next(now); a != nil {
			f.start(r, a)
		}
	}
}

func (f *feeds) start(r *feedRow, a config.FeedAction) {
	if r.cancel != nil {
		r.cancel()
	}
	r.turn++
	turn := r.turn
	send := func(ev config.FeedEvent) { f.n.post(feedEvent{kind: r.kind, turn: turn, ev: ev}) }
	var cancelled context.Context
	cancelled, r.cancel = context.WithCancel(f.n.life)
	switch a := a.(type) {
	case config.ListFrom:
		f.n.spawn(func(context.Context) { send(f.n.list(cancelled, a)) })
	case config.WatchFrom:
		f.n.spawn(func(context.Context) { f.n.watch(cancelled, a, send) })
	}
}

// handle applies an answer and returns the objects that are new.
func (f *feeds) handle(ev feedEvent, now time.Time) []config.Object {
	for _, r := range f.rows {
		if r.kind == ev.kind && r.turn == ev.turn {
			return r.feed.Handle(ev.ev, now)
		}
	}
	return nil
}

func (n *Node) list(ctx context.Context, a config.ListFrom) config.FeedEvent {
	page, err := n.store.List(ctx, a.Kind, a.After, listPage)
	n.platformCall("list", err)
	if err != nil {
		return config.ListFailed{After: retryAfter(err)}
	}
	out := config.ListPage{Version: page.Version, Last: page.Next == ""}
	for _, o := range page.Objects {
		out.Objects = append(out.Objects, configObject(o, false))
	}
	return out
}

func (n *Node) watch(ctx context.Context, a config.WatchFrom, send func(config.FeedEvent)) {
	_, err := n.store.Watch(ctx, a.Kind, a.Version, func(e store.Event) error {
		n.lastReply.Store(n.clock.Now().UnixNano())
		send(config.WatchEvent{Object: configObject(e.Object, e.Deleted)})
		return nil
	})
	if errors.Is(err, store.ErrCompacted) {
		n.platformCall("watch", nil)
		send(config.WatchCompacted{})
		return
	}
	n.platformCall("watch", err)
	send(config.WatchClosed{After: retryAfter(err)})
}

func configObject(o store.Object, deleted bool) config.Object {
	return config.Object{Kind: o.Key.Kind, Name: o.Key.Name, Version: o.Version, Deleted: deleted, Value: o.Value}
}

func retryAfter(err error) time.Duration {
	var e *store.Error
	if errors.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}

// shardObserved takes over a shard that the platform confirmed, and applies its entries to the accounts.
func (n *Node) shardObserved(o config.Object) {
	s, err := escrow.Decode(o.Value)
	if err != nil {
		n.log.Error("ledger shard cannot be used", "kind", o.Kind, "name", o.Name, "error", err)
		return
	}
	n.writers.observe(o.Key(), s, o.Version)
	n.ledger.applyEntries(entriesEvent{key: o.Key(), version: o.Version, entries: s.Entries}, n.clock.Now())
	n.shareEntries(o.Key(), o.Version, s)
}

// slotEntry returns the escrow entry of a target's capacity.
func slotEntry(t ident.TargetID) escrow.EntryID { return escrow.EntryID(slotPrefix + string(t)) }

// slotPrefix keeps the entries of targets apart from those of budgets of the same name.
const slotPrefix = "slot/"

// slotTargets returns the targets of the own failure domain whose entries are in a slots shard.
func (n *Node) slotTargets(k object.Key) []object.Target {
	var out []object.Target
	for _, t := range n.view.Load().targets {
		if t.Domain == n.domain && escrow.SlotsKey(t.Domain, t.ID) == k {
			out = append(out, t)
		}
	}
	return out
}

// complete reports whether every kind was listed from the platform.
func (f *feeds) complete() bool {
	for _, r := range f.rows {
		if !r.feed.Complete() {
			return false
		}
	}
	return true
}

// loadedAfter is the time after the first objects from peers at which a router without the platform takes its
// configuration for whole.
const loadedAfter = 5 * time.Second

// noteLoaded observes whether the configuration is whole. Before that an unknown model or service may exist.
func (n *Node) noteLoaded(now time.Time) {
	if n.loaded.Load() {
		return
	}
	if n.firstObjects.IsZero() && len(n.view.Load().orgs) > 0 {
		n.firstObjects = now
	}
	if n.feeds.complete() || !n.firstObjects.IsZero() && now.Sub(n.firstObjects) >= loadedAfter {
		n.loaded.Store(true)
	}
}

// absent refuses a request for something that the configuration does not have.
func (n *Node) absent(format string, args ...any) error {
	if !n.loaded.Load() {
		return notLoaded()
	}
	return caller.Refuse(caller.CodeNotFound, ident.OutcomeNotRun, format, args...)
}

// notLoaded refuses a request for what may come with the rest of the configuration.
func notLoaded() *caller.Refusal {
	return caller.Refuse(caller.CodeUnavailable, ident.OutcomeNotRun, "the router has not loaded its configuration yet").After(time.Second)
}
