package canary

import (
	"fmt"
	"time"
)

// trial judges a new version in one cell.
type trial struct {
	place  place
	seen   counts // of the new version, already counted
	seenRf counts // of the reference, already counted
	ref    reference
	errors test
	slow   [kinds]test
	// fresh are the requests of the new version at this step, and traffic those of both.
	fresh, traffic uint64
}

// input is what a trial learns at a tick.
type input struct {
	dt       time.Duration
	now      counts // of the new version since its release
	ref, all counts // live and all counters of the reference
	fixed    bool   // the version has no predecessor
	quiet    bool   // evidence from before a restart must not condemn
}

func (t *trial) advance(p *Policy, in input) {
	d, r := in.now.since(t.seen), in.ref.since(t.seenRf)
	t.seen, t.seenRf = in.now, in.ref
	t.ref.advance(in.dt, d.requests, r, in.all)
	t.fresh += d.requests
	t.traffic += d.requests + r.requests
	c := t.errorRate(p, in.fixed)
	c.quiet, c.thin, c.dt = in.quiet, t.ref.thin(), in.dt
	c.old = sample{float64(r.requests), float64(r.errors)}
	t.errors.add(t.margins(p.Errors, in.fixed), sample{float64(d.requests), float64(d.errors)}, c)
	limits := [kinds]time.Duration{p.FirstTokenLimit, p.BetweenTokensLimit}
	for k := range kinds {
		step, c := t.slowRate(p, k, limits[k], in.fixed)
		c.quiet, c.thin, c.dt = in.quiet, t.ref.thin(), in.dt
		c.old = slower(&r.latency[k], step)
		t.slow[k].add(t.margins(p.Slow, in.fixed), slower(&d.latency[k], step), c)
	}
}

// slower counts the measured requests and those above the latency step.
func slower(h *hist, step int) sample {
	var s sample
	for i, v := range h {
		s.n += float64(v)
		if i > step {
			s.x += float64(v)
		}
	}
	return s
}

func (t *trial) margins(m TestPolicy, fixed bool) TestPolicy {
	if !fixed && t.ref.thin() {
		m.Margin += m.SparseMargin
		for i := range m.BadMargins {
			m.BadMargins[i] += m.SparseMargin
		}
	}
	return m
}

func (t *trial) errorRate(p *Policy, fixed bool) compare {
	rate, prior := t.ref.errors()
	if fixed || !t.ref.known() {
		rate, prior = max(rate, p.ErrorLimit), max(prior, p.ErrorLimit)
	}
	return compare{rate: rate, prior: prior}
}

func (t *trial) slowRate(p *Policy, k kind, limit time.Duration, fixed bool) (int, compare) {
	step, rate, prior, ok := t.ref.slow(k, p.Quantile)
	if ok && (!fixed || step >= stepOf(limit)) {
		return step, compare{rate: rate, prior: prior}
	}
	return stepOf(limit), compare{rate: p.SlowLimit, prior: p.SlowLimit}
}

// fault names the fault that condemns the version, or is empty.
func (t *trial) fault(p *Policy) string {
	where := fmt.Sprintf("route %s, load band %d", t.place.route, t.place.band)
	if t.errors.bad(p.Errors.AlarmEvidence) {
		rate, _ := t.ref.errors()
		return fmt.Sprintf("%s: %.0f errors in %.0f requests; reference rate %.2f%%",
			where, t.errors.x, t.errors.n, 100*rate)
	}
	for k, what := range [kinds]string{"first token", "time between tokens"} {
		if s := &t.slow[k]; s.bad(p.Slow.AlarmEvidence) {
			return fmt.Sprintf("%s: %s too slow in %.0f of %.0f requests", where, what, s.x, s.n)
		}
	}
	return ""
}

// enough reports whether the cell has the evidence to leave the step. A small cell sees few requests at
// a small share, so there the first steps look for the middle bad rate only.
func (t *trial) enough(p *Policy, step int) bool {
	alt := 0
	if step < p.FirstMildStep {
		alt = 1
	}
	if t.errors.good[alt] > -p.MinCellEvidence[step] {
		return false
	}
	for k := range t.slow {
		if t.slow[k].n > 0 && t.slow[k].good[alt] > -p.MinCellEvidence[step] {
			return false
		}
	}
	return true
}

// doubtful reports whether the cell's evidence speaks for the mildest bad rate.
func (t *trial) doubtful(p *Policy) bool {
	d := t.errors.good[0] > p.HoldEvidence
	for k := range t.slow {
		d = d || t.slow[k].good[0] > p.HoldEvidence
	}
	return d
}

func (t *trial) restart() {
	t.errors.restart()
	for k := range t.slow {
		t.slow[k].restart()
	}
	t.fresh, t.traffic = 0, 0
}
