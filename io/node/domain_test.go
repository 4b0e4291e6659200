package node

import (
	"context"
	"net/http/httptest"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	fakeengine "geraniumsaddle/io/fakes/engine"
	"geraniumsaddle/io/store"
)

// TestDomainShares guards against a router without a watch that never learns that a target is leaving or what it has
// loaded, and against a target that is polled by no router or by several.
func TestDomainShares(t *testing.T) {
	is := is.New(t)
	p := newDomainPair(t, fakeengine.Config{Versions: []string{"v1"}})
	nodes := []*Node{p.b, p.router("rb2", "b"), p.router("rb3", "b")}
	for _, n := range nodes {
		for len(n.members.roster.Load().local) < len(nodes) {
			runtime.Gosched()
		}
	}
	onControl := func(n *Node, f func()) { is.NoErr(n.runOnControl(context.Background(), f)) }
	waitUntil := func(n *Node, f func() bool) {
		for ok := false; !ok; {
			onControl(n, func() { ok = f() })
		}
	}
	for _, vm := range []store.VM{{Name: "vm-e", Domain: "b", State: store.VMLive}, {Name: "rb", Domain: "b", State: store.VMLive}} {
		is.NoErr(p.store.PutVM(context.Background(), vm))
	}
	unwatched := 0
	for _, n := range nodes {
		waitUntil(n, func() bool { return n.vmList.complete && n.members.vms["vm-e"] == store.VMLive })
		waitUntil(n, func() bool { return n.pools.registry.Loaded("e") != nil })
		if !n.isWatcher() {
			unwatched++
		}
	}
	is.Equal(unwatched, 1)
	is.NoErr(p.store.PutVM(context.Background(), store.VM{Name: "vm-e", Domain: "b", State: store.VMLeaving}))
	for _, n := range nodes {
		waitUntil(n, func() bool { return n.pools.registry.State("e") == object.TargetLeaving })
	}
	polling := 0
	for _, n := range nodes {
		onControl(n, func() { polling += len(n.reports.assigned()) })
	}
	is.Equal(polling, 1)
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
	for p.a.accounts.slot("near") == nil || !p.a.accounts.TryReserve("near") {
		runtime.Gosched()
	}
	is.NoErr(p.chat(context.Background(), p.a, "full", new(collector)))
	is.Equal(p.engine.Stats().Runs["full"], 1)
	p.a.accounts.Release("near")
	is.NoErr(p.chat(context.Background(), p.a, "free", new(collector)))
	is.Equal(near.Stats().Runs["free"], 1)
}
