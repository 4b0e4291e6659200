// Package trial decides what becomes of a release on the users' platform: the operator starts targets of a new version
// beside the old ones and wants the traffic moved to them in a given time.
//
// Each router counts the results of both versions and reads the counts of the others from the store. While the version
// is on trial it gets a small share of the requests. A router that sees it fail gives it none at once and for good,
// whatever the others have seen. When the counts of all show it good, the traffic moves shortly before the time is up,
// and the release is completed when the routers have left the old targets. What is not shown good in time is taken
// back.
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

// Format is the format of the evidence that this program reads and writes.
const Format = 1

// ErrFormat means that a newer program has written the evidence.
var ErrFormat = errors.New("evidence has an unknown format")

const (
	// share is the part of the requests that a version gets on trial, half of what a bad one may get in all.
	share = 0.05
	// moveAt, dueAt and lastAt are the parts of the time at which the traffic moves to a good version, at which the
	// release is completed even if a router has not reported that it left the old targets, and at which a version that
	// is not shown good is taken back. A bad version that fails only under the whole load has the least time to do so.
	moveAt = 0.85
	dueAt  = 0.95
	lastAt = 0.93
	// least is the number of requests that show a version good.
	least = 20
	// usualFactor and usualMargin give the rate that is still as good as the old version's, and harm the part of the
	// remaining answers that a bad version spoils beyond it.
	usualFactor = 1.5
	usualMargin = 0.02
	harm        = 0.35
	// alarm is the natural logarithm of how much likelier the counts must be for a bad version than for one as good as
	// the old one. At 7 about one good version in a thousand is condemned.
	alarm = 7
)

// Counts are the results of one version. They only grow.
type Counts struct {
	Requests int `json:"requests"`
	Failures int `json:"failures"`
	Slow     int `json:"slow"`
}

func (c Counts) plus(o Counts) Counts {
	return Counts{c.Requests + o.Requests, c.Failures + o.Failures, c.Slow + o.Slow}
}

// Observation is what one router has seen of a release.
type Observation struct {
	New Counts `json:"new"`
	Old Counts `json:"old"`
	// Bad says that the router has judged the version bad. It is final.
	Bad bool `json:"bad,omitempty"`
	// Drained says that the router sends nothing to old targets and waits for no answer of theirs.
	Drained bool `json:"left,omitempty"`
}

// Evidence is the stored object of a release.
type Evidence struct {
	Format       int                            `json:"format"`
	Version      ident.VersionID                `json:"version"`
	Observations map[ident.RouterID]Observation `json:"rows"`
}

// NewEvidence returns the evidence of a release that nobody has seen anything of.
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

// Sum returns what all routers have seen, whether one of them judged the version bad, and whether all of them have left
// the old targets.
func (e *Evidence) Sum() (sum Observation) {
	sum.Drained = len(e.Observations) > 0
	for _, id := range slices.Sorted(maps.Keys(e.Observations)) {
		r := e.Observations[id]
		sum.New = sum.New.plus(r.New)
		sum.Old = sum.Old.plus(r.Old)
		sum.Bad = sum.Bad || r.Bad
		sum.Drained = sum.Drained && r.Drained
	}
	return sum
}

// bad reports whether the counts show the version worse than the old one.
func (r Observation) bad() bool {
	return worse(r.New.Failures, r.New.Requests, r.Old.Failures, r.Old.Requests) ||
		worse(r.New.Slow, r.New.Requests, r.Old.Slow, r.Old.Requests)
}

// worse compares n spoilt answers of the new version with those of the old one by a sequential likelihood ratio test,
// which may be asked at any time.
func worse(n, requests, oldN, oldRequests int) bool {
	oldRate := 0.0
	if oldRequests > 0 {
		oldRate = float64(oldN) / float64(oldRequests)
	}
	usual := min(usualFactor*oldRate+usualMargin, 0.95)
	spoilt := usual + (1-usual)*harm
	evidence := float64(n)*math.Log(spoilt/usual) + float64(requests-n)*math.Log((1-spoilt)/(1-usual))
	return evidence > alarm
}

// State is the state of a release.
type State uint8

// The states. Completed and RolledBack are final.
const (
	Running State = iota
	Completed
	RolledBack
)

// Decision is what a router does for a release now.
type Decision struct {
	State State
	// Share is the part of the requests for the new version.
	Share float64
	// Reason tells why, for the log.
	Reason string
}

// Release is one release as one router sees it. It isn't safe for concurrent use.
type Release struct {
	version ident.VersionID
	started time.Time
	window  time.Duration
	own     Observation
	// others is the sum over the other routers, as last read.
	others Observation
	heard  bool
	step   Decision
}

// New returns a release that was ordered at the given time.
func New(v ident.VersionID, window time.Duration, started time.Time) *Release {
	return &Release{version: v, started: started, window: window, step: Decision{Share: share, Reason: "on trial"}}
}

// Version returns the new version.
func (r *Release) Version() ident.VersionID { return r.version }

// Record counts one answer of the new or the old version.
func (r *Release) Record(newVersion, failed, slow bool) {
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

// OwnObservation returns this router's row. Left says whether it still has requests at old targets.
func (r *Release) OwnObservation(left bool) Observation {
	row := r.own
	row.Drained = left && r.step.Share == 1
	return row
}

// Merge takes the evidence as stored. The own row in it is ignored.
func (r *Release) Merge(self ident.RouterID, e *Evidence) {
	rest := NewEvidence(e.Version)
	for id, row := range e.Observations {
		if id != self {
			rest.Observations[id] = row
		}
	}
	r.others = rest.Sum()
	r.heard = true
}

// RecordOutcome takes the recorded outcome.
func (r *Release) RecordOutcome(s State) {
	r.step = Decision{State: s, Reason: "recorded outcome"}
	if s == Completed {
		r.step.Share = 1
	}
}

// Decide returns what to do now. Left says that this router has no request at old targets. A verdict against the
// version is final; a completion is only proposed, and holds once it is recorded.
func (r *Release) Decide(now time.Time, left bool) Decision {
	if r.step.State != Running {
		return r.step
	}
	sum := Observation{New: r.own.New.plus(r.others.New), Old: r.own.Old.plus(r.others.Old)}
	part := float64(now.Sub(r.started)) / float64(r.window)
	switch {
	case r.own.Bad || r.others.Bad || r.own.bad() || sum.bad():
		r.own.Bad = true
		r.step = Decision{State: RolledBack, Reason: "worse than the old version"}
	case part < moveAt:
	case r.step.Share < 1 && (sum.New.Requests < least || !r.heard):
		if part >= lastAt {
			r.own.Bad = true
			r.step = Decision{State: RolledBack, Reason: "not shown good in time"}
		}
	case r.step.Share < 1:
		r.step = Decision{Share: 1, Reason: "good"}
	case left && r.others.Drained, part >= dueAt:
		return Decision{State: Completed, Share: 1, Reason: "good"}
	}
	return r.step
}
