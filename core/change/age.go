package change

import "time"

// AgeLimits limit how old the knowledge of one kind of objects may become that a router has from a watcher. They are
// derived from the time within which a change has to be known everywhere, counted from the store's acknowledgement.
type AgeLimits struct {
	// Max is the age beyond which a router doesn't rely on what a watcher says. The rest of the time is for asking another
	// watcher, and the store.
	Max time.Duration
	// Refresh is the age by which a watcher has the store confirm what it knows. It is below Max, so that a watcher in
	// touch with the store is never taken for one that isn't.
	Refresh time.Duration
}

const (
	// minWatchWait is the shortest wait of a watch.
	minWatchWait = 50 * time.Millisecond
	// callMargin is the time that a call of a watcher takes beyond the wait that it asks for.
	callMargin = 100 * time.Millisecond
	// maxCallDelay is the time after which a watcher that owes an answer is taken for one that doesn't answer.
	maxCallDelay = 300 * time.Millisecond
)

// NewAgeLimits returns the limits for changes that have to be known after a time.
func NewAgeLimits(knownWithin time.Duration) AgeLimits {
	limit := knownWithin * 3 / 4
	return AgeLimits{Max: limit, Refresh: limit - knownWithin/10}
}

// WatchWait returns how long the store may wait for a change when a watcher whose knowledge has an age asks it.
func (l AgeLimits) WatchWait(age time.Duration) time.Duration {
	return max(l.Refresh-age, minWatchWait)
}

// CallWait returns how long a watcher may wait for a change when a router whose knowledge has an age asks it, at most
// longest, and the time after which that router gives the call up. Both leave time for asking elsewhere before Max; beyond
// that a watcher has a moment for news that it has.
func (l AgeLimits) CallWait(age, longest time.Duration) (wait, timeout time.Duration) {
	left := l.Max - age
	wait = max(min(left-callMargin, longest), 0)
	return wait, max(min(wait+maxCallDelay, left), callMargin)
}

// Patient reports whether a call that was given up after a timeout has left the watcher its time beyond the wait.
func Patient(wait, timeout time.Duration) bool { return timeout >= wait+maxCallDelay }

// Confirmed returns the uptime until which an answer of a watcher was complete. The call was sent and answered at uptimes of the
// caller; the watcher held it for a time, and what it knew had an age. It can't have held it for longer than the call took, so
// that a wrong time doesn't make old knowledge last.
func Confirmed(sent, answered, held, age time.Duration) time.Duration {
	return sent + min(max(held, 0), answered-sent) - max(age, 0)
}

// TooOld reports whether a router may no longer rely on knowledge of an age.
func (l AgeLimits) TooOld(age time.Duration) bool { return age >= l.Max }
