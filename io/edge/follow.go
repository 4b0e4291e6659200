package edge

import (
	"context"
	"errors"
	"slices"
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
	// storeRetry is the pause between the calls with which a router finds out itself whether the store is reachable while
	// the watchers say that it is not.
	storeRetry = 2 * time.Second
	// followerWait is how long the store may wait for a change when a follower calls it. The time limit of the call grows
	// with it, and a large configuration takes long to arrive.
	followerWait = time.Second
)

// The errors of following a watcher.
var (
	errNoWatcher = errors.New("no watcher answers")
	errNoHistory = errors.New("the watcher does not have all of the changes")
	errStoreAway = errors.New("the watchers cannot reach the store")
	errTooOld    = errors.New("what the watcher knows is too old")
	errImpatient = errors.New("the watcher has not answered before what this router knows is too old")
)

// errChangesAnswer means that the answer to a call for changes has an unexpected type.
var errChangesAnswer = errors.New("answer to a call for changes has an unexpected type")

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

// follow asks the watchers in turn for the next changes of a kind, and returns them with the uptime until which there were
// no others. The error is errNoWatcher if none answers with knowledge that is recent enough, errNoHistory if one does not
// have all changes, and errStoreAway if all say that the store is unreachable.
func (f *changeFeed) follow(ctx context.Context, kind object.Kind, known syncPoint) (store.PollResult, time.Duration, error) {
	err := errNoWatcher
	for _, watcher := range f.candidates(kind) {
		answer, confirmed, callErr := f.call(ctx, watcher, kind, known)
		if ctx.Err() != nil {
			return store.PollResult{}, 0, ctx.Err()
		}
		f.recordAnswer(kind, watcher.VM, callErr)
		if errors.Is(callErr, errTooOld) {
			f.s.deps.Log.Info("what the watcher knows is too old", "watcher", watcher.VM, "kind", kind, "age_ms", answer.Age.Milliseconds())
		}
		if callErr == nil || errors.Is(callErr, errTooOld) && len(answer.Events) > 0 {
			return pollResult(kind, answer.Batch), max(known.confirmed, confirmed), nil
		}
		var failure peer.Failure
		switch {
		case !errors.As(callErr, &failure):
		case failure.Code == codeNoHistory:
			// The watcher has listed the objects anew. Another one that has not may lack changes without knowing it.
			return store.PollResult{}, 0, errNoHistory
		case failure.Code == codeNoStore:
			err = errStoreAway
		}
	}
	return store.PollResult{}, 0, err
}

// candidates returns the watchers that are not in backoff for a kind.
func (f *changeFeed) candidates(kind object.Kind) []elect.Member {
	now := f.s.deps.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.watchers), func(m elect.Member) bool {
		return f.failures.Avoided(m.VM, now) || f.tooOld[kind] != nil && f.tooOld[kind].Avoided(m.VM, now)
	})
}

// call asks a watcher for the changes of a kind. What it answers was complete when the call arrived, later by the time for
// which the watcher held it, earlier by the age of what it knew. The arrival is dated by the sending, so that an answer
// that was on its way for long counts as old. The error is errTooOld if there may be later changes.
func (f *changeFeed) call(ctx context.Context, watcher elect.Member, kind object.Kind, known syncPoint) (peer.Changes, time.Duration, error) {
	limits := f.s.ageLimits(kind)
	sent := f.s.uptime()
	wait, timeout := limits.CallWait(sent-known.confirmed, changesWait)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	m := peer.ChangesWanted{Kind: kind, From: known.version, Wait: max(wait, time.Nanosecond)}
	answer, err := f.s.peerTransport.Call(ctx, watcher.Addr, m)
	f.s.deps.Metrics.countChangesCall(err)
	if errors.Is(err, context.DeadlineExceeded) && !change.Patient(wait, timeout) {
		return peer.Changes{}, 0, errImpatient
	}
	if err != nil {
		return peer.Changes{}, 0, err
	}
	changes, ok := answer.(peer.Changes)
	if !ok {
		return peer.Changes{}, 0, trace.Wrap(errChangesAnswer)
	}
	answered := f.s.uptime()
	confirmed := change.Confirmed(sent, answered, changes.Held, changes.Age)
	if changes.Age <= 0 || limits.TooOld(answered-confirmed) {
		return changes, 0, errTooOld
	}
	return changes, confirmed, nil
}

// recordAnswer records whether a watcher answered. One that answers without having the changes is asked again next time, but
// not one whose knowledge of a kind is too old. A call that was given up early says nothing.
func (f *changeFeed) recordAnswer(kind object.Kind, vm ident.VMID, err error) {
	now := f.s.deps.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.tooOld[kind] == nil {
		f.tooOld[kind] = elect.New(f.watchers)
	}
	var failure peer.Failure
	switch {
	case err == nil || errors.As(err, &failure):
		f.failures.RecordSuccess(vm)
		f.tooOld[kind].RecordSuccess(vm)
	case errors.Is(err, errTooOld):
		f.failures.RecordSuccess(vm)
		f.tooOld[kind].RecordFailure(vm, now)
	case !errors.Is(err, errImpatient):
		f.failures.RecordFailure(vm, now)
	}
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
