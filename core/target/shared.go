package target

import (
	"sync/atomic"
	"time"
)

// loadHorizon is the age at which a load report says no more about one target than the average does.
const loadHorizon = 10 * time.Second

// live is the part of a target that traffic and control goroutines share. It outlives snapshots.
type live struct {
	inflight atomic.Int64 // requests of this router
	load     atomic.Uint64
	// serial is the number under which cache hints name the target. A new number drops all hints.
	serial atomic.Uint32
	// streak counts failures since the last success.
	streak atomic.Uint32
	oks    atomic.Uint64
	// trial is set while a half-open target has its trial request, until Build has seen the result.
	trial atomic.Bool
	_     [23]byte // a cache line for each target
}

// stat sums over all targets that have one version loaded.
type stat struct {
	inflight atomic.Int64
	others   atomic.Int64 // reported requests of other routers
}

const (
	loadTimeBits = 40 // 34 years of milliseconds
	loadTimeMask = 1<<loadTimeBits - 1
	loadMax      = 1<<(64-loadTimeBits) - 1
)

// packLoad stores the requests of other routers and the report's time in one word, so that a reader
// never sees one without the other. Zero means that there is no report.
func packLoad(others int64, asOf time.Duration) uint64 {
	others = min(max(others, 0), loadMax)
	ms := min(max(asOf.Milliseconds(), 1), loadTimeMask)
	return uint64(others)<<loadTimeBits | uint64(ms)
}

func unpackLoad(w uint64) (others int64, asOf time.Duration) {
	return int64(w >> loadTimeBits), time.Duration(w&loadTimeMask) * time.Millisecond
}

// estimate returns the expected number of requests at the target. The reported requests of other
// routers move towards the average of the version as the report ages.
func (l *live) estimate(now time.Duration, average float64) float64 {
	own := float64(l.inflight.Load())
	w := l.load.Load()
	if w == 0 {
		return own + average
	}
	others, asOf := unpackLoad(w)
	age := max(now-asOf, 0)
	if age >= loadHorizon {
		return own + average
	}
	fresh := 1 - float64(age)/float64(loadHorizon)
	return own + average + (float64(others)-average)*fresh
}
