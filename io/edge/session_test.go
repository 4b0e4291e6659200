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
	"geraniumsaddle/platform/stand"
)

// TestAnswers guards against an answer or a request that is changed on its way.
func TestAnswers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorld(t)
	a := w.ask(book)
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.body, w.engines["desk-1"].Body(a.id))
	is.Equal(stand.EngineStamp(a.header), "stamp.desk-1")
	run := w.engines["desk-1"].Runs()[0]
	is.Equal(run.Method+" "+run.URI+" "+run.Body, "POST /book/1?shelf=2 reserve")
	is.Equal(run.Org, "org1")
	is.Equal(run.Header.Get("Authorization"), "")
	a = w.ask(chat)
	is.NoErr(a.err)
	is.Equal(a.body, events(a.id, 3))
	is.Equal(a.header.Get("Content-Type"), "text/event-stream")
}

// TestFaultyTargets guards against a request that runs twice, a refusal that says not run although it ran, a broken
// answer that looks complete, and a connection that is used after stray bytes.
func TestFaultyTargets(t *testing.T) {
	t.Parallel()
	const (
		whole   = "whole"   // the whole answer of a target
		broken  = "broken"  // an answer that doesn't look complete
		refused = "refused" // 429 or 503
		unknown = "unknown" // 502 or 504
		failure = "failure" // the target's own 500
	)
	cases := []struct {
		name   string
		mode   stand.Mode
		ask    ask
		second bool // whether another healthy target of the service stands beside
		want   string
		runs   int // on all targets
	}{
		{"shed booking", stand.Shed, book, false, refused, 0},
		{"shed booking, another target", stand.Shed, book, true, whole, 1},
		{"misdirected booking", stand.Misdirected, book, false, refused, 0},
		{"misdirected booking, another target", stand.Misdirected, book, true, whole, 1},
		{"failed booking", stand.Fail, book, true, failure, 1},
		{"dropped booking", stand.CloseAfterRun, book, true, unknown, 1},
		{"cut booking", stand.Truncate, book, true, unknown, 1},
		{"booking answered twice", stand.DuplicateResponse, book, false, whole, 1},
		{"booking without length", stand.Unframed, book, false, whole, 1},
		{"booking without length, reset", stand.UnframedReset, book, false, unknown, 1},
		{"shed look-up, another target", stand.Shed, look, true, whole, 1},
		{"failed look-up, another target", stand.Fail, look, true, whole, 2},
		{"failed look-up", stand.Fail, look, false, failure, 1},
		{"dropped look-up, another target", stand.CloseAfterRun, look, true, whole, 2},
		{"cut look-up, another target", stand.Truncate, look, true, whole, 2},
		{"shed chat", stand.Shed, chat, false, refused, 0},
		{"dropped chat", stand.CloseAfterRun, chat, true, unknown, 1},
		{"cut chat", stand.Truncate, chat, true, broken, 1},
		{"cut resumable stream", stand.Truncate, resume, true, whole, 2},
		{"dropped resumable stream", stand.CloseAfterRun, resume, true, whole, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newWorld(t)
			first, service := "desk-1", "desk"
			if c.ask.in > 0 {
				first, service = "llm-1", "llm"
			}
			w.engines[first].SetMode(c.mode)
			a := w.firstAnswer(c.ask, first, service, c.second)
			is.Equal(w.runs(a.id), c.runs)
			is.Equal(w.kind(a, c.ask), c.want)
		})
	}
}

// runs returns how often targets began to work on a request.
func (w *world) runs(id string) int {
	n := 0
	for _, e := range w.engines {
		for _, r := range e.Runs() {
			if r.ID == id {
				n++
			}
		}
	}
	return n
}

// firstAnswer asks until the request goes to the faulty target first, which a second one makes a matter of choice.
func (w *world) firstAnswer(a ask, first, service string, second bool) answer {
	if second {
		e := w.engine(service+"-2", service)
		w.await("second target", func() bool { return w.server.fleet.ServingCount(ident.ServiceID(service)) == 2 })
		_ = e
	}
	for {
		seen := w.engines[first].RequestCount()
		got := w.ask(a)
		if w.engines[first].RequestCount() > seen {
			return got
		}
	}
}

func (w *world) kind(a answer, from ask) string {
	switch {
	case a.err != nil:
		return "broken"
	case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
		return "refused"
	case a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout:
		return "unknown"
	case a.status == http.StatusInternalServerError && stand.EngineStamp(a.header) != "":
		return "failure"
	case a.status == http.StatusOK && from.in > 0 && a.body == events(a.id, 3):
		return "whole"
	case a.status == http.StatusOK && from.in == 0 && strings.HasSuffix(a.body, " to "+a.id):
		return "whole"
	}
	return fmt.Sprintf("%d %q", a.status, a.body)
}

