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
	Sigma  float64 `json:"sigma"`
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
	due      int
	cells    []canary.Cell
	verdicts []canary.Verdict
}

type simRouter struct {
	epoch uint64
	rec   *canary.Recorder
	ctl   *canary.Controller
	inbox []message
	share float64
	// peak is the largest share seen, and fell says that the share went back to 0 after it.
	peak float64
	fell bool
}

type world struct {
	plan    plan
	rnd     *rand.Rand
	routers []*simRouter
	outcome object.ReleaseOutcome
	note    object.Release
	served  map[string]float64 // requests of the new version by route
	faulty  map[string]float64 // those since the first fault began
	// violation is the first violation of a rule that holds at every tick.
	violation string
	// fixed replaces the controllers, when set.
	fixed *fixedRollout
}

func newWorld(p plan, seed uint64) *world {
	w := &world{plan: p, rnd: rand.New(rand.NewPCG(seed, 0)), served: make(map[string]float64), faulty: make(map[string]float64)}
	w.note = object.Release{ID: "rel", StartAt: t0, FinishAt: t0.Add(time.Duration(p.Window) * time.Second)}
	c := object.ReleaseChange{Version: "new", Replaces: "old"}
	if p.Added {
		w.note.Added = []object.ReleaseChange{{Version: "new"}}
	} else {
		w.note.Changed = []object.ReleaseChange{c}
	}
	w.outcome.Release = "rel"
	for i := range p.Routers {
		n := new(simRouter)
		w.routers = append(w.routers, n)
		w.startRouter(i)
	}
	return w
}

func (w *world) startRouter(i int) {
	n := w.routers[i]
	n.epoch++
	id := ident.NewRouterID("r"+string(rune('a'+i)), n.epoch)
	n.rec = canary.NewRecorder(id, 0)
	policy := canary.DefaultPolicy()
	if w.plan.Small {
		policy = canary.SmallPolicy()
	}
	n.ctl = canary.New(canary.Config{Domain: "a", Policy: policy})
	n.ctl.PutVersion(object.Version{ID: "old", Model: "chat", Serving: true})
	n.ctl.PutVersion(object.Version{ID: "new", Model: "chat"})
	n.ctl.PutRelease(5, w.note)
	n.share, n.peak, n.fell = 0, 0, false
}

func (w *world) at(tick int) float64 { return float64(tick) / float64(w.plan.Window) }

func (w *world) cut(tick int) bool {
	return w.at(tick) >= w.plan.Cut[0] && w.at(tick) < w.plan.Cut[1]
}

func (w *world) run() {
	for tick := -30; tick <= w.plan.Window+10; tick++ {
		if w.plan.Restart > 0 && tick == int(w.plan.Restart*float64(w.plan.Window)) {
			w.startRouter(0)
		}
		for _, n := range w.routers {
			w.traffic(n, tick)
		}
		if w.fixed != nil {
			w.fixed.tick(w, tick)
			continue
		}
		w.exchange(tick)
		for i, n := range w.routers {
			w.control(i, n, tick)
		}
	}
}

func (w *world) traffic(n *simRouter, tick int) {
	count := w.poisson(w.plan.Rate / float64(len(w.routers)))
	for range count {
		u, route := w.rnd.Float64(), len(routes)-1
		for i, r := range routes {
			if u -= r.part; u < 0 {
				route = i
				break
			}
		}
		s := canary.Sample{Version: "old", Route: routes[route].name}
		if w.rnd.Float64() < highBandShare {
			s.Band = 1
		}
		q := w.plan.Old
		if w.rnd.Float64() < n.share {
			s.Version, q = "new", w.plan.New
			w.served[s.Route]++
			if len(w.plan.Faults) > 0 && w.at(tick) >= w.plan.Faults[0].From {
				w.faulty[s.Route]++
			}
		}
		w.answer(&s, q, w.at(tick))
		n.rec.Record(s)
	}
}

func (w *world) answer(s *canary.Sample, q quality, at float64) {
	for _, f := range w.plan.Faults {
		if at < f.From || f.Until > 0 && at >= f.Until || !strings.Contains(f.Versions, string(s.Version)) ||
			f.Route != "" && f.Route != s.Route || f.Band != nil && *f.Band != s.Band {
			continue
		}
		q.Errors += f.Errors
		if f.Slow > 0 {
			q.Median *= f.Slow
		}
	}
	s.Failed = w.rnd.Float64() < q.Errors
	if !s.Failed {
		s.FirstToken = time.Duration(q.Median * math.Exp(q.Sigma*w.rnd.NormFloat64()) * float64(time.Millisecond))
		s.BetweenTokens = s.FirstToken / 20
	}
}

