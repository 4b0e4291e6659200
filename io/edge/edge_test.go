package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/quota"
	"geraniumsaddle/platform"
	"geraniumsaddle/platform/fakes"
)

// TestUnchangedInTransit guards against changing a request or an answer in transit.
func TestUnchangedInTransit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	env := newTestEnv(t)
	a := env.do(book)
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.body, env.targets["desk-1"].Body(a.id))
	is.Equal(fakes.EngineStamp(a.header), "stamp.desk-1")
	run := env.targets["desk-1"].Runs()[0]
	is.Equal(run.Method+" "+run.URI+" "+run.Body, "POST /book/1?shelf=2 reserve")
	is.Equal(run.Org, "org1")
	is.Equal(run.Header.Get("Authorization"), "")
	a = env.do(chat)
	is.NoErr(a.err)
	is.Equal(a.body, eventStream(a.id, 3))
	is.Equal(a.header.Get("Content-Type"), "text/event-stream")
}

// TestFaultyTargets guards against running a request twice, refusing a request as not run although it has run, an
// incomplete answer that looks complete, and reusing a connection on which unexpected bytes have arrived.
func TestFaultyTargets(t *testing.T) {
	t.Parallel()
	const (
		whole   = "whole"   // the complete answer of a target
		broken  = "broken"  // an answer that the caller sees is incomplete
		refused = "refused" // 429 or 503
		unknown = "unknown" // 502 or 504
		failure = "failure" // the target's own 500
	)
	cases := []struct {
		name   string
		mode   fakes.Mode
		req    testRequest
		second bool // whether the service has a second, healthy target
		want   string
		runs   int // on all targets
	}{
		{"shed booking", fakes.Shed, book, false, refused, 0},
		{"shed booking, another target", fakes.Shed, book, true, whole, 1},
		{"misdirected booking", fakes.Misdirected, book, false, refused, 0},
		{"misdirected booking, another target", fakes.Misdirected, book, true, whole, 1},
		{"failed booking", fakes.Fail, book, true, failure, 1},
		{"dropped booking", fakes.CloseAfterRun, book, true, unknown, 1},
		{"cut booking", fakes.Truncate, book, true, unknown, 1},
		{"booking answered twice", fakes.DuplicateResponse, book, false, whole, 1},
		{"booking without length", fakes.Unframed, book, false, whole, 1},
		{"booking without length, reset", fakes.UnframedReset, book, false, unknown, 1},
		{"shed look-up, another target", fakes.Shed, look, true, whole, 1},
		{"failed look-up, another target", fakes.Fail, look, true, whole, 2},
		{"failed look-up", fakes.Fail, look, false, failure, 1},
		{"dropped look-up, another target", fakes.CloseAfterRun, look, true, whole, 2},
		{"cut look-up, another target", fakes.Truncate, look, true, whole, 2},
		{"shed chat", fakes.Shed, chat, false, refused, 0},
		{"dropped chat", fakes.CloseAfterRun, chat, true, unknown, 1},
		{"cut chat", fakes.Truncate, chat, true, broken, 1},
		{"cut resumable stream", fakes.Truncate, resume, true, whole, 2},
		{"dropped resumable stream", fakes.CloseAfterRun, resume, true, whole, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			env := newTestEnv(t)
			first, service := c.req.firstTarget()
			env.targets[first].SetMode(c.mode)
			a := env.doViaFaultyTarget(c.req, first, service, c.second)
			is.Equal(env.runCount(a.id), c.runs)
			is.Equal(env.classify(a, c.req), c.want)
		})
	}
}

// firstTarget returns the target that newTestEnv starts for the request, and its service.
func (req testRequest) firstTarget() (id, service string) {
	if req.promptTokens > 0 {
		return "llm-1", "llm"
	}
	return "desk-1", "desk"
}

// runCount returns how many times targets have started to run a request.
func (env *testEnv) runCount(id string) int {
	n := 0
	for _, e := range env.targets {
		for _, r := range e.Runs() {
			if r.ID == id {
				n++
			}
		}
	}
	return n
}

