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

// patience bounds a wait for a condition. It is far above what any of them takes.
const patience = 30 * time.Second

// world is one router with a store and targets.
type world struct {
	t         testing.TB
	store     *stand.Store
	storeAddr string
	server    *Server
	engines   map[string]*stand.Engine
	stop      func()
	client    *http.Client
	next      int
}

// newWorld starts a router before one engine of each service.
func newWorld(t testing.TB) *world { return newWorldWaits(t, nil) }

func newWorldWaits(t testing.TB, waits Waits) *world {
	return newWorldSet(t, func(_ *platform.Settings, d *Deps) { d.Waits = waits })
}

// newWorldSet starts a router whose settings and dependencies were changed by a function.
func newWorldSet(t testing.TB, set func(*platform.Settings, *Deps)) *world {
	w := &world{t: t, store: stand.NewStore(2), engines: make(map[string]*stand.Engine)}
	srv := httptest.NewServer(w.store)
	w.storeAddr = srv.Listener.Addr().String()
	t.Cleanup(func() {
		w.store.Close()
		srv.Close()
	})
	w.configure(1, 20_000, 1_000_000)
	w.engine("llm-1", "llm")
	w.engine("desk-1", "desk")
	w.run(set)
	return w
}

// join starts one more router with the same store and targets.
func (w *world) join(set func(*platform.Settings, *Deps)) *world {
	other := &world{t: w.t, store: w.store, storeAddr: w.storeAddr, engines: w.engines}
	other.run(set)
	return other
}

// run starts the router and waits until it serves.
func (w *world) run(set func(*platform.Settings, *Deps)) {
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
		VM:      NewKernelClock(),
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
	w.client = &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: patience}
	w.await("readiness", w.isReady)
	w.await("targets", func() bool { return w.server.fleet.ServingCount("llm") > 0 && w.server.fleet.ServingCount("desk") > 0 })
	w.await("tokens", func() bool {
		b := w.server.accounts.Balance("org1")
		return b.Granted > 0 && b.Growth > 0
	})
}

func (w *world) configure(version, timeoutMS, prepaid int) {
	w.store.Put("config", "main", stand.Config(version, timeoutMS, prepaid))
}

func (w *world) engine(id, service string) *stand.Engine {
	e, err := stand.NewEngine(id)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(e.Close)
	w.engines[id] = e
	w.store.Put("servers", id, e.RegistryEntry(service, "a", "ready"))
	return e
}

func (w *world) isReady() bool {
	resp, err := w.client.Get("http://" + w.server.ReadyAddr() + "/readyz")
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

// await polls a condition.
func (w *world) await(what string, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(patience); !ok(); {
		if time.Now().After(end) {
			w.t.Fatalf("no %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// answer is what a caller gets. Err is set when the answer is not complete.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
	id     string
	// close says that the connection closes after the answer.
	close bool
}

// ask describes a request of a caller.
type ask struct {
	method, path, key, body string
	// prompt makes it a request of a model engine with this many tokens in and out.
	in, out int
	header  http.Header
	// deadline in milliseconds; zero leaves it out.
	deadline int
}

func (w *world) request(ctx context.Context, a ask) (*http.Request, string) {
	w.next++
	id := fmt.Sprintf("attempt-%d", w.next)
	method := a.method
	if method == "" {
		method = http.MethodPost
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+w.server.CallerAddr()+a.path, strings.NewReader(a.body))
	if err != nil {
		w.t.Fatal(err)
	}
	r.Host = stand.Host
	r.Header = stand.CallerHeader(id, a.key, a.in, a.out)
	for k, v := range a.header {
		r.Header[k] = v
	}
	if a.deadline != 0 {
		stand.SetDeadline(r.Header, a.deadline)
	}
	return r, id
}

func (w *world) ask(a ask) answer {
	r, id := w.request(context.Background(), a)
	resp, err := w.client.Do(r)
	if err != nil {
		return answer{err: err, id: id}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(body), err, id, resp.Close}
}

var (
	chat   = ask{path: "/chat/1", key: "key1", in: 100, out: 40, body: "prompt"}
	resume = ask{path: "/resume/1", key: "key1", in: 100, out: 40, body: "prompt"}
	book   = ask{path: "/book/1?shelf=2", key: "key1", body: "reserve"}
	look   = ask{method: http.MethodGet, path: "/look/1"}
)

func events(id string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(stand.Event(id, i))
	}
	return b.String()
}
