package cost

import (
	"math"

	"geraniumsaddle/core/ident"
)

const (
	// maxRoutes bounds the routes whose output is remembered; the others are expected to use half of their limit.
	maxRoutes = 1024
	// lengthStep is the largest change of an expected length with one answer.
	lengthStep = 0.1
)

// Lengths learns how many output tokens the requests of each route produce, and how far off their callers' estimates are.
// It is not safe for concurrent use.
type Lengths struct {
	routes map[string]*lengths
}

type lengths struct {
	// output is the median output in tokens, and ratio the median of output to estimate.
	output, ratio Quantile
}

// NewLengths returns lengths without any knowledge.
func NewLengths() *Lengths { return &Lengths{routes: make(map[string]*lengths)} }

// Expect returns the expected output of a request in tokens, at most limit. A hint of zero means that there is none. As
// hints are often far off, the result is the geometric mean of the corrected hint and of what the route usually produces.
func (l *Lengths) Expect(route string, hint, limit ident.Tokens) ident.Tokens {
	known := l.routes[route]
	if known == nil {
		if hint > 0 {
			return min(hint, limit)
		}
		return (limit + 1) / 2
	}
	n := known.output.Value()
	if hint > 0 {
		n = math.Sqrt(n * float64(hint) * known.ratio.Value())
	}
	return min(ident.Tokens(math.Ceil(n)), limit)
}

// Add records the output of a request that was answered in full.
func (l *Lengths) Add(route string, hint, output ident.Tokens) {
	known := l.routes[route]
	if known == nil {
		if len(l.routes) >= maxRoutes || output <= 0 {
			return
		}
		const most = 1 << 20 // tokens
		known = &lengths{
			output: NewQuantile(0.5, lengthStep, float64(output), 1, most),
			ratio:  NewQuantile(0.5, lengthStep, 1, 0.1, 10),
		}
		l.routes[route] = known
	}
	known.output.Add(float64(output))
	if hint > 0 {
		known.ratio.Add(float64(output) / float64(hint))
	}
}
