package edge

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"geraniumsaddle/core/change"
	"geraniumsaddle/core/elect"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/peer"
	"geraniumsaddle/io/store"
)

const (
	// watchersPerDomain is the number of routers of a failure domain that watch the store for the others.
	watchersPerDomain = 2
	// changesWait is how long a watcher waits for a change at most before it answers. It bounds for how long a watcher that has
	// gone keeps changes from the routers that follow it.
	changesWait = time.Second
	// watcherTTL is how long a router that another one has asked for changes goes on watching the store.
	watcherTTL = 10 * time.Second
)

// The failure codes of a watcher.
const (
	codeNoStore   = "store_unreachable"
	codeNoHistory = "no_history"
	codeDraining  = "draining"
)

// changeFeed passes the changes of the store from few routers of each failure domain, the watchers, to the others. A
// router without a watcher that answers watches the store itself.
type changeFeed struct {
	s *Server
	// isWatcher says that this router is a watcher by its rank.
	isWatcher bool
	// following says that a watcher answered the last call for changes.
	following atomic.Bool
	// changed wakes the calls that wait for a change of any kind, or for the store to become unreachable.
	changed *broadcast

	watchers []elect.Member

	mu sync.Mutex
	// failures keeps the watchers that did not answer from being asked for a while.
	failures *elect.Selector
	// tooOld does the same for those whose knowledge of one kind was too old.
	tooOld map[object.Kind]*elect.Selector
	// askedAt is when another router last asked for changes.
	askedAt time.Time
	// storeFailedAt is when the store last failed to answer this router about a kind, and empty after an answer.
	storeFailedAt map[object.Kind]time.Time
	histories     map[object.Kind]*change.History
}

func newChangeFeed(s *Server, members []elect.Member) *changeFeed {
	watchers := elect.Watchers(members, s.selfMember(), watchersPerDomain)
	isWatcher := slices.ContainsFunc(watchers, func(m elect.Member) bool { return m.VM == s.selfMember().VM })
	s.deps.Log.Info("changes of the store come through watchers", "watchers", watchers, "watcher", isWatcher)
	return &changeFeed{
		s: s, isWatcher: isWatcher, changed: newBroadcast(), watchers: watchers, failures: elect.New(watchers),
		tooOld: make(map[object.Kind]*elect.Selector), histories: make(map[object.Kind]*change.History), storeFailedAt: make(map[object.Kind]time.Time),
	}
}

// watches reports whether this router watches the store for others: by its rank, or because it was asked to by a router
// that knows fewer members.
func (f *changeFeed) watches() bool {
	if f == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isWatcher || f.s.deps.Clock.Since(f.askedAt) < watcherTTL
}

// follows reports whether this router gets the changes from a watcher.
func (f *changeFeed) follows() bool { return f != nil && f.following.Load() }

// append records changes that this router has read from the store, and the uptime until which there were no others.
// Without changes it marks the version from which the history begins.
func (f *changeFeed) append(kind object.Kind, from ident.ObjectVersion, res store.PollResult, confirmed time.Duration) {
	b := change.Batch{Version: res.Version}
	for _, e := range res.Events {
		b.Events = append(b.Events, change.Event{
			Name: e.Object.Key.Name, Version: e.Object.Version, Deleted: e.Deleted, Value: e.Object.Value, Status: e.Object.Status,
		})
	}
	f.mu.Lock()
	h := f.histories[kind]
	if h == nil {
		h = new(change.History)
		f.histories[kind] = h
	}
	h.Append(from, b, confirmed)
	f.mu.Unlock()
	f.changed.wakeAll()
}

// serve answers a call for changes as soon as there are any, and otherwise after the wait that the caller asks for. The
// answer says how old it is.
func (f *changeFeed) serve(ctx context.Context, m peer.ChangesWanted) (peer.Message, error) {
	f.mu.Lock()
	f.askedAt = f.s.deps.Clock.Now()
	f.mu.Unlock()
	wait := changesWait
	if m.Wait > 0 {
		wait = min(m.Wait, changesWait)
	}
	arrived := f.s.uptime()
	timeout := f.s.deps.Clock.After(wait)
	for waiting := true; ; {
		changed := f.changed.channel()
		switch {
		case f.s.isDraining():
			return nil, peer.Failure{Code: codeDraining}
		case f.s.storeMonitor.isUnreachable():
			return nil, peer.Failure{Code: codeNoStore}
		}
		b, confirmed, ok := f.since(m.Kind, m.From)
		if !ok {
			return nil, peer.Failure{Code: codeNoHistory}
		}
		now := f.s.uptime()
		tooOld := f.s.ageLimits(m.Kind).TooOld(now - confirmed)
		if len(b.Events) > 0 || !waiting || tooOld {
			return peer.Changes{Batch: b, Age: now - confirmed, Held: now - arrived}, nil
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// reset forgets all changes, because the store has lost some of them. The routers that wait for changes ask the store then.
func (f *changeFeed) reset() {
	f.mu.Lock()
	clear(f.histories)
	f.mu.Unlock()
	f.changed.wakeAll()
}

// since returns the changes after a version and the uptime until which there were no others. It returns false if the history
// lacks some of them.
func (f *changeFeed) since(kind object.Kind, from ident.ObjectVersion) (change.Batch, time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.histories[kind]
	if h == nil {
		return change.Batch{}, 0, false
	}
	b, ok := h.Since(from)
	return b, h.Confirmed(), ok
}