// TestResumeNeedsID guards against a stream whose events come twice, because another target begins it anew.
func TestResumeNeedsID(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorld(t)
	w.engines["llm-1"].SetMode(stand.Truncate)
	w.engines["llm-1"].OmitEventIDs = true
	a := w.firstAnswer(resume, "llm-1", "llm", true)
	is.True(a.err != nil)
	is.Equal(w.runs(a.id), 1)
}

// TestStrayAnswer guards against the second answer to one request that is taken for the answer to the next.
func TestStrayAnswer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorld(t)
	w.engines["desk-1"].SetMode(stand.DuplicateResponse)
	for range 20 {
		a := w.ask(book)
		is.NoErr(a.err)
		is.Equal(a.body, w.engines["desk-1"].Body(a.id))
	}
}

// TestEarlyRefusal guards against the rest of a long body that is read as the next request.
func TestEarlyRefusal(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorld(t)
	w.engines["desk-1"].SetMode(stand.RejectEarly)
	long := book
	long.body = strings.Repeat("GET /smuggled HTTP/1.1\r\n\r\n", 2000)
	a := w.ask(long)
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusServiceUnavailable)
	w.engines["desk-1"].SetMode(stand.Serve)
	w.await("an answer", func() bool { return w.ask(book).status == http.StatusOK })
	for _, r := range w.engines["desk-1"].Runs() {
		is.Equal(r.URI, book.path)
	}
}

// TestRefusals guards against a bad request that is served, or a good one that is refused with a status that a caller
// does not retry.
func TestRefusals(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	with := func(a ask, change func(*ask)) ask {
		change(&a)
		return a
	}
	cases := []struct {
		name   string
		ask    ask
		status int
	}{
		{"unknown path", with(book, func(a *ask) { a.path = "/nowhere/" }), http.StatusNotFound},
		{"no key", with(book, func(a *ask) { a.key = "" }), http.StatusUnauthorized},
		{"wrong key", with(book, func(a *ask) { a.key = "key9" }), http.StatusUnauthorized},
		{"public route without key", look, http.StatusOK},
		{"body too large", with(book, func(a *ask) { a.body = strings.Repeat("x", 100_001) }), http.StatusRequestEntityTooLarge},
		{"headers too large", with(book, func(a *ask) {
			a.header = http.Header{"X-Long": {strings.Repeat("x", 5000)}}
		}), http.StatusRequestHeaderFieldsTooLarge},
		{"malformed deadline", with(book, func(a *ask) { a.deadline = -1 }), http.StatusBadRequest},
		{"more than is prepaid", with(chat, func(a *ask) { a.key = "key2" }), http.StatusPaymentRequired},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := w.ask(c.ask)
			is.NoErr(a.err)
			is.Equal(a.status, c.status)
		})
	}
}

// TestSmuggledLength guards against a request whose two lengths make a second request of its body.
func TestSmuggledLength(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorld(t)
	c, err := net.Dial("tcp", w.server.CallerAddr())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST /book/1 HTTP/1.1\r\nHost: "+stand.Host+"\r\n"+fields(stand.CallerHeader("a", "key1", 0, 0))+
		"Content-Length: 4\r\nContent-Length: 60\r\n\r\nbodyPOST /book/2 HTTP/1.1\r\nHost: "+stand.Host+"\r\n"+fields(stand.CallerHeader("b", "key1", 0, 0))+"\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadRequest)
	is.Equal(len(w.engines["desk-1"].Runs()), 0)
}

// fields returns headers as they stand in a request.
func fields(h http.Header) string {
	var b strings.Builder
	if err := h.Write(&b); err != nil {
		panic(err) // A string builder takes every write.
	}
	return b.String()
}

// TestTimeout guards against a request that is held past its route's time.
func TestTimeout(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorld(t)
	w.engines["desk-1"].SetMode(stand.HangAfterRun)
	short := book
	short.deadline = 200
	a := w.ask(short)
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusGatewayTimeout)
}

// TestCallerLeaves guards against a target that works on for a caller that has left.
func TestCallerLeaves(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorld(t)
	e := w.engines["llm-1"]
	e.EventCount, e.EventInterval = 1000, patience
	ctx, cancel := context.WithCancel(context.Background())
	r, _ := w.request(ctx, chat)
	done := make(chan error, 1)
	go func() {
		resp, err := w.client.Do(r)
		if err == nil {
			err = resp.Body.Close()
		}
		done <- err
	}()
	w.await("the run", func() bool { return len(e.Runs()) == 1 })
	cancel()
	is.True(<-done != nil)
	w.await("the end of the run", func() bool { return e.Abandoned() == 1 })
	w.await("the release of the hold", func() bool { return w.server.accounts.Balance("org1").Held == 0 })
	is.Equal(w.server.accounts.Balance("org1").Spent, ident.Tokens(0))
}

// TestLostAnswerIsBilled guards against tokens that are used and not billed: an answer that is lost on the way may have
// been produced.
func TestLostAnswerIsBilled(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorld(t)
	w.engines["llm-1"].SetMode(stand.CloseAfterRun)
	is.Equal(w.ask(chat).status, http.StatusBadGateway)
	is.Equal(w.server.accounts.Balance("org1").Spent, ident.Tokens(chat.in))
}

