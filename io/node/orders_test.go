package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/spf13/pflag"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/order"
	fakeengine "geraniumsaddle/io/fakes/engine"
	fakestore "geraniumsaddle/io/fakes/store"
	"geraniumsaddle/io/flags"
)

// bench holds routers whose control goroutines the test steps itself, with a platform and engines in process.
type fixture struct {
	t     testing.TB
	clock *clockwork.FakeClock
	store *fakestore.Server
	url   string
	view  *view
}

func newFixture(t testing.TB) *fixture {
	b := &fixture{t: t, clock: clockwork.NewFakeClock(), view: newView()}
	b.store = fakestore.New(fakestore.Config{}, b.clock)
	srv := httptest.NewServer(b.store)
	t.Cleanup(srv.Close)
	t.Cleanup(b.store.Close)
	b.url = srv.URL
	return b
}

// router returns a router that runs no goroutine of its own but the workers.
func (b *fixture) router(name, domain string, args ...string) *Node {
	b.t.Helper()
	var cfg flags.Router
	fs := pflag.NewFlagSet("router", pflag.ContinueOnError)
	flags.BindRouter(fs, &cfg)
	args = append(args, "--name", name, "--domain", domain, "--caller-addr", "127.0.0.1:0", "--admin-addr", "127.0.0.1:0",
		"--platform-url", b.url, "--operation-key", "0123456789abcdef")
	if err := fs.Parse(args); err != nil {
		b.t.Fatal(err)
	}
	n, err := New(cfg, Deps{Clock: b.clock, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Registry: prometheus.NewRegistry()})
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() {
		n.kill()
		_ = n.callerL.Close()
		_ = n.adminL.Close()
		n.workers.Wait()
	})
	b.configure(n)
	return n
}

// configure gives the view to a router.
func (b *fixture) configure(n *Node) {
	v := *b.view
	n.view.Store(&v)
	n.pools.configure(&v, b.clock.Now())
}

// settle applies the events of a router until its workers have ended.
func settle(n *Node) {
	n.workers.Wait()
	for len(n.events) > 0 {
		n.apply(<-n.events)
	}
}

// step advances the time and lets the routers issue orders, in the given order.
func (b *fixture) step(d time.Duration, routers ...*Node) {
	const tick = 500 * time.Millisecond
	for ; d > 0; d -= tick {
		b.clock.Advance(tick)
		for _, n := range routers {
			n.orders.tick(b.clock.Now())
			settle(n)
		}
	}
}

func (b *fixture) engine(id, domain string, cfg fakeengine.Config, versions ...ident.VersionID) *fakeengine.Server {
	e := fakeengine.New(cfg, b.clock)
	srv := httptest.NewServer(e)
	b.t.Cleanup(srv.Close)
	b.t.Cleanup(e.Close)
	b.view.targets[ident.TargetID(id)] = object.Target{
		Format: object.Format, ID: ident.TargetID(id), Domain: ident.DomainID(domain), VM: ident.VMID("vm-" + id), Kind: object.TargetEngine,
		URL: srv.URL, Versions: versions, Capacity: 4, State: object.TargetActive, ChecksFence: cfg.ChecksFence,
	}
	for _, v := range versions {
		if _, ok := b.view.versions[v]; !ok {
			b.view.versions[v] = object.Version{Format: object.Format, ID: v, Model: "m", WeightBytes: 100, Serving: true}
		}
	}
	return e
}

func (b *fixture) loaded(n *Node, id ident.TargetID) []ident.VersionID {
	b.t.Helper()
	c, err := n.pools.engine(b.view.targets[id].URL)
	if err != nil {
		b.t.Fatal(err)
	}
	st, err := c.State(context.Background())
	if err != nil {
		b.t.Fatal(err)
	}
	slices.Sort(st.Loaded)
	return st.Loaded
}

