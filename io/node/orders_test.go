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

// fixture holds a fake platform and fake engines for routers whose control goroutines do not run, so that a test can
// call their steps directly.
type fixture struct {
	t            testing.TB
	clock        *clockwork.FakeClock
	fakePlatform *fakestore.Server
	platformURL  string
	view         *view
}

func newFixture(t testing.TB) *fixture {
	f := &fixture{t: t, clock: clockwork.NewFakeClock(), view: newView()}
	f.fakePlatform = fakestore.New(fakestore.Config{}, f.clock)
	srv := httptest.NewServer(f.fakePlatform)
	t.Cleanup(srv.Close)
	t.Cleanup(f.fakePlatform.Close)
	f.platformURL = srv.URL
	return f
}

// router returns a router that runs no goroutines except its workers.
func (f *fixture) router(name, domain string, args ...string) *Node {
	f.t.Helper()
	var cfg flags.Router
	fs := pflag.NewFlagSet("router", pflag.ContinueOnError)
	flags.BindRouter(fs, &cfg)
	args = append(args, "--name", name, "--domain", domain, "--caller-addr", "127.0.0.1:0", "--admin-addr", "127.0.0.1:0",
		"--platform-url", f.platformURL, "--operation-key", "0123456789abcdef")
	if err := fs.Parse(args); err != nil {
		f.t.Fatal(err)
	}
	n, err := New(cfg, Deps{Clock: f.clock, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Registry: prometheus.NewRegistry()})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		n.cancel()
		_ = n.callerListener.Close()
		_ = n.adminListener.Close()
		n.workers.Wait()
	})
	f.configure(n)
	return n
}

// configure applies the view of the fixture to a router.
func (f *fixture) configure(n *Node) {
	v := *f.view
	n.view.Store(&v)
	n.pools.configure(&v, f.clock.Now())
}

// applyEvents waits for the workers of a router and applies the events that they posted.
func applyEvents(n *Node) {
	n.workers.Wait()
	for len(n.events) > 0 {
		n.applyEvent(<-n.events)
	}
}

// advance advances the clock in steps, and ticks the orders of the routers in the given order after each step.
func (f *fixture) advance(d time.Duration, routers ...*Node) {
	const tick = 500 * time.Millisecond
	for ; d > 0; d -= tick {
		f.clock.Advance(tick)
		for _, n := range routers {
			n.orders.tick(f.clock.Now())
			applyEvents(n)
		}
	}
}

func (f *fixture) engine(id, domain string, cfg fakeengine.Config, versions ...ident.VersionID) *fakeengine.Server {
	e := fakeengine.New(cfg, f.clock)
	srv := httptest.NewServer(e)
	f.t.Cleanup(srv.Close)
	f.t.Cleanup(e.Close)
	f.view.targets[ident.TargetID(id)] = object.Target{
		Format: object.Format, ID: ident.TargetID(id), Domain: ident.DomainID(domain), VM: ident.VMID("vm-" + id), Kind: object.TargetEngine,
		URL: srv.URL, Versions: versions, Capacity: 4, State: object.TargetActive, ChecksFence: cfg.ChecksFence,
	}
	for _, v := range versions {
		if _, ok := f.view.versions[v]; !ok {
			f.view.versions[v] = object.Version{Format: object.Format, ID: v, Model: "m", WeightBytes: 100, Serving: true}
		}
	}
	return e
}

func (f *fixture) loadedVersions(n *Node, id ident.TargetID) []ident.VersionID {
	f.t.Helper()
	c, err := n.pools.engineClient(f.view.targets[id].URL)
	if err != nil {
		f.t.Fatal(err)
	}
	st, err := c.State(context.Background())
	if err != nil {
		f.t.Fatal(err)
	}
	slices.Sort(st.Loaded)
	return st.Loaded
}

