package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/spf13/pflag"

	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/caller"
	fakeengine "geraniumsaddle/io/fakes/engine"
	fakestore "geraniumsaddle/io/fakes/store"
	"geraniumsaddle/io/flags"
	"geraniumsaddle/io/peer"
	"geraniumsaddle/io/store"
)

// domainPair is two failure domains with one router each, all in this process. Only domain b has an engine.
type domainPair struct {
	t           testing.TB
	clock       clockwork.Clock
	platform    *store.Client
	platformURL string
	ca          peer.KeyPair
	engine      *fakeengine.Server
	a, b        *Node
	// arrivals counts the requests that have reached the target, as *atomic.Int64 by request id.
	arrivals sync.Map
}

func newDomainPair(t testing.TB, cfg fakeengine.Config, args ...string) *domainPair {
	p := &domainPair{t: t, clock: clockwork.NewRealClock()}
	st := fakestore.New(fakestore.Config{}, p.clock)
	srv := httptest.NewServer(st)
	t.Cleanup(srv.Close)
	t.Cleanup(st.Close)
	p.platformURL = srv.URL
	p.engine = fakeengine.New(cfg, p.clock)
	esrv := httptest.NewServer(p)
	t.Cleanup(esrv.Close)
	t.Cleanup(p.engine.Close)
	var err error
	p.platform, err = store.New(store.Config{URL: srv.URL}, p.clock)
	p.must(err)
	p.ca, err = peer.NewAuthority("fleet", p.clock.Now(), time.Hour)
	p.must(err)
	p.put(object.Organisation{Format: object.Format, ID: "o", Name: "o", Class: "chat", Budgets: []ident.BudgetID{"bud"}})
	p.put(object.Budget{Format: object.Format, ID: "bud", Org: "o"})
	p.put(object.Version{Format: object.Format, ID: "v1", Model: "m", Serving: true})
	p.put(object.Target{Format: object.Format, ID: "e", Domain: "b", VM: "vm-e", Kind: object.TargetEngine, URL: esrv.URL,
		Versions: []ident.VersionID{"v1"}, Capacity: 4, State: object.TargetActive})
	entry := escrow.BudgetEntryID("bud")
	raw, err := escrow.NewShard().With(escrow.Entry{ID: entry, Paid: 100000}).Encode()
	p.must(err)
	_, err = p.platform.Put(context.Background(), escrow.LedgerKey(entry), raw, store.Absent())
	p.must(err)
	p.a, p.b = p.router("ra", "a", args...), p.router("rb", "b", args...)
	return p
}

func (p *domainPair) must(err error) {
	p.t.Helper()
	if err != nil {
		p.t.Fatal(err)
	}
}

func (p *domainPair) put(o interface{ Key() object.Key }) {
	p.t.Helper()
	raw, err := json.Marshal(o)
	p.must(err)
	_, err = p.platform.Put(context.Background(), o.Key(), raw, store.Any())
	p.must(err)
}

func (p *domainPair) router(name, domain string, args ...string) *Node {
	p.t.Helper()
	var cfg flags.Router
	fs := pflag.NewFlagSet("router", pflag.ContinueOnError)
	flags.BindRouter(fs, &cfg)
	p.must(fs.Parse(append(args, "--name", name, "--domain", domain, "--caller-addr", "127.0.0.1:0", "--admin-addr", "127.0.0.1:0",
		"--platform-url", p.platformURL, "--operation-key", "0123456789abcdef")))
	cert, err := p.ca.Issue(name, p.clock.Now(), time.Hour)
	p.must(err)
	certs, err := peer.NewCerts(p.clock, cert, p.ca.Cert)
	p.must(err)
	n, err := New(cfg, Deps{Clock: p.clock, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Registry: prometheus.NewRegistry(),
		Certs: certs, PacketFilter: new(peer.PacketFilter)})
	p.must(err)
	go func() { _ = n.Run(context.Background()) }()
	p.t.Cleanup(n.Kill)
	return n
}

// chat sends a request to a router.
func (p *domainPair) chat(ctx context.Context, n *Node, id string, w caller.ChatWriter) error {
	body := fmt.Sprintf(`{"model":"m","stream":true,"stream_options":{"include_usage":true},"max_tokens":200,"messages":[{"role":"user","content":%q}]}`, id)
	return n.Chat(ctx, caller.ChatRequest{ID: ident.RequestID(id), Caller: caller.Identity{Org: "o"}, Model: "m", Body: []byte(body),
		PromptBytes: len(id), MaxTokens: 200}, w)
}

// waitReady sends requests until one is answered, which needs the configuration, an allotment, slots and the first
// probes, and returns their number.
func (p *domainPair) waitReady() int {
	for i := 1; ; i++ {
		if err := p.chat(context.Background(), p.a, fmt.Sprint("ready-", i), new(answerRecorder)); err == nil {
			return i
		}
	}
}

// answerRecorder records an answer.
type answerRecorder struct {
	chunks int
	ended  bool
	usage  caller.Usage
	fail   error
}

func (c *answerRecorder) Begin(ident.RequestID) error { return nil }
func (c *answerRecorder) Chunk([]byte) error          { c.chunks++; return c.fail }
func (c *answerRecorder) Flush() error                { return nil }
func (c *answerRecorder) End(_ []byte, u caller.Usage) error {
	c.ended, c.usage = true, u
	return nil
}

