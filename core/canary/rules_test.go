package canary_test

import (
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumsaddle/core/canary"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/target"
)

// TestMergeProperty guards against counts that depend on the order or number of deliveries.
func TestMergeProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent, newest []canary.Cell
		for _, id := range []ident.RouterID{"a.1", "a.2", "b.1"} {
			rec := canary.NewRecorder(id, 0)
			for range rapid.IntRange(1, 5).Draw(t, "reports") {
				for range rapid.IntRange(0, 5).Draw(t, "requests") {
					rec.Record(canary.Sample{Version: "v", Route: rapid.SampledFrom([]string{"/x", "/y"}).Draw(t, "route"),
						Failed: rapid.Bool().Draw(t, "failed"), FirstToken: time.Duration(rapid.IntRange(0, 1e10).Draw(t, "latency"))})
				}
				sent = append(sent, rec.Export()...)
			}
			newest = append(newest, rec.Export()...)
		}
		sent = append(sent, sent...)
		want, got := canary.NewEvidence(), canary.NewEvidence()
		want.Merge(newest)
		got.Merge(rapid.Permutation(sent).Draw(t, "order"))
		is.New(t).Equal(got.Export(), want.Export())
	})
}

// TestShareAndVerdictRulesProperty guards against a share that rises after it fell, a bad version with a share, and
// different final verdicts on routers of a connected failure domain.
func TestShareAndVerdictRulesProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := plan{Rate: 200, Window: 60, Routers: 3, Small: true, Lag: rapid.IntRange(1, 3).Draw(t, "lag"), Duplicate: 0.2,
			Old: quality{Errors: 0.002, Median: 300, Sigma: 0.4}}
		p.New = p.Old
		if rapid.Bool().Draw(t, "faulty") {
			p.Faults = []fault{{Versions: "new", From: rapid.Float64Range(0, 0.9).Draw(t, "from"), Errors: rapid.Float64Range(0.02, 1).Draw(t, "errors")}}
		}
		from := rapid.Float64Range(0, 0.9).Draw(t, "cut")
		p.Cut = [2]float64{from, from + rapid.Float64Range(0, 0.5).Draw(t, "length")}
		p.Restart = rapid.Float64Range(0, 0.95).Draw(t, "restart")
		sim := newSimulation(p, rapid.Uint64().Draw(t, "seed"))
		sim.run()
		is := is.New(t)
		is.Equal(sim.violation, "")
		for _, n := range sim.routers {
			if !sim.isCut(p.Window + 10 - p.Lag - 1) {
				is.Equal(n.share == 1, sim.verdict() == object.VerdictCompleted)
				is.Equal(n.share == 0, sim.verdict() == object.VerdictTakenBack)
			}
		}
	})
}

// TestDecisionsAreDeterministic guards against decisions that depend on the order of a map.
func TestDecisionsAreDeterministic(t *testing.T) {
	run := func() object.ReleaseOutcome {
		p := badPlan(11)
		p.Routers, p.Duplicate = 4, 0.3
		sim := newSimulation(p, 11)
		sim.run()
		return sim.outcome
	}
	is.New(t).Equal(run(), run())
}

func newController(domain ident.DomainID) *canary.Controller {
	c := canary.New(canary.Config{Domain: domain, Policy: canary.DefaultPolicy()})
	for _, v := range []ident.VersionID{"v1", "w1"} {
		c.PutVersion(object.Version{ID: v, Model: "chat", Serving: true})
	}
	for _, v := range []ident.VersionID{"v2", "v3"} {
		c.PutVersion(object.Version{ID: v, Model: "chat"})
	}
	return c
}

func replaceVersion(id ident.ReleaseID, old, next ident.VersionID) object.Release {
	return object.Release{ID: id, StartAt: t0, FinishAt: t0.Add(time.Hour), Changed: []object.ReleaseChange{{Version: next, Replaces: old}}}
}

// TestConflictingReleaseIsRefused guards against two releases that both change the share of one version.
func TestConflictingReleaseIsRefused(t *testing.T) {
	is := is.New(t)
	for _, order := range [][]ident.ObjectVersion{{5, 6}, {6, 5}} {
		c := newController("a")
		for _, v := range order {
			c.PutRelease(v, replaceVersion(ident.ReleaseID("r"+string(rune('0'+v))), "v1", []ident.VersionID{"v2", "v3"}[v-5]))
		}
		c.Tick(t0)
		is.Equal(len(c.OutcomeUpdates()), 1)
		is.Equal(c.OutcomeUpdates()[0].Release, ident.ReleaseID("r6")) // the later one by object version
		is.True(strings.Contains(c.OutcomeUpdates()[0].Domain.Reason, "refused: version v1 belongs to release r5"))
		is.Equal(c.Shares(key).Shifts, []target.TrafficShift{{Version: "v2", Replaces: "v1", Share: 0.01}})
	}
}

