// Package trial decides whether a release on the users' platform is completed or rolled back. The operator starts
// targets of a new version beside the old ones and expects the traffic to move to them within a time window.
//
// Each router counts the results of both versions and reads the counts of the other routers from the store. While the
// new version is on trial, it gets a small share of the requests. A router that sees it fail stops sending it requests
// at once and permanently, whatever the other routers have seen. If the combined counts show the version good, the
// traffic moves shortly before the end of the window, and the release is completed once the routers have drained the
// old targets. A version that has not been shown good in time is rolled back.
//
// The package does no I/O and reads no clock.
package trial

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"geraniumsaddle/core/ident"
)

// Format is the version of the stored evidence format that this program reads and writes.
const Format = 1

// ErrFormat means that the evidence has another format, for example because a newer program has written it.
var ErrFormat = errors.New("evidence has an unknown format")

const (
	// trialShare is the share of the requests that a version on trial gets. It is half of the share that a bad version
	// may get in total.
	trialShare = 0.05
	// The following are fractions of the release's time window. At moveFraction the traffic moves to a good version;
	// this is late, so that a bad version that fails only under the full load has little time to do so. At
	// rollbackFraction a version that has not been shown good is rolled back. At completeFraction the release is
	// completed even if a router has not reported that it has drained the old targets.
	moveFraction     = 0.85
	completeFraction = 0.95
	rollbackFraction = 0.93
	// minRequests is the number of requests of the new version that must be counted before it can count as good.
	minRequests = 20
	// acceptableFactor and acceptableMargin determine the rate of bad answers that still counts as good, relative to
	// that of the old version. badFailureShare is the share of the remaining answers that a bad version is assumed to
	// spoil.
	acceptableFactor = 1.5
	acceptableMargin = 0.02
	badFailureShare  = 0.35
	// logLikelihoodThreshold is the natural logarithm of the likelihood ratio from which a version counts as bad. At 7,
	// about one good version in a thousand is rejected.
	logLikelihoodThreshold = 7
)

// Counts counts the answers of one version. The counts never decrease.
type Counts struct {
	Requests int `json:"requests"`
	Failures int `json:"failures"`
	Slow     int `json:"slow"`
}

func (c Counts) add(o Counts) Counts {
	return Counts{c.Requests + o.Requests, c.Failures + o.Failures, c.Slow + o.Slow}
}

// Observation holds the results of a release that one router has observed.
type Observation struct {
	New Counts `json:"new"`
	Old Counts `json:"old"`
	// Bad says that the router has rejected the new version. It is final.
	Bad bool `json:"bad,omitempty"`
	// Drained says that the router sends no requests to old targets and has none running there.
	Drained bool `json:"left,omitempty"`
}

// Evidence is the stored object that collects the observations of a release.
type Evidence struct {
	Format       int                            `json:"format"`
	Version      ident.VersionID                `json:"version"`
	Observations map[ident.RouterID]Observation `json:"rows"`
}

// NewEvidence returns evidence without observations.
func NewEvidence(v ident.VersionID) *Evidence {
	return &Evidence{Format: Format, Version: v, Observations: make(map[ident.RouterID]Observation)}
}

// Decode decodes stored evidence.
func Decode(b []byte) (*Evidence, error) {
	e := &Evidence{}
	if err := json.Unmarshal(b, e); err != nil {
		return nil, fmt.Errorf("decode evidence: %w", err)
	}
	if e.Format != Format {
		return nil, fmt.Errorf("%w: %d", ErrFormat, e.Format)
	}
	if e.Observations == nil {
		e.Observations = make(map[ident.RouterID]Observation)
	}
	return e, nil
}

// Encode encodes the evidence.
func (e *Evidence) Encode() []byte {
	b, err := json.Marshal(e)
	if err != nil {
		panic(err) // A struct of numbers and strings always encodes.
	}
	return b
}

// Sum adds up the observations of all routers. In the result, Bad is set if any router has rejected the version, and
// Drained if there are observations and all routers have drained the old targets.
func (e *Evidence) Sum() (sum Observation) {
	sum.Drained = len(e.Observations) > 0
	for _, id := range slices.Sorted(maps.Keys(e.Observations)) {
		o := e.Observations[id]
		sum.New = sum.New.add(o.New)
		sum.Old = sum.Old.add(o.Old)
		sum.Bad = sum.Bad || o.Bad
		sum.Drained = sum.Drained && o.Drained
	}
	return sum
}

