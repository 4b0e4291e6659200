package canary

import (
	"geraniumsaddle/core/ident"
)

// Cell holds the cumulative counters of one router for one version, route and load band. Its fields are those of the
// wire type, so that the two types convert into each other.
type Cell struct {
	Router   ident.RouterID
	Version  ident.VersionID
	Route    string
	Band     uint8
	Requests uint64
	Errors   uint64
	// Timed counts requests with a time to first token. Slow is always zero, because Latency holds the distribution.
	Timed uint64
	Slow  uint64
	// Latency holds LatencyBuckets counts of the time to first token, followed by as many of the time between tokens.
	// Trailing zeros may be missing.
	Latency []uint64
}

// latencyKind selects one of the measured latencies.
type latencyKind int

const (
	firstToken latencyKind = iota
	betweenTokens
	latencyKinds
)

// histogram counts requests by latency bucket.
type histogram [LatencyBuckets]uint64

// counts are the counters of a cell.
type counts struct {
	requests, errors uint64
	latency          [latencyKinds]histogram
}

func countsOf(c Cell) counts {
	n := counts{requests: c.Requests, errors: min(c.Errors, c.Requests)}
	for i, v := range c.Latency {
		if k := i / LatencyBuckets; k < int(latencyKinds) {
			n.latency[k][i%LatencyBuckets] = v
		}
	}
	return n
}

// mergeMax raises each counter to the larger of the two values and returns the increase.
func (n *counts) mergeMax(to counts) counts {
	var d counts
	d.requests = raiseTo(&n.requests, to.requests)
	d.errors = raiseTo(&n.errors, to.errors)
	for k := range n.latency {
		for i := range n.latency[k] {
			d.latency[k][i] = raiseTo(&n.latency[k][i], to.latency[k][i])
		}
	}
	return d
}

func raiseTo(v *uint64, to uint64) uint64 {
	if to <= *v {
		return 0
	}
	d := to - *v
	*v = to
	return d
}

func (n *counts) add(d counts) {
	n.requests += d.requests
	n.errors += d.errors
	for k := range n.latency {
		for i, v := range d.latency[k] {
			n.latency[k][i] += v
		}
	}
}

// since returns the increase over an earlier value of the same counters.
func (n counts) since(old counts) counts { return old.mergeMax(n) }
