package canary

import (
	"fmt"
	"time"

	"github.com/looplab/fsm"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// catchUp is the time in which a router that saw a release after its start reads the evidence of its
// peers. That evidence spans the whole release, so it is not compared within one time window.
const catchUp = 5 * time.Second

// release is a release note with the state of its versions.
type release struct {
	note    object.Release
	version ident.ObjectVersion
	life    *fsm.FSM
	seen    time.Time // first tick with this release
	changes []*change
	reason  string
	at      time.Time // of the end
	// recorded is the verdict that the platform holds for this failure domain.
	recorded object.Verdict
}

func newRelease(v ident.ObjectVersion, r object.Release) *release {
	rel := &release{note: r, version: v, life: newLifecycle()}
	for _, c := range r.Added {
		rel.changes = append(rel.changes, newChange(object.ReleaseChange{Version: c.Version}, object.VerdictRunning))
	}
	for _, c := range r.Changed {
		rel.changes = append(rel.changes, newChange(c, object.VerdictRunning))
	}
	return rel
}

func (r *release) pending() bool { return r.life.Is(statePending) }
func (r *release) running() bool { return r.life.Is(string(object.VerdictRunning)) }
func (r *release) ended() bool   { return !r.pending() && !r.running() }

func (r *release) verdict() object.Verdict {
	if r.pending() {
		return object.VerdictRunning
	}
	return object.Verdict(r.life.Current())
}

// touches lists the versions that the release names.
func (r *release) touches() []ident.VersionID {
	out := append([]ident.VersionID(nil), r.note.Withdrawn...)
	for _, c := range r.changes {
		out = append(out, c.version)
		if c.replaces != "" {
			out = append(out, c.replaces)
		}
	}
	return out
}

// window is the time from the start, or from when this router saw the release, to the finish.
func (r *release) window() time.Duration { return r.note.FinishAt.Sub(later(r.note.StartAt, r.seen)) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// takeBack ends all versions that are still open.
func (r *release) takeBack(reason string, now time.Time) {
	for _, c := range r.changes {
		if c.open() {
			c.end(object.VerdictTakenBack, reason, now)
		}
	}
	if fire(r.life, eventTakeBack) {
		r.reason, r.at = reason, now
	}
}

// settle ends the release once all of its versions have ended.
func (r *release) settle(now time.Time) {
	var back *change
	for _, c := range r.changes {
		if c.open() {
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
	if fire(r.life, eventComplete) {
		r.reason, r.at = "shown good in time", now
	}
}

// late is the reason for taking back a version at the finish time.
func (c *change) late(p *Policy) string {
	if l := c.lack(p); l != "" {
		return "not enough traffic: " + l
	}
	return fmt.Sprintf("too late: the finish time came at a share of %g%%", 100*p.Steps[c.step]*c.part)
}

func (r *release) completed() []ident.VersionID {
	var out []ident.VersionID
	for _, c := range r.changes {
		if c.verdict == object.VerdictCompleted {
			out = append(out, c.version)
		}
	}
	return out
}
