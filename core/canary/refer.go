package canary

import (
	"math"
	"time"
)

// Horizons over which the reference is averaged. The shortest is one tick. The largest rate counts, so
// that a disturbance of both versions is not held against the new one.
var horizons = [...]time.Duration{0, 5 * time.Second, time.Minute}

// priorWeight is the number of requests that the long-term rate counts for in each horizon.
const priorWeight = 30

// thinPart is the part of the new version's recent requests below which the old version serves too few
// to be compared with. It is reached some seconds after a share of 100%.
const thinPart = 0.2

// weighted are counters with exponential decay.
type weighted struct {
	requests, errors float64
	latency          [kinds][LatencyBuckets]float64
}

func (w *weighted) add(keep float64, d *counts) {
	w.requests = w.requests*keep + float64(d.requests)
	w.errors = w.errors*keep + float64(d.errors)
	for k := range w.latency {
		for i := range w.latency[k] {
			w.latency[k][i] = w.latency[k][i]*keep + float64(d.latency[k][i])
		}
	}
}

// above returns the number of requests and of those slower than the step.
func above(h *[LatencyBuckets]float64, step int) (n, slow float64) {
	for i, v := range h {
		n += v
		if i > step {
			slow += v
		}
	}
	return n, slow
}

// reference describes the version that a new one is compared with, in one cell.
type reference struct {
	recent [len(horizons)]weighted
	prior  counts
	fresh  float64 // requests of the new version over the same horizon as recent[1]
}

func (r *reference) advance(dt time.Duration, fresh uint64, d, prior counts) {
	for i, h := range horizons {
		keep := 0.0
		if h > 0 {
			keep = math.Exp(-float64(dt) / float64(h))
		}
		r.recent[i].add(keep, &d)
		if i == 1 {
			r.fresh = r.fresh*keep + float64(fresh)
		}
	}
	r.prior = prior
}

func (r *reference) thin() bool { return r.recent[1].requests < thinPart*r.fresh }

func (r *reference) known() bool { return r.prior.requests > 0 }

// errors returns the rate of errors, over the horizons and over all time.
func (r *reference) errors() (rate, prior float64) {
	// A hundred imagined requests with the rate 0.2% stand in for a short history.
	prior = (float64(r.prior.errors) + 0.2) / (float64(r.prior.requests) + 100)
	rate = prior
	for i := range r.recent {
		w := &r.recent[i]
		rate = max(rate, (w.errors+priorWeight*prior)/(w.requests+priorWeight))
	}
	return rate, prior
}

// slow returns the latency step above which at most 1 - quantile of the requests were, and the rate of
// requests above it. It reports false without any measurement.
func (r *reference) slow(k kind, quantile float64) (step int, rate, prior float64, ok bool) {
	long := r.recent[len(horizons)-1].latency[k]
	total, _ := above(&long, 0)
	var all float64
	for _, v := range r.prior.latency[k] {
		all += float64(v)
	}
	if all == 0 {
		return 0, 0, 0, false
	}
	for i, v := range r.prior.latency[k] {
		long[i] += float64(v) * priorWeight / all
	}
	total += priorWeight
	rest := total
	for step = range long {
		rest -= long[step]
		if rest <= (1-quantile)*total {
			break
		}
	}
	prior = max(rest, 0) / total
	rate = prior
	for i := range r.recent {
		n, x := above(&r.recent[i].latency[k], step)
		rate = max(rate, (x+priorWeight*prior)/(n+priorWeight))
	}
	return step, rate, prior, true
}
