package edge

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

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
	// changesWait is how long a watcher waits for a change before it answers. It bounds for how long a watcher that has
	// gone keeps changes from the routers that follow it.
	changesWait = time.Second
	// changesTimeout bounds a call for changes beyond the time that the watcher may wait.
	changesTimeout = 300 * time.Millisecond
	// watcherTTL is how long a router that another one has asked for changes goes on watching the store.
	watcherTTL = 10 * time.Second
	// storeRetry is the pause between the calls with which a router finds out itself whether the store is reachable while
	// the watchers say that it is not.
	storeRetry = 2 * time.Second
	// followerWait is how long the store may wait for a change when a follower calls it. The time limit of the call grows
	// with it, and a large configuration takes long to arrive.
	followerWait = time.Second
)

// The failure codes of a watcher.
const (
	codeNoStore   = "store_unreachable"
	codeNoHistory = "no_history"
	codeDraining  = "draining"
)

// The errors of following a watcher.
var (
	errNoWatcher = errors.New("no watcher answers")
	errNoHistory = errors.New("the watcher does not have all of the changes")
	errStoreAway = errors.New("the watchers cannot reach the store")
)

// errChangesAnswer means that the answer to a call for changes has an unexpected type.
var errChangesAnswer = errors.New("answer to a call for changes has an unexpected type")

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
		histories: make(map[object.Kind]*change.History), storeFailedAt: make(map[object.Kind]time.Time),
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

// trustsStoreAway reports whether this router believes watchers that say that the store is unreachable, because it has
// found so itself not long ago.
func (f *changeFeed) trustsStoreAway(kind object.Kind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.isWatcher && f.s.deps.Clock.Since(f.storeFailedAt[kind]) < storeRetry
}

// recordStoreCall records the result of a call of the store by a router that has no watcher to follow.
func (f *changeFeed) recordStoreCall(kind object.Kind, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if meansUnreachable(err) {
		f.storeFailedAt[kind] = f.s.deps.Clock.Now()
		return
	}
	clear(f.storeFailedAt)
}

// append records changes that this router has read from the store. Without changes it marks the version from which the
// history begins.
func (f *changeFeed) append(kind object.Kind, from ident.ObjectVersion, res store.PollResult) {
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
	h.Append(from, b)
	f.mu.Unlock()
	f.changed.wakeAll()
}

// serve answers a call for changes as soon as there are any, and after changesWait otherwise.
func (f *changeFeed) serve(ctx context.Context, m peer.ChangesWanted) (peer.Message, error) {
	f.mu.Lock()
	f.askedAt = f.s.deps.Clock.Now()
	f.mu.Unlock()
	timeout := f.s.deps.Clock.After(changesWait)
	for waiting := true; ; {
		changed := f.changed.channel()
		switch {
		case f.s.isDraining():
			return nil, peer.Failure{Code: codeDraining}
		case f.s.storeMonitor.isUnreachable():
			return nil, peer.Failure{Code: codeNoStore}
		}
		b, ok := f.since(m.Kind, m.From)
		if !ok {
			return nil, peer.Failure{Code: codeNoHistory}
		}
		if len(b.Events) > 0 || !waiting {
			return peer.Changes{Batch: b}, nil
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

func (f *changeFeed) since(kind object.Kind, from ident.ObjectVersion) (change.Batch, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.histories[kind]
	if h == nil {
		return change.Batch{}, false
	}
	return h.Since(from)
}

// follow asks the watchers in turn for the next changes of a kind. The error is errNoWatcher if none answers,
// errNoHistory if one does not have all of them, and errStoreAway if all say that the store is unreachable.
func (f *changeFeed) follow(ctx context.Context, kind object.Kind, from ident.ObjectVersion) (store.PollResult, error) {
	err := errNoWatcher
	for _, watcher := range f.candidates() {
		b, callErr := f.call(ctx, watcher, peer.ChangesWanted{Kind: kind, From: from})
		if ctx.Err() != nil {
			return store.PollResult{}, ctx.Err()
		}
		f.recordAnswer(watcher.VM, callErr)
		if callErr == nil {
			return pollResult(kind, b), nil
		}
		var failure peer.Failure
		switch {
		case !errors.As(callErr, &failure):
		case failure.Code == codeNoHistory:
			// The watcher has listed the objects anew. Another one that has not may lack changes without knowing it.
			return store.PollResult{}, errNoHistory
		case failure.Code == codeNoStore:
			err = errStoreAway
		}
	}
	return store.PollResult{}, err
}

// candidates returns the watchers that are not in backoff.
func (f *changeFeed) candidates() []elect.Member {
	now := f.s.deps.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.watchers), func(m elect.Member) bool { return f.failures.Avoided(m.VM, now) })
}

func (f *changeFeed) call(ctx context.Context, watcher elect.Member, m peer.ChangesWanted) (change.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, changesWait+changesTimeout)
	defer cancel()
	answer, err := f.s.peerTransport.Call(ctx, watcher.Addr, m)
	f.s.deps.Metrics.countChangesCall(err)
	if err != nil {
		return change.Batch{}, err
	}
	changes, ok := answer.(peer.Changes)
	if !ok {
		return change.Batch{}, trace.Wrap(errChangesAnswer)
	}
	return changes.Batch, nil
}

// recordAnswer records whether a watcher answered. One that answers without having the changes is asked again next time.
func (f *changeFeed) recordAnswer(vm ident.VMID, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var failure peer.Failure
	if err == nil || errors.As(err, &failure) {
		f.failures.RecordSuccess(vm)
		return
	}
	f.failures.RecordFailure(vm, f.s.deps.Clock.Now())
}

func pollResult(kind object.Kind, b change.Batch) store.PollResult {
	res := store.PollResult{Version: b.Version}
	for _, e := range b.Events {
		res.Events = append(res.Events, store.Event{Deleted: e.Deleted, Object: store.Object{
			Key: object.Key{Kind: kind, Name: e.Name}, Version: e.Version, Value: e.Value, Status: e.Status,
		}})
	}
	return res
}
