package link

import (
	"sync"
	"time"

	"geraniumsaddle/core/ident"
)

const (
	// busyPart is the part of the link's rate from which the router takes no new callers, early enough for the balancer to
	// notice before the link is full, and calmPart the part under which it takes them again.
	busyPart = 0.6
	calmPart = 0.45
	// fullPart is the part of the link's rate from which it counts as full. The rate leaves out what the transport
	// protocols add. It is full until the rate is under busyPart.
	fullPart = 0.8
	// noticeAfter is the time in which the balancer sees twice that the router is not ready. Callers whose connections
	// close before come back to the same router.
	noticeAfter = 2500 * time.Millisecond
	// closeEvery is the number of answers of which one closes its connection. The load goes away over about a second
	// and not at once, because the callers meet another router together.
	closeEvery = 8
)

// Shedder decides when a router with a busy link takes no new callers, and when it sends callers away. It is safe for
// concurrent use.
type Shedder struct {
	capacity ident.Bytes // per second; zero is a link without a known bound

	mu         sync.Mutex
	busy, full bool
	// since is when the link became busy.
	since   time.Time
	answers int
}

// NewShedder returns the decisions for a link that carries a number of bytes per second in each direction. Zero means
// that its rate is not known, and no caller is sent away.
func NewShedder(capacity ident.Bytes) *Shedder {
	return &Shedder{capacity: capacity}
}

// Observe takes the present rate and reports whether the link has become busy or calm.
func (s *Shedder) Observe(rate ident.Bytes, now time.Time) (changed bool) {
	if s.capacity <= 0 {
		return false
	}
	part := float64(rate) / float64(s.capacity)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.full = part >= fullPart || s.full && part >= busyPart
	busy := part >= busyPart || s.busy && part >= calmPart
	if busy == s.busy {
		return false
	}
	s.busy, s.since = busy, now
	return true
}

// Busy reports whether the router should take no new callers.
func (s *Shedder) Busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy
}

// Full reports whether the link is full, so that what is sent or awaited over it comes late.
func (s *Shedder) Full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.full
}

// CloseNext reports whether the connection of the next answer closes after it.
func (s *Shedder) CloseNext(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.full || now.Sub(s.since) < noticeAfter {
		return false
	}
	s.answers++
	return s.answers%closeEvery == 0
}
