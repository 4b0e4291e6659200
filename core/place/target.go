// Package place chooses a target for each request by load, cached prompt prefixes and recent failures.
//
// A router knows its own requests exactly, and those of other routers only from the load that targets report in their
// answers. All routers rank the engines for a prompt in the same order, so a shared prompt is cached on few engines
// without messages between routers.
package place

import (
	"math"
	"time"

	"geraniumsaddle/core/ident"
)

// State is the lifecycle state of a target.
type State uint8

// The states of targets. A target that has stopped has no entry.
const (
	// Serving targets take requests.
	Serving State = iota
	// Leaving targets finish their running requests and take no new ones.
	Leaving
)

// Target is an engine or an instance of a plain service.
type Target struct {
	ID      ident.TargetID
	Service ident.ServiceID
	// Addr is the IP address and port. A different target may reuse it later.
	Addr    string
	Domain  ident.DomainID
	Version ident.VersionID
	State   State
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Born is the start time in Unix milliseconds, or zero if unknown. It distinguishes two starts under the same ID.
	Born int64
}

// Load is the load that a target reports about itself.
type Load struct {
	Running, Waiting, Slots int
	// Pace is how long work takes on the target's machine now, in percent of the usual time, or zero if unknown.
	Pace int
}

// Result is the outcome of a request as far as it concerns the health of the target.
type Result uint8

// The results of requests.
const (
	// ResultNeutral says nothing about the target, for example because the caller disconnected.
	ResultNeutral Result = iota
	// ResultOK means that the target answered.
	ResultOK
	// ResultFull means that the target refused the request without running it.
	ResultFull
	// ResultFailed means an error of the target or of the connection to it.
	ResultFailed
	// ResultUnreachable means that no connection to the target could be opened.
	ResultUnreachable
)

const (
	// failureHalfLife is the half-life of the failure rate while there are no new results.
	failureHalfLife = 2 * time.Second
	// failureWeight is the weight of the newest result in the moving average of the failure rate.
	failureWeight = 0.3
	// initialBackoff and maxBackoff bound the time for which an unreachable target is avoided. It doubles with each
	// consecutive failure.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// suspectThreshold is the number of unreachable targets from which their whole failure domain counts as
	// unreachable, and suspectDuration is how long it counts so after the last failure.
	suspectThreshold = 2
	suspectDuration  = time.Second
	// maxLoadAge is the age from which a load report is ignored. Engine requests last seconds, so an older report no
	// longer describes the load.
	maxLoadAge = 1500 * time.Millisecond
	// fullBackoff is the time for which a target that refused a request as full gets no further requests.
	fullBackoff = 100 * time.Millisecond
)

// member is a target with the load and health that this router has recorded for it. It is guarded by Fleet.mu.
type member struct {
	Target
	// notice is what this start of the target has said about itself, or nil.
	notice *notice
	// hash is the hash of the target's ID.
	hash uint64
	// removeAt is the time at which a target whose entry disappeared during an outage of the store is removed, or zero.
	removeAt time.Time
	// running is the number of this router's requests at the target, and pendingPrefill the number of prompt tokens
	// that the target still has to read for them.
	running        int
	pendingPrefill ident.Tokens
	// otherLoad is the load from other routers as of reportedAt.
	otherLoad  Load
	reportedAt time.Time
	// failureRate is the moving average of failures as of failureRateAt, and connectFailures the number of consecutive
	// failures to connect.
	failureRate     float64
	failureRateAt   time.Time
	connectFailures int
	backoffUntil    time.Time
	fullUntil       time.Time
}

// decayedFailureRate returns the failure rate at the given time. It decays so that the target is eventually tried
// again.
func (m *member) decayedFailureRate(now time.Time) float64 {
	if m.failureRate == 0 {
		return 0
	}
	return m.failureRate * math.Exp2(-float64(now.Sub(m.failureRateAt))/float64(failureHalfLife))
}

func (m *member) recordResult(r Result, now time.Time) {
	switch r {
	case ResultNeutral:
	case ResultOK:
		m.connectFailures = 0
		m.failureRate = m.decayedFailureRate(now) * (1 - failureWeight)
		m.failureRateAt = now
	case ResultFull:
		m.fullUntil = now.Add(fullBackoff)
	case ResultFailed:
		m.failureRate = m.decayedFailureRate(now)*(1-failureWeight) + failureWeight
		m.failureRateAt = now
	case ResultUnreachable:
		backoff := min(initialBackoff<<min(m.connectFailures, 4), maxBackoff)
		m.connectFailures++
		m.backoffUntil = now.Add(backoff)
	}
}

// recordLoad records a load report. It subtracts this router's own requests, which are known exactly.
func (m *member) recordLoad(l Load, now time.Time) {
	m.otherLoad = Load{Running: max(l.Running+l.Waiting-m.running, 0), Waiting: l.Waiting, Slots: l.Slots}
	m.reportedAt = now
}

// estimatedRequests returns the estimated number of requests at the target: this router's own, and those of other
// routers with a weight that falls linearly with the age of the report.
func (m *member) estimatedRequests(now time.Time) float64 {
	age := now.Sub(m.reportedAt)
	if m.reportedAt.IsZero() || age >= maxLoadAge {
		return float64(m.running)
	}
	return float64(m.running) + float64(m.otherLoad.Running)*(1-float64(age)/float64(maxLoadAge))
}
