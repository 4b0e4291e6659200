package cold

import "time"

// firstShare is the share of its choices that a failure domain gets at the start of a ramp.
const firstShare = 0.1

// Ramp raises the share of the choices for which a failure domain is considered from firstShare to all of them. It is not
// safe for concurrent use.
type Ramp struct {
	start    time.Time
	duration time.Duration
	// credit is the part of a choice that the share has left over.
	credit float64
}

// NewRamp returns a ramp that takes a while from its start.
func NewRamp(start time.Time, duration time.Duration) *Ramp {
	return &Ramp{start: start, duration: duration}
}

// Done reports whether the ramp is over.
func (r *Ramp) Done(now time.Time) bool { return now.Sub(r.start) >= r.duration }

// Admit reports whether the failure domain is considered for the next choice.
func (r *Ramp) Admit(now time.Time) bool {
	r.credit += r.share(now)
	// The sum of shares is inexact.
	const tolerance = 1e-9
	if r.credit < 1-tolerance {
		return false
	}
	r.credit--
	return true
}

func (r *Ramp) share(now time.Time) float64 {
	if r.Done(now) {
		return 1
	}
	return firstShare + (1-firstShare)*float64(max(now.Sub(r.start), 0))/float64(r.duration)
}
