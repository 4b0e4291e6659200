package canary_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"geraniumsaddle/core/canary"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

const (
	goodReleases = 2000
	badReleases  = 1000
	// firstSeed separates the measured releases from those that the parameters of the policy were chosen with, which
	// had the seeds from 0.
	firstSeed = 100_000
)

// goodPlan draws a release whose new version is as good as the old one. Half of them meet a
// disturbance of both versions or of the old one.
func goodPlan(seed uint64) plan {
	r := rand.New(rand.NewPCG(seed, 1))
	p := plan{Rate: 80 + 120*r.Float64(), Window: 1800, Routers: 2, Lag: 1,
		Old: quality{Errors: 0.01 * r.Float64(), Median: 100 + 500*r.Float64(), Sigma: 0.2 + 0.5*r.Float64()}}
	p.New = p.Old
	p.New.Median *= 0.95 + 0.1*r.Float64()
	at := 0.8 * r.Float64()
	switch seed % 4 {
	case 0:
		p.Faults = []fault{{Versions: "old new", From: at, Until: at + 0.03, Errors: 0.02 + 0.2*r.Float64(), Slow: 2}}
	case 1:
		p.Faults = []fault{{Versions: "old", From: at, Until: 1, Errors: 0.2 * r.Float64(), Slow: 1 + r.Float64()}}
	}
	return p
}

// badPlan draws a release with a fault: errors or slowness, at once or later, everywhere or in one
// route or load band.
func badPlan(seed uint64) plan {
	r := rand.New(rand.NewPCG(seed, 2))
	p := goodPlan(4*seed + 2)
	f := fault{Versions: "new"}
	if seed%2 == 0 {
		f.Errors = 0.05 + 0.95*r.Float64()*r.Float64()
	} else {
		f.Slow = 1.6 + 2*r.Float64()
	}
	if seed/2%2 == 0 {
		f.From = 0.5 * r.Float64()
	}
	band := uint8(1)
	switch seed / 4 % 3 {
	case 0:
		f.Route = routes[r.IntN(len(routes))].name
	case 1:
		f.Band = &band
	}
	p.Faults = []fault{f}
	return p
}

type results struct {
	completed, takenBack, bad int
	exposure, faulty          []float64
	reasons                   []string
}

func runReleases(n int, draw func(uint64) plan, fixed bool) results {
	var t results
	var mu sync.Mutex
	var wg sync.WaitGroup
	seeds := make(chan uint64)
	for range max(1, runtime.GOMAXPROCS(0)-2) {
		wg.Go(func() {
			for s := range seeds {
				sim := newSimulation(draw(s), s)
				if fixed {
					sim.fixed = new(fixedRollout)
				}
				sim.run()
				mu.Lock()
				t.count(sim, s)
				mu.Unlock()
			}
		})
	}
	for s := range uint64(n) {
		seeds <- firstSeed + s
	}
	close(seeds)
	wg.Wait()
	slices.Sort(t.exposure)
	slices.Sort(t.faulty)
	slices.Sort(t.reasons)
	return t
}

func (t *results) count(sim *simulation, seed uint64) {
	t.exposure = append(t.exposure, sim.exposure())
	t.faulty = append(t.faulty, sim.maxRouteShare(sim.faulty))
	takenBack, done := sim.verdict() == object.VerdictTakenBack, sim.verdict() == object.VerdictCompleted
	if sim.fixed != nil {
		takenBack, done = sim.fixed.takenBack, !sim.fixed.takenBack
	}
	if takenBack {
		t.takenBack++
	}
	if done {
		t.completed++
	}
	if len(sim.outcome.BadVersions) > 0 {
		t.bad++
	}
	if sim.fixed == nil {
		t.reasons = append(t.reasons, fmt.Sprintf("seed %d exposure %.4f: %s %s", seed, sim.exposure(), sim.verdict(), sim.outcome.Domains[0].Reason))
	}
}

// BenchmarkReleases measures decisions over many seeds; run it with -benchtime=1x.
func BenchmarkReleases(b *testing.B) {
	for _, fixed := range []bool{false, true} {
		name := map[bool]string{false: "sequential", true: "baseline"}[fixed]
		b.Run("good/"+name, func(b *testing.B) {
			for range b.N {
				t := runReleases(goodReleases, goodPlan, fixed)
				b.ReportMetric(100*float64(t.completed)/goodReleases, "%completed")
				b.ReportMetric(100*float64(t.bad)/goodReleases, "%condemned")
				b.ReportMetric(100*float64(t.takenBack)/goodReleases, "%taken_back")
				for _, r := range t.reasons {
					if !slices.Contains([]string{"completed shown good in time"}, r[len(r)-28:]) {
						b.Log(r)
					}
				}
			}
		})
		b.Run("bad/"+name, func(b *testing.B) {
			for range b.N {
				t := runReleases(badReleases, badPlan, fixed)
				e := t.exposure
				under, _ := slices.BinarySearch(e, 0.01)
				b.ReportMetric(100*float64(t.takenBack)/badReleases, "%taken_back")
				b.ReportMetric(100*float64(under)/badReleases, "%under_1%")
				b.ReportMetric(100*e[len(e)/2], "%p50")
				b.ReportMetric(100*e[len(e)*99/100], "%p99")
				b.ReportMetric(100*e[len(e)-1], "%max")
				b.ReportMetric(100*t.faulty[len(e)*99/100], "%faulty_p99")
				b.ReportMetric(100*t.faulty[len(e)-1], "%faulty_max")
				for _, r := range t.reasons {
					if !strings.Contains(r, "exposure 0.00") {
						b.Log(r)
					}
				}
			}
		})
	}
}

func BenchmarkRecord(b *testing.B) {
	rec := canary.NewRecorder("r.1", 0)
	s := canary.Sample{Version: "v1", Route: "/v1/chat/completions", Band: 1, FirstToken: 230 * time.Millisecond, BetweenTokens: 20 * time.Millisecond}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			rec.Record(s)
		}
	})
}

// BenchmarkTick measures a tick with 200 cells of fresh evidence: 2 versions, 25 routes and 4 bands.
func BenchmarkTick(b *testing.B) {
	c := canary.New(canary.Config{Domain: "a", Policy: canary.DefaultPolicy()})
	c.PutVersion(object.Version{ID: "old", Model: "chat", Serving: true})
	c.PutVersion(object.Version{ID: "new", Model: "chat"})
	c.PutRelease(1, object.Release{ID: "rel", StartAt: t0, FinishAt: t0.Add(1e6 * time.Hour), Changed: []object.ReleaseChange{{Version: "new", Replaces: "old"}}})
	rec := canary.NewRecorder("r.1", 0)
	now := t0
	b.ReportAllocs()
	for range b.N {
		b.StopTimer()
		for i := range 200 {
			v := []ident.VersionID{"old", "new"}[i%2]
			rec.Record(canary.Sample{Version: v, Route: fmt.Sprintf("/r%d", i/8), Band: uint8(i / 2 % 4), FirstToken: 200 * time.Millisecond})
		}
		cells := rec.Export()
		now = now.Add(time.Second)
		b.StartTimer()
		c.MergeEvidence(cells)
		c.Tick(now)
	}
}
