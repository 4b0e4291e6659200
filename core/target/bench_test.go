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

type freeSlots struct{}

func (freeSlots) TryReserve(ident.TargetID) bool { return true }
func (freeSlots) Release(ident.TargetID)         {}

// fullSlots has no slot at any target and finds that out by name, as a ledger of slots does.
type fullSlots map[ident.TargetID]*atomic.Int64

func (s fullSlots) TryReserve(id ident.TargetID) bool { return s[id].Load() > 0 }
func (s fullSlots) Release(ident.TargetID)            {}

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet returns a registry with one pool of n engines and the given number of routers.
func fleet(n, routers int) *target.Registry {
	r := target.New(target.Config{Domain: "a", Router: "r0.1", Start: start}, rand.New(rand.NewPCG(1, 2)))
	r.PutVersion(object.Version{ID: "v1", Model: "chat", Serving: true})
	for i := range n {
		id := ident.TargetID(fmt.Sprintf("engine-%04d", i))
		r.PutTarget(engine(id, "a", "v1"))
		r.Report(target.Load{Target: id, Running: i % 7, AsOf: start.Add(time.Second)})
	}
	var all []ident.RouterID
	for i := range routers {
		all = append(all, ident.NewRouterID(fmt.Sprintf("r%d", i), 1))
	}
	r.SetRouters(all)
	return r
}

func engine(id ident.TargetID, domain ident.DomainID, versions ...ident.VersionID) object.Target {
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
		{"load", target.Request{Sticky: "conversation-17"}, freeSlots{}},
		{"prefix", target.Request{Sticky: "conversation-17", Prefix: 99}, freeSlots{}},
		{"full", target.Request{Sticky: "conversation-17", Prefix: 99}, full},
	}
	for _, l := range loads {
		for _, routers := range []int{1, 9} {
			for _, n := range []int{12, 100, 1000, 3000} {
				b.Run(fmt.Sprintf("%s/routers=%d/engines=%d", l.name, routers, n), func(b *testing.B) {
					p := fleet(n, routers).Build(start).Pool(target.Key{Model: "chat", Domain: "a"})
					req := l.req
					req.Now = start.Add(2 * time.Second)
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

// BenchmarkBuild measures a rebuild of the table, which a change of configuration or health causes.
func BenchmarkBuild(b *testing.B) {
	for _, n := range []int{12, 100, 1000, 3000} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			r := fleet(n, 9)
			b.ReportAllocs()
			for b.Loop() {
				r.PutVersion(object.Version{ID: "v1", Model: "chat", Serving: true})
				r.Build(start)
			}
		})
	}
}

// BenchmarkBuildIdle measures the regular call when nothing has changed.
func BenchmarkBuildIdle(b *testing.B) {
	r := fleet(3000, 9)
	r.Build(start)
	b.ReportAllocs()
	for b.Loop() {
		r.Build(start)
	}
}
