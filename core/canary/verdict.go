package canary

import (
	"cmp"
	"slices"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// maxPeerRows bounds the memory for verdicts on releases that this router may not know yet.
const maxPeerRows = 4096

// Verdict is the judgement on one version in one failure domain. Its fields are those of the wire type,
// so that the two convert into each other.
type Verdict struct {
	Release ident.ReleaseID
	Version ident.VersionID
	Domain  ident.DomainID
	Verdict object.Verdict
	// Bad is final and holds in every failure domain.
	Bad    bool
	Reason string
	At     int64 // Unix milliseconds
	// Step is the number of the share step, counted from 1. Zero means not started.
	Step uint8
}

// OutcomeUpdate is an outcome to record in the platform's object outcomes/<release>, by merging it into the
// stored one.
type OutcomeUpdate struct {
	Release ident.ReleaseID
	Domain  object.DomainOutcome
	Bad     []ident.VersionID
}

type peerKey struct {
	release ident.ReleaseID
	version ident.VersionID
}

// peerRow is the merged word of the peers of this failure domain on a version.
type peerRow struct {
	step   int
	back   string // reason for taking back
	done   int64  // time of completion in Unix milliseconds
	isBack bool
}

// MergeVerdicts takes judgements of peers. Bad versions count from every failure domain; steps and other
// verdicts only from the own one.
func (c *Controller) MergeVerdicts(rows []Verdict) {
	for _, v := range rows {
		if v.Bad {
			c.condemn(v.Version, v.Reason)
		}
		if v.Domain != c.cfg.Domain || v.Release == "" {
			continue
		}
		k := peerKey{v.Release, v.Version}
		row, ok := c.peers[k]
		if !ok && len(c.peers) >= maxPeerRows {
			continue
		}
		row.step = max(row.step, int(v.Step)-1)
		switch v.Verdict {
		case object.VerdictTakenBack:
			if !row.isBack || v.Reason < row.back {
				row.back = v.Reason
			}
			row.isBack = true
		case object.VerdictCompleted:
			if row.done == 0 || v.At < row.done {
				row.done = v.At
			}
		}
		c.peers[k] = row
	}
}

// condemn marks a version as bad. The first reason stays.
func (c *Controller) condemn(v ident.VersionID, reason string) {
	if _, ok := c.bad[v]; !ok {
		c.bad[v] = reason
	}
}

// Bad reports whether a version has the verdict bad.
func (c *Controller) Bad(v ident.VersionID) bool {
	_, ok := c.bad[v]
	return ok
}

// LocalVerdicts returns all judgements to send to peers, ordered by release and version. Sending them again
// is harmless.
func (c *Controller) LocalVerdicts() []Verdict {
	var out []Verdict
	named := make(map[ident.VersionID]bool)
	for _, r := range c.order {
		if r.pending() {
			continue
		}
		for _, ch := range r.changes {
			reason, bad := c.bad[ch.version]
			v := Verdict{Release: r.note.ID, Version: ch.version, Domain: c.cfg.Domain, Verdict: ch.verdict, Bad: bad,
				Reason: cmp.Or(ch.reason, reason), Step: uint8(ch.step + 1)}
			if !ch.open() {
				v.At = ch.at.UnixMilli()
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

// OutcomeUpdates returns the outcomes that the platform doesn't hold yet, ordered by object version.
func (c *Controller) OutcomeUpdates() []OutcomeUpdate {
	var out []OutcomeUpdate
	for _, r := range c.order {
		u := OutcomeUpdate{Release: r.note.ID, Domain: object.DomainOutcome{Domain: c.cfg.Domain, Verdict: r.verdict(),
			Reason: cmp.Or(r.reason, "running"), At: r.at, Completed: r.completed()}}
		for _, ch := range r.changes {
			if c.Bad(ch.version) {
				u.Bad = append(u.Bad, ch.version)
			}
		}
		unstored := slices.ContainsFunc(u.Bad, func(v ident.VersionID) bool { return !c.stored[v] })
		if unstored || r.ended() && r.recorded != r.verdict() {
			out = append(out, u)
		}
	}
	return out
}

// PutOutcome takes a recorded outcome. A recorded verdict of the own failure domain is adopted, except
// that nothing replaces taken back.
func (c *Controller) PutOutcome(o object.Outcome) {
	for _, v := range o.BadVersions {
		c.condemn(v, "recorded as bad")
		c.stored[v] = true
	}
	for _, d := range o.Domains {
		if d.Domain == c.cfg.Domain {
			c.outcomes[o.Release] = d
		}
	}
}

// adopt applies the recorded outcome to a release.
func (r *release) adopt(d object.DomainOutcome, now time.Time) {
	r.recorded = d.Verdict
	for _, ch := range r.changes {
		done := d.Verdict == object.VerdictCompleted || slices.Contains(d.Completed, ch.version)
		switch {
		case done && ch.open():
			ch.end(object.VerdictCompleted, d.Reason, now)
		case !done && d.Verdict == object.VerdictTakenBack:
			ch.end(object.VerdictTakenBack, d.Reason, now)
		}
	}
	if d.Verdict == object.VerdictTakenBack && fire(r.life, eventTakeBack) {
		r.reason, r.at = d.Reason, now
	}
}