// TestConfigChange guards against an older configuration that replaces a newer one.
func TestConfigChange(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.configure(5, 20_000, 1_000_000)
	w.await("version 5", func() bool { return w.server.table.Load().Version() == 5 })
	w.configure(4, 20_000, 1_000_000)
	w.store.Put("config", "main", `{"version":"garbled"}`)
	w.configure(6, 20_000, 1_000_000)
	w.await("version 6", func() bool { return w.server.table.Load().Version() == 6 })
}

// TestLeavingTarget guards against requests to a target that is leaving or whose entry is gone or unreadable.
func TestLeavingTarget(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		leave func(*world)
	}{
		{"draining", func(w *world) {
			w.store.Put("servers", "desk-1", w.engines["desk-1"].RegistryEntry("desk", "a", "draining"))
		}},
		{"gone", func(w *world) { w.store.Delete("servers", "desk-1") }},
		{"unreadable", func(w *world) { w.store.Put("servers", "desk-1", `{"service":7}`) }},
		{"gone while the history was lost", func(w *world) {
			w.store.Delete("servers", "desk-1")
			w.store.Compact()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newWorld(t)
			c.leave(w)
			w.await("the departure", func() bool { return w.server.fleet.ServingCount("desk") == 0 })
			seen := w.engines["desk-1"].RequestCount()
			is.Equal(w.ask(book).status, http.StatusServiceUnavailable)
			is.Equal(w.engines["desk-1"].RequestCount(), seen)
		})
	}
}

// faultAll returns a fault of all calls.
func faultAll(f stand.Fault) func(*http.Request) stand.Fault {
	return func(*http.Request) stand.Fault { return f }
}

// TestStoreFaults guards against a router that stops serving or loses its place when the store fails in any way.
func TestStoreFaults(t *testing.T) {
	t.Parallel()
	faults := map[string]stand.Fault{"busy": stand.Unavailable, "limited": stand.RateLimited, "silent": stand.DropRequest,
		"lost": stand.DropResponse, "reset": stand.Reset}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newWorld(t)
			w.store.SetFault(faultAll(f))
			w.await("the loss", w.server.link.isAway)
			is.Equal(w.ask(book).status, http.StatusOK)
			// An organisation without demand gets its tokens over some time.
			w.await("a chat without the store", func() bool { return w.ask(chat).status == http.StatusOK })
			w.store.SetFault(nil)
			w.configure(9, 20_000, 1_000_000)
			w.await("the new configuration", func() bool { return w.server.table.Load().Version() == 9 })
		})
	}
}

// TestLostHistory guards against a change that is missed until a long watch ends, because the history was dropped while
// the watch waited.
func TestLostHistory(t *testing.T) {
	t.Parallel()
	w := newWorldWaits(t, Waits{platform.KindConfig: 100 * time.Millisecond, platform.KindTarget: time.Hour,
		platform.KindRelease: time.Hour})
	w.await("a waiting watch", func() bool { return w.store.WaitingWatches("servers") == 1 })
	w.store.Compact()
	w.store.Delete("servers", "desk-1")
	w.configure(9, 20_000, 1_000_000)
	w.await("the new configuration", func() bool { return w.server.table.Load().Version() == 9 })
	w.await("the departure", func() bool { return w.server.fleet.ServingCount("desk") == 0 })
}

// TestBadRelease guards against a version that gets requests after it was taken back, and against an outcome that is not
// recorded.
func TestBadRelease(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorld(t)
	e, err := stand.NewEngine("desk-2")
	is.NoErr(err)
	t.Cleanup(e.Close)
	e.Version = "v2"
	e.SetMode(stand.Fail)
	w.store.Put("rollouts", "desk", `{"service":"desk","target":"v2","duration_s":2}`)
	w.await("the order", func() bool { return len(w.server.releases.running()) == 1 })
	w.store.Put("servers", "desk-2", e.RegistryEntry("desk", "a", "ready"))
	w.await("the outcome", func() bool {
		w.ask(book)
		_, status, _ := w.store.Get("rollouts", "desk")
		return status == `{"state":"rolled_back","target":"v2"}`
	})
	seen := e.RequestCount()
	for range 50 {
		is.Equal(w.ask(book).status, http.StatusOK)
	}
	is.Equal(e.RequestCount(), seen)
}

// TestShutdown guards against a request that a graceful stop cuts, and against tokens that it strands.
func TestShutdown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorld(t)
	w.engines["llm-1"].EventCount = 3
	is.Equal(w.ask(chat).status, http.StatusOK)
	w.stop()
	ledger, _, ok := w.store.Get("ledgers", ledgerKey(quota.NewLayout().ShardOf("org1")).Name)
	is.True(ok)
	// One prompt of 100 tokens and 3 events of 4.
	is.Equal(ledger, `{"format":1,"holders":{},"closed":{"org1":112}}`)
}
