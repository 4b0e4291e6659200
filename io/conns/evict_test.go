package conns

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"geraniumsaddle/core/budget"
	"geraniumsaddle/core/ident"
)

// bodyHandler reads the body as a router does, and then calls serve if the request is whole.
func bodyHandler(serve func(*http.Request)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := RequestOf(r.Context())
		request.Begin()
		if r.ContentLength != 0 {
			request.BodyBegins(0)
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		request.BodyEnds()
		serve(r)
		_, _ = io.WriteString(w, "ok")
	})
}

// serveWith starts a server with a handler whose connections are in the set, and returns its address.
func serveWith(tb testing.TB, set *Set, h http.Handler) string {
	tb.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, ConnState: set.TrackState, ConnContext: set.ConnContext}
	go func() { _ = srv.Serve(set.Listener(ln)) }()
	tb.Cleanup(func() { _ = srv.Close() })
	return ln.Addr().String()
}

func refusal(r Refusal) []byte {
	return []byte([]string{"HTTP/1.1 431 x\r\n", "HTTP/1.1 503 x\r\n"}[r] + "Connection: close\r\nContent-Length: 0\r\n\r\n")
}

// TestHeadLimit guards against reading a head beyond the configured limit, and against refusing one within it.
func TestHeadLimit(t *testing.T) {
	t.Parallel()
	const limit = 2000
	cases := []struct {
		name   string
		head   string
		status int
	}{
		{"one line", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", limit+int(headForm+readAhead)), http.StatusRequestHeaderFieldsTooLarge},
		{"short lines", "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X: y\r\n", (limit+int(headForm+readAhead))/6), http.StatusRequestHeaderFieldsTooLarge},
		{"within the limit", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10000\r\nX: " + strings.Repeat("x", limit-100) + "\r\n\r\n" + strings.Repeat("\n", 10_000), http.StatusOK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			set := New(Config{Clock: clockwork.NewRealClock(), Memory: budget.New(1 << 20), Refusal: refusal,
				HeadLimit: func() ident.Bytes { return limit }})
			caller := dial(t, serveWith(t, set, bodyHandler(func(*http.Request) {})))
			_, err := io.WriteString(caller, c.head)
			is.NoErr(err)
			resp, err := http.ReadResponse(caller.r, nil)
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			is.Equal(resp.StatusCode, c.status)
			is.NoErr(caller.Close())
			is.NoErr(set.Wait(context.Background()))
			is.Equal(set.cfg.Memory.Total(), ident.Bytes(0))
		})
	}
}