// TestOrders guards against a listed version that is never loaded, a version that stays listed and is unloaded, a load
// without a transfer granted by the weight store, orders to a target without fencing while orders of an earlier holder
// may still arrive, and a lease that another router never takes over.
func TestOrders(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	full := fakeengine.Config{Versions: []string{"old", "v1"}, MaxVersions: 2}
	f.engine("plain", "a", full, "v1", "v2")
	full.ChecksFence = true
	f.engine("fenced", "a", full, "v1", "v2")
	f.engine("remote", "b", full, "v1", "v2")
	r1, r2 := f.router("r1", "a"), f.router("r2", "a")
	before, after := []ident.VersionID{"old", "v1"}, []ident.VersionID{"v1", "v2"}

	f.advance(leaseTTL-time.Second, r1, r2)
	is.Equal(f.loadedVersions(r1, "fenced"), before) // an absent lease counts as held until its TTL has passed
	f.advance(5*time.Second, r1, r2)
	is.True(r1.orders.lease.Held(f.clock.Now()))
	is.True(!r2.orders.lease.Held(f.clock.Now()))
	is.Equal(f.loadedVersions(r1, "fenced"), after)
	is.Equal(f.loadedVersions(r1, "plain"), before)
	f.advance(r1.cfg.OrderDelay, r1, r2)
	is.Equal(f.loadedVersions(r1, "plain"), after)
	is.Equal(f.loadedVersions(r1, "remote"), before) // another failure domain
	is.Equal(f.fakePlatform.Calls()["weights"], 2)

	row := f.view.targets["fenced"]
	row.Versions = []ident.VersionID{"v2", "v3"}
	f.view.targets["fenced"] = row
	f.view.versions["v3"] = object.Version{Format: object.Format, ID: "v3", Model: "m", Serving: true}
	f.configure(r2)
	fence := r1.orders.lease.Fence()
	r1.traffic.leaving.Store(true)
	_, held := r1.orders.lease.Release(f.clock.Now())
	is.True(held)
	is.True(!r1.orders.lease.Held(f.clock.Now()))
	f.advance(leaseTTL+5*time.Second, r1, r2) // r2 waits until the lease expires, because the release was not written
	is.True(r2.orders.lease.Fence() > fence)
	is.Equal(f.loadedVersions(r2, "fenced"), []ident.VersionID{"v2", "v3"})
}

// TestOrdersHandover guards against a successor that waits for the expiry of a lease whose holder has shut down.
func TestOrdersHandover(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	r1, r2 := f.router("r1", "a"), f.router("r2", "a")
	f.advance(leaseTTL+2*time.Second, r1, r2)
	is.True(r1.orders.lease.Held(f.clock.Now()))
	r1.traffic.leaving.Store(true)
	go r1.controlLoop()
	r1.orders.handOverLease(context.Background())
	r1.cancel()
	<-r1.controlDone
	f.advance(leaseRenew+time.Second, r2)
	is.True(r2.orders.lease.Held(f.clock.Now()))
}

// TestOrderTooLate guards against an order that is written after its NotAfter, when the lease no longer covers it.
func TestOrderTooLate(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.engine("e", "a", fakeengine.Config{Versions: []string{"v1"}}, "v1")
	n := f.router("r", "a")
	send := order.Send{Order: order.Order{ID: "o", Kind: order.KindLoad, Target: "e", Version: "v2"}, NotAfter: f.clock.Now()}
	s, known := n.orders.deliver(context.Background(), f.view.targets["e"], send)
	is.True(known)
	is.Equal(s, order.StatusFailed)
	is.Equal(f.loadedVersions(n, "e"), []ident.VersionID{"v1"})
}

// TestWeightTransferRefused guards against a load that is sent although the weight store has refused its transfer, and
// against a refused load that is never tried again.
func TestWeightTransferRefused(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.engine("e", "a", fakeengine.Config{Versions: []string{"v1"}, ChecksFence: true}, "v1", "v2")
	n := f.router("r", "a")
	f.advance(leaseTTL, n)
	f.fakePlatform.SetFaults(fakestore.Faults{Outage: true})
	n.orders.sendOrder(order.Send{Order: order.Order{ID: "o", Kind: order.KindLoad, Target: "e", Version: "v2"}, NotAfter: f.clock.Now().Add(time.Hour)})
	applyEvents(n)
	is.Equal(f.loadedVersions(n, "e"), []ident.VersionID{"v1"})
	f.fakePlatform.SetFaults(fakestore.Faults{})
	f.advance(2*leaseTTL, n)
	is.Equal(f.loadedVersions(n, "e"), []ident.VersionID{"v1", "v2"})
}

// TestCheckReleaseLoads guards against a release that is accepted although its weights cannot be loaded in time, and
// against one that is refused although its weights are already loaded.
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
			f := newFixture(t)
			var cfg fakeengine.Config
			if tc.loaded {
				// The router also learns this by polling the engines, at any time from the start of its control loop on.
				cfg.Versions = []string{"v1", "v2"}
			}
			for i := range 2 {
				f.engine(fmt.Sprint("e", i), "a", cfg, "v1", "v2")
			}
			n := f.router("r", "a", "--weight-bytes-per-second", fmt.Sprint(tc.rate))
			if tc.loaded {
				n.pools.registry.SetLoaded("e0", []ident.VersionID{"v1", "v2"})
				n.pools.registry.SetLoaded("e1", []ident.VersionID{"v1", "v2"})
			}
			go n.controlLoop()
			defer func() { n.cancel(); <-n.controlDone }()
			now := f.clock.Now()
			faults := n.CheckRelease(context.Background(), object.Release{
				ID: "r", Changed: []object.ReleaseChange{{Version: "v2", Replaces: "v1"}}, StartAt: now, FinishAt: now.Add(tc.window)})
			is.Equal(len(faults), tc.faults)
		})
	}
}
