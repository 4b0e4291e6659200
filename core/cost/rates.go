package cost

import (
	"time"

	"geraniumsaddle/core/ident"
)

const (
	// minPrefillSample is the number of prompt tokens from which the time to the first output tells the rate of prefill. Less
	// than that is lost in the time of single steps.
	minPrefillSample = 1000
	// rateStep is the largest change of a rate with one answer.
	rateStep = 0.04
)

// Rates holds how long work takes at the usual target of a service. Times are in milliseconds.
type Rates struct {
	prefill, output, hold Quantile
}

// NewRates returns rates that are right within an order of magnitude, until answers correct them.
func NewRates() Rates {
	return Rates{
		// Queues that a router doesn't know of make answers later, so that the lower quartile tells the rate.
		prefill: NewQuantile(0.25, rateStep, 1.0/50, 1.0/1000, 1),
		output:  NewQuantile(0.5, rateStep, 6, 0.1, 200),
		hold:    NewQuantile(0.5, rateStep, 500, 1, 60_000),
	}
}

// Prefill returns the time in which a target reads prompt tokens, in milliseconds.
func (r *Rates) Prefill(n float64) float64 { return n * r.prefill.Value() }

// Output returns the time from one output token of a request to its next one, in milliseconds.
func (r *Rates) Output() float64 { return r.output.Value() }

// Hold returns the time for which a request is at a target, in milliseconds.
func (r *Rates) Hold() float64 { return r.hold.Value() }

// AddFirst records the time to the first output of a request for which a target had to read n prompt tokens in all.
func (r *Rates) AddFirst(n ident.Tokens, d time.Duration) {
	if n >= minPrefillSample {
		r.prefill.Add(milliseconds(d) / float64(n))
	}
}

// AddOutput records the time from the first to the last of n output tokens.
func (r *Rates) AddOutput(n ident.Tokens, d time.Duration) {
	if n > 0 {
		r.output.Add(milliseconds(d) / float64(n))
	}
}

// AddHold records for how long a request was at a target.
func (r *Rates) AddHold(d time.Duration) { r.hold.Add(milliseconds(d)) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
