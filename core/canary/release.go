package canary

import (
	"fmt"
	"time"

	"github.com/looplab/fsm"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// catchUpTime is how long a router that saw a release after its start collects the evidence of its peers. That
// evidence spans the whole release, so it must not be tested as the evidence of one tick.
const catchUpTime = 5 * time.Second

// release is a release object with the state of its versions.
type release struct {
	spec      object.Release
	version   ident.ObjectVersion
	lifecycle *fsm.FSM
	firstTick time.Time // first tick with this release
	changes   []*change
	reason    string
	endedAt   time.Time
	// recordedVerdict is the verdict that the platform holds for this failure domain.
	recordedVerdict object.Verdict
}

func newRelease(v ident.ObjectVersion, r object.Release) *release {
	rel := &release{spec: r, version: v, lifecycle: newLifecycle()}
	for _, c := range r.Added {
		rel.changes = append(rel.changes, newChange(object.ReleaseChange{Version: c.Version}, object.VerdictRunning))
	}
	for _, c := range r.Changed {
		rel.changes = append(rel.changes, newChange(c, object.VerdictRunning))
	}
	return rel
}

func (r *release) pending() bool { return r.lifecycle.Is(statePending) }
func (r *release) running() bool { return r.lifecycle.Is(string(object.VerdictRunning)) }
func (r *release) ended() bool   { return !r.pending() && !r.running() }

func (r *release) verdict() object.Verdict {
	if r.pending() {
		return object.VerdictRunning
	}
	return object.Verdict(r.lifecycle.Current())
}

// namedVersions returns the versions that the release adds, replaces or withdraws.
func (r *release) namedVersions() []ident.VersionID {
	out := append([]ident.VersionID(nil), r.spec.Withdrawn...)
	for _, c := range r.changes {
		out = append(out, c.version)
		if c.replaces != "" {
			out = append(out, c.replaces)
		}
	}
	return out
}

// window returns the time from the start, or from when this router first saw the release, to the finish.
func (r *release) window() time.Duration {
	return r.spec.FinishAt.Sub(laterOf(r.spec.StartAt, r.firstTick))
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// takeBack takes back the release and all of its versions that have no verdict yet.
func (r *release) takeBack(reason string, now time.Time) {
	for _, c := range r.changes {
		if c.undecided() {
			c.setVerdict(object.VerdictTakenBack, reason, now)
		}
	}
	if fire(r.lifecycle, eventTakeBack) {
		r.reason, r.endedAt = reason, now
	}
}

// endIfDecided ends the release once all of its versions have ended.
func (r *release) endIfDecided(now time.Time) {
	var back *change
	for _, c := range r.changes {
		if c.undecided() {
			return
		}
		if back == nil && c.verdict == object.VerdictTakenBack {
			back = c
		}
	}
	if back != nil {
		r.takeBack(fmt.Sprintf("%s: %s", back.version, back.reason), now)
		return
	}
	if fire(r.lifecycle, eventComplete) {
		r.reason, r.endedAt = "shown good in time", now
	}
}

// lateReason returns why a version is taken back at the finish time.
func (c *change) lateReason(p *Policy) string {
	if l := c.missingEvidence(p); l != "" {
		return "not enough traffic: " + l
	}
	return fmt.Sprintf("too late: the finish time came at a share of %g%%", 100*p.Steps[c.step]*c.maxShare)
}

func (r *release) completedVersions() []ident.VersionID {
	var out []ident.VersionID
	for _, c := range r.changes {
		if c.verdict == object.VerdictCompleted {
			out = append(out, c.version)
		}
	}
	return out
}
