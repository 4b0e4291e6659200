package link

import (
	"sync"
	"time"

	"geraniumsaddle/core/ident"
)

const (
	// busyFraction is the utilisation from which the router accepts no new callers, low enough for the balancer to
	// notice before the link is full. calmFraction is the utilisation below which it accepts them again.
	busyFraction = 0.6
	calmFraction = 0.45
	// fullFraction is the utilisation from which the link counts as full, until it falls below busyFraction. The
	// measured rate does not include the overhead of the transport protocols.
	fullFraction = 0.8
	// closeDelay is the time after which the balancer has seen the router not ready twice. Callers whose connections
	// close earlier would reconnect to the same router.
	closeDelay = 2500 * time.Millisecond
	// closeEvery means that one in this many answers closes its connection. The load thus moves away over about a
	// second instead of at once, because the callers may all reconnect to the same other router.
	closeEvery = 8
)

// Shedder decides when a router accepts no new callers because its link is busy, and when it closes connections of
// existing callers because the link is full. It is safe for concurrent use.
type Shedder struct {
	capacity ident.Bytes // per second and direction; zero if unknown

	mu         sync.Mutex
	busy, full bool
	// changedAt is the time at which the link last became busy or calm.
	changedAt time.Time
	answers   int
}

// NewShedder returns a Shedder for a link with the given capacity in bytes per second and direction. Zero means that
// the capacity is unknown; the link then never counts as busy or full.
func NewShedder(capacity ident.Bytes) *Shedder {
	return &Shedder{capacity: capacity}
}

// Observe records the current rate and reports whether the link has become busy or calm.
func (s *Shedder) Observe(rate ident.Bytes, now time.Time) (changed bool) {
	if s.capacity <= 0 {
		return false
	}
	utilisation := float64(rate) / float64(s.capacity)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.full = utilisation >= fullFraction || s.full && utilisation >= busyFraction
	busy := utilisation >= busyFraction || s.busy && utilisation >= calmFraction
	if busy == s.busy {
		return false
	}
	s.busy, s.changedAt = busy, now
	return true
}

// Busy reports whether the router should accept no new callers.
func (s *Shedder) Busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy
}

// Full reports whether the link is full, so that messages in both directions may be delayed.
func (s *Shedder) Full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.full
}

// CloseNext is called once per answer and reports whether the answer's connection should be closed after it.
func (s *Shedder) CloseNext(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.full || now.Sub(s.changedAt) < closeDelay {
		return false
	}
	s.answers++
	return s.answers%closeEvery == 0
}
