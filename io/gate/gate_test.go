package gate

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"geraniumsaddle/core/admit"
	"geraniumsaddle/core/ident"
)

const testService = ident.ServiceID("service")

func newRequest(clock clockwork.Clock, id string) admit.Request {
	return admit.Request{ID: ident.RequestID(id), Org: "org", Cost: 1, Deadline: clock.Now().Add(time.Minute), MaxWait: 5 * time.Second}
}

// waiters waits until n requests wait.
func waiters(g *Gates, n int) {
	for g.Waiting() != n {
		time.Sleep(time.Millisecond)
	}
}

// TestEnter guards against requests that wait for ever at a gate, and against letting them through while all targets are
// full.
func TestEnter(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := New(clock)
	is.NoErr(g.Enter(context.Background(), testService, newRequest(clock, "open")))
	g.Full(testService, clock.Now().Add(100*time.Millisecond))
	const n = 8
	done := make(chan error, n)
	for i := range n {
		go func() {
			err := g.Enter(context.Background(), testService, newRequest(clock, fmt.Sprint(i)))
			if err == nil {
				g.Chosen(testService)
			}
			done <- err
		}()
	}
	waiters(g, n)
	clock.Advance(50 * time.Millisecond)
	waiters(g, n)
	for g.Waiting() > 0 {
		clock.Advance(50 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
	for range n {
		is.NoErr(<-done)
	}
}

// TestEnterEnds guards against a request that waits longer than it may, and against a place at the gate that is kept for a
// caller that has left.
func TestEnterEnds(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := New(clock)
	g.Full(testService, clock.Now().Add(100*time.Millisecond))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- g.Enter(ctx, testService, newRequest(clock, "left")) }()
	waiters(g, 1)
	cancel()
	is.True(errors.Is(<-done, context.Canceled))
	is.Equal(g.Waiting(), 0)

	go func() { done <- g.Enter(context.Background(), testService, newRequest(clock, "late")) }()
	waiters(g, 1)
	for waiting := true; waiting; {
		g.Full(testService, clock.Now().Add(time.Second))
		clock.Advance(500 * time.Millisecond)
		select {
		case err := <-done:
			is.True(AsRefused(err) != nil)
			is.True(AsRefused(err).RetryAfter > 0)
			waiting = false
		default:
			time.Sleep(time.Millisecond)
		}
	}
	is.Equal(g.Waiting(), 0)
}