// doViaFaultyTarget sends the request until the router chooses the target named first for it before any other. If
// second is set, it adds another target of the service before.
func (env *testEnv) doViaFaultyTarget(req testRequest, first, service string, second bool) answer {
	if second {
		e := env.addTarget(service+"-2", service)
		env.waitFor("the second target", func() bool {
			return env.server.targets.ServingCount(ident.ServiceID(service)) == 2
		})
		_ = e
	}
	for {
		seen := env.targets[first].RequestCount()
		got := env.do(req)
		if env.targets[first].RequestCount() > seen {
			return got
		}
	}
}

// classify returns which of the outcomes of TestFaultyTargets an answer is.
func (env *testEnv) classify(a answer, req testRequest) string {
	switch {
	case a.err != nil:
		return "broken"
	case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
		return "refused"
	case a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout:
		return "unknown"
	case a.status == http.StatusInternalServerError && fakes.EngineStamp(a.header) != "":
		return "failure"
	case a.status == http.StatusOK && req.promptTokens > 0 && a.body == eventStream(a.id, 3):
		return "whole"
	case a.status == http.StatusOK && req.promptTokens == 0 && strings.HasSuffix(a.body, " to "+a.id):
		return "whole"
	}
	return fmt.Sprintf("%d %q", a.status, a.body)
}

// TestResumeNeedsID guards against sending the events of a stream twice because another target starts again from the
// first one.
func TestResumeNeedsID(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	env := newTestEnv(t)
	env.targets["llm-1"].SetMode(fakes.Truncate)
	env.targets["llm-1"].OmitEventIDs = true
	a := env.doViaFaultyTarget(resume, "llm-1", "llm", true)
	is.True(a.err != nil)
	is.Equal(env.runCount(a.id), 1)
}

// TestStrayAnswer guards against taking a second answer to one request for the answer to the next request on the
// connection.
func TestStrayAnswer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	env := newTestEnv(t)
	env.targets["desk-1"].SetMode(fakes.DuplicateResponse)
	for range 20 {
		a := env.do(book)
		is.NoErr(a.err)
		is.Equal(a.body, env.targets["desk-1"].Body(a.id))
	}
}

// TestEarlyRefusal guards against a target that reads the rest of a long body as the next request, after it has refused
// the first one without reading its body.
func TestEarlyRefusal(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	env := newTestEnv(t)
	env.targets["desk-1"].SetMode(fakes.RejectEarly)
	long := book
	long.body = strings.Repeat("GET /smuggled HTTP/1.1\r\n\r\n", 2000)
	a := env.do(long)
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusServiceUnavailable)
	env.targets["desk-1"].SetMode(fakes.Serve)
	env.waitFor("an answer", func() bool { return env.do(book).status == http.StatusOK })
	for _, r := range env.targets["desk-1"].Runs() {
		is.Equal(r.URI, book.path)
	}
}

// TestRefusals guards against serving invalid requests and against refusing requests with the wrong status.
func TestRefusals(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	with := func(req testRequest, change func(*testRequest)) testRequest {
		change(&req)
		return req
	}
	cases := []struct {
		name   string
		req    testRequest
		status int
	}{
		{"unknown path", with(book, func(req *testRequest) { req.path = "/nowhere/" }), http.StatusNotFound},
		{"no key", with(book, func(req *testRequest) { req.key = "" }), http.StatusUnauthorized},
		{"wrong key", with(book, func(req *testRequest) { req.key = "key9" }), http.StatusUnauthorized},
		{"public route without key", look, http.StatusOK},
		{"body too large", with(book, func(req *testRequest) {
			req.body = strings.Repeat("x", 100_001)
		}), http.StatusRequestEntityTooLarge},
		{"headers too large", with(book, func(req *testRequest) {
			req.header = http.Header{"X-Long": {strings.Repeat("x", 5000)}}
		}), http.StatusRequestHeaderFieldsTooLarge},
		{"malformed deadline", with(book, func(req *testRequest) { req.deadlineMS = -1 }), http.StatusBadRequest},
		{"more than is prepaid", with(chat, func(req *testRequest) { req.key = "key2" }), http.StatusPaymentRequired},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := env.do(c.req)
			is.NoErr(a.err)
			is.Equal(a.status, c.status)
		})
	}
}

