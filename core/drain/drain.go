// Package drain decides what a router that shuts down still does. It does no I/O and reads no clock.
//
// A request that is passed on and then cut off may have run, and its caller can't tell. A router that shuts down
// therefore passes a late request on only if it ends in time by its own deadline, and refuses any other one as not run.
package drain

import "time"

const (
	// closeDelay is the time until the listener closes. It is long enough for the load balancer to see twice that the
	// router is not ready.
	closeDelay = 2500 * time.Millisecond
	// freeTime is the time within which a router still takes any request: one that is sent within 3 s of the signal may
	// be cut off at the end. The signal may be handled late by the rest.
	freeTime = 3*time.Second - 250*time.Millisecond
	// exitMargin is the end of the grace period that is reserved for the last write to the ledger and the exit of the
	// process. Requests may be cut off only in the last sixth of the grace period, so it is no longer than that.
	exitMargin      = 700 * time.Millisecond
	exitMarginShare = 6
)

// Plan is the schedule of a graceful shutdown.
type Plan struct {
	// CloseAt is when the listener and the idle connections close.
	CloseAt time.Time
	// FreeUntil is the time until which any request is passed on. One that is passed on later must have a deadline that
	// is not after CutAt.
	FreeUntil time.Time
	// CutAt is when the running requests are cut off.
	CutAt time.Time
	// ExitAt is when the process must have ended.
	ExitAt time.Time
}

// NewPlan returns the schedule of a shutdown that began at start, with the time until the process is killed.
func NewPlan(start time.Time, grace time.Duration) Plan {
	return Plan{
		CloseAt:   start.Add(min(closeDelay, grace/2)),
		FreeUntil: start.Add(min(freeTime, grace/2)),
		CutAt:     start.Add(grace - min(exitMargin, grace/exitMarginShare)),
		ExitAt:    start.Add(grace),
	}
}

// Admits reports whether a request with the given deadline may be passed on to a target now.
func (p Plan) Admits(now, deadline time.Time) bool {
	return now.Before(p.FreeUntil) || !deadline.After(p.CutAt)
}