// TestSpill guards against a request that is refused while another failure domain has capacity, and against one that is
// billed at the wrong router, twice or not at all.
func TestSpill(t *testing.T) {
	is := is.New(t)
	p := newDomainPair(t, fakeengine.Config{})
	p.waitReady()
	settledBefore := p.a.accounts.find(escrow.BudgetEntryID("bud")).Settled()
	var w answerRecorder
	is.NoErr(p.chat(context.Background(), p.a, "spilled", &w))
	is.True(w.ended)
	is.True(w.chunks > 0)
	is.True(w.usage.CompletionTokens > 0)
	is.Equal(p.engine.Stats().Runs["spilled"], 1)
	is.Equal(p.a.accounts.find(escrow.BudgetEntryID("bud")).Settled()-settledBefore, w.usage.TotalTokens)
	is.Equal(p.b.accounts.find(escrow.BudgetEntryID("bud")).Settled(), ident.Tokens(0))
	is.Equal(p.b.accounts.slotAccount("e").Held(), ident.Tokens(0))
	is.Equal(p.b.traffic.inFlight.Load(), int64(0))
}

// TestSpillFull guards against a request that is refused after it has waited for a slot, although another failure
// domain has a free one.
func TestSpillFull(t *testing.T) {
	is := is.New(t)
	p := newDomainPair(t, fakeengine.Config{}, "--queue-wait", "200ms")
	p.waitReady()
	near := fakeengine.New(fakeengine.Config{}, p.clock)
	srv := httptest.NewServer(near)
	t.Cleanup(srv.Close)
	t.Cleanup(near.Close)
	p.put(object.Target{Format: object.Format, ID: "near", Domain: "a", VM: "vm-near", Kind: object.TargetEngine, URL: srv.URL,
		Versions: []ident.VersionID{"v1"}, Capacity: 1, State: object.TargetActive})
	for p.a.accounts.slotAccount("near") == nil || !p.a.accounts.TryReserve("near") {
		runtime.Gosched()
	}
	is.NoErr(p.chat(context.Background(), p.a, "full", new(answerRecorder)))
	is.Equal(p.engine.Stats().Runs["full"], 1)
	p.a.accounts.Release("near")
	is.NoErr(p.chat(context.Background(), p.a, "free", new(answerRecorder)))
	is.Equal(near.Stats().Runs["free"], 1)
}

// TestSpillOutcomes guards against an outcome not_run for a request that a target may have received, against run or
// unknown for one that no target can have received, and against a slot that is not returned.
func TestSpillOutcomes(t *testing.T) {
	for name, tc := range map[string]struct {
		faults  fakeengine.Faults
		prepare func(p *domainPair)
		fail    error
		outcome ident.Outcome
		runs    int
	}{
		"target fails":   {faults: fakeengine.Faults{ErrorRate: 1}, outcome: ident.OutcomeRun},
		"router leaves":  {prepare: func(p *domainPair) { p.b.traffic.leaving.Store(true) }, outcome: ident.OutcomeNotRun},
		"no slot":        {prepare: func(p *domainPair) { p.reserveAllSlots() }, outcome: ident.OutcomeNotRun},
		"caller is gone": {fail: errors.New("gone"), outcome: ident.OutcomeRun, runs: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newDomainPair(t, fakeengine.Config{})
			p.waitReady()
			p.engine.SetFaults(tc.faults)
			if tc.prepare != nil {
				tc.prepare(p)
			}
			err := p.chat(context.Background(), p.a, "x", &answerRecorder{fail: tc.fail})
			var refusal *caller.Refusal
			is.True(errors.As(err, &refusal))
			is.Equal(refusal.Outcome, tc.outcome)
			is.Equal(p.engine.Stats().Runs["x"], tc.runs)
			is.True(refusal.Outcome != ident.OutcomeNotRun || p.arrived("x") == 0)
			for tc.prepare == nil && p.b.accounts.slotAccount("e").Held() > 0 {
				runtime.Gosched() // The slot is returned once the target no longer holds the request.
			}
		})
	}
}

// reserveAllSlots reserves all slots of the target.
func (p *domainPair) reserveAllSlots() {
	for p.b.accounts.TryReserve("e") {
		continue
	}
}

// TestSpillRouterDies guards against the outcome not_run when the router that sends the request dies without an answer,
// and against a router that cannot stop while it waits for a target.
func TestSpillRouterDies(t *testing.T) {
	for name, faults := range map[string]fakeengine.Faults{"no tokens": {Stuck: true}, "no headers": {Pause: true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newDomainPair(t, fakeengine.Config{})
			p.waitReady()
			p.engine.SetFaults(faults)
			done := make(chan error, 1)
			go func() { done <- p.chat(context.Background(), p.a, "x", new(answerRecorder)) }()
			for p.arrived("x") == 0 {
				runtime.Gosched()
			}
			p.b.Kill()
			var refusal *caller.Refusal
			is.True(errors.As(<-done, &refusal))
			is.Equal(refusal.Outcome, ident.OutcomeUnknown)
			p.engine.SetFaults(fakeengine.Faults{})
		})
	}
}

// arrived returns how often the target has received a request.
func (p *domainPair) arrived(id string) int64 {
	v, _ := p.arrivals.LoadOrStore(id, new(atomic.Int64))
	return v.(*atomic.Int64).Load()
}

// ServeHTTP counts the requests that reach the target before it handles them.
func (p *domainPair) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Request-Id"); id != "" {
		v, _ := p.arrivals.LoadOrStore(id, new(atomic.Int64))
		v.(*atomic.Int64).Add(1)
	}
	p.engine.ServeHTTP(w, r)
}
