// Package gate lets the requests of a router wait at the gate of their service while all of its targets are full.
//
// The decisions are those of core/admit; the package adds the clock, the locks and the goroutines that wait.
package gate

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"geraniumsaddle/core/admit"
	"geraniumsaddle/core/ident"
)

// RefusedError means that a request cannot be served in time.
type RefusedError struct {
	// RetryAfter is the time after which the caller may come back.
	RetryAfter time.Duration
}

// Error says why the request is refused.
func (e *RefusedError) Error() string {
	return "every target is full and the request cannot wait for room"
}

// AsRefused returns the RefusedError in an error, or nil.
func AsRefused(err error) *RefusedError {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused
	}
	return nil
}

// Gates holds a gate for each service. It is safe for concurrent use.
type Gates struct {
	clock clockwork.Clock

	mu       sync.Mutex
	services map[ident.ServiceID]*service
}

// service is the gate of one service with the requests that wait at it.
type service struct {
	gate  *admit.Gate
	calls map[ident.RequestID]chan struct{}
	// timer runs pass at the time at which the gate lets the next request through, or is nil.
	timer   clockwork.Timer
	timerAt time.Time
}

// New returns open gates.
func New(clock clockwork.Clock) *Gates {
	return &Gates{clock: clock, services: make(map[ident.ServiceID]*service)}
}

// serviceOf returns the gate of a service. The caller holds mu.
func (g *Gates) serviceOf(id ident.ServiceID) *service {
	s := g.services[id]
	if s == nil {
		s = &service{gate: admit.New(), calls: make(map[ident.RequestID]chan struct{})}
		g.services[id] = s
	}
	return s
}

// Enter returns once the request may choose a target. The error is a *RefusedError if it cannot be served in time, or that
// of the context.
func (g *Gates) Enter(ctx context.Context, id ident.ServiceID, r admit.Request) error {
	passed, err := g.arrive(id, r)
	if passed == nil || err != nil {
		return err
	}
	timeout := g.clock.NewTimer(r.MaxWait)
	defer timeout.Stop()
	select {
	case <-passed:
		return nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-timeout.Chan():
	}
	return g.leave(id, r, passed, err)
}

// arrive returns a channel that is closed when the request is let through, or nil if it is let through at once.
func (g *Gates) arrive(id ident.ServiceID, r admit.Request) (<-chan struct{}, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.serviceOf(id)
	switch a := s.gate.Arrive(g.clock.Now(), r).(type) {
	case admit.Refuse:
		return nil, &RefusedError{a.RetryAfter}
	case admit.Wait:
		passed := make(chan struct{})
		s.calls[r.ID] = passed
		g.schedule(id, s)
		return passed, nil
	}
	return nil, nil
}

// leave ends the wait of a request that was not let through. If it is let through at the same moment, it may go on unless its
// context has ended.
func (g *Gates) leave(id ident.ServiceID, r admit.Request, passed <-chan struct{}, err error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.serviceOf(id)
	select {
	case <-passed:
		g.pass(id, s)
		return err
	default:
	}
	delete(s.calls, r.ID)
	s.gate.Cancel(r.ID)
	if err != nil {
		return err
	}
	return &RefusedError{s.gate.RetryAfter(g.clock.Now())}
}

// Full records that a request found every target full, and when one may have room.
func (g *Gates) Full(id ident.ServiceID, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.serviceOf(id)
	s.gate.Full(g.clock.Now(), until)
	g.schedule(id, s)
}

// Chosen records that a request that was let through has found a target, so that the next one may follow.
func (g *Gates) Chosen(id ident.ServiceID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.serviceOf(id); s.gate.Waiting() > 0 {
		g.pass(id, s)
	}
}

// Taken records that a target has taken a request.
func (g *Gates) Taken(id ident.ServiceID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.serviceOf(id).gate.Taken(g.clock.Now())
}

// Waiting returns the number of requests that wait at all gates.
func (g *Gates) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, s := range g.services {
		n += s.gate.Waiting()
	}
	return n
}

// pass lets the next request through if it is due. The caller holds mu.
func (g *Gates) pass(id ident.ServiceID, s *service) {
	if next, ok := s.gate.Next(g.clock.Now()); ok {
		if passed := s.calls[next]; passed != nil {
			close(passed)
			delete(s.calls, next)
		}
	}
	g.schedule(id, s)
}

// schedule sets the timer for the next request that is let through. The caller holds mu.
func (g *Gates) schedule(id ident.ServiceID, s *service) {
	at := s.gate.WakeAt()
	if at.IsZero() || s.timer != nil && !at.Before(s.timerAt) {
		return
	}
	if s.timer != nil {
		s.timer.Stop()
	}
	s.timerAt = at
	s.timer = g.clock.AfterFunc(max(at.Sub(g.clock.Now()), minPause), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		s.timer = nil
		g.pass(id, s)
	})
}

// minPause is the least time between two requests that the timer lets through. Requests that find a target let the next one
// through without it.
const minPause = time.Millisecond
