package canary

import (
	"math"
	"time"
)

const (
	// LatencyBuckets is the number of latency steps of each kind.
	LatencyBuckets = 24
	// firstEdge is the upper edge of the lowest step. Three steps double the latency, so the edges
	// reach from 1 ms to 3 minutes.
	firstEdge    = time.Millisecond
	stepsPerFold = 3
)

// edges are the upper edges of the latency steps. The last step is open.
var edges = func() [LatencyBuckets]time.Duration {
	var e [LatencyBuckets]time.Duration
	for i := range e {
		e[i] = time.Duration(float64(firstEdge) * math.Exp2(float64(i)/stepsPerFold))
	}
	return e
}()

// stepOf returns the latency step of d.
func stepOf(d time.Duration) int {
	lo, hi := 0, LatencyBuckets-1
	for lo < hi {
		mid := (lo + hi) / 2
		if d <= edges[mid] {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	return lo
}

// bandEdges are the utilisations of a pool at which the load bands begin. The bands are narrower near
// saturation, where queueing delay grows fastest.
var bandEdges = [...]float64{0.5, 0.8, 0.95}

// LoadBand maps the utilisation of a pool, in-flight requests over capacity, to a load band.
func LoadBand(utilisation float64) uint8 {
	for i, e := range bandEdges {
		if utilisation < e {
			return uint8(i)
		}
	}
	return uint8(len(bandEdges))
}
