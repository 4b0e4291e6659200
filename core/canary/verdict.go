package canary

import (
	"cmp"
	"slices"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// maxPeerStates bounds the memory for verdicts on releases that this router may not know yet.
const maxPeerStates = 4096

// Verdict is the verdict on one version in one failure domain. Its fields are those of the wire type, so that the two
// types convert into each other.
type Verdict struct {
	Release ident.ReleaseID
	Version ident.VersionID
	Domain  ident.DomainID
	Verdict object.Verdict
	// Bad is final and applies in every failure domain.
	Bad    bool
	Reason string
	At     int64 // Unix milliseconds
	// Step is the number of the share step, counted from 1. Zero means not started.
	Step uint8
}

// OutcomeUpdate is an outcome to merge into the platform's object outcomes/<release>.
type OutcomeUpdate struct {
	Release     ident.ReleaseID
	Domain      object.DomainOutcome
	BadVersions []ident.VersionID
}

type peerKey struct {
	release ident.ReleaseID
	version ident.VersionID
}

// peerState merges what the peers of this failure domain report on a version.
type peerState struct {
	step            int
	takenBackReason string
	completedAt     int64 // Unix milliseconds, zero if not completed
	takenBack       bool
}

// MergeVerdicts merges verdicts of peers. Bad versions count from every failure domain, and steps and other verdicts
// only from the controller's own.
func (c *Controller) MergeVerdicts(rows []Verdict) {
	for _, v := range rows {
		if v.Bad {
			c.markBad(v.Version, v.Reason)
		}
		if v.Domain != c.cfg.Domain || v.Release == "" {
			continue
		}
		k := peerKey{v.Release, v.Version}
		row, ok := c.peers[k]
		if !ok && len(c.peers) >= maxPeerStates {
			continue
		}
		row.step = max(row.step, int(v.Step)-1)
		switch v.Verdict {
		case object.VerdictTakenBack:
			if !row.takenBack || v.Reason < row.takenBackReason {
				row.takenBackReason = v.Reason
			}
			row.takenBack = true
		case object.VerdictCompleted:
			if row.completedAt == 0 || v.At < row.completedAt {
				row.completedAt = v.At
			}
		}
		c.peers[k] = row
	}
}

// markBad marks a version as bad. The first reason stays.
func (c *Controller) markBad(v ident.VersionID, reason string) {
	if _, ok := c.bad[v]; !ok {
		c.bad[v] = reason
	}
}

// IsBad reports whether a version has a bad verdict, from any failure domain.
func (c *Controller) IsBad(v ident.VersionID) bool {
	_, ok := c.bad[v]
	return ok
}

// LocalVerdicts returns all verdicts to send to peers, ordered by release and version. Sending them again is harmless.
func (c *Controller) LocalVerdicts() []Verdict {
	var out []Verdict
	named := make(map[ident.VersionID]bool)
	for _, r := range c.ordered {
		if r.pending() {
			continue
		}
		for _, ch := range r.changes {
			reason, bad := c.bad[ch.version]
			v := Verdict{Release: r.spec.ID, Version: ch.version, Domain: c.cfg.Domain, Verdict: ch.verdict, Bad: bad,
				Reason: cmp.Or(ch.reason, reason), Step: uint8(ch.step + 1)}
			if !ch.undecided() {
				v.At = ch.decidedAt.UnixMilli()
			}
			named[ch.version] = true
			out = append(out, v)
		}
	}
	for v, reason := range c.bad {
		if !named[v] {
			out = append(out, Verdict{Version: v, Domain: c.cfg.Domain, Bad: true, Reason: reason})
		}
	}
	slices.SortStableFunc(out, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(a.Release, b.Release), cmp.Compare(a.Version, b.Version))
	})
	return out
}

// OutcomeUpdates returns the outcomes that the platform does not hold yet, ordered by the object version of their
// releases.
func (c *Controller) OutcomeUpdates() []OutcomeUpdate {
	var out []OutcomeUpdate
	for _, r := range c.ordered {
		u := OutcomeUpdate{Release: r.spec.ID, Domain: object.DomainOutcome{Domain: c.cfg.Domain, Verdict: r.verdict(),
			Reason: cmp.Or(r.reason, "running"), At: r.endedAt, Completed: r.completedVersions()}}
		for _, ch := range r.changes {
			if c.IsBad(ch.version) {
				u.BadVersions = append(u.BadVersions, ch.version)
			}
		}
		unstored := slices.ContainsFunc(u.BadVersions, func(v ident.VersionID) bool { return !c.storedBad[v] })
		if unstored || r.ended() && r.recordedVerdict != r.verdict() {
			out = append(out, u)
		}
	}
	return out
}

// PutOutcome stores a recorded outcome. The next tick applies the recorded verdict of the controller's own failure
// domain. A version that was taken back stays so.
func (c *Controller) PutOutcome(o object.ReleaseOutcome) {
	for _, v := range o.BadVersions {
		c.markBad(v, "recorded as bad")
		c.storedBad[v] = true
	}
	for _, d := range o.Domains {
		if d.Domain == c.cfg.Domain {
			c.outcomes[o.Release] = d
		}
	}
}

// applyRecorded applies the recorded outcome to a release.
func (r *release) applyRecorded(d object.DomainOutcome, now time.Time) {
	r.recordedVerdict = d.Verdict
	for _, ch := range r.changes {
		done := d.Verdict == object.VerdictCompleted || slices.Contains(d.Completed, ch.version)
		switch {
		case done && ch.undecided():
			ch.setVerdict(object.VerdictCompleted, d.Reason, now)
		case !done && d.Verdict == object.VerdictTakenBack:
			ch.setVerdict(object.VerdictTakenBack, d.Reason, now)
		}
	}
	if d.Verdict == object.VerdictTakenBack && fire(r.lifecycle, eventTakeBack) {
		r.reason, r.endedAt = d.Reason, now
	}
}