// TestEviction guards against a full budget that turns new callers away while connections without a whole request can make
// room, against another order of eviction, and against closing the connection of a request that is served.
func TestEviction(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const slots = 4
	set := New(Config{Clock: clockwork.NewRealClock(), Memory: budget.New(slots*budget.ConnectionCost + 8<<10), Refusal: refusal})
	release, served := make(chan struct{}), make(chan struct{})
	addr := serveWith(t, set, bodyHandler(func(r *http.Request) {
		if r.URL.Path == "/long" {
			close(served)
			<-release
		}
	}))
	long := dial(t, addr)
	_, err := io.WriteString(long, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-served
	idle, body, head := openIdle(t, addr), dial(t, addr), dial(t, addr)
	begin := func(c *client, sent string, stage budget.Stage) {
		_, err := io.WriteString(c, sent)
		is.NoErr(err)
		for !inStage(set, stage) {
			runtime.Gosched()
		}
	}
	begin(body, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx", budget.ReadingBody)
	begin(head, "GET / HTTP/1.1\r\nHost: h\r\n", budget.ReadingHead)
	for _, victim := range []*client{head, body, idle} {
		openIdle(t, addr)
		resp, err := http.ReadResponse(victim.r, nil)
		if victim == idle {
			is.True(errors.Is(err, io.ErrUnexpectedEOF))
			continue
		}
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	}
	close(release)
	receive(t, long)
	is.Equal(set.Evictions(budget.ReadingHead), uint64(1))
	is.Equal(set.Evictions(budget.ReadingBody), uint64(1))
	is.Equal(set.Rejected(), uint64(0))
}

// TestIdleAfterBody guards against an idle connection that still holds the memory of a head for the lines of its last body.
func TestIdleAfterBody(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	set := New(Config{Clock: clockwork.NewRealClock(), Memory: budget.New(4 << 20)})
	addr := serveWith(t, set, bodyHandler(func(*http.Request) {}))
	const callers, lines = 10, 100_000
	for range callers {
		c := dial(t, addr)
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("\n", lines))
		is.NoErr(err)
		receive(t, c)
	}
	for set.cfg.Memory.Used(budget.Heads) > 0 {
		runtime.Gosched() // The last connection may not be idle yet.
	}
	is.Equal(set.Len(), callers)
}

// TestHeadThatFillsTheBuffer guards against partial heads that are never evicted because the buffer of the server has room for
// one byte.
func TestHeadThatFillsTheBuffer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	set := New(Config{Clock: clockwork.NewRealClock(), Memory: budget.New(1 << 20), Refusal: refusal})
	addr := serveWith(t, set, bodyHandler(func(*http.Request) {}))
	const head = "GET / HTTP/1.1\r\nHost: h\r\nX: "
	for range 60 {
		_, err := io.WriteString(dial(t, addr), head+strings.Repeat("x", 4120-len(head)))
		is.NoErr(err)
	}
	for set.Evictions(budget.ReadingHead) == 0 {
		runtime.Gosched() // The heads use up the memory.
	}
	for range 20 {
		c := dial(t, addr)
		_, err := io.WriteString(c, request)
		is.NoErr(err)
		resp, err := http.ReadResponse(c.r, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.NoErr(resp.Body.Close())
		is.NoErr(c.Close())
	}
}

// TestMaxConns guards against connections that use up the descriptors of the process while their memory is within the limit.
func TestMaxConns(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const limit = 5
	set := New(Config{Clock: clockwork.NewRealClock(), Memory: budget.New(1 << 20), MaxConns: limit})
	addr := serveWith(t, set, bodyHandler(func(*http.Request) {}))
	for range 3 * limit {
		openIdle(t, addr)
		is.True(set.Len() <= limit)
	}
	is.True(set.Evictions(budget.Idle) >= 2*limit)
}

func inStage(set *Set, stage budget.Stage) bool {
	for _, c := range set.all() {
		if c.holder().Stage == stage {
			return true
		}
	}
	return false
}

// TestLateEviction guards against evicting a connection on which bytes have arrived since it was chosen, and against an
// eviction that stays in force once the head is whole.
func TestLateEviction(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	set := New(Config{Clock: clock, Memory: budget.New(1 << 20)})
	raw, caller := net.Pipe()
	defer func() { _ = caller.Close() }()
	is.NoErr(set.Reserve(t.Context(), budget.Connections, budget.ConnectionCost, 0))
	c := set.add(raw)
	is.NoErr(c.received([]byte("GET / HTTP/1.1\r\n"), int(readAhead), clock.Now()))
	chosen := c.holder()
	clock.Advance(time.Millisecond)
	is.NoErr(c.received([]byte("Host: h\r\n"), int(readAhead), clock.Now()))
	is.True(!c.evict(chosen))
	chosen = c.holder()
	is.True(c.evict(chosen))
	is.NoErr(c.SetReadDeadline(time.Time{})) // as net/http does after the head
	is.Equal(c.holder().Stage, budget.Evicted)
	c.setState(http.StateActive)
	is.Equal(c.holder().Stage, budget.Serving)
	is.True(!c.evict(chosen))
	is.NoErr(c.Close())
	is.Equal(set.cfg.Memory.Total(), ident.Bytes(0))
}

// TestEvictionBesideRequests guards against an eviction that cuts off a request that has just become whole: a request that
// is served is not canceled, and its answer arrives.
func TestEvictionBesideRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	set := New(Config{Clock: clockwork.NewRealClock(), Memory: budget.New(1 << 20), Refusal: refusal})
	var running, canceled atomic.Int64
	addr := serveWith(t, set, bodyHandler(func(r *http.Request) {
		running.Add(1)
		for range 20 {
			runtime.Gosched() // An eviction may be under way.
		}
		if r.Context().Err() != nil {
			canceled.Add(1)
		}
	}))
	done := make(chan struct{})
	var evictor, callers sync.WaitGroup
	evictor.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
				set.makeRoom(2 << 20)
				runtime.Gosched()
			}
		}
	})
	var answered atomic.Int64
	for range 8 {
		callers.Go(func() {
			for range 300 {
				answered.Add(int64(sendInParts(t, addr)))
				answered.Add(int64(sendPipelined(t, addr)))
			}
		})
	}
	callers.Wait()
	close(done)
	evictor.Wait()
	is.Equal(canceled.Load(), int64(0))
	is.Equal(running.Load(), answered.Load())
	is.True(answered.Load() > 0)
	is.NoErr(set.Wait(context.Background()))
	is.Equal(set.cfg.Memory.Total(), ident.Bytes(0))
}

// sendInParts sends requests on one connection until it is closed, and returns how many were answered with 200.
func sendInParts(tb testing.TB, addr string) int {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		tb.Error(err)
		return 0
	}
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		if n == 4 {
			return n
		}
		for _, part := range []string{"POST / HTTP/1.1\r\nHost: h\r\nContent-Le", "ngth: 2\r\n\r\nx", "y"} {
			if _, err := io.WriteString(c, part); err != nil {
				break // The answer may have been sent before.
			}
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return n
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
			return n
		}
	}
}

// sendPipelined sends requests in one write, and returns how many were answered with 200.
func sendPipelined(tb testing.TB, addr string) int {
	const requests = 4
	c, err := net.Dial("tcp", addr)
	if err != nil {
		tb.Error(err)
		return 0
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, strings.Repeat(request, requests)); err != nil {
		return 0
	}
	r := bufio.NewReader(c)
	for n := range requests {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return n
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
			return n
		}
	}
	return requests
}
