package target

import (
	"sync/atomic"
	"time"
)

// maxLoadAge is the age at which a load report says no more about one target than the average does.
const maxLoadAge = 10 * time.Second

// sharedState is the part of a target's state that traffic and control goroutines share. It outlives snapshots.
type sharedState struct {
	inflight   atomic.Int64 // requests of this router
	packedLoad atomic.Uint64
	// serial identifies the target in cache hints. Changing it invalidates all hints about the target.
	serial atomic.Uint32
	// failureStreak counts the failures since the last success.
	failureStreak atomic.Uint32
	successes     atomic.Uint64
	// trialTaken is set from the start of the trial request of a half-open target until Build has processed its result.
	// A neutral result clears it at once.
	trialTaken atomic.Bool
	_          [23]byte // padding to a cache line, which prevents false sharing
}

// versionStats holds the numbers of requests at the targets of a pool that have one version loaded.
type versionStats struct {
	inflight      atomic.Int64
	otherRequests atomic.Int64 // reported requests of other routers
}

const (
	loadTimeBits = 40 // 34 years of milliseconds
	loadTimeMask = 1<<loadTimeBits - 1
	loadMax      = 1<<(64-loadTimeBits) - 1
)

// packLoad packs the requests of other routers and the time of the report into one word, so that a reader never sees
// one without the other. The result is never zero, which stands for no report.
func packLoad(otherRequests int64, asOf time.Duration) uint64 {
	otherRequests = min(max(otherRequests, 0), loadMax)
	ms := min(max(asOf.Milliseconds(), 1), loadTimeMask)
	return uint64(otherRequests)<<loadTimeBits | uint64(ms)
}

func unpackLoad(w uint64) (otherRequests int64, asOf time.Duration) {
	return int64(w >> loadTimeBits), time.Duration(w&loadTimeMask) * time.Millisecond
}

// estimatedRequests returns the expected number of requests at the target. As the report ages, the reported requests of other
// routers converge to the average of the version.
func (s *sharedState) estimatedRequests(now time.Duration, average float64) float64 {
	own := float64(s.inflight.Load())
	w := s.packedLoad.Load()
	if w == 0 {
		return own + average
	}
	otherRequests, asOf := unpackLoad(w)
	age := max(now-asOf, 0)
	if age >= maxLoadAge {
		return own + average
	}
	fresh := 1 - float64(age)/float64(maxLoadAge)
	return own + average + (float64(otherRequests)-average)*fresh
}
