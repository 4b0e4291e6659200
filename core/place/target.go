// Package place chooses a target for each request by what the request is likely to cost, what each target still has to do,
// cached prompt prefixes and recent failures.
//
// A router knows its own requests exactly, and those of other routers from their digests and from the load that targets
// report in their answers. The routers of a failure domain rank the engines for a shared part of prompts in the same order, so
// that few engines cache it. A choice compares these owners and a few targets at random. See docs/design/placing.md.
package place

import (
	"math"
	"time"

	"geraniumsaddle/core/cold"
	"geraniumsaddle/core/cost"
	"geraniumsaddle/core/digest"
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
	// ColdRemaining is how long the target stays cold after its entry was written, if ColdKnown is set.
	ColdRemaining time.Duration
	ColdKnown     bool
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
	// ResultGone means that another target has answered at the address, and has not run the request.
	ResultGone
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
	// goneBackoff is the time for which a target gets no requests after another one has answered at its address. Its entry
	// expires in that time, unless the store is away.
	goneBackoff = 5 * time.Second
	// paceHalfLife is the time in which a report of the machine's pace loses half of its effect, because it changes many times
	// a second. minPace and maxPace bound what a target is believed.
	paceHalfLife     = 40 * time.Millisecond
	minPace, maxPace = 0.25, 8
	// speedHalfLife is the time in which the learned speed of a target returns half of the way to the usual one.
	speedHalfLife = 3 * time.Second
	// speedStep is the largest change of the learned speed with one answer, and minSpeed and maxSpeed its bounds.
	speedStep          = 0.15
	minSpeed, maxSpeed = 0.5, 4
)

// member is a target with the load and health that this router has recorded for it. It is guarded by Fleet.mu.
type member struct {
	Target
	// notice is what this start of the target has said about itself, or nil.
	notice *notice
	domain *domainState
	// cold is what is known of the target's coldness.
	cold *cold.State
	// hash is the hash of the target's ID.
	hash uint64
	// removeAt is the time at which a target whose entry disappeared during an outage of the store is removed, or zero.
	removeAt time.Time
	// workKey identifies this start of the target in digests, and own is what this router has in progress there.
	workKey digest.Key
	own     digest.Work
	// home says that the target counts among those that requests stay among.
	home bool
	// speed is the time to a first output in relation to the expected one, as of speedSetAt.
	speed      cost.Quantile
	speedSetAt time.Time
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
	case ResultGone:
		m.fullUntil = now.Add(goneBackoff)
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
	m.otherLoad = Load{Running: max(l.Running+l.Waiting-m.own.Running, 0), Waiting: l.Waiting, Slots: l.Slots, Pace: l.Pace}
	m.reportedAt = now
}

// reportedOthers returns the number of requests of other routers at the target by its last report, with a weight that falls
// linearly with the age of the report, and this age.
func (m *member) reportedOthers(now time.Time) (n float64, age time.Duration) {
	if m.reportedAt.IsZero() {
		return 0, maxLoadAge
	}
	if age = now.Sub(m.reportedAt); age >= maxLoadAge {
		return 0, age
	}
	return float64(m.otherLoad.Running) * (1 - float64(age)/float64(maxLoadAge)), age
}

// pace returns how long work takes on the target's machine in relation to the usual time. What the target last said about it
// loses half of its effect with each paceHalfLife.
func (m *member) pace(now time.Time) float64 {
	if m.otherLoad.Pace <= 0 || m.otherLoad.Pace == 100 {
		return 1
	}
	age := now.Sub(m.reportedAt)
	if age > 8*paceHalfLife {
		return 1
	}
	p := min(max(float64(m.otherLoad.Pace)/100, minPace), maxPace)
	return 1 + (p-1)*math.Exp2(-float64(age)/float64(paceHalfLife))
}

// addWork adds the work of a request, or takes it away if sign is -1.
func (m *member) addWork(w digest.Work, sign int) {
	m.own.Running += sign * w.Running
	m.own.Prefill += ident.Tokens(sign) * w.Prefill
	m.own.Output += ident.Tokens(sign) * w.Output
	m.own.Memory += ident.Tokens(sign) * w.Memory
}

// speedAt returns the time to a first output in relation to the expected one. It returns to 1 while there are no answers.
func (m *member) speedAt(now time.Time) float64 {
	if m.speed.Value() == 1 {
		return 1
	}
	if age := now.Sub(m.speedSetAt); age > 0 {
		return math.Pow(m.speed.Value(), math.Exp2(-float64(age)/float64(speedHalfLife)))
	}
	return m.speed.Value()
}

// recordFirst records the time to the first output of a request.
func (m *member) recordFirst(c *Choice, now time.Time) {
	took := time.Duration(float64(now.Sub(c.sentAt)) / m.pace(now))
	c.pool.rates.AddFirst(c.Work.Prefill+c.queued, took)
	if c.first <= 0 { // A plain service has no time to the first output.
		return
	}
	if age := now.Sub(m.speedSetAt); age > 0 && !m.speedSetAt.IsZero() {
		m.speed.Relax(1 - math.Exp2(-float64(age)/float64(speedHalfLife)))
	}
	m.speedSetAt = now
	m.speed.Add(float64(took) / float64(time.Millisecond) / c.first)
}
