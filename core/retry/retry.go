// Package retry limits a router to its part of the fleet's budget for retries, which send a request to a second target.
//
// In any window the fleet may send at most as many retries as a share of its requests plus a fixed allowance. Each
// router stays within the same share of its own requests and its part of the allowance, so that the fleet's bound holds
// without messages between routers.
package retry

import "time"

// buckets is the number of counters of the sliding window. The window is as long as buckets-1 of them; the additional
// one keeps the oldest counts while they leave the window. More buckets make the window finer.
const buckets = 20

// Config holds the fleet's bounds and what a router knows at its start.
type Config struct {
	Window time.Duration
	// Ratio is the number of retries that each request permits.
	Ratio float64
	// Allowance is the number of retries that the fleet may send in a window regardless of its requests.
	Allowance float64
	// NoRecentRetries says that no earlier process of this VM can have sent retries in the window before the start.
	// Otherwise the allowance may be used only after a whole window.
	NoRecentRetries bool
}

// Budget counts the requests and the retries of one service. It is not safe for concurrent use.
type Budget struct {
	cfg          Config
	start        time.Time
	newestBucket int64 // number of the newest bucket, counted from start
	requests     [buckets]int
	retries      [buckets]int
}

// New returns a budget without counts that starts at now.
func New(cfg Config, now time.Time) *Budget {
	return &Budget{cfg: cfg, start: now}
}

// Configure changes the bounds and keeps the counts. A Config with a different window is ignored, because the counts
// belong to the current one.
func (b *Budget) Configure(cfg Config) {
	if cfg.Window == b.cfg.Window {
		b.cfg = cfg
	}
}

// RecordRequest counts a caller's request.
func (b *Budget) RecordRequest(now time.Time) {
	b.advance(now)
	b.requests[b.newestBucket%buckets]++
}

// Allow reports whether one more retry fits this router's part of the fleet's budget, and counts it if so. Retries are
// summed over all buckets, and requests over all but the oldest, which may already have left the window.
func (b *Budget) Allow(now time.Time, routers int) bool {
	b.advance(now)
	requests, retries := 0, 0
	for i := range buckets {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	requests -= b.requests[(b.newestBucket+1)%buckets]
	limit := b.cfg.Ratio * float64(requests)
	if b.cfg.NoRecentRetries || now.Sub(b.start) >= b.cfg.Window {
		limit += b.cfg.Allowance / float64(max(routers, 1))
	}
	if float64(retries+1) > limit {
		return false
	}
	b.retries[b.newestBucket%buckets]++
	return true
}

// advance clears the buckets that have left the window.
func (b *Budget) advance(now time.Time) {
	bucket := int64(now.Sub(b.start) / (b.cfg.Window / (buckets - 1)))
	if bucket-b.newestBucket >= buckets {
		b.requests, b.retries = [buckets]int{}, [buckets]int{}
		b.newestBucket = bucket
		return
	}
	for b.newestBucket < bucket {
		b.newestBucket++
		b.requests[b.newestBucket%buckets] = 0
		b.retries[b.newestBucket%buckets] = 0
	}
}
