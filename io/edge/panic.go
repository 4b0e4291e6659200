package edge

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/gravitational/trace"
)

// runTask runs a background task. If it panics, the router shuts down: running requests end, and callers go to others.
func (s *Server) runTask(name string, task func()) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		s.logPanic(name, v)
		select {
		case s.taskFailed <- trace.Errorf("task %s panicked: %v", name, v):
		default: // An earlier one has begun the shutdown.
		}
	}()
	task()
}

// logPanic logs and counts a panic.
func (s *Server) logPanic(name string, v any) {
	s.deps.Metrics.panics.Inc()
	s.deps.Log.Error("panic", "in", name, "value", fmt.Sprint(v), "stack", string(debug.Stack()))
}

// abortAtPanic logs a panic of a request, which ends its connection without an answer.
func (s *Server) abortAtPanic(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				s.logPanic("request", v)
			}
			panic(http.ErrAbortHandler)
		}()
		next.ServeHTTP(w, r)
	})
}