func (w *world) poisson(mean float64) int {
	n := int(math.Round(mean + math.Sqrt(mean)*w.rnd.NormFloat64()))
	return max(n, 0)
}

// exchange sends each router's counters and verdicts to its peers.
func (w *world) exchange(tick int) {
	for i, from := range w.routers {
		cells := from.rec.Export()
		from.ctl.MergeEvidence(cells)
		for j, to := range w.routers {
			last := len(w.routers) - 1
			if i == j || w.cut(tick) && (i == last || j == last) {
				continue
			}
			l := message{due: tick + w.plan.Lag, cells: cells, verdicts: from.ctl.LocalVerdicts()}
			to.inbox = append(to.inbox, l)
			if w.rnd.Float64() < w.plan.Duplicate {
				l.due += 1 + w.rnd.IntN(60)
				to.inbox = append(to.inbox, l)
			}
		}
	}
}

func (w *world) control(i int, n *simRouter, tick int) {
	var later []message
	for _, l := range n.inbox {
		if l.due > tick {
			later = append(later, l)
			continue
		}
		n.ctl.MergeEvidence(l.cells)
		n.ctl.MergeVerdicts(l.verdicts)
	}
	n.inbox = later
	if !w.cut(tick) || i != len(w.routers)-1 {
		n.ctl.PutOutcome(w.outcome)
		for _, u := range n.ctl.OutcomeUpdates() {
			w.record(u)
		}
	}
	n.ctl.Tick(t0.Add(time.Duration(tick) * time.Second))
	share := w.shareOf(n)
	switch {
	case n.fell && share > 0:
		w.violation = "share rose after it was 0"
	case share < n.peak && share > 0:
		w.violation = "share fell to a value above 0"
	case n.ctl.Bad("new") && share > 0:
		w.violation = "bad version has a share"
	}
	n.fell = n.peak > 0 && share == 0
	n.peak, n.share = max(n.peak, share), share
}

func (w *world) shareOf(n *simRouter) float64 {
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

// record merges an update as the node does: bad versions add up, and taken back wins.
func (w *world) record(u canary.OutcomeUpdate) {
	for _, v := range u.Bad {
		if len(w.outcome.BadVersions) == 0 {
			w.outcome.BadVersions = append(w.outcome.BadVersions, v)
		}
	}
	if len(w.outcome.Domains) == 0 || w.outcome.Domains[0].Verdict != object.VerdictTakenBack {
		w.outcome.Domains = []object.DomainOutcome{u.Domain}
	}
}

func (w *world) verdict() object.Verdict {
	if len(w.outcome.Domains) == 0 {
		return object.VerdictRunning
	}
	return w.outcome.Domains[0].Verdict
}

// exposure is the largest part of a route's traffic in the window that the new version served.
func (w *world) exposure() float64 { return w.maxRouteShare(w.served) }

func (w *world) maxRouteShare(served map[string]float64) float64 {
	var e float64
	for _, r := range routes {
		e = max(e, served[r.name]/(w.plan.Rate*float64(w.plan.Window)*r.part))
	}
	return e
}

// fixedRollout is a rollout with the same shares in equal parts of the window. It takes the version back
// when more than 2% of at least 50 requests at the current step failed.
type fixedRollout struct {
	step                       int
	requests, fail             uint64
	requestsBefore, failBefore uint64
	takenBack                  bool
}

func (b *fixedRollout) tick(w *world, tick int) {
	b.requests, b.fail = 0, 0
	for _, n := range w.routers {
		for _, c := range n.rec.Export() {
			if c.Version == "new" {
				b.requests += c.Requests
				b.fail += c.Errors
			}
		}
	}
	if n := b.requests - b.requestsBefore; n >= 50 && float64(b.fail-b.failBefore) > 0.02*float64(n) {
		b.takenBack = true
	}
	steps := canary.DefaultPolicy().Steps
	step := min(max(tick, 0)*len(steps)/w.plan.Window, len(steps)-1)
	if step > b.step {
		b.step, b.requestsBefore, b.failBefore = step, b.requests, b.fail
	}
	for _, n := range w.routers {
		n.share = steps[b.step]
		if b.takenBack || tick < 0 {
			n.share = 0
		}
	}
}