// TestSmuggledLength guards against request smuggling with two different Content-Length headers.
func TestSmuggledLength(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	env := newTestEnv(t)
	c, err := net.Dial("tcp", env.server.CallerAddr())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST /book/1 HTTP/1.1\r\nHost: "+fakes.Host+"\r\n"+headerLines(fakes.CallerHeader("a", "key1", 0, 0))+
		"Content-Length: 4\r\nContent-Length: 60\r\n\r\nbodyPOST /book/2 HTTP/1.1\r\nHost: "+fakes.Host+"\r\n"+headerLines(fakes.CallerHeader("b", "key1", 0, 0))+"\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadRequest)
	is.Equal(len(env.targets["desk-1"].Runs()), 0)
}

// headerLines returns the headers in wire format.
func headerLines(h http.Header) string {
	var b strings.Builder
	if err := h.Write(&b); err != nil {
		panic(err) // Writes to a strings.Builder do not fail.
	}
	return b.String()
}

// TestCallerDeadline guards against holding a request beyond the caller's deadline.
func TestCallerDeadline(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	env := newTestEnv(t)
	env.targets["desk-1"].SetMode(fakes.HangAfterRun)
	short := book
	short.deadlineMS = 200
	a := env.do(short)
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusGatewayTimeout)
}

// TestCallerDisconnects guards against a target that keeps running a request after its caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	env := newTestEnv(t)
	e := env.targets["llm-1"]
	e.EventCount, e.EventInterval = 1000, waitTimeout
	ctx, cancel := context.WithCancel(context.Background())
	r, _ := env.newRequest(ctx, chat)
	done := make(chan error, 1)
	go func() {
		resp, err := env.client.Do(r)
		if err == nil {
			err = resp.Body.Close()
		}
		done <- err
	}()
	env.waitFor("the run", func() bool { return len(e.Runs()) == 1 })
	cancel()
	is.True(<-done != nil)
	env.waitFor("the end of the run", func() bool { return e.Abandoned() == 1 })
	env.waitFor("the release of the held tokens", func() bool { return env.server.accounts.Balance("org1").Held == 0 })
	is.Equal(env.server.accounts.Balance("org1").Spent, ident.Tokens(0))
}

// TestLostAnswerIsBilled guards against not billing tokens that a target has consumed for an answer that was lost in
// transit.
func TestLostAnswerIsBilled(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	env := newTestEnv(t)
	env.targets["llm-1"].SetMode(fakes.CloseAfterRun)
	is.Equal(env.do(chat).status, http.StatusBadGateway)
	is.Equal(env.server.accounts.Balance("org1").Spent, ident.Tokens(chat.promptTokens))
}

// TestConfigChange guards against replacing a configuration by an older or an unreadable one.
func TestConfigChange(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	env.putConfig(5, 20_000, 1_000_000)
	env.waitFor("version 5", func() bool { return env.server.table.Load().Version() == 5 })
	env.putConfig(4, 20_000, 1_000_000)
	env.store.Put("config", "main", `{"version":"garbled"}`)
	env.putConfig(6, 20_000, 1_000_000)
	env.waitFor("version 6", func() bool { return env.server.table.Load().Version() == 6 })
}

// TestLeavingTarget guards against sending requests to a target that is draining or whose entry is gone or unreadable.
func TestLeavingTarget(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		leave func(*testEnv)
	}{
		{"draining", func(env *testEnv) {
			env.store.Put("servers", "desk-1", env.targets["desk-1"].RegistryEntry("desk", "a", "draining"))
		}},
		{"gone", func(env *testEnv) { env.store.Delete("servers", "desk-1") }},
		{"unreadable", func(env *testEnv) { env.store.Put("servers", "desk-1", `{"service":7}`) }},
		{"gone from the compacted history", func(env *testEnv) {
			env.store.Delete("servers", "desk-1")
			env.store.Compact()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			env := newTestEnv(t)
			c.leave(env)
			env.waitFor("the removal of the target", func() bool { return env.server.targets.ServingCount("desk") == 0 })
			seen := env.targets["desk-1"].RequestCount()
			is.Equal(env.do(book).status, http.StatusServiceUnavailable)
			is.Equal(env.targets["desk-1"].RequestCount(), seen)
		})
	}
}

