// Package retry holds a router's part of the fleet's budget for sending requests to a second target.
//
// The fleet may send, in any window, a share of the requests plus a fixed allowance more often than once. Each router
// keeps to the same share of its own requests and to its part of the allowance, so that the sum holds without any
// message between routers.
package retry

import "time"

// buckets divide the window. More buckets make the sliding window finer.
const buckets = 20

// Config holds the fleet's bounds.
type Config struct {
	Window time.Duration
	// Ratio is the number of repeats for each request.
	Ratio float64
	// Allowance is the number of repeats of the fleet in a window that need no request.
	Allowance float64
	// NoRecentRetries says that no earlier process of this VM can have repeated requests in the window before the start.
	NoRecentRetries bool
}

// Budget counts the requests and the repeats of one service. It isn't safe for concurrent use.
type Budget struct {
	cfg      Config
	start    time.Time
	slot     int64
	requests [buckets]int
	repeats  [buckets]int
}

// New returns a budget that starts now.
func New(cfg Config, now time.Time) *Budget {
	return &Budget{cfg: cfg, start: now}
}

// Configure changes the bounds and keeps what was counted. Another window is refused, because the counts are of the
// present one.
func (b *Budget) Configure(cfg Config) {
	if cfg.Window == b.cfg.Window {
		b.cfg = cfg
	}
}

// Request counts a request of a caller.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.requests[b.slot%buckets]++
}

// Allow counts one more repeat and reports true if it fits the part of one of n routers. The repeats are counted over
// the whole window and the requests over all but its oldest bucket, which may already have left the window.
func (b *Budget) Allow(now time.Time, n int) bool {
	b.advance(now)
	requests, repeats := 0, 0
	for i := range buckets {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	requests -= b.requests[(b.slot+1)%buckets]
	limit := b.cfg.Ratio * float64(requests)
	if b.cfg.NoRecentRetries || now.Sub(b.start) >= b.cfg.Window {
		limit += b.cfg.Allowance / float64(max(n, 1))
	}
	if float64(repeats+1) > limit {
		return false
	}
	b.repeats[b.slot%buckets]++
	return true
}

// advance empties the buckets that have left the window.
func (b *Budget) advance(now time.Time) {
	slot := int64(now.Sub(b.start) / (b.cfg.Window / (buckets - 1)))
	if slot-b.slot >= buckets {
		b.requests, b.repeats = [buckets]int{}, [buckets]int{}
		b.slot = slot
		return
	}
	for b.slot < slot {
		b.slot++
		b.requests[b.slot%buckets] = 0
		b.repeats[b.slot%buckets] = 0
	}
}
