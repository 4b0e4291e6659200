package edge

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"geraniumsaddle/platform"
	"geraniumsaddle/platform/fakes"
)

// waitTimeout is the timeout of waiting for a condition. It is much longer than any condition takes.
const waitTimeout = 30 * time.Second

// testEnv is one router with a store and targets. Several routers may share a store and targets.
type testEnv struct {
	t         testing.TB
	store     *fakes.Store
	storeAddr string
	server    *Server
	targets   map[string]*fakes.Engine
	// cancel begins the graceful shutdown, and stop also waits for its end.
	cancel, stop func()
	client       *http.Client
	requests     int
	// wrapCallers, if set, wraps the listener for callers.
	wrapCallers func(net.Listener) net.Listener
}

// newTestEnv starts a store, one target of each service and a router.
func newTestEnv(t testing.TB) *testEnv { return newTestEnvWithTimeouts(t, nil) }

func newTestEnvWithTimeouts(t testing.TB, timeouts WatchTimeouts) *testEnv {
	return newTestEnvWith(t, func(_ *platform.Settings, d *Deps) { d.WatchTimeouts = timeouts })
}

// newTestEnvWith does the same as newTestEnv, but set may change the settings and the dependencies of the router.
func newTestEnvWith(t testing.TB, set func(*platform.Settings, *Deps)) *testEnv {
	return newTestEnvOn(t, nil, set)
}

// newTestEnvOn does the same as newTestEnvWith, with a wrapped listener for callers.
func newTestEnvOn(t testing.TB, wrapCallers func(net.Listener) net.Listener, set func(*platform.Settings, *Deps)) *testEnv {
	env := &testEnv{t: t, store: fakes.NewStore(2), targets: make(map[string]*fakes.Engine), wrapCallers: wrapCallers}
	srv := httptest.NewServer(env.store)
	env.storeAddr = srv.Listener.Addr().String()
	t.Cleanup(func() {
		env.store.Close()
		srv.Close()
	})
	env.putConfig(1, 20_000, 1_000_000)
	env.addTarget("llm-1", "llm")
	env.addTarget("desk-1", "desk")
	env.startRouter(set)
	return env
}

// addRouter starts another router with the same store and targets.
func (env *testEnv) addRouter(set func(*platform.Settings, *Deps)) *testEnv {
	other := &testEnv{t: env.t, store: env.store, storeAddr: env.storeAddr, targets: env.targets}
	other.startRouter(set)
	return other
}

// startRouter starts the router and waits until it serves requests with tokens of its own.
func (env *testEnv) startRouter(set func(*platform.Settings, *Deps)) {
	env.t.Helper()
	env.startRouterWithoutTokens(set)
	env.waitFor("tokens", func() bool {
		b := env.server.accounts.Balance("org1")
		return b.Granted > 0 && b.Growth > 0
	})
}

// startRouterWithoutTokens starts the router and waits until it serves requests and, if it is one of a large fleet, has
// joined that fleet.
func (env *testEnv) startRouterWithoutTokens(set func(*platform.Settings, *Deps)) {
	cfg := platform.Settings{
		VM: "vm-1", Domain: "a", CallerAddr: "127.0.0.1:0", ReadyAddr: "127.0.0.1:0", FirstStart: true,
		Bounds: platform.Bounds{ShutdownGrace: 1600 * time.Millisecond, RegistryRestoreTime: 200 * time.Millisecond,
			RetryRatio: 0.2, RetryAllowance: 60, RetryWindow: 10 * time.Second},
	}
	deps := Deps{
		Clock: clockwork.NewRealClock(),
		Log:   slog.New(slog.DiscardHandler),
		Store: platform.NewStore(platform.StoreConfig{
			Addr: env.storeAddr, Timeout: 2 * time.Second, WatchGrace: 2 * time.Second,
			Transport: &http.Transport{},
		}),
		VMClock: NewKernelClock(),
		Metrics: NewMetrics(),

		DirectFleet: 16,
	}
	set(&cfg, &deps)
	env.server = New(cfg, deps)
	if err := env.server.Listen(env.t.Context()); err != nil {
		env.t.Fatal(err)
	}
	if env.wrapCallers != nil {
		env.server.callerListener = env.wrapCallers(env.server.callerListener)
	}
	ctx, cancel := context.WithCancel(context.Background())
	env.cancel = cancel
	done := make(chan error, 1)
	go func() { done <- env.server.Run(ctx) }()
	stopped := false
	env.stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		if err := <-done; err != nil {
			env.t.Error(err)
		}
	}
	env.t.Cleanup(env.stop)
	env.client = &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: waitTimeout}
	env.waitFor("readiness", env.isReady)
	env.waitFor("targets", func() bool {
		return env.server.targets.ServingCount("llm") > 0 && env.server.targets.ServingCount("desk") > 0
	})
	if deps.DirectFleet == 0 {
		env.waitFor("the fleet", func() bool { return env.server.lending.Load() != nil })
	}
}

func (env *testEnv) putConfig(version, timeoutMS, prepaid int) {
	env.store.Put("config", "main", fakes.Config(version, timeoutMS, prepaid))
}

// addTarget starts a target and adds its entry to the registry.
func (env *testEnv) addTarget(id, service string) *fakes.Engine {
	return env.addTargetIn("a", id, service)
}

// addTargetIn does the same as addTarget, with a failure domain.
func (env *testEnv) addTargetIn(domain, id, service string) *fakes.Engine {
	e, err := fakes.NewEngine(id)
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(e.Close)
	env.targets[id] = e
	env.store.Put("servers", id, e.RegistryEntry(service, domain, "ready"))
	return e
}

func (env *testEnv) isReady() bool {
	resp, err := env.client.Get("http://" + env.server.ReadyAddr() + "/readyz")
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

// waitFor polls a condition until it holds, and fails the test after waitTimeout.
func (env *testEnv) waitFor(what string, ok func() bool) {
	env.t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); {
		if time.Now().After(end) {
			env.t.Fatalf("timed out waiting for %s", what)
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
	// If deadlineMS is zero, the request states no deadline.
	deadlineMS int
}

// newRequest returns the request and its ID.
func (env *testEnv) newRequest(ctx context.Context, req testRequest) (*http.Request, string) {
	env.requests++
	id := fmt.Sprintf("attempt-%d", env.requests)
	method := req.method
	if method == "" {
		method = http.MethodPost
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+env.server.CallerAddr()+req.path,
		strings.NewReader(req.body))
	if err != nil {
		env.t.Fatal(err)
	}
	r.Host = fakes.Host
	r.Header = fakes.CallerHeader(id, req.key, req.promptTokens, req.maxOutput)
	for k, v := range req.header {
		r.Header[k] = v
	}
	if req.deadlineMS != 0 {
		fakes.SetDeadline(r.Header, req.deadlineMS)
	}
	return r, id
}

// do sends a request and reads its answer.
func (env *testEnv) do(req testRequest) answer {
	r, id := env.newRequest(context.Background(), req)
	resp, err := env.client.Do(r)
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
		b.WriteString(fakes.Event(id, i))
	}
	return b.String()
}