// faultAll returns a function that makes all calls of the store fail in the given way.
func faultAll(f fakes.Fault) func(*http.Request) fakes.Fault {
	return func(*http.Request) fakes.Fault { return f }
}

// TestStoreFaults guards against a router that stops serving when the store fails, or misses changes afterwards.
func TestStoreFaults(t *testing.T) {
	t.Parallel()
	faults := map[string]fakes.Fault{"busy": fakes.Unavailable, "limited": fakes.RateLimited, "silent": fakes.DropRequest,
		"lost": fakes.DropResponse, "reset": fakes.Reset}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			env := newTestEnv(t)
			env.store.SetFault(faultAll(f))
			env.waitFor("the store to be unreachable", env.server.storeMonitor.isUnreachable)
			is.Equal(env.do(book).status, http.StatusOK)
			// Without earlier demand, an organisation's tokens become available only gradually.
			env.waitFor("a chat without the store", func() bool { return env.do(chat).status == http.StatusOK })
			env.store.SetFault(nil)
			env.putConfig(9, 20_000, 1_000_000)
			env.waitFor("the new configuration", func() bool { return env.server.table.Load().Version() == 9 })
		})
	}
}

// TestCompactedHistory guards against missing a change until a long watch ends, because the store compacts its history
// while the watch is waiting.
func TestCompactedHistory(t *testing.T) {
	t.Parallel()
	env := newTestEnvWithTimeouts(t, WatchTimeouts{
		platform.KindConfig: 100 * time.Millisecond, platform.KindTarget: time.Hour, platform.KindRelease: time.Hour,
	})
	env.waitFor("a waiting watch", func() bool { return env.store.WaitingWatches("servers") == 1 })
	env.store.Compact()
	env.store.Delete("servers", "desk-1")
	env.putConfig(9, 20_000, 1_000_000)
	env.waitFor("the new configuration", func() bool { return env.server.table.Load().Version() == 9 })
	env.waitFor("the removal of the target", func() bool { return env.server.targets.ServingCount("desk") == 0 })
}

// TestBadReleaseRolledBack guards against sending requests to a version after its rollback, and against not recording
// the outcome.
func TestBadReleaseRolledBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	env := newTestEnv(t)
	e, err := fakes.NewEngine("desk-2")
	is.NoErr(err)
	t.Cleanup(e.Close)
	e.Version = "v2"
	e.SetMode(fakes.Fail)
	env.store.Put("rollouts", "desk", `{"service":"desk","target":"v2","duration_s":2}`)
	env.waitFor("the order", func() bool { return len(env.server.releases.running()) == 1 })
	env.store.Put("servers", "desk-2", e.RegistryEntry("desk", "a", "ready"))
	env.waitFor("the outcome", func() bool {
		env.do(book)
		_, status, _ := env.store.Get("rollouts", "desk")
		return status == `{"state":"rolled_back","target":"v2"}`
	})
	seen := e.RequestCount()
	for range 50 {
		is.Equal(env.do(book).status, http.StatusOK)
	}
	is.Equal(e.RequestCount(), seen)
}

// TestShutdownReturnsTokens guards against a graceful stop that does not return the router's unspent tokens.
func TestShutdownReturnsTokens(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	env := newTestEnv(t)
	env.targets["llm-1"].EventCount = 3
	is.Equal(env.do(chat).status, http.StatusOK)
	env.stop()
	ledger, _, ok := env.store.Get("ledgers", ledgerKey(quota.NewLayout().ShardOf("org1")).Name)
	is.True(ok)
	// One prompt of 100 tokens and 3 events of 4 tokens each.
	is.Equal(ledger, `{"format":1,"holders":{},"closed":{"org1":112}}`)
}
