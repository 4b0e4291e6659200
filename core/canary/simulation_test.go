package canary_test

import (
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"geraniumsaddle/core/canary"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/target"
)

// quality describes how a version answers.
type quality struct {
	Errors float64 `json:"errors"`
	Median float64 `json:"median_ms"`
	// BetweenTokens is the time between tokens. Zero derives it from the time to first token.
	BetweenTokens float64 `json:"between_tokens_ms"`
	Sigma         float64 `json:"sigma"`
}

// fault changes the answers of versions in a part of the window, optionally in one route or band only.
type fault struct {
	Versions string  `json:"versions"`
	From     float64 `json:"from"`
	Until    float64 `json:"until"`
	Route    string  `json:"route"`
	Band     *uint8  `json:"band"`
	Errors   float64 `json:"errors"`
	Slow     float64 `json:"slow"`
}

// plan is one simulated release in one failure domain. Times are parts of the window.
type plan struct {
	Name      string     `json:"name"`
	Rate      float64    `json:"rate"` // requests/s of the failure domain
	Window    int        `json:"window_s"`
	Routers   int        `json:"routers"`
	Old       quality    `json:"old"`
	New       quality    `json:"new"`
	Faults    []fault    `json:"faults"`
	Lag       int        `json:"lag_s"`
	Duplicate float64    `json:"duplicate"` // part of messages that are repeated late
	Cut       [2]float64 `json:"cut"`       // the last router reaches neither peers nor platform
	Restart   float64    `json:"restart"`   // the first router restarts
	Added     bool       `json:"added"`
	Small     bool       `json:"small"` // uses SmallPolicy
}

var (
	t0     = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	routes = []struct {
		name string
		part float64
	}{{"/chat", 0.6}, {"/plan", 0.3}, {"/short", 0.1}}
	key = target.Key{Model: "chat"}
)

const highBandShare = 0.25 // part of the traffic in load band 1

type message struct {
	dueTick  int
	cells    []canary.Cell
	verdicts []canary.Verdict
}

type simRouter struct {
	epoch uint64
	rec   *canary.Recorder
	ctl   *canary.Controller
	inbox []message
	share float64
	// peak is the largest share seen, and fellToZero says whether the share went back to 0 after it.
	peak       float64
	fellToZero bool
}

type simulation struct {
	plan    plan
	rnd     *rand.Rand
	routers []*simRouter
	outcome object.ReleaseOutcome
	release object.Release
	served  map[string]float64 // requests of the new version by route
	faulty  map[string]float64 // those since the first fault began
	// violation is the first violation of a rule that holds at every tick.
	violation string
	// fixed replaces the controllers, when set.
	fixed *fixedRollout
}

func newSimulation(p plan, seed uint64) *simulation {
	sim := &simulation{plan: p, rnd: rand.New(rand.NewPCG(seed, 0)), served: make(map[string]float64), faulty: make(map[string]float64)}
	sim.release = object.Release{ID: "rel", StartAt: t0, FinishAt: t0.Add(time.Duration(p.Window) * time.Second)}
	c := object.ReleaseChange{Version: "new", Replaces: "old"}
	if p.Added {
		sim.release.Added = []object.ReleaseChange{{Version: "new"}}
	} else {
		sim.release.Changed = []object.ReleaseChange{c}
	}
	sim.outcome.Release = "rel"
	for i := range p.Routers {
		n := new(simRouter)
		sim.routers = append(sim.routers, n)
		sim.startRouter(i)
	}
	return sim
}

func (sim *simulation) startRouter(i int) {
	n := sim.routers[i]
	n.epoch++
	id := ident.NewRouterID("r"+string(rune('a'+i)), n.epoch)
	n.rec = canary.NewRecorder(id, 0)
	policy := canary.DefaultPolicy()
	if sim.plan.Small {
		policy = canary.SmallPolicy()
	}
	n.ctl = canary.New(canary.Config{Domain: "a", Policy: policy})
	n.ctl.PutVersion(object.Version{ID: "old", Model: "chat", Serving: true})
	n.ctl.PutVersion(object.Version{ID: "new", Model: "chat"})
	n.ctl.PutRelease(5, sim.release)
	n.share, n.peak, n.fellToZero = 0, 0, false
}

