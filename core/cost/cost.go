// Package cost learns from answers how long work takes at targets and how much output to expect.
//
// All values are running quantiles, so that a few answers that are far off, or a target that reports nonsense, move them by a
// bounded step each. The package does no I/O and reads no clock.
package cost

import "math"

// Quantile estimates a quantile of positive samples. It moves up or down by a fixed ratio with each sample, whatever the
// distance of the sample. The zero value isn't usable; see NewQuantile.
type Quantile struct {
	value, low, high float64
	up, down         float64
}

// NewQuantile returns an estimate of the quantile q, between 0 and 1, that begins at start and stays between low and high.
// A sample moves it by at most the ratio step, such as 0.05.
func NewQuantile(q, step, start, low, high float64) Quantile {
	return Quantile{value: start, low: low, high: high, up: 1 + step*q, down: 1 - step*(1-q)}
}

// Add records a sample. Samples that are not positive numbers are ignored.
func (e *Quantile) Add(sample float64) {
	switch {
	case !(sample > 0) || math.IsInf(sample, 1):
		return
	case sample > e.value:
		e.value = min(e.value*e.up, e.high)
	case sample < e.value:
		e.value = max(e.value*e.down, e.low)
	}
}

// Value returns the estimate.
func (e *Quantile) Value() float64 { return e.value }

// Relax moves the estimate towards 1 by a share between 0 and 1, on a logarithmic scale.
func (e *Quantile) Relax(share float64) { e.value = math.Pow(e.value, 1-share) }
