package canary

import (
	"math"
	"time"
)

const (
	// LatencyBuckets is the number of latency buckets of each kind.
	LatencyBuckets = 54
	// firstBound is the upper bound of the lowest bucket. Three buckets double the latency, so the bounds of the
	// buckets reach from 1 ms to more than 3 minutes.
	firstBound         = time.Millisecond
	bucketsPerDoubling = 3
)

// bucketBounds are the upper bounds of the latency buckets. The last bucket also holds all larger latencies.
var bucketBounds = func() [LatencyBuckets]time.Duration {
	var e [LatencyBuckets]time.Duration
	for i := range e {
		e[i] = time.Duration(float64(firstBound) * math.Exp2(float64(i)/bucketsPerDoubling))
	}
	return e
}()

// bucketOf returns the latency bucket of d.
func bucketOf(d time.Duration) int {
	lo, hi := 0, LatencyBuckets-1
	for lo < hi {
		mid := (lo + hi) / 2
		if d <= bucketBounds[mid] {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	return lo
}

// bandBounds are the utilisations of a pool at which the load bands above the lowest begin. The bands are narrower
// near saturation, where queueing delay grows fastest.
var bandBounds = [...]float64{0.5, 0.8, 0.95}

// LoadBand maps the utilisation of a pool, in-flight requests over capacity, to a load band.
func LoadBand(utilisation float64) uint8 {
	for i, e := range bandBounds {
		if utilisation < e {
			return uint8(i)
		}
	}
	return uint8(len(bandBounds))
}
