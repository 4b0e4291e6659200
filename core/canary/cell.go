package canary

import (
	"geraniumsaddle/core/ident"
)

// Cell holds the cumulative counters of one router for one version, route and load band. Its fields
// are those of the wire type, so that the two convert into each other.
type Cell struct {
	Router   ident.RouterID
	Version  ident.VersionID
	Route    string
	Band     uint8
	Requests uint64
	Errors   uint64
	// Timed counts requests with a time to first token. Slow is left at zero, because Latency says more.
	Timed uint64
	Slow  uint64
	// Latency holds LatencySteps counts of the time to first token and as many of the time between
	// tokens. Zeros at the end may be missing.
	Latency []uint64
}

// kind is a measured latency.
type kind int

const (
	firstToken kind = iota
	betweenTokens
	kinds
)

// hist counts requests by latency step.
type hist [LatencyBuckets]uint64

// counts are the counters of a cell.
type counts struct {
	requests, errors uint64
	latency          [kinds]hist
}

func countsOf(c Cell) counts {
	n := counts{requests: c.Requests, errors: min(c.Errors, c.Requests)}
	for i, v := range c.Latency {
		if k := i / LatencyBuckets; k < int(kinds) {
			n.latency[k][i%LatencyBuckets] = v
		}
	}
	return n
}

// raise sets each counter to the larger value and returns the growth.
func (n *counts) raise(to counts) counts {
	var d counts
	d.requests = raise(&n.requests, to.requests)
	d.errors = raise(&n.errors, to.errors)
	for k := range n.latency {
		for i := range n.latency[k] {
			d.latency[k][i] = raise(&n.latency[k][i], to.latency[k][i])
		}
	}
	return d
}

func raise(v *uint64, to uint64) uint64 {
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

// since returns the growth over an earlier value of the same counters.
func (n counts) since(old counts) counts { return old.raise(n) }
