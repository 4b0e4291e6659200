package node

import (
	"context"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/core/object"
	fakeengine "geraniumsaddle/io/fakes/engine"
	"geraniumsaddle/io/store"
)

// TestSharingWithinDomain guards against a router without a watch that never learns that a target is leaving or which
// versions it has loaded, and against a target that is polled by no router or by several.
func TestSharingWithinDomain(t *testing.T) {
	is := is.New(t)
	p := newDomainPair(t, fakeengine.Config{Versions: []string{"v1"}})
	nodes := []*Node{p.b, p.router("rb2", "b"), p.router("rb3", "b")}
	for _, n := range nodes {
		for len(n.members.roster.Load().ownDomain) < len(nodes) {
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
		is.NoErr(p.platform.PutVM(context.Background(), vm))
	}
	unwatched := 0
	for _, n := range nodes {
		waitUntil(n, func() bool { return n.vmList.complete && n.members.vmStates["vm-e"] == store.VMLive })
		waitUntil(n, func() bool { return n.pools.registry.Loaded("e") != nil })
		if !n.isWatcher() {
			unwatched++
		}
	}
	is.Equal(unwatched, 1)
	is.NoErr(p.platform.PutVM(context.Background(), store.VM{Name: "vm-e", Domain: "b", State: store.VMLeaving}))
	for _, n := range nodes {
		waitUntil(n, func() bool { return n.pools.registry.State("e") == object.TargetLeaving })
	}
	polling := 0
	for _, n := range nodes {
		onControl(n, func() { polling += len(n.loadReports.assigned()) })
	}
	is.Equal(polling, 1)
}
