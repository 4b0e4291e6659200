package edge

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"geraniumsaddle/platform"
	"geraniumsaddle/platform/stand"
)

// waitTimeout is the timeout of waiting for a condition. It is much longer than any condition takes.
const waitTimeout = 30 * time.Second

// testEnv is one router with a store and targets. Several routers may share a store and targets.
type testEnv struct {
	t         testing.TB
	store     *stand.Store
	storeAddr string
	server    *Server
	targets   map[string]*stand.Engine
	stop      func()
	client    *http.Client
	requests  int
}

// newTestEnv starts a store, one target of each service and a router.
func newTestEnv(t testing.TB) *testEnv { return newTestEnvWithTimeouts(t, nil) }

func newTestEnvWithTimeouts(t testing.TB, timeouts WatchTimeouts) *testEnv {
	return newTestEnvWith(t, func(_ *platform.Settings, d *Deps) { d.WatchTimeouts = timeouts })
}

// newTestEnvWith does the same as newTestEnv, but set may change the settings and the dependencies of the router.
func newTestEnvWith(t testing.TB, set func(*platform.Settings, *Deps)) *testEnv {
	w := &testEnv{t: t, store: stand.NewStore(2), targets: make(map[string]*stand.Engine)}
	srv := httptest.NewServer(w.store)
	w.storeAddr = srv.Listener.Addr().String()
	t.Cleanup(func() {
		w.store.Close()
		srv.Close()
	})
	w.putConfig(1, 20_000, 1_000_000)
	w.addTarget("llm-1", "llm")
	w.addTarget("desk-1", "desk")
	w.startRouter(set)
	return w
}

// addRouter starts another router with the same store and targets.
func (w *testEnv) addRouter(set func(*platform.Settings, *Deps)) *testEnv {
	other := &testEnv{t: w.t, store: w.store, storeAddr: w.storeAddr, targets: w.targets}
	other.startRouter(set)
	return other
}

// startRouter starts the router and waits until it serves requests.
func (w *testEnv) startRouter(set func(*platform.Settings, *Deps)) {
	cfg := platform.Settings{
		VM: "vm-1", Domain: "a", CallerAddr: "127.0.0.1:0", ReadyAddr: "127.0.0.1:0", FirstStart: true,
		Bounds: platform.Bounds{ShutdownGrace: 1600 * time.Millisecond, RegistryRestoreTime: 200 * time.Millisecond,
			RetryRatio: 0.2, RetryAllowance: 60, RetryWindow: 10 * time.Second},
	}
	deps := Deps{
		Clock: clockwork.NewRealClock(),
		Log:   slog.New(slog.DiscardHandler),
		Store: platform.NewStore(platform.StoreConfig{
			Addr: w.storeAddr, Timeout: 2 * time.Second, WatchGrace: 2 * time.Second,
			Transport: &http.Transport{},
		}),
		VMClock: NewKernelClock(),
		Metrics: NewMetrics(),

		DirectFleet: 16,
	}
	set(&cfg, &deps)
	w.server = New(cfg, deps)
	if err := w.server.Listen(); err != nil {
		w.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- w.server.Run(ctx) }()
	stopped := false
	w.stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		if err := <-done; err != nil {
			w.t.Error(err)
		}
	}
	w.t.Cleanup(w.stop)
	w.client = &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: waitTimeout}
	w.waitFor("readiness", w.isReady)
	w.waitFor("targets", func() bool {
		return w.server.fleet.ServingCount("llm") > 0 && w.server.fleet.ServingCount("desk") > 0
	})
	w.waitFor("tokens", func() bool {
		b := w.server.accounts.Balance("org1")
		return b.Granted > 0 && b.Growth > 0
	})
}

func (w *testEnv) putConfig(version, timeoutMS, prepaid int) {
	w.store.Put("config", "main", stand.Config(version, timeoutMS, prepaid))
}

// addTarget starts a target and adds its entry to the registry.
func (w *testEnv) addTarget(id, service string) *stand.Engine {
	e, err := stand.NewEngine(id)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(e.Close)
	w.targets[id] = e
	w.store.Put("servers", id, e.RegistryEntry(service, "a", "ready"))
	return e
}

func (w *testEnv) isReady() bool {
	resp, err := w.client.Get("http://" + w.server.ReadyAddr() + "/readyz")
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

// waitFor polls a condition until it holds, and fails the test after waitTimeout.
func (w *testEnv) waitFor(what string, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); {
		if time.Now().After(end) {
			w.t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// answer is what a caller receives. Err is set if the answer is incomplete.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
	id     string
	// close says that the server closes the connection after the answer.
	close bool
}

// testRequest describes a request of a caller.
type testRequest struct {
	method, path, key, body string
	// If promptTokens is positive, this is a request to a model engine.
	promptTokens, maxOutput int
	header                  http.Header
	// deadline is in milliseconds; zero sends none.
	deadline int
}

// newRequest returns the request and its ID.
func (w *testEnv) newRequest(ctx context.Context, a testRequest) (*http.Request, string) {
	w.requests++
	id := fmt.Sprintf("attempt-%d", w.requests)
	method := a.method
	if method == "" {
		method = http.MethodPost
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+w.server.CallerAddr()+a.path, strings.NewReader(a.body))
	if err != nil {
		w.t.Fatal(err)
	}
	r.Host = stand.Host
	r.Header = stand.CallerHeader(id, a.key, a.promptTokens, a.maxOutput)
	for k, v := range a.header {
		r.Header[k] = v
	}
	if a.deadline != 0 {
		stand.SetDeadline(r.Header, a.deadline)
	}
	return r, id
}

// do sends a request and reads its answer.
func (w *testEnv) do(a testRequest) answer {
	r, id := w.newRequest(context.Background(), a)
	resp, err := w.client.Do(r)
	if err != nil {
		return answer{err: err, id: id}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(body), err, id, resp.Close}
}

var (
	chat   = testRequest{path: "/chat/1", key: "key1", promptTokens: 100, maxOutput: 40, body: "prompt"}
	resume = testRequest{path: "/resume/1", key: "key1", promptTokens: 100, maxOutput: 40, body: "prompt"}
	book   = testRequest{path: "/book/1?shelf=2", key: "key1", body: "reserve"}
	look   = testRequest{method: http.MethodGet, path: "/look/1"}
)

// eventStream returns the stream of n events with which a target answers the request with the given ID.
func eventStream(id string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(stand.Event(id, i))
	}
	return b.String()
}
