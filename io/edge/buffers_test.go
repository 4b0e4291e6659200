package edge

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/budget"
	"geraniumsaddle/io/conns"
	"geraniumsaddle/platform"
	"geraniumsaddle/platform/fakes"
)

// TestManyEndlessAnswers guards against a process that runs out of memory because many targets send without end at once,
// each less than the limit of one answer.
func TestManyEndlessAnswers(t *testing.T) {
	t.Parallel()
	const (
		requests = 8
		size     = 6 << 20
		memory   = 64 << 20
	)
	cases := []struct {
		name  string
		head  string
		req   testRequest
		limit int // how many of the answers may be held
	}{
		{"answers", fakes.AnswerHead + "Content-Length: 9999999999\r\n\r\n", book, memory / bufferShare / orgBufferShare / size},
		{"answers without an organisation", fakes.AnswerHead + "Content-Length: 9999999999\r\n\r\n", look, memory / bufferShare / orgBufferShare / size},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			env := newTestEnvWith(t, func(cfg *platform.Settings, _ *Deps) { cfg.MemoryBytes = memory })
			env.targets["desk-1"].SetEndless(fakes.EndlessResponse{Start: c.head, Pattern: "x", Stall: size})
			req := c.req
			req.deadlineMS = 5000
			statuses := make(chan int)
			for range requests {
				r, _ := env.newRequest(t.Context(), req)
				go func() {
					resp, err := env.client.Do(r)
					if err != nil {
						statuses <- 0
						return
					}
					_ = resp.Body.Close()
					statuses <- resp.StatusCode
				}()
			}
			failed := 0
			for range requests {
				if <-statuses == http.StatusBadGateway {
					failed++
				}
			}
			is.True(failed >= requests-c.limit)
			env.waitFor("the release", func() bool { return env.server.buffers.Used() == 0 })
		})
	}
}

// TestManyLargeBodies guards against a process that runs out of memory because many callers send large bodies at once. A
// body is refused before it has arrived if there is no memory for it.
func TestManyLargeBodies(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const (
		callers = 20
		size    = 96 << 10
		memory  = 1 << 20
	)
	env := newTestEnvWith(t, func(cfg *platform.Settings, _ *Deps) { cfg.MemoryBytes = memory })
	for _, e := range env.targets {
		e.SetMode(fakes.HangAfterRun)
	}
	body := strings.Repeat("x", size)
	for i := range callers {
		c := env.newRawCaller()
		_, err := fmt.Fprintf(c.conn, "%sContent-Length: %d\r\n\r\n", fakes.BookHead, size)
		is.NoErr(err)
		if i < memory/bufferShare/orgBufferShare/freeBuffer {
			// A whole body keeps its memory, however slow the test is.
			_, err := io.WriteString(c.conn, body)
			is.NoErr(err)
			env.waitFor("the run", func() bool { return env.runs() == i+1 })
			continue
		}
		is.NoErr(c.conn.SetReadDeadline(time.Now().Add(waitTimeout)))
		status, err := c.receive()
		is.NoErr(err)
		is.Equal(status, http.StatusServiceUnavailable)
	}
	env.cancel()
	env.waitFor("the release", func() bool { return env.server.buffers.Used() == 0 })
}

// runs returns the number of requests that all targets have run.
func (env *testEnv) runs() int {
	n := 0
	for _, e := range env.targets {
		n += len(e.Runs())
	}
	return n
}

// TestBufferedReader guards against a reservation that outlives its request, and against counting small answers.
func TestBufferedReader(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	x := &exchange{s: &Server{buffers: newBufferLimiter(2 << 20), callers: conns.New(conns.Config{})}, ctx: t.Context()}
	for _, size := range []int{100, freeBuffer, 3 * freeBuffer} {
		_, err := io.Copy(io.Discard, &bufferedReader{r: strings.NewReader(strings.Repeat("x", size)), buffer: x.newBuffer(budget.Answers)})
		is.NoErr(err)
		is.Equal(x.s.buffers.Used() > 0, size > freeBuffer)
	}
	_, err := io.Copy(io.Discard, &bufferedReader{r: strings.NewReader(strings.Repeat("x", 1<<20)), buffer: x.newBuffer(budget.Answers)})
	is.True(err != nil)
	x.releaseBuffers()
	is.Equal(int(x.s.buffers.Used()), 0)
}
