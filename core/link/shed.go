package link

import (
	"sync"
	"time"

	"geraniumsaddle/core/ident"
)

const (
	// fullPart is the part of the link's rate from which it counts as full. The rate leaves out what the transport
	// protocols add.
	fullPart = 0.8
	// clearPart is the part under which a full link counts as clear again.
	clearPart = 0.5
	// noticeAfter is the time in which the balancer sees twice that the router is not ready. Callers whose connections
	// close before come back to the same router.
	noticeAfter = 2500 * time.Millisecond
	// closeEvery is the number of answers of which one closes its connection. The load goes away over about a second
	// and not at once, because the callers meet another router together.
	closeEvery = 8
)

// Shedder decides when a router with a full link sends callers away. It is safe for concurrent use.
type Shedder struct {
	capacity ident.Bytes // per second; zero is a link without a known bound

	mu      sync.Mutex
	full    bool
	since   time.Time
	answers int
}

// NewShedder returns the decisions for a link that carries a number of bytes per second in each direction. Zero means
// that its rate is not known, and no caller is sent away.
func NewShedder(capacity ident.Bytes) *Shedder {
	return &Shedder{capacity: capacity}
}

// Observe takes the present rate and reports whether the link has become full or clear.
func (s *Shedder) Observe(rate ident.Bytes, now time.Time) (changed bool) {
	if s.capacity <= 0 {
		return false
	}
	part := float64(rate) / float64(s.capacity)
	s.mu.Lock()
	defer s.mu.Unlock()
	full := part >= fullPart || s.full && part >= clearPart
	if full == s.full {
		return false
	}
	s.full, s.since = full, now
	return true
}

// Full reports whether the link is full, so that the router takes no new callers.
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
