package canary

import (
	"math"
	"time"
)

// horizons are the time constants over which the reference is averaged; zero means the last tick alone. The largest of
// the rates is used, so that a disturbance of both versions does not count against the new one.
var horizons = [...]time.Duration{0, 5 * time.Second, time.Minute}

// priorWeight is the weight of the long-term rate in each horizon, expressed as a number of requests.
const priorWeight = 30

// sparseRatio is the ratio of the old version's recent requests to the new version's below which the old version
// serves too few for a comparison. It is reached some seconds after a share of 100%.
const sparseRatio = 0.2

// decayedCounts are counters with exponential decay.
type decayedCounts struct {
	requests, errors float64
	latency          [latencyKinds][LatencyBuckets]float64
}

func (w *decayedCounts) add(keep float64, d *counts) {
	w.requests = w.requests*keep + float64(d.requests)
	w.errors = w.errors*keep + float64(d.errors)
	for k := range w.latency {
		for i := range w.latency[k] {
			w.latency[k][i] = w.latency[k][i]*keep + float64(d.latency[k][i])
		}
	}
}

// countAbove returns the number of requests and of those above the bucket.
func countAbove(h *[LatencyBuckets]float64, bucket int) (n, slow float64) {
	for i, v := range h {
		n += v
		if i > bucket {
			slow += v
		}
	}
	return n, slow
}

// reference describes the versions that a new one is compared with, in one segment.
type reference struct {
	recent      [len(horizons)]decayedCounts
	prior       counts
	newRequests float64 // requests of the new version over the same horizon as recent[1]
}

func (r *reference) advance(dt time.Duration, newRequests uint64, d, prior counts) {
	for i, h := range horizons {
		keep := 0.0
		if h > 0 {
			keep = math.Exp(-float64(dt) / float64(h))
		}
		r.recent[i].add(keep, &d)
		if i == 1 {
			r.newRequests = r.newRequests*keep + float64(newRequests)
		}
	}
	r.prior = prior
}

func (r *reference) isSparse() bool { return r.recent[1].requests < sparseRatio*r.newRequests }

func (r *reference) hasHistory() bool { return r.prior.requests > 0 }

// errorRates returns the largest error rate over the horizons, and the rate over all time.
func (r *reference) errorRates() (rate, prior float64) {
	// 100 pseudo-requests at an error rate of 0.2% keep the rate stable while the history is short.
	prior = (float64(r.prior.errors) + 0.2) / (float64(r.prior.requests) + 100)
	rate = prior
	for i := range r.recent {
		w := &r.recent[i]
		rate = max(rate, (w.errors+priorWeight*prior)/(w.requests+priorWeight))
	}
	return rate, prior
}

// slowRates returns the lowest latency bucket above which at most 1 - quantile of the requests lie, the largest rate
// of requests above it over the horizons, and the long-term rate. It reports false without any measurement.
func (r *reference) slowRates(k latencyKind, quantile float64) (bucket int, rate, prior float64, ok bool) {
	long := r.recent[len(horizons)-1].latency[k]
	total, _ := countAbove(&long, 0)
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
	for bucket = range long {
		rest -= long[bucket]
		if rest <= (1-quantile)*total {
			break
		}
	}
	prior = max(rest, 0) / total
	rate = prior
	for i := range r.recent {
		n, x := countAbove(&r.recent[i].latency[k], bucket)
		rate = max(rate, (x+priorWeight*prior)/(n+priorWeight))
	}
	return bucket, rate, prior, true
}
