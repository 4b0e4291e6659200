// Package place chooses a target for each request: which engine has room and already keeps the prompt, and which
// targets currently fail.
//
// A router knows its own requests exactly, and those of the other routers only from the load that targets report with
// their answers. All routers rank the engines of a prompt in the same order, so that a shared prompt is kept by few
// engines without any message between routers.
package place

import (
	"math"
	"time"

	"geraniumsaddle/core/ident"
)

// State is the lifecycle state of a target.
type State uint8

// The states of targets. A target that is gone has no entry.
const (
	// Serving targets take requests.
	Serving State = iota
	// Leaving targets finish their requests and take no new ones.
	Leaving
)

// Target is an engine or an instance of a plain service.
type Target struct {
	ID      ident.TargetID
	Service ident.ServiceID
	// Addr is the IP number and port. Another target may get it later.
	Addr    string
	Domain  ident.DomainID
	Version ident.VersionID
	State   State
	// Slots is the number of requests that run at once.
	Slots int
	// Born is the Unix millisecond of the start, or zero. It tells two starts under one id apart.
	Born int64
}

// Load is what a target reports of itself.
type Load struct {
	Running, Waiting, Slots int
}

// Result is what became of a request, as far as it tells about its target.
type Result uint8

// The results of requests.
const (
	// Neutral says nothing, for example when the caller left.
	Neutral Result = iota
	// OK means that the target answered.
	OK
	// Full means that the target refused the request without running it.
	Full
	// Failed means an error of the target or of the connection to it.
	Failed
	// Unreachable means that no connection could be opened.
	Unreachable
)

const (
	// failHalfLife is the time after which a failure counts half.
	failHalfLife = 2 * time.Second
	// failWeight is the part of the failure rate that the newest result decides.
	failWeight = 0.3
	// backoffFirst and backoffMost bound the time in which an unreachable target gets no request.
	backoffFirst = 500 * time.Millisecond
	backoffMost  = 4 * time.Second
	// suspectAfter is the number of targets of one failure domain that cannot be reached before all of them count as cut
	// off, and suspectFor how long that holds without a further one.
	suspectAfter = 2
	suspectFor   = time.Second
	// loadAge is the age from which a load report says nothing any more. Requests of engines last seconds.
	loadAge = 1500 * time.Millisecond
	// fullPause is the time in which a target that refused a request as full is left alone.
	fullPause = 100 * time.Millisecond
)

// member is a target with what this router knows about it. The fleet's lock guards it.
type member struct {
	Target
	// hash is that of the target's id.
	hash uint64
	// lapsed is the time at which an entry that vanished in an outage of the store counts as gone, or zero.
	lapsed time.Time
	// running and prefill are this router's requests and the prompt tokens of those without a first event.
	running int
	prefill ident.Tokens
	// others is the load of other routers at the time of the last report.
	others     Load
	reportedAt time.Time
	// failing is the recent rate of failures at failedAt, and backoff the number of failed connections in a row.
	failing      float64
	failedAt     time.Time
	backoff      int
	backoffUntil time.Time
	fullUntil    time.Time
}

// failRate returns the recent rate of failures, which decays with time so that the target is tried again.
func (m *member) failRate(now time.Time) float64 {
	if m.failing == 0 {
		return 0
	}
	return m.failing * math.Exp2(-float64(now.Sub(m.failedAt))/float64(failHalfLife))
}

func (m *member) record(r Result, now time.Time) {
	switch r {
	case Neutral:
	case OK:
		m.backoff = 0
		m.failing = m.failRate(now) * (1 - failWeight)
		m.failedAt = now
	case Full:
		m.fullUntil = now.Add(fullPause)
	case Failed:
		m.failing = m.failRate(now)*(1-failWeight) + failWeight
		m.failedAt = now
	case Unreachable:
		pause := min(backoffFirst<<min(m.backoff, 4), backoffMost)
		m.backoff++
		m.backoffUntil = now.Add(pause)
	}
}

// report takes the load of a target. This router's own requests are known exactly and left out.
func (m *member) report(l Load, now time.Time) {
	m.others = Load{Running: max(l.Running+l.Waiting-m.running, 0), Waiting: l.Waiting, Slots: l.Slots}
	m.reportedAt = now
}

// busy estimates the requests that the target holds.
func (m *member) busy(now time.Time) float64 {
	age := now.Sub(m.reportedAt)
	if m.reportedAt.IsZero() || age >= loadAge {
		return float64(m.running)
	}
	return float64(m.running) + float64(m.others.Running)*(1-float64(age)/float64(loadAge))
}
