package order

import (
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// LeaseConfig is the timing of a lease.
type LeaseConfig struct {
	Name string
	Self ident.RouterID
	// TTL is how long a lease stands after the last write that a competitor has seen.
	TTL time.Duration
	// Margin is the part of TTL by which the holder stops early. It covers clock drift.
	Margin time.Duration
	// Renew is the interval between renewals.
	Renew time.Duration
}

// Lease is one router's view of the platform lease. No clocks are compared between routers: the holder
// counts TTL from before its write was sent, a competitor from when it first saw that write. The local
// view therefore ends before any competitor may take over.
type Lease struct {
	cfg     LeaseConfig
	known   bool // the platform's object was read at least once
	seen    object.Lease
	version ident.ObjectVersion
	seenAt  time.Time
	held    bool
	until   time.Time
	// clear is when no order can arrive any more that an earlier holder sent at the end of its lease,
	// apart from the largest delay of an order.
	clear time.Time
	// attempts may still take effect, or have done so with a lost reply.
	attempts []Attempt
	lastTry  time.Time
}

// Attempt is a conditional write of the lease object.
type Attempt struct {
	Lease object.Lease
	// IfVersion is the version to replace; zero means that the object must not exist.
	IfVersion ident.ObjectVersion
	// Clear is the new holder's bound on the sends of earlier holders.
	Clear  time.Time
	SentAt time.Time
}

// maxAttempts bounds the attempts that are recognised after their replies were lost.
const maxAttempts = 8

// NewLease returns a view that knows nothing yet.
func NewLease(cfg LeaseConfig) *Lease { return &Lease{cfg: cfg} }

// Held reports whether this router may issue orders now.
func (l *Lease) Held(now time.Time) bool { return l.held && now.Before(l.until) }

// Fence returns the fencing number under which the lease was last held.
func (l *Lease) Fence() uint64 { return l.seen.Fence }

// End returns the end of the local view.
func (l *Lease) End() time.Time { return l.until }

// Clear returns the time after which earlier holders send nothing.
func (l *Lease) Clear() time.Time { return l.clear }

// Observe takes the lease object as read or watched. An absent object has version zero. It also settles
// an attempt whose reply was lost. Reads that were overtaken by newer ones are ignored.
func (l *Lease) Observe(now time.Time, v object.Lease, version ident.ObjectVersion) {
	if l.known && version <= l.version && (version != 0 || l.version == 0) {
		return
	}
	for _, a := range l.attempts {
		if same(a.Lease, v) {
			l.Confirm(a, version)
			return
		}
	}
	// A deleted object must not take the numbers back to one.
	v.Fence = max(v.Fence, l.seen.Fence)
	l.known, l.seen, l.version, l.seenAt = true, v, version, now
	l.held, l.attempts = false, nil
}

func same(a, b object.Lease) bool {
	return a.Holder == b.Holder && a.Fence == b.Fence && a.ExpiresAt.Equal(b.ExpiresAt)
}

// Attempt returns the write that is due now, if any. The caller calls Confirm when it is accepted, and
// reads the object and calls Observe after a mismatch or a lost reply.
func (l *Lease) Attempt(now time.Time) (Attempt, bool) {
	if !l.known || now.Sub(l.lastTry) < l.cfg.Renew {
		return Attempt{}, false
	}
	next := object.Lease{Format: object.Format, Name: l.cfg.Name, Holder: l.cfg.Self, Fence: l.seen.Fence, ExpiresAt: now.Add(l.cfg.TTL)}
	a := Attempt{IfVersion: l.version, SentAt: now, Clear: l.clear}
	// Nobody else has held the lease while the object is unchanged, so a late renewal needs no new number.
	if !l.held {
		if !l.free(now) {
			return Attempt{}, false
		}
		next.Fence++
		a.Clear = l.seenAt.Add(l.cfg.TTL)
	}
	a.Lease = next
	l.attempts, l.lastTry = append(l.attempts, a), now
	if len(l.attempts) > maxAttempts {
		l.attempts = l.attempts[1:]
	}
	return a, true
}

// free reports whether an earlier holder's view has ended. An absent object says nothing about when it
// was deleted, so it is waited out like a lease.
func (l *Lease) free(now time.Time) bool {
	released := l.version != 0 && l.seen.ExpiresAt.IsZero()
	return released || !now.Before(l.seenAt.Add(l.cfg.TTL))
}

// Confirm records that the platform accepted the attempt.
func (l *Lease) Confirm(a Attempt, version ident.ObjectVersion) {
	if version <= l.version {
		return
	}
	l.attempts = nil
	l.known, l.seen, l.version, l.seenAt = true, a.Lease, version, a.SentAt
	l.held = !a.Lease.ExpiresAt.IsZero()
	l.until = a.SentAt.Add(l.cfg.TTL - l.cfg.Margin)
	l.clear = a.Clear
}

// Release ends the local view and returns the write that lets another router take over at once.
func (l *Lease) Release(now time.Time) (Attempt, bool) {
	if !l.held {
		return Attempt{}, false
	}
	l.held = false
	next := l.seen
	next.ExpiresAt = time.Time{}
	return Attempt{Lease: next, IfVersion: l.version, SentAt: now, Clear: now}, true
}

// Lose ends the local view because a target refused the fencing number.
func (l *Lease) Lose() { l.held = false }
