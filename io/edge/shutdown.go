package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"geraniumsaddle/core/drain"
)

// cutAnswerTime is the time for the answers to requests that are cut off at the end of the grace period.
const cutAnswerTime = 100 * time.Millisecond

// errShuttingDown means that the router is shutting down and the request can't be finished in time.
var errShuttingDown = errors.New("router is shutting down")

// isDraining reports whether the router is shutting down.
func (s *Server) isDraining() bool { return s.drainPlan.Load() != nil }

// admits reports whether a request with the given deadline may be passed on to a target now.
func (s *Server) admits(deadline time.Time) bool {
	p := s.drainPlan.Load()
	return p == nil || p.Admits(s.deps.Clock.Now(), deadline)
}

// shutdown reports the router as not ready, waits for running requests and closes the callers' connections. Requests that
// still run at the end are answered as cut off. served receives the result of the server's Serve.
func (s *Server) shutdown(server *http.Server, served <-chan error, cutRequests context.CancelCauseFunc) {
	start := s.deps.Clock.Now()
	plan := drain.NewPlan(start, s.gracePeriod())
	s.deps.Log.Info("router is shutting down", "router", s.self, "running", s.runningRequests.Load(),
		"close_ms", plan.CloseAt.Sub(start).Milliseconds(), "free_ms", plan.FreeUntil.Sub(start).Milliseconds(),
		"cut_ms", plan.CutAt.Sub(start).Milliseconds())
	s.drainPlan.Store(&plan)
	s.callers.LimitBodies(plan.FreeUntil, plan.CutAt)
	s.deps.Clock.Sleep(plan.CloseAt.Sub(start))
	_ = s.callerListener.Close()
	if err := <-served; !errors.Is(err, net.ErrClosed) {
		s.deps.Log.Warn("server for callers failed", "error", err)
	}
	s.callers.CloseIdle()
	if !s.waitForCallers(plan.CutAt) {
		s.deps.Log.Warn("grace period ended; cutting off the running requests", "running", s.runningRequests.Load())
		cutRequests(errShuttingDown)
		s.waitForCallers(plan.CutAt.Add(cutAnswerTime))
	}
	_ = server.Close()
}

// waitForCallers waits until all connections of callers are closed, and returns false if the time passes before.
func (s *Server) waitForCallers(until time.Time) bool {
	ctx, cancel := clockwork.WithDeadline(context.Background(), s.deps.Clock, until)
	defer cancel()
	return s.callers.Wait(ctx) == nil
}

// cutOff reports whether the request has been cut off at the end of the grace period.
func (x *exchange) cutOff() bool { return errors.Is(context.Cause(x.r.Context()), errShuttingDown) }