// TestWithdrawnVersion guards against new requests for a withdrawn version, and against withdrawing a version before
// its successor is shown good.
func TestWithdrawnVersion(t *testing.T) {
	is := is.New(t)
	c := newController("a")
	c.PutRelease(5, object.Release{ID: "r", StartAt: t0, FinishAt: t0.Add(time.Hour), Withdrawn: []ident.VersionID{"w1"}})
	c.Tick(t0.Add(-time.Second))
	is.Equal(len(c.Shares(key).Lines), 2)
	c.Tick(t0)
	is.Equal(c.Shares(key).Lines, []target.Line{{Version: "v1", HashKey: "v1", Weight: 1}})

	r := replaceVersion("s", "v1", "v2")
	r.Withdrawn = []ident.VersionID{"v1"}
	c.PutRelease(6, r)
	c.Tick(t0)
	is.Equal(c.Shares(key).Lines[0].Version, ident.VersionID("v1"))
	c.MergeVerdicts([]canary.Verdict{{Release: "s", Version: "v2", Domain: "a", Verdict: object.VerdictCompleted, At: t0.Add(time.Minute).UnixMilli()}})
	c.Tick(t0.Add(time.Minute))
	is.Equal(c.Shares(key).Lines, []target.Line{{Version: "v2", HashKey: "v1", Weight: 1}})
}

// TestRestartedRouter guards against a restarted router that starts an ended release again, follows a step of its peers
// without evidence, or decides alone right after the finish.
func TestRestartedRouter(t *testing.T) {
	is := is.New(t)
	c := newController("a")
	c.PutOutcome(object.ReleaseOutcome{Release: "r", Domains: []object.DomainOutcome{{Domain: "a", Verdict: object.VerdictCompleted}}})
	c.PutRelease(5, replaceVersion("r", "v1", "v2"))
	c.Tick(t0.Add(2 * time.Hour))
	is.Equal(c.Shares(key).Lines[0], target.Line{Version: "v2", HashKey: "v1", Weight: 1})
	is.Equal(len(c.OutcomeUpdates()), 0)

	c = newController("a")
	c.PutRelease(5, replaceVersion("r", "v1", "v2"))
	c.MergeVerdicts([]canary.Verdict{{Release: "r", Version: "v2", Domain: "a", Verdict: object.VerdictRunning, Step: 4}})
	for i := range 30 {
		c.Tick(t0.Add(30*time.Minute + time.Duration(i)*time.Second))
	}
	is.Equal(c.Shares(key).Shifts[0].Share, 0.01)

	c = newController("a")
	c.PutRelease(5, replaceVersion("r", "v1", "v2"))
	c.Tick(t0.Add(2 * time.Hour))
	is.Equal(len(c.OutcomeUpdates()), 0)
	is.Equal(len(c.Shares(key).Shifts), 0) // a share after the finish
	c.Tick(t0.Add(2*time.Hour + time.Minute))
	is.Equal(c.OutcomeUpdates()[0].Domain.Verdict, object.VerdictTakenBack)
}

// TestBadVerdictIsFinal guards against a condemned version that returns through a verdict, an outcome or a
// new release.
func TestBadVerdictIsFinal(t *testing.T) {
	is := is.New(t)
	c := newController("a")
	c.MergeVerdicts([]canary.Verdict{{Version: "v2", Domain: "b", Bad: true, Reason: "errors"}})
	c.PutRelease(5, replaceVersion("r", "v1", "v2"))
	c.PutOutcome(object.ReleaseOutcome{Release: "r", Domains: []object.DomainOutcome{{Domain: "a", Verdict: object.VerdictCompleted}}})
	c.MergeVerdicts([]canary.Verdict{{Release: "r", Version: "v2", Domain: "a", Verdict: object.VerdictCompleted, At: t0.UnixMilli()}})
	for i := range 10 {
		c.Tick(t0.Add(time.Duration(i) * time.Second))
		is.Equal(c.Shares(key).Lines[0].Version, ident.VersionID("v1"))
		is.Equal(len(c.Shares(key).Shifts), 0)
	}
	is.Equal(c.OutcomeUpdates()[0].BadVersions, []ident.VersionID{"v2"})
	is.True(c.LocalVerdicts()[0].Bad)
}

// TestRecorder guards against lost or misplaced counts under concurrent use, unbounded cells, and
// allocation for a known cell.
func TestRecorder(t *testing.T) {
	is := is.New(t)
	rec := canary.NewRecorder("a.1", 100)
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(uint64(g), 0))
			for i := range 5000 {
				v := ident.VersionID([]string{"v1", "v2", "v3"}[r.IntN(3)])
				rec.Record(canary.Sample{Version: v, Route: "/" + string(rune('a'+r.IntN(200))), Failed: i%2 == 0, BetweenTokens: time.Millisecond})
			}
		})
	}
	wg.Wait()
	cells := rec.Export()
	is.True(len(cells) <= 100)
	total := rec.Uncounted()
	for _, c := range cells {
		total += c.Requests
		is.Equal(c.Latency[canary.LatencyBuckets], c.Requests) // time between tokens, lowest bucket
	}
	is.Equal(total, uint64(40000))
	s := canary.Sample{Version: cells[0].Version, Route: cells[0].Route}
	is.Equal(testing.AllocsPerRun(100, func() { rec.Record(s) }), 0.0)
}
