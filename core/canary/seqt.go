package canary

import (
	"math"
	"slices"
	"time"
)

// alternatives is the number of bad rates that a test looks for at once, from mild to gross.
const alternatives = 3

// doubt bounds the evidence against showing a version good, so that an old disturbance is outweighed
// by new requests.
const doubt = 2

// test is a sequential test of a rate against a reference rate.
type test struct {
	alarm [alternatives]excursion
	// good holds the log likelihood ratio of the two mildest bad rates over the good rate.
	good [2]float64
	n, x float64
}

// excursion is the cumulative sum (CUSUM) of the log likelihood ratio of a bad rate, with the counts of
// both versions since it was last zero. It restarts at zero, so that a late fault is found as fast as an
// early one.
type excursion struct {
	sum      float64
	new, old sample
	ceiling  float64       // largest rate that the old version's counts allow
	thin     bool          // the old version serves too little
	wait     bool          // the fault must last longer
	over     time.Duration // time of the ticks that raised the sum
	// paired is the log likelihood ratio for each of the odds, from the split of the faults of each tick.
	paired [len(odds)]float64
}

// odds are the ratios of the new version's rate to the old one's that the paired comparison looks for.
var odds = [...]float64{2, 4, 16}

// sample is a number of requests and of those with the fault.
type sample struct{ n, x float64 }

func (s *sample) add(o sample) {
	s.n += o.n
	s.x += o.x
}

// compare holds the old version's figures of one tick.
type compare struct {
	rate  float64 // reference rate over the horizons
	prior float64 // long-term rate
	old   sample  // requests of this tick
	thin  bool
	dt    time.Duration
	quiet bool // leaves the alarm unchanged
}

func (t *test) add(m TestPolicy, s sample, c compare) {
	t.n += s.n
	t.x += s.x
	for i := range t.alarm {
		p0, p1 := c.rate+m.Margin, min(c.rate*m.BadScale+m.BadMargins[i], 0.99)
		if c.quiet {
			continue
		}
		growth := 0.0
		if p1 > p0 {
			growth = ratio(s, p0, p1)
		}
		t.alarm[i].add(s, c, growth, m)
	}
	r := min(c.rate, m.MaxReference)
	for i := range t.good {
		t.good[i] = min(doubt, t.good[i]+ratio(s, r+m.Margin, min(r*m.BadScale+m.BadMargins[i], 0.99)))
	}
}

func (e *excursion) add(s sample, c compare, growth float64, m TestPolicy) {
	e.sum += growth
	if e.sum <= 0 {
		*e = excursion{}
		return
	}
	e.new.add(s)
	e.old.add(c.old)
	if growth > 0 {
		e.over += c.dt
	}
	e.wait = c.thin && e.over < m.MinSparseTime && e.new.x <= m.GrossRate*e.new.n
	if e.wait {
		// Lets the sum end soon after a disturbance.
		e.sum = min(e.sum, m.AlarmEvidence+1)
	}
	e.thin = c.thin
	n := e.old.n + priorWeight
	p := (e.old.x + priorWeight*c.prior) / n
	e.ceiling = p + 2*math.Sqrt(p*(1-p)/n) + m.Margin
	total := sample{s.n + c.old.n, s.x + c.old.x}
	if total.n == 0 {
		return
	}
	part := s.n / total.n
	for i, o := range odds {
		e.paired[i] += (s.x-m.Margin*s.n)*math.Log(o) - total.x*math.Log(1+part*(o-1))
	}
}

// confirmed compares both versions over the excursion itself. The horizons react late when both
// versions are disturbed at once, and a small cell has few requests in one tick. Given the faults of a
// tick, their split between the versions doesn't depend on the common rate. Without requests of the old
// version in the excursion, its long-term rate must do.
func (e *excursion) confirmed(limit float64) bool {
	if !e.thin {
		return slices.Max(e.paired[:]) >= limit
	}
	rate := e.new.x / max(e.new.n, 1)
	return !e.wait && e.ceiling < rate && ratio(e.new, e.ceiling, min(rate, 0.999)) >= limit
}

// ratio is the log likelihood ratio of rate p1 over p0.
func ratio(s sample, p0, p1 float64) float64 {
	return s.x*math.Log(p1/p0) + (s.n-s.x)*math.Log((1-p1)/(1-p0))
}

// bad reports whether an excursion is beyond the limit and confirmed.
func (t *test) bad(limit float64) bool {
	for i := range t.alarm {
		if e := &t.alarm[i]; e.sum >= limit && e.confirmed(limit) {
			return true
		}
	}
	return false
}

// restart begins the collection of evidence for the next step.
func (t *test) restart() { t.good, t.n, t.x = [2]float64{}, 0, 0 }