func (sim *simulation) at(tick int) float64 { return float64(tick) / float64(sim.plan.Window) }

func (sim *simulation) isCut(tick int) bool {
	return sim.at(tick) >= sim.plan.Cut[0] && sim.at(tick) < sim.plan.Cut[1]
}

func (sim *simulation) run() {
	for tick := -30; tick <= sim.plan.Window+10; tick++ {
		if sim.plan.Restart > 0 && tick == int(sim.plan.Restart*float64(sim.plan.Window)) {
			sim.startRouter(0)
		}
		for _, n := range sim.routers {
			sim.traffic(n, tick)
		}
		if sim.fixed != nil {
			sim.fixed.tick(sim, tick)
			continue
		}
		sim.exchange(tick)
		for i, n := range sim.routers {
			sim.control(i, n, tick)
		}
	}
}

func (sim *simulation) traffic(n *simRouter, tick int) {
	count := sim.poisson(sim.plan.Rate / float64(len(sim.routers)))
	for range count {
		u, route := sim.rnd.Float64(), len(routes)-1
		for i, r := range routes {
			if u -= r.part; u < 0 {
				route = i
				break
			}
		}
		s := canary.Sample{Version: "old", Route: routes[route].name}
		if sim.rnd.Float64() < highBandShare {
			s.Band = 1
		}
		q := sim.plan.Old
		if sim.rnd.Float64() < n.share {
			s.Version, q = "new", sim.plan.New
			sim.served[s.Route]++
			if len(sim.plan.Faults) > 0 && sim.at(tick) >= sim.plan.Faults[0].From {
				sim.faulty[s.Route]++
			}
		}
		sim.answer(&s, q, sim.at(tick))
		n.rec.Record(s)
	}
}

func (sim *simulation) answer(s *canary.Sample, q quality, at float64) {
	for _, f := range sim.plan.Faults {
		if at < f.From || f.Until > 0 && at >= f.Until || !strings.Contains(f.Versions, string(s.Version)) ||
			f.Route != "" && f.Route != s.Route || f.Band != nil && *f.Band != s.Band {
			continue
		}
		q.Errors += f.Errors
		if f.Slow > 0 {
			q.Median *= f.Slow
		}
	}
	s.Failed = sim.rnd.Float64() < q.Errors
	if !s.Failed {
		s.FirstToken = time.Duration(q.Median * math.Exp(q.Sigma*sim.rnd.NormFloat64()) * float64(time.Millisecond))
		s.BetweenTokens = s.FirstToken / 20
		if q.BetweenTokens > 0 {
			s.BetweenTokens = time.Duration(q.BetweenTokens * float64(time.Millisecond))
		}
	}
}

func (sim *simulation) poisson(mean float64) int {
	n := int(math.Round(mean + math.Sqrt(mean)*sim.rnd.NormFloat64()))
	return max(n, 0)
}

// exchange sends each router's counters and verdicts to its peers.
func (sim *simulation) exchange(tick int) {
	for i, from := range sim.routers {
		cells := from.rec.Export()
		from.ctl.MergeEvidence(cells)
		for j, to := range sim.routers {
			last := len(sim.routers) - 1
			if i == j || sim.isCut(tick) && (i == last || j == last) {
				continue
			}
			msg := message{dueTick: tick + sim.plan.Lag, cells: cells, verdicts: from.ctl.LocalVerdicts()}
			to.inbox = append(to.inbox, msg)
			if sim.rnd.Float64() < sim.plan.Duplicate {
				msg.dueTick += 1 + sim.rnd.IntN(60)
				to.inbox = append(to.inbox, msg)
			}
		}
	}
}

