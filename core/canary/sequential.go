package canary

import (
	"math"
	"slices"
	"time"
)

// alternatives is the number of bad rates that a test checks for at once, from mild to gross.
const alternatives = 3

// maxBadEvidence caps the evidence against showing a version good, so that new requests outweigh an old disturbance.
const maxBadEvidence = 2

// sequentialTest is a sequential test of a rate against a reference rate.
type sequentialTest struct {
	excursions [alternatives]excursion
	// llr holds the log likelihood ratios of the two mildest bad rates over the good rate since the step began.
	llr [2]float64
	// n counts the requests since the step began, and x those with the fault.
	n, x float64
}

// excursion is the cumulative sum (CUSUM) of the log likelihood ratio of a bad rate, with the counts of
// both versions since it was last zero. It restarts at zero, so that a late fault is found as fast as an
// early one.
type excursion struct {
	sum        float64
	new, ref   binomial
	upperBound float64       // largest reference rate that the old version's counts allow, plus the margin
	sparse     bool          // the old version serves too few requests for a comparison
	tooShort   bool          // the fault has not lasted long enough
	risingTime time.Duration // time of the ticks that raised the sum
	// pairedLLR holds a log likelihood ratio for each of rateRatios, from the split of each tick's faults between the
	// versions.
	pairedLLR [len(rateRatios)]float64
}

// rateRatios are the ratios of the new version's rate to the old one's that the paired comparison checks for.
var rateRatios = [...]float64{2, 4, 16}

// binomial is a number n of requests and the number x of those with the fault.
type binomial struct{ n, x float64 }

func (s *binomial) add(o binomial) {
	s.n += o.n
	s.x += o.x
}

// referenceTick holds the reference of one tick.
type referenceTick struct {
	rate           float64  // reference rate over the horizons
	prior          float64  // long-term rate
	ref            binomial // requests of this tick
	sparse         bool
	dt             time.Duration
	suppressAlarms bool // leaves the excursions unchanged
}

func (t *sequentialTest) addTick(m TestPolicy, s binomial, c referenceTick) {
	t.n += s.n
	t.x += s.x
	for i := range t.excursions {
		p0, p1 := c.rate+m.Margin, min(c.rate*m.BadScale+m.BadMargins[i], 0.99)
		if c.suppressAlarms {
			continue
		}
		growth := 0.0
		if p1 > p0 {
			growth = logLikelihoodRatio(s, p0, p1)
		}
		t.excursions[i].addTick(s, c, growth, m)
	}
	r := min(c.rate, m.MaxReference)
	for i := range t.llr {
		t.llr[i] = min(maxBadEvidence, t.llr[i]+logLikelihoodRatio(s, r+m.Margin, min(r*m.BadScale+m.BadMargins[i], 0.99)))
	}
}

func (e *excursion) addTick(s binomial, c referenceTick, growth float64, m TestPolicy) {
	e.sum += growth
	if e.sum <= 0 {
		*e = excursion{}
		return
	}
	e.new.add(s)
	e.ref.add(c.ref)
	if growth > 0 {
		e.risingTime += c.dt
	}
	e.tooShort = c.sparse && e.risingTime < m.MinSparseTime && e.new.x <= m.GrossRate*e.new.n
	if e.tooShort {
		// Caps the sum, so that it returns to zero soon after a disturbance.
		e.sum = min(e.sum, m.AlarmEvidence+1)
	}
	e.sparse = c.sparse
	n := e.ref.n + priorWeight
	p := (e.ref.x + priorWeight*c.prior) / n
	e.upperBound = p + 2*math.Sqrt(p*(1-p)/n) + m.Margin
	total := binomial{s.n + c.ref.n, s.x + c.ref.x}
	if total.n == 0 {
		return
	}
	part := s.n / total.n
	for i, o := range rateRatios {
		e.pairedLLR[i] += (s.x-m.Margin*s.n)*math.Log(o) - total.x*math.Log(1+part*(o-1))
	}
}

// confirmed compares both versions over the excursion itself, and reports whether that evidence reaches the limit too.
// The horizons react late when both versions are disturbed at once, and a small segment has few requests in one tick.
// Given the faults of a tick, their split between the versions does not depend on the common rate. While the old
// version serves too few requests, its upper bound takes the place of the split.
func (e *excursion) confirmed(limit float64) bool {
	if !e.sparse {
		return slices.Max(e.pairedLLR[:]) >= limit
	}
	rate := e.new.x / max(e.new.n, 1)
	return !e.tooShort && e.upperBound < rate && logLikelihoodRatio(e.new, e.upperBound, min(rate, 0.999)) >= limit
}

// logLikelihoodRatio returns the logarithm of the likelihood ratio of the rate p1 over p0.
func logLikelihoodRatio(s binomial, p0, p1 float64) float64 {
	return s.x*math.Log(p1/p0) + (s.n-s.x)*math.Log((1-p1)/(1-p0))
}

// isBad reports whether an excursion reaches the limit and is confirmed.
func (t *sequentialTest) isBad(limit float64) bool {
	for i := range t.excursions {
		if e := &t.excursions[i]; e.sum >= limit && e.confirmed(limit) {
			return true
		}
	}
	return false
}

// startStep clears the evidence of the previous step. The excursions continue across steps.
func (t *sequentialTest) startStep() { t.llr, t.n, t.x = [2]float64{}, 0, 0 }
