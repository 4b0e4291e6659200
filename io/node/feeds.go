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

const listPageSize = 500

// feeds runs the lists and watches of this router. It belongs to the control goroutine.
type feeds struct {
	n     *Node
	kinds []*kindFeed
	store *config.Store
	// ledgers is apart, so that shards are not part of the digests.
	shards *config.Store
	active bool
}

type kindFeed struct {
	kind       object.Kind
	feed       *config.Feed
	generation uint64
	cancel     context.CancelFunc
}

func newFeeds(n *Node, rng *rand.Rand) *feeds {
	f := &feeds{n: n, store: config.New(), shards: config.New()}
	for _, k := range configKinds {
		f.kinds = append(f.kinds, &kindFeed{kind: k, feed: config.NewFeed(f.store, k, rng)})
	}
	for _, k := range ledgerKinds {
		f.kinds = append(f.kinds, &kindFeed{kind: k, feed: config.NewFeed(f.shards, k, rng)})
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
	for _, r := range f.kinds {
		r.generation++
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
	for _, r := range f.kinds {
		if a := r.feed.Next(now); a != nil {
			f.startRequest(r, a)
		}
	}
}

func (f *feeds) startRequest(r *kindFeed, a config.FeedAction) {
	if r.cancel != nil {
		r.cancel()
	}
	r.generation++
	generation := r.generation
	send := func(ev config.FeedEvent) { f.n.post(feedEvent{kind: r.kind, generation: generation, answer: ev}) }
	var cancelled context.Context
	cancelled, r.cancel = context.WithCancel(f.n.ctx)
	switch a := a.(type) {
	case config.ListFrom:
		f.n.spawn(func(context.Context) { send(f.n.listObjects(cancelled, a)) })
	case config.WatchFrom:
		f.n.spawn(func(context.Context) { f.n.watchObjects(cancelled, a, send) })
	}
}

// handle applies an answer and returns the objects that are new.
func (f *feeds) handleAnswer(ev feedEvent, now time.Time) []config.Object {
	for _, r := range f.kinds {
		if r.kind == ev.kind && r.generation == ev.generation {
			return r.feed.Handle(ev.answer, now)
		}
	}
	return nil
}

func (n *Node) listObjects(ctx context.Context, a config.ListFrom) config.FeedEvent {
	page, err := n.store.List(ctx, a.Kind, a.After, listPageSize)
	n.recordPlatformCall("list", err)
	if err != nil {
		return config.ListFailed{After: retryAfter(err)}
	}
	out := config.ListPage{Version: page.Version, Last: page.Next == ""}
	for _, o := range page.Objects {
		out.Objects = append(out.Objects, configObject(o, false))
	}
	return out
}

func (n *Node) watchObjects(ctx context.Context, a config.WatchFrom, send func(config.FeedEvent)) {
	_, err := n.store.Watch(ctx, a.Kind, a.Version, func(e store.Event) error {
		n.lastPlatformReply.Store(n.clock.Now().UnixNano())
		send(config.WatchEvent{Object: configObject(e.Object, e.Deleted)})
		return nil
	})
	if errors.Is(err, store.ErrCompacted) {
		n.recordPlatformCall("watch", nil)
		send(config.WatchCompacted{})
		return
	}
	n.recordPlatformCall("watch", err)
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
func (n *Node) applyShard(o config.Object) {
	s, err := escrow.Decode(o.Value)
	if err != nil {
		n.log.Error("ledger shard cannot be used", "kind", o.Kind, "name", o.Name, "error", err)
		return
	}
	n.writers.observe(o.Key(), s, o.Version)
	n.ledger.confirmed(entriesEvent{key: o.Key(), version: o.Version, entries: s.Entries}, n.clock.Now())
	n.pushEntries(o.Key(), o.Version, s)
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
	for _, r := range f.kinds {
		if !r.feed.Complete() {
			return false
		}
	}
	return true
}

// loadedAfter is the time after the first objects from peers at which a router without the platform takes its
// configuration for whole.
const peerConfigWait = 5 * time.Second

// noteLoaded observes whether the configuration is whole. Before that an unknown model or service may exist.
func (n *Node) updateConfigLoaded(now time.Time) {
	if n.configLoaded.Load() {
		return
	}
	if n.firstObjectsAt.IsZero() && len(n.view.Load().orgs) > 0 {
		n.firstObjectsAt = now
	}
	if n.feeds.complete() || !n.firstObjectsAt.IsZero() && now.Sub(n.firstObjectsAt) >= peerConfigWait {
		n.configLoaded.Store(true)
	}
}

// absent refuses a request for something that the configuration does not have.
func (n *Node) notFound(format string, args ...any) error {
	if !n.configLoaded.Load() {
		return notLoaded()
	}
	return caller.Refuse(caller.CodeNotFound, ident.OutcomeNotRun, format, args...)
}

// notLoaded refuses a request for what may come with the rest of the configuration.
func notLoaded() *caller.Refusal {
	return caller.Refuse(caller.CodeUnavailable, ident.OutcomeNotRun, "the router has not loaded its configuration yet").After(time.Second)
}