// TestOrders guards against a listed version that is never loaded, a kept version that is dropped, a load without a slot at
// the weight store, orders to a target without fencing while those of an earlier holder may arrive, and a lease that
// outlives a graceful shutdown.
func TestOrders(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	full := fakeengine.Config{Versions: []string{"old", "v1"}, Room: 2}
	b.engine("plain", "a", full, "v1", "v2")
	full.ChecksFence = true
	b.engine("fenced", "a", full, "v1", "v2")
	b.engine("remote", "b", full, "v1", "v2")
	r1, r2 := b.router("r1", "a"), b.router("r2", "a")
	before, after := []ident.VersionID{"old", "v1"}, []ident.VersionID{"v1", "v2"}

	b.step(leaseTTL-time.Second, r1, r2)
	is.Equal(b.loaded(r1, "fenced"), before) // the absent lease is waited out
	b.step(5*time.Second, r1, r2)
	is.True(r1.orders.lease.Held(b.clock.Now()))
	is.True(!r2.orders.lease.Held(b.clock.Now()))
	is.Equal(b.loaded(r1, "fenced"), after)
	is.Equal(b.loaded(r1, "plain"), before)
	b.step(r1.cfg.OrderDelay, r1, r2)
	is.Equal(b.loaded(r1, "plain"), after)
	is.Equal(b.loaded(r1, "remote"), before) // another failure domain
	is.Equal(b.store.Calls()["weights"], 2)

	row := b.view.targets["fenced"]
	row.Versions = []ident.VersionID{"v2", "v3"}
	b.view.targets["fenced"] = row
	b.view.versions["v3"] = object.Version{Format: object.Format, ID: "v3", Model: "m", Serving: true}
	b.configure(r2)
	fence := r1.orders.lease.Fence()
	r1.traffic.leaving.Store(true)
	_, held := r1.orders.lease.Release(b.clock.Now())
	is.True(held)
	is.True(!r1.orders.lease.Held(b.clock.Now()))
	b.step(leaseTTL+5*time.Second, r1, r2) // r2 waits for the lease to run out, because the release was not written
	is.True(r2.orders.lease.Fence() > fence)
	is.Equal(b.loaded(r2, "fenced"), []ident.VersionID{"v2", "v3"})
}

// TestOrdersHandover guards against a successor that waits for the lease of a router that has shut down.
func TestOrdersHandover(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	r1, r2 := b.router("r1", "a"), b.router("r2", "a")
	b.step(leaseTTL+2*time.Second, r1, r2)
	is.True(r1.orders.lease.Held(b.clock.Now()))
	r1.traffic.leaving.Store(true)
	go r1.control()
	r1.orders.giveUp(context.Background())
	r1.kill()
	<-r1.stopped
	b.step(leaseRenew+time.Second, r2)
	is.True(r2.orders.lease.Held(b.clock.Now()))
}

// TestOrderTooLate guards against an order that is written after the time up to which the lease covers it.
func TestOrderTooLate(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	b.engine("e", "a", fakeengine.Config{Versions: []string{"v1"}}, "v1")
	n := b.router("r", "a")
	send := order.Send{Order: order.Order{ID: "o", Kind: order.KindLoad, Target: "e", Version: "v2"}, NotAfter: b.clock.Now()}
	s, known := n.orders.deliver(context.Background(), b.view.targets["e"], send)
	is.True(known)
	is.Equal(s, order.StatusFailed)
	is.Equal(b.loaded(n, "e"), []ident.VersionID{"v1"})
}

// TestWeightSlotRefused guards against a load that is sent although the weight store has refused its transfer, and
// against one that is given up.
func TestWeightSlotRefused(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	b.engine("e", "a", fakeengine.Config{Versions: []string{"v1"}, ChecksFence: true}, "v1", "v2")
	n := b.router("r", "a")
	b.step(leaseTTL, n)
	b.store.SetFaults(fakestore.Faults{Outage: true})
	n.orders.send(order.Send{Order: order.Order{ID: "o", Kind: order.KindLoad, Target: "e", Version: "v2"}, NotAfter: b.clock.Now().Add(time.Hour)})
	settle(n)
	is.Equal(b.loaded(n, "e"), []ident.VersionID{"v1"})
	b.store.SetFaults(fakestore.Faults{})
	b.step(2*leaseTTL, n)
	is.Equal(b.loaded(n, "e"), []ident.VersionID{"v1", "v2"})
}

// TestCheckReleaseLoads guards against a release that is accepted though its weights cannot be there in time, and against
// one that is refused for weights that are there.
func TestCheckReleaseLoads(t *testing.T) {
	for _, tc := range []struct {
		name   string
		rate   int
		loaded bool
		window time.Duration
		faults int
	}{
		{"fits", 100, false, 100 * time.Second, 0},
		{"steps leave no time", 100, false, 5 * time.Second, 1},
		{"no time", 10, false, 10 * time.Second, 1},
		{"loaded", 10, true, 10 * time.Second, 0},
		{"rate is not known", 0, false, 10 * time.Second, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			b := newFixture(t)
			for i := range 2 {
				b.engine(fmt.Sprint("e", i), "a", fakeengine.Config{}, "v1", "v2")
			}
			n := b.router("r", "a", "--weight-bytes-per-second", fmt.Sprint(tc.rate))
			if tc.loaded {
				n.pools.registry.SetLoaded("e0", []ident.VersionID{"v1", "v2"})
				n.pools.registry.SetLoaded("e1", []ident.VersionID{"v1", "v2"})
			}
			go n.control()
			defer func() { n.kill(); <-n.stopped }()
			now := b.clock.Now()
			faults := n.CheckRelease(context.Background(), object.Release{
				ID: "r", Changed: []object.ReleaseChange{{Version: "v2", Replaces: "v1"}}, StartAt: now, FinishAt: now.Add(tc.window)})
			is.Equal(len(faults), tc.faults)
		})
	}
}