func (sim *simulation) control(i int, n *simRouter, tick int) {
	var later []message
	for _, msg := range n.inbox {
		if msg.dueTick > tick {
			later = append(later, msg)
			continue
		}
		n.ctl.MergeEvidence(msg.cells)
		n.ctl.MergeVerdicts(msg.verdicts)
	}
	n.inbox = later
	if !sim.isCut(tick) || i != len(sim.routers)-1 {
		n.ctl.PutOutcome(sim.outcome)
		for _, u := range n.ctl.OutcomeUpdates() {
			sim.record(u)
		}
	}
	n.ctl.Tick(t0.Add(time.Duration(tick) * time.Second))
	share := sim.shareOf(n)
	switch {
	case n.fellToZero && share > 0:
		sim.violation = "share rose after it was 0"
	case share < n.peak && share > 0:
		sim.violation = "share fell to a value above 0"
	case n.ctl.IsBad("new") && share > 0:
		sim.violation = "bad version has a share"
	}
	n.fellToZero = n.peak > 0 && share == 0
	n.peak, n.share = max(n.peak, share), share
}

func (sim *simulation) shareOf(n *simRouter) float64 {
	sh := n.ctl.Shares(key)
	for _, s := range sh.Shifts {
		if s.Version == "new" {
			return s.Share
		}
	}
	for _, l := range sh.Lines {
		if l.Version == "new" {
			return 1
		}
	}
	return 0
}

// record merges an update as the node does: bad versions accumulate, and the verdict taken_back is never replaced.
func (sim *simulation) record(u canary.OutcomeUpdate) {
	for _, v := range u.BadVersions {
		if len(sim.outcome.BadVersions) == 0 {
			sim.outcome.BadVersions = append(sim.outcome.BadVersions, v)
		}
	}
	if len(sim.outcome.Domains) == 0 || sim.outcome.Domains[0].Verdict != object.VerdictTakenBack {
		sim.outcome.Domains = []object.DomainOutcome{u.Domain}
	}
}

func (sim *simulation) verdict() object.Verdict {
	if len(sim.outcome.Domains) == 0 {
		return object.VerdictRunning
	}
	return sim.outcome.Domains[0].Verdict
}

// exposure returns the largest part of a route's traffic in the window that the new version served.
func (sim *simulation) exposure() float64 { return sim.maxRouteShare(sim.served) }

func (sim *simulation) maxRouteShare(served map[string]float64) float64 {
	var e float64
	for _, r := range routes {
		e = max(e, served[r.name]/(sim.plan.Rate*float64(sim.plan.Window)*r.part))
	}
	return e
}

// fixedRollout is a rollout with the same shares in equal parts of the window. It takes the version back
// when more than 2% of at least 50 requests at the current step failed.
type fixedRollout struct {
	step                           int
	requests, failures             uint64
	requestsBefore, failuresBefore uint64
	takenBack                      bool
}

func (b *fixedRollout) tick(sim *simulation, tick int) {
	b.requests, b.failures = 0, 0
	for _, n := range sim.routers {
		for _, c := range n.rec.Export() {
			if c.Version == "new" {
				b.requests += c.Requests
				b.failures += c.Errors
			}
		}
	}
	if n := b.requests - b.requestsBefore; n >= 50 && float64(b.failures-b.failuresBefore) > 0.02*float64(n) {
		b.takenBack = true
	}
	steps := canary.DefaultPolicy().Steps
	step := min(max(tick, 0)*len(steps)/sim.plan.Window, len(steps)-1)
	if step > b.step {
		b.step, b.requestsBefore, b.failuresBefore = step, b.requests, b.failures
	}
	for _, n := range sim.routers {
		n.share = steps[b.step]
		if b.takenBack || tick < 0 {
			n.share = 0
		}
	}
}
