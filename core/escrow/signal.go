package escrow

import (
	"sync"
	"sync/atomic"
)

// Signal wakes every goroutine that waits for a change. Notify costs one atomic load while nobody
// waits. The zero value is ready for use.
type Signal struct {
	hasWaiters atomic.Bool
	mu         sync.Mutex
	ch         chan struct{}
}

// Wait returns a channel that the next Notify closes. Call it before testing the condition; otherwise
// a change between the test and the wait is missed.
func (s *Signal) Wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	s.hasWaiters.Store(true)
	return s.ch
}

// Notify wakes all waiters.
func (s *Signal) Notify() {
	if !s.hasWaiters.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
	s.hasWaiters.Store(false)
}
