package target_test

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/target"
)

type unlimitedSlots struct{}

func (unlimitedSlots) TryReserve(ident.TargetID) bool { return true }
func (unlimitedSlots) Release(ident.TargetID)         {}

// fullSlots has no free slot at any target. It looks each target up by ID, as a real slot ledger does.
type fullSlots map[ident.TargetID]*atomic.Int64

func (s fullSlots) TryReserve(id ident.TargetID) bool { return s[id].Load() > 0 }
func (s fullSlots) Release(ident.TargetID)            {}

var testStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// newFleetRegistry returns a registry with one pool of n engines and the given number of routers.
func newFleetRegistry(n, routers int) *target.Registry {
	r := target.New(target.Config{Domain: "a", Router: "r0.1", Start: testStart}, rand.New(rand.NewPCG(1, 2)))
	r.PutVersion(object.Version{ID: "v1", Model: "chat", Serving: true})
	for i := range n {
		id := ident.TargetID(fmt.Sprintf("engine-%04d", i))
		r.PutTarget(testEngine(id, "a", "v1"))
		r.ReportLoad(target.Load{Target: id, Running: i % 7, AsOf: testStart.Add(time.Second)})
	}
	var all []ident.RouterID
	for i := range routers {
		all = append(all, ident.NewRouterID(fmt.Sprintf("r%d", i), 1))
	}
	r.SetRouters(all)
	return r
}

func testEngine(id ident.TargetID, domain ident.DomainID, versions ...ident.VersionID) object.Target {
	return object.Target{ID: id, Domain: domain, VM: ident.VMID("vm-" + id), Kind: object.TargetEngine,
		URL: "http://127.0.0.1", Versions: versions, Capacity: 8, State: object.TargetActive}
}

func BenchmarkChoose(b *testing.B) {
	full := make(fullSlots)
	for i := range 3000 {
		full[ident.TargetID(fmt.Sprintf("engine-%04d", i))] = new(atomic.Int64)
	}
	loads := []struct {
		name  string
		req   target.Request
		slots target.Slots
	}{
		{"load", target.Request{Sticky: "conversation-17"}, unlimitedSlots{}},
		{"prefix", target.Request{Sticky: "conversation-17", Prefix: 99}, unlimitedSlots{}},
		{"full", target.Request{Sticky: "conversation-17", Prefix: 99}, full},
	}
	for _, l := range loads {
		for _, routers := range []int{1, 9} {
			for _, n := range []int{12, 100, 1000, 3000} {
				b.Run(fmt.Sprintf("%s/routers=%d/engines=%d", l.name, routers, n), func(b *testing.B) {
					p := newFleetRegistry(n, routers).Build(testStart).Pool(target.Key{Model: "chat", Domain: "a"})
					req := l.req
					req.Now = testStart.Add(2 * time.Second)
					b.ReportAllocs()
					for i := 0; b.Loop(); i++ {
						req.Rand = uint64(i)
						if req.Prefix != 0 {
							req.Prefix = uint64(i)*7919 + 1
						}
						c, err := p.Choose(req, l.slots)
						if err == nil {
							c.Release(target.ResultOK)
						}
					}
				})
			}
		}
	}
}

// BenchmarkBuild measures a rebuild of the table, as after a change of the configuration or of a target's health.
func BenchmarkBuild(b *testing.B) {
	for _, n := range []int{12, 100, 1000, 3000} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			r := newFleetRegistry(n, 9)
			b.ReportAllocs()
			for b.Loop() {
				r.PutVersion(object.Version{ID: "v1", Model: "chat", Serving: true})
				r.Build(testStart)
			}
		})
	}
}

// BenchmarkBuildIdle measures a call of Build when nothing has changed.
func BenchmarkBuildIdle(b *testing.B) {
	r := newFleetRegistry(3000, 9)
	r.Build(testStart)
	b.ReportAllocs()
	for b.Loop() {
		r.Build(testStart)
	}
}
