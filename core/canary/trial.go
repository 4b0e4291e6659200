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
	t.ref.advance(in.dt, r, in.all)
	t.fresh += d.requests
	t.traffic += d.requests + r.requests
	if d.requests > 0 {
		t.errors.add(t.margins(p.Errors, in.fixed), float64(d.requests), float64(d.errors), t.errorRate(p, in.fixed), in.quiet)
	}
	limits := [kinds]time.Duration{p.FirstToken, p.BetweenTokens}
	for k := range kinds {
		step, rate := t.slowRate(p, k, limits[k], in.fixed)
		var n, x uint64
		for i, v := range d.latency[k] {
			n += v
			if i > step {
				x += v
			}
		}
		t.slow[k].add(t.margins(p.Slow, in.fixed), float64(n), float64(x), rate, in.quiet)
	}
}

func (t *trial) margins(m Margins, fixed bool) Margins {
	if !fixed && t.ref.thin() {
		m.Margin += m.Thin
		for i := range m.Bad {
			m.Bad[i] += m.Thin
		}
	}
	return m
}

func (t *trial) errorRate(p *Policy, fixed bool) float64 {
	if fixed || !t.ref.known() {
		return max(t.ref.errors(), p.ErrorLimit)
	}
	return t.ref.errors()
}

func (t *trial) slowRate(p *Policy, k kind, limit time.Duration, fixed bool) (int, float64) {
	step, rate, ok := t.ref.slow(k, p.Quantile)
	if ok && (!fixed || step >= stepOf(limit)) {
		return step, rate
	}
	return stepOf(limit), p.SlowLimit
}

// fault names the fault that condemns the version, or is empty.
func (t *trial) fault(p *Policy) string {
	where := fmt.Sprintf("route %s, load band %d", t.place.route, t.place.band)
	if t.errors.bad(p.Alarm) {
		return fmt.Sprintf("%s: %.0f errors in %.0f requests; reference rate %.2f%%",
			where, t.errors.x, t.errors.n, 100*t.ref.errors())
	}
	for k, what := range [kinds]string{"first token", "time between tokens"} {
		if s := &t.slow[k]; s.bad(p.Alarm) {
			return fmt.Sprintf("%s: %s too slow in %.0f of %.0f requests", where, what, s.x, s.n)
		}
	}
	return ""
}

// missing is the evidence that the cell still lacks, in natural logarithms; zero or less is enough.
func (t *trial) missing(p *Policy, step int) float64 {
	m := t.errors.good
	for k := range t.slow {
		if t.slow[k].n > 0 {
			m = max(m, t.slow[k].good)
		}
	}
	return p.NeedCell[step] + m
}

func (t *trial) restart() {
	t.errors.restart()
	for k := range t.slow {
		t.slow[k].restart()
	}
	t.fresh, t.traffic = 0, 0
}
