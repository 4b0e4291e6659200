package edge

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/platform"
	"geraniumsaddle/platform/fakes"
)

// lateEnv is a router that is being stopped and has closed its idle connections.
type lateEnv struct {
	*testEnv
	idle *rawCaller
}

// newLateEnv starts a router whose only targets handle requests in a mode.
func newLateEnv(t *testing.T, mode fakes.Mode) *lateEnv {
	env := newTestEnvWith(t, func(cfg *platform.Settings, _ *Deps) { cfg.Bounds.ShutdownGrace = 3 * time.Second })
	for _, e := range env.targets {
		e.SetMode(mode)
	}
	idle := env.newRawCaller()
	idle.send(testRequest{path: "/nowhere/"})
	if _, err := idle.receive(); err != nil {
		t.Fatal(err)
	}
	return &lateEnv{env, idle}
}

// stopUntilLate begins the shutdown and waits until it is too late for requests without a deadline that fits.
func (env *lateEnv) stopUntilLate() {
	env.cancel()
	env.idle.waitClosed()
}

// TestLateRequest guards against passing on a request that arrives late in the grace period and is cut off at its end,
// without an answer and after it may have run.
func TestLateRequest(t *testing.T) {
	t.Parallel()
	const body = "Content-Length: 10\r\n\r\n"
	cases := []struct {
		name        string
		early, late string // parts of a booking that are sent before and after the shutdown begins
		mode        fakes.Mode
		status      int
		runs        int
	}{
		{"body", fakes.BookHead + body + "x", "123456789", fakes.HangAfterRun, http.StatusServiceUnavailable, 0},
		{"body of a request that fits", fakes.BookHead + fakes.Deadline(2300) + body + "x", "123456789", fakes.Serve, http.StatusOK, 1},
		{"head", fakes.BookHead, body + "0123456789", fakes.HangAfterRun, http.StatusServiceUnavailable, 0},
		{"head without its body", fakes.BookHead, body, fakes.HangAfterRun, http.StatusServiceUnavailable, 0},
		{"no more than the body's beginning", fakes.BookHead + body + "x", "", fakes.HangAfterRun, http.StatusServiceUnavailable, 0},
		{"request before the shutdown", fakes.BookHead + body + "0123456789", "", fakes.HangAfterRun, http.StatusGatewayTimeout, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			env := newLateEnv(t, c.mode)
			caller := env.newRawCaller()
			_, err := io.WriteString(caller.conn, c.early)
			is.NoErr(err)
			if c.late == "" && c.runs > 0 {
				env.waitFor("the run", func() bool { return len(env.targets["desk-1"].Runs()) == 1 })
			}
			if strings.HasSuffix(c.early, "x") {
				env.waitFor("the head", func() bool { return env.server.runningRequests.Load() == 1 })
			}
			env.stopUntilLate()
			_, err = io.WriteString(caller.conn, c.late)
			is.NoErr(err)
			status, err := caller.receive()
			is.NoErr(err)
			is.Equal(status, c.status)
			is.Equal(len(env.targets["desk-1"].Runs()), c.runs)
		})
	}
}

// TestLateRetry guards against sending a request to another target, or resuming a stream there, that is then cut off at
// the end of the grace period.
func TestLateRetry(t *testing.T) {
	t.Parallel()
	stream := resume
	stream.maxOutput = 1000
	cases := []struct {
		name string
		req  testRequest
		want string
	}{
		{"look-up", look, "unknown"},
		{"resumable stream", stream, "broken"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			env := newLateEnv(t, fakes.Serve)
			first, service := c.req.firstTarget()
			env.targets[first].EventInterval = 10 * time.Millisecond
			env.targets[first].EventCount = 1000
			if c.req.promptTokens == 0 {
				env.targets[first].SetMode(fakes.HangAfterRun)
			}
			answers := make(chan answer)
			go func() { answers <- env.do(c.req) }()
			env.waitFor("the run", func() bool { return len(env.targets[first].Runs()) == 1 })
			second := env.addTarget(service+"-2", service)
			env.waitFor("the second target", func() bool { return env.server.targets.ServingCount(ident.ServiceID(service)) == 2 })
			env.stopUntilLate()
			env.targets[first].Close()
			is.Equal(env.classify(<-answers, c.req), c.want)
			is.Equal(len(second.Runs()), 0)
		})
	}
}
