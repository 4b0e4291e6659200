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

// configKinds are the kinds of objects that every router holds completely.
var configKinds = []object.Kind{
	object.KindOrganisation, object.KindBudget, object.KindTarget, object.KindVersion, object.KindService,
	object.KindRelease, object.KindOutcome, object.KindOperator, object.KindRouter,
}

// ledgerKinds are the kinds that only watchers follow. Watchers forward single entries to the routers that use them.
var ledgerKinds = []object.Kind{object.KindLedger, object.KindSlots}

const listPageSize = 500

// feeds runs the list and watch requests of this router. It belongs to the control goroutine.
type feeds struct {
	n       *Node
	kinds   []*kindFeed
	objects *config.Store
	// shards is separate from objects, so that shards are not part of the configuration digests.
	shards *config.Store
	active bool
}

// kindFeed is the feed of one kind. Each request has its own generation; answers of an earlier one are ignored.
type kindFeed struct {
	kind       object.Kind
	feed       *config.Feed
	generation uint64
	cancel     context.CancelFunc
}

func newFeeds(n *Node, rng *rand.Rand) *feeds {
	f := &feeds{n: n, objects: config.New(), shards: config.New()}
	for _, k := range configKinds {
		f.kinds = append(f.kinds, &kindFeed{kind: k, feed: config.NewFeed(f.objects, k, rng)})
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
	for _, kf := range f.kinds {
		kf.generation++
		if kf.cancel != nil {
			kf.cancel()
		}
		kf.feed.Stop()
	}
}

// tick starts the list and watch requests that are due.
func (f *feeds) tick(now time.Time) {
	if !f.active {
		return
	}
	for _, kf := range f.kinds {
		if a := kf.feed.Next(now); a != nil {
			f.startRequest(kf, a)
		}
	}
}

func (f *feeds) startRequest(kf *kindFeed, a config.FeedAction) {
	if kf.cancel != nil {
		kf.cancel()
	}
	kf.generation++
	generation := kf.generation
	send := func(ev config.FeedEvent) { f.n.post(feedEvent{kind: kf.kind, generation: generation, answer: ev}) }
	var cancelled context.Context
	cancelled, kf.cancel = context.WithCancel(f.n.ctx)
	switch a := a.(type) {
	case config.ListFrom:
		f.n.spawn(func(context.Context) { send(f.n.listObjects(cancelled, a)) })
	case config.WatchFrom:
		f.n.spawn(func(context.Context) { f.n.watchObjects(cancelled, a, send) })
	}
}

// handleAnswer applies an answer and returns the objects that are new. It ignores the answer to an earlier request.
func (f *feeds) handleAnswer(ev feedEvent, now time.Time) []config.Object {
	for _, kf := range f.kinds {
		if kf.kind == ev.kind && kf.generation == ev.generation {
			return kf.feed.Handle(ev.answer, now)
		}
	}
	return nil
}

func (n *Node) listObjects(ctx context.Context, a config.ListFrom) config.FeedEvent {
	page, err := n.platform.List(ctx, a.Kind, a.After, listPageSize)
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
	_, err := n.platform.Watch(ctx, a.Kind, a.Version, func(e store.Event) error {
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

// applyShard applies a shard as the platform stores it. It updates the cache of the shard writers and the accounts, and
// sends the entries to the other routers of the failure domain that are holders in them.
func (n *Node) applyShard(o config.Object) {
	s, err := escrow.Decode(o.Value)
	if err != nil {
		n.log.Error("ledger shard cannot be used", "kind", o.Kind, "name", o.Name, "error", err)
		return
	}
	n.writers.observe(o.Key(), s, o.Version)
	n.ledger.applyEntries(entriesEvent{key: o.Key(), version: o.Version, entries: s.Entries}, n.clock.Now())
	n.pushEntries(o.Key(), o.Version, s)
}

// slotEntry returns the identifier of the escrow entry that holds a target's slots.
func slotEntry(t ident.TargetID) escrow.EntryID { return escrow.EntryID(slotPrefix + string(t)) }

// slotPrefix prevents collisions between the entries of targets and those of budgets with the same name.
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

// allListed reports whether every kind has been listed completely from the platform.
func (f *feeds) allListed() bool {
	for _, kf := range f.kinds {
		if !kf.feed.Complete() {
			return false
		}
	}
	return true
}

// peerConfigWait is how long a router that cannot list the platform waits, after the first organisations have arrived
// from peers, until it considers its configuration complete.
const peerConfigWait = 5 * time.Second

// updateConfigLoaded sets configLoaded once the configuration is complete. Until then a model or service that is
// unknown here may exist.
func (n *Node) updateConfigLoaded(now time.Time) {
	if n.configLoaded.Load() {
		return
	}
	if n.firstOrgsAt.IsZero() && len(n.view.Load().orgs) > 0 {
		n.firstOrgsAt = now
	}
	if n.feeds.allListed() || !n.firstOrgsAt.IsZero() && now.Sub(n.firstOrgsAt) >= peerConfigWait {
		n.configLoaded.Store(true)
	}
}

// notFoundRefusal returns the refusal of a request for something that is not in the configuration.
func (n *Node) notFoundRefusal(format string, args ...any) error {
	if !n.configLoaded.Load() {
		return notLoadedRefusal()
	}
	return caller.Refuse(caller.CodeNotFound, ident.OutcomeNotRun, format, args...)
}

// notLoadedRefusal returns the refusal of a request that the rest of the configuration may make valid.
func notLoadedRefusal() *caller.Refusal {
	return caller.Refuse(caller.CodeUnavailable, ident.OutcomeNotRun, "the router has not loaded its configuration yet").After(time.Second)
}