// isBad reports whether the counts show that the new version fails, or is slow, significantly more often than the old
// one.
func (o Observation) isBad() bool {
	return significantlyWorse(o.New.Failures, o.New.Requests, o.Old.Failures, o.Old.Requests) ||
		significantlyWorse(o.New.Slow, o.New.Requests, o.Old.Slow, o.Old.Requests)
}

// significantlyWorse compares the bad answers of the new version with those of the old one by a sequential likelihood
// ratio test, which can be evaluated at any time.
func significantlyWorse(bad, requests, oldBad, oldRequests int) bool {
	oldRate := 0.0
	if oldRequests > 0 {
		oldRate = float64(oldBad) / float64(oldRequests)
	}
	acceptableRate := min(acceptableFactor*oldRate+acceptableMargin, 0.95)
	badRate := acceptableRate + (1-acceptableRate)*badFailureShare
	logLikelihoodRatio := float64(bad)*math.Log(badRate/acceptableRate) +
		float64(requests-bad)*math.Log((1-badRate)/(1-acceptableRate))
	return logLikelihoodRatio > logLikelihoodThreshold
}

// State is the lifecycle state of a release.
type State uint8

// The states of a release. Completed and RolledBack are final.
const (
	Running State = iota
	Completed
	RolledBack
)

// Decision is what a router currently does for a release.
type Decision struct {
	State State
	// Share is the share of the requests that the new version gets.
	Share float64
	// Reason explains the decision in the log.
	Reason string
}

// Release is a router's view of one release. It is not safe for concurrent use.
type Release struct {
	version ident.VersionID
	started time.Time
	window  time.Duration
	own     Observation
	// others is the sum over the other routers as last read from the store, and merged says whether it has been read.
	others   Observation
	merged   bool
	decision Decision
}

// New returns a release that started at the given time and has to complete within the window.
func New(v ident.VersionID, window time.Duration, started time.Time) *Release {
	return &Release{version: v, started: started, window: window, decision: Decision{Share: trialShare, Reason: "on trial"}}
}

// Version returns the new version.
func (r *Release) Version() ident.VersionID { return r.version }

// RecordAnswer counts one answer of the new or the old version.
func (r *Release) RecordAnswer(newVersion, failed, slow bool) {
	c := &r.own.Old
	if newVersion {
		c = &r.own.New
	}
	c.Requests++
	if failed {
		c.Failures++
	}
	if slow {
		c.Slow++
	}
}

// OwnObservation returns this router's observation. drained says that the router has no requests running at old
// targets.
func (r *Release) OwnObservation(drained bool) Observation {
	observation := r.own
	observation.Drained = drained && r.decision.Share == 1
	return observation
}

// Merge takes over the observations of the other routers from the stored evidence. It ignores the one of the router
// self.
func (r *Release) Merge(self ident.RouterID, e *Evidence) {
	others := NewEvidence(e.Version)
	for id, observation := range e.Observations {
		if id != self {
			others.Observations[id] = observation
		}
	}
	r.others = others.Sum()
	r.merged = true
}

// RecordOutcome ends the release with the outcome that the store has recorded.
func (r *Release) RecordOutcome(s State) {
	r.decision = Decision{State: s, Reason: "recorded outcome"}
	if s == Completed {
		r.decision.Share = 1
	}
}

// Decide returns what to do now. drained says that this router has no requests running at old targets. A rollback is
// final. A completion is only a proposal and takes effect when RecordOutcome is called.
func (r *Release) Decide(now time.Time, drained bool) Decision {
	if r.decision.State != Running {
		return r.decision
	}
	sum := Observation{New: r.own.New.add(r.others.New), Old: r.own.Old.add(r.others.Old)}
	elapsed := float64(now.Sub(r.started)) / float64(r.window)
	switch {
	case r.own.Bad || r.others.Bad || r.own.isBad() || sum.isBad():
		r.own.Bad = true
		r.decision = Decision{State: RolledBack, Reason: "worse than the old version"}
	case elapsed < moveFraction:
	case r.decision.Share < 1 && (sum.New.Requests < minRequests || !r.merged):
		if elapsed >= rollbackFraction {
			r.own.Bad = true
			r.decision = Decision{State: RolledBack, Reason: "not shown good in time"}
		}
	case r.decision.Share < 1:
		r.decision = Decision{Share: 1, Reason: "good"}
	case drained && r.others.Drained, elapsed >= completeFraction:
		return Decision{State: Completed, Share: 1, Reason: "good"}
	}
	return r.decision
}
