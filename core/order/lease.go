package order

import (
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// LeaseConfig holds the name, the holder and the timing parameters of a lease.
type LeaseConfig struct {
	Name string
	Self ident.RouterID
	// TTL is how long a competitor waits after the last write that it has seen before it takes over the lease.
	TTL time.Duration
	// Margin is how long before the end of TTL the holder stops. It covers clock drift.
	Margin time.Duration
	// RenewInterval is the minimum interval between attempts to write the lease.
	RenewInterval time.Duration
}

// Lease is one router's view of the lease on the platform. Clocks of different routers are never compared: the holder
// counts TTL from before it sent its write, a competitor from when it first saw that write. The holder therefore stops
// before any competitor may take over.
type Lease struct {
	cfg      LeaseConfig
	observed bool // the lease object was read or written at least once
	lastSeen object.Lease
	version  ident.ObjectVersion
	seenAt   time.Time
	held     bool
	until    time.Time
	// earlierHoldersEnd is the time after which earlier holders send no orders. Orders sent before may still arrive
	// within the maximum delay of an order.
	earlierHoldersEnd time.Time
	// attempts are the writes without a reply. Each may still take effect, or may have done so already.
	attempts    []Attempt
	lastAttempt time.Time
}

// Attempt is a conditional write of the lease object.
type Attempt struct {
	Lease object.Lease
	// IfVersion is the version that the write replaces. Zero means that the object must not exist.
	IfVersion ident.ObjectVersion
	// EarlierHoldersEnd is the time after which earlier holders send no orders.
	EarlierHoldersEnd time.Time
	SentAt            time.Time
}

// maxAttempts is the number of attempts that Observe can recognise after their replies were lost.
const maxAttempts = 8

// NewLease returns a lease that is not held and whose object has not been read.
func NewLease(cfg LeaseConfig) *Lease { return &Lease{cfg: cfg} }

// Held reports whether this router holds the lease, and so may issue orders.
func (l *Lease) Held(now time.Time) bool { return l.held && now.Before(l.until) }

// Fence returns the fencing number under which the lease was last held.
func (l *Lease) Fence() uint64 { return l.lastSeen.Fence }

// End returns the time at which this router's hold ends unless it is renewed.
func (l *Lease) End() time.Time { return l.until }

// EarlierHoldersEnd returns the time after which earlier holders send no orders.
func (l *Lease) EarlierHoldersEnd() time.Time { return l.earlierHoldersEnd }

// Observe processes the lease object as read or watched. An absent object has version zero. If the object matches an
// attempt whose reply was lost, the attempt is confirmed. Observe ignores an existing object that is not newer than the
// last one.
func (l *Lease) Observe(now time.Time, v object.Lease, version ident.ObjectVersion) {
	if l.observed && version <= l.version && (version != 0 || l.version == 0) {
		return
	}
	for _, a := range l.attempts {
		if sameLease(a.Lease, v) {
			l.Confirm(a, version)
			return
		}
	}
	// The fencing number must keep increasing after the object was deleted.
	v.Fence = max(v.Fence, l.lastSeen.Fence)
	l.observed, l.lastSeen, l.version, l.seenAt = true, v, version, now
	l.held, l.attempts = false, nil
}

func sameLease(a, b object.Lease) bool {
	return a.Holder == b.Holder && a.Fence == b.Fence && a.ExpiresAt.Equal(b.ExpiresAt)
}

// Attempt returns the write that is due, if any. The caller must call Confirm if the platform accepts it. After a
// version mismatch or a lost reply the caller must read the object and call Observe.
func (l *Lease) Attempt(now time.Time) (Attempt, bool) {
	if !l.observed || now.Sub(l.lastAttempt) < l.cfg.RenewInterval {
		return Attempt{}, false
	}
	next := object.Lease{Format: object.Format, Name: l.cfg.Name, Holder: l.cfg.Self, Fence: l.lastSeen.Fence, ExpiresAt: now.Add(l.cfg.TTL)}
	a := Attempt{IfVersion: l.version, SentAt: now, EarlierHoldersEnd: l.earlierHoldersEnd}
	// Nobody else has held the lease while the object is unchanged, so a late renewal needs no new fencing number.
	if !l.held {
		if !l.available(now) {
			return Attempt{}, false
		}
		next.Fence++
		a.EarlierHoldersEnd = l.seenAt.Add(l.cfg.TTL)
	}
	a.Lease = next
	l.attempts, l.lastAttempt = append(l.attempts, a), now
	if len(l.attempts) > maxAttempts {
		l.attempts = l.attempts[1:]
	}
	return a, true
}

// available reports whether the lease was released or has expired. The time at which an absent object was deleted is
// unknown, so the TTL must pass as for an existing lease.
func (l *Lease) available(now time.Time) bool {
	released := l.version != 0 && l.lastSeen.ExpiresAt.IsZero()
	return released || !now.Before(l.seenAt.Add(l.cfg.TTL))
}

// Confirm records that the platform accepted the attempt.
func (l *Lease) Confirm(a Attempt, version ident.ObjectVersion) {
	if version <= l.version {
		return
	}
	l.attempts = nil
	l.observed, l.lastSeen, l.version, l.seenAt = true, a.Lease, version, a.SentAt
	l.held = !a.Lease.ExpiresAt.IsZero()
	l.until = a.SentAt.Add(l.cfg.TTL - l.cfg.Margin)
	l.earlierHoldersEnd = a.EarlierHoldersEnd
}

// Release gives up the lease and returns the write that lets another router take over at once.
func (l *Lease) Release(now time.Time) (Attempt, bool) {
	if !l.held {
		return Attempt{}, false
	}
	l.held = false
	next := l.lastSeen
	next.ExpiresAt = time.Time{}
	return Attempt{Lease: next, IfVersion: l.version, SentAt: now, EarlierHoldersEnd: now}, true
}

// Lose gives up the lease because a target rejected the fencing number.
func (l *Lease) Lose() { l.held = false }
