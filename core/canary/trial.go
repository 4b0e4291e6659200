package canary

import (
	"fmt"
	"time"
)

// trial tests a new version in one segment.
type trial struct {
	segment    segment
	counted    counts // counters of the new version at the last tick
	refCounted counts // counters of the reference at the last tick
	ref        reference
	errors     sequentialTest
	slow       [latencyKinds]sequentialTest
	// newRequests counts the requests of the new version at this step, and requests those of both versions.
	newRequests, requests uint64
}

// tickInput holds the evidence of one tick for a trial.
type tickInput struct {
	dt             time.Duration
	newAll         counts // all counters of the new version
	ref, refAll    counts // incremental and all counters of the reference
	added          bool   // the version replaces none
	suppressAlarms bool   // the evidence may span the time before this router saw the release
}

func (t *trial) advance(p *Policy, in tickInput) {
	d, r := in.newAll.since(t.counted), in.ref.since(t.refCounted)
	t.counted, t.refCounted = in.newAll, in.ref
	t.ref.advance(in.dt, d.requests, r, in.refAll)
	t.newRequests += d.requests
	t.requests += d.requests + r.requests
	c := t.errorRate(p, in.added)
	c.suppressAlarms, c.sparse, c.dt = in.suppressAlarms, t.ref.isSparse(), in.dt
	c.ref = binomial{float64(r.requests), float64(r.errors)}
	t.errors.addTick(t.withSparseMargin(p.Errors, in.added), binomial{float64(d.requests), float64(d.errors)}, c)
	limits := [latencyKinds]time.Duration{p.FirstTokenLimit, p.BetweenTokensLimit}
	for k := range latencyKinds {
		bucket, c := t.slowRate(p, k, limits[k], in.added)
		c.suppressAlarms, c.sparse, c.dt = in.suppressAlarms, t.ref.isSparse(), in.dt
		c.ref = countSlower(&r.latency[k], bucket)
		t.slow[k].addTick(t.withSparseMargin(p.Slow, in.added), countSlower(&d.latency[k], bucket), c)
	}
}

// countSlower counts the measured requests and those above the latency bucket.
func countSlower(h *histogram, bucket int) binomial {
	var s binomial
	for i, v := range h {
		s.n += float64(v)
		if i > bucket {
			s.x += float64(v)
		}
	}
	return s
}

// withSparseMargin widens the margins while the old version serves too few requests for a comparison.
func (t *trial) withSparseMargin(m TestPolicy, added bool) TestPolicy {
	if !added && t.ref.isSparse() {
		m.Margin += m.SparseMargin
		for i := range m.BadMargins {
			m.BadMargins[i] += m.SparseMargin
		}
	}
	return m
}

func (t *trial) errorRate(p *Policy, added bool) referenceTick {
	rate, prior := t.ref.errorRates()
	if added || !t.ref.hasHistory() {
		rate, prior = max(rate, p.ErrorLimit), max(prior, p.ErrorLimit)
	}
	return referenceTick{rate: rate, prior: prior}
}

func (t *trial) slowRate(p *Policy, k latencyKind, limit time.Duration, added bool) (int, referenceTick) {
	bucket, rate, prior, ok := t.ref.slowRates(k, p.Quantile)
	if ok && (!added || bucket >= bucketOf(limit)) {
		return bucket, referenceTick{rate: rate, prior: prior}
	}
	return bucketOf(limit), referenceTick{rate: p.SlowLimit, prior: p.SlowLimit}
}

// faultReason describes the fault that condemns the version. It is empty if there is none.
func (t *trial) faultReason(p *Policy) string {
	where := fmt.Sprintf("route %s, load band %d", t.segment.route, t.segment.band)
	if t.errors.isBad(p.Errors.AlarmEvidence) {
		rate, _ := t.ref.errorRates()
		return fmt.Sprintf("%s: %.0f errors in %.0f requests; reference rate %.2f%%",
			where, t.errors.x, t.errors.n, 100*rate)
	}
	for k, what := range [latencyKinds]string{"first token", "time between tokens"} {
		if s := &t.slow[k]; s.isBad(p.Slow.AlarmEvidence) {
			return fmt.Sprintf("%s: %s too slow in %.0f of %.0f requests", where, what, s.x, s.n)
		}
	}
	return ""
}

// hasEvidence reports whether the segment has the evidence to leave the step. A small segment sees few requests at a
// small share, so the first steps exclude only the middle bad rate there.
func (t *trial) hasEvidence(p *Policy, step int) bool {
	alt := 0
	if step < p.FirstMildStep {
		alt = 1
	}
	if t.errors.llr[alt] > -p.MinSegmentEvidence[step] {
		return false
	}
	for k := range t.slow {
		if t.slow[k].n > 0 && t.slow[k].llr[alt] > -p.MinSegmentEvidence[step] {
			return false
		}
	}
	return true
}

// holdsStep reports whether the segment's evidence for the mildest bad rate is strong enough to hold the step.
func (t *trial) holdsStep(p *Policy) bool {
	d := t.errors.llr[0] > p.HoldEvidence
	for k := range t.slow {
		d = d || t.slow[k].llr[0] > p.HoldEvidence
	}
	return d
}

func (t *trial) startStep() {
	t.errors.startStep()
	for k := range t.slow {
		t.slow[k].startStep()
	}
	t.newRequests, t.requests = 0, 0
}
