package edge

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/platform"
	"geraniumsaddle/platform/fakes"
)

// TestPauseInHead guards against a complete answer, or none at all, if a target stops inside the head of its answer and
// closes the connection at about the timeout of the request.
func TestPauseInHead(t *testing.T) {
	t.Parallel()
	const (
		timeout = 400 * time.Millisecond
		slack   = 3 * time.Second
	)
	heads := map[string]string{
		"status line":      "HTTP/1.1 200 OK",
		"header":           fakes.AnswerHead + "Content-Len",
		"last line":        fakes.AnswerHead + fakes.StreamType,
		"half of the end":  fakes.AnswerHead + fakes.StreamType + "\r",
		"after the length": fakes.AnswerHead + "Content-Length: 0",
	}
	for name, head := range heads {
		for _, req := range []testRequest{book, look, chat, resume} {
			t.Run(name+" of "+req.path, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				env := newTestEnv(t)
				req.deadlineMS = int(timeout.Milliseconds())
				first, service := req.firstTarget()
				for _, before := range []time.Duration{timeout - 20*time.Millisecond, timeout, 2 * timeout} {
					env.targets[first].SetScriptPause(head, before)
					env.waitFor("the target", func() bool { return env.server.targets.ServingCount(ident.ServiceID(service)) > 0 })
					seen, started := env.targets[first].RequestCount(), time.Now()
					a := env.do(req)
					is.True(time.Since(started) < timeout+slack)
					if env.targets[first].RequestCount() > seen {
						is.Equal(env.classify(a, req), "unknown")
					} else {
						is.Equal(env.classify(a, req), "refused")
					}
				}
				is.True(env.targets[first].RequestCount() > 0)
			})
		}
	}
}

// TestCutHeadOfContinuation guards against ending a broken stream as complete because the head of the answer that is to
// go on with it is cut, at any byte.
func TestCutHeadOfContinuation(t *testing.T) {
	t.Parallel()
	for _, whole := range []string{chunkedEmpty, chunked(streamHead, event2), streamHead + "\r\n" + event2} {
		head, _, _ := strings.Cut(whole, "\r\n\r\n")
		t.Run(fmt.Sprint(len(whole)), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			env := newTestEnvWith(t, func(cfg *platform.Settings, _ *Deps) { cfg.Bounds.RetryAllowance = 100_000 })
			env.targets["llm-1"].SetMode(fakes.Truncate)
			second := env.addTarget("llm-2", "llm")
			env.waitFor("the second target", func() bool { return env.server.targets.ServingCount("llm") == 2 })
			for n := range len(head) + len("\r\n\r\n") {
				second.SetScript(whole[:n])
				env.waitFor("a resumed stream", func() bool {
					runs := second.RequestCount()
					a := env.do(resume)
					resumed := strings.HasPrefix(a.body, eventStream(a.id, 2)) && second.RequestCount() > runs
					if resumed {
						is.True(a.err != nil)
						is.Equal(a.body, eventStream(a.id, 2))
					}
					return resumed
				})
			}
		})
	}
}
