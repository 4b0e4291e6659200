package canary

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// Config holds the failure domain and the policy of a controller.
type Config struct {
	Domain ident.DomainID
	Policy Policy
}

// Controller decides the releases of one failure domain on one router. It isn't safe for concurrent use.
type Controller struct {
	cfg          Config
	versions     map[ident.VersionID]object.Version
	releases     map[ident.ReleaseID]*release
	ordered      []*release // by object version, then by name
	evidence     *Evidence
	tracked      map[ident.VersionID]bool // versions whose evidence is needed
	trackedStale bool                     // tracked must be recomputed
	bad          map[ident.VersionID]string
	storedBad    map[ident.VersionID]bool // bad versions that are recorded on the platform
	peers        map[peerKey]peerState    // verdicts of peers
	outcomes     map[ident.ReleaseID]object.DomainOutcome
	lastTick     time.Time
}

// New returns a controller without releases.
func New(cfg Config) *Controller {
	return &Controller{cfg: cfg,
		versions:  make(map[ident.VersionID]object.Version),
		releases:  make(map[ident.ReleaseID]*release),
		evidence:  NewEvidence(),
		tracked:   make(map[ident.VersionID]bool),
		bad:       make(map[ident.VersionID]string),
		storedBad: make(map[ident.VersionID]bool),
		peers:     make(map[peerKey]peerState),
		outcomes:  make(map[ident.ReleaseID]object.DomainOutcome),
	}
}

// PutVersion adds or replaces a version object.
func (c *Controller) PutVersion(v object.Version) {
	c.versions[v.ID] = v
	c.trackedStale = true
}

// DeleteVersion removes a version object.
func (c *Controller) DeleteVersion(v ident.VersionID) {
	delete(c.versions, v)
	c.trackedStale = true
}

// PutRelease adds a release or replaces it by a newer object version. A running release takes over only the new finish
// time, and an ended release does not change.
func (c *Controller) PutRelease(v ident.ObjectVersion, spec object.Release) {
	old := c.releases[spec.ID]
	if old != nil && (old.version >= v || old.ended()) {
		return
	}
	if old != nil && old.running() {
		old.spec.FinishAt = spec.FinishAt
		return
	}
	c.releases[spec.ID] = newRelease(v, spec)
	c.sortReleases()
}

// DeleteRelease removes a release. Its versions without a verdict lose their share.
func (c *Controller) DeleteRelease(id ident.ReleaseID) {
	delete(c.releases, id)
	delete(c.outcomes, id)
	for k := range c.peers {
		if k.release == id {
			delete(c.peers, k)
		}
	}
	c.sortReleases()
}

func (c *Controller) sortReleases() {
	c.trackedStale = true
	c.ordered = c.ordered[:0]
	for _, r := range c.releases {
		c.ordered = append(c.ordered, r)
	}
	slices.SortFunc(c.ordered, func(a, b *release) int {
		return cmp.Or(cmp.Compare(a.version, b.version), cmp.Compare(a.spec.ID, b.spec.ID))
	})
}

// MergeEvidence merges cumulative counters of this router or of peers in the same failure domain. Counters of versions
// that no release needs are skipped.
func (c *Controller) MergeEvidence(cells []Cell) {
	if c.trackedStale {
		c.updateTracked()
	}
	for i := range cells {
		if c.tracked[cells[i].Version] {
			c.evidence.Merge(cells[i : i+1])
		}
	}
}

// Tick advances all releases to the time now.
func (c *Controller) Tick(now time.Time) {
	dt := now.Sub(c.lastTick)
	if c.lastTick.IsZero() || dt < 0 {
		dt = 0
	}
	c.lastTick = laterOf(c.lastTick, now)
	for _, r := range c.ordered {
		if r.firstTick.IsZero() {
			r.firstTick = now
		}
		if d, ok := c.outcomes[r.spec.ID]; ok {
			r.applyRecorded(d, now)
		}
		if r.pending() {
			c.startRelease(r, now)
		}
		c.advanceRelease(r, dt, now)
	}
	c.updateTracked()
}

// startRelease takes back a release that conflicts with an earlier one, and starts any other at its start time.
func (c *Controller) startRelease(r *release, now time.Time) {
	if why := c.conflictReason(r); why != "" {
		r.takeBack("refused: "+why, now)
		return
	}
	if now.Before(r.spec.StartAt) || !fire(r.lifecycle, eventStart) {
		return
	}
	for _, ch := range r.changes {
		ch.stepStart = now
		refs := c.referenceVersions(ch)
		if ch.replaces == "" {
			ch.maxShare = 1 / float64(1+len(refs))
		}
		switch late := r.firstTick.Sub(r.spec.StartAt); {
		case late <= 0:
			ch.setBaseline(c.evidence, refs)
		case late > 2*catchUpTime:
			ch.suppressAlarmsUntil = now.Add(catchUpTime)
		}
	}
}

// conflictReason returns why the release cannot run: it replaces a version twice, or names a version of an earlier
// release that has not ended. It is empty if there is no conflict.
func (c *Controller) conflictReason(r *release) string {
	replaced := make(map[ident.VersionID]bool)
	for _, ch := range r.changes {
		if ch.replaces != "" && replaced[ch.replaces] {
			return fmt.Sprintf("version %s is replaced twice", ch.replaces)
		}
		replaced[ch.replaces] = true
	}
	for _, other := range c.ordered {
		if other == r {
			return ""
		}
		if other.ended() {
			continue
		}
		taken := other.namedVersions()
		for _, v := range r.namedVersions() {
			if slices.Contains(taken, v) {
				return fmt.Sprintf("version %s belongs to release %s", v, other.spec.ID)
			}
		}
	}
	return ""
}

// referenceVersions returns the versions that a new version is compared with.
func (c *Controller) referenceVersions(ch *change) []ident.VersionID {
	if ch.replaces != "" {
		return []ident.VersionID{ch.replaces}
	}
	v := c.versions[ch.version]
	var out []ident.VersionID
	for id, o := range c.versions {
		if id != v.ID && o.Model == v.Model && o.Service == v.Service && o.Serving && !o.Withdrawn && !c.awaitsCompletion(id) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// awaitsCompletion reports whether a release introduces the version and has not completed it.
func (c *Controller) awaitsCompletion(v ident.VersionID) bool {
	for _, r := range c.ordered {
		for _, ch := range r.changes {
			if ch.version == v && ch.verdict != object.VerdictCompleted {
				return true
			}
		}
	}
	return false
}

func (c *Controller) advanceRelease(r *release, dt time.Duration, now time.Time) {
	if r.pending() {
		return
	}
	for _, ch := range r.changes {
		c.applyPeerVerdicts(r, ch, now)
		if ch.undecided() {
			c.evaluateChange(r, ch, dt, now)
		}
	}
	r.endIfDecided(now)
}

// applyPeerVerdicts applies the verdicts of peers to a change. A bad verdict counts from any failure domain, and a
// completion only if it was decided before the finish time.
func (c *Controller) applyPeerVerdicts(r *release, ch *change, now time.Time) {
	if why, ok := c.bad[ch.version]; ok {
		ch.setVerdict(object.VerdictTakenBack, "bad verdict: "+why, now)
	}
	row, ok := c.peers[peerKey{r.spec.ID, ch.version}]
	if !ok {
		return
	}
	if row.takenBack {
		ch.setVerdict(object.VerdictTakenBack, row.takenBackReason, now)
	}
	if row.completedAt > 0 && row.completedAt <= r.spec.FinishAt.UnixMilli() {
		ch.setVerdict(object.VerdictCompleted, "shown good by a peer", time.UnixMilli(row.completedAt))
	}
}

func (c *Controller) evaluateChange(r *release, ch *change, dt time.Duration, now time.Time) {
	p := &c.cfg.Policy
	ch.observe(p, c.evidence, c.referenceVersions(ch), dt, now.Before(ch.suppressAlarmsUntil))
	if f := ch.faultReason(p); f != "" {
		c.markBad(ch.version, f)
		ch.setVerdict(object.VerdictTakenBack, "bad verdict: "+f, now)
		return
	}
	if now.Before(r.spec.FinishAt) {
		peerStep := c.peers[peerKey{r.spec.ID, ch.version}].step
		if ch.advanceStep(p, r.window(), peerStep, now) {
			ch.setVerdict(object.VerdictCompleted, "shown good", now)
		}
		return
	}
	deadline := r.spec.FinishAt.Add(p.Grace)
	if r.firstTick.After(r.spec.FinishAt) {
		deadline = r.firstTick.Add(p.LateGrace)
	}
	if !now.Before(deadline) {
		ch.setVerdict(object.VerdictTakenBack, ch.lateReason(p), now)
	}
}

// updateTracked recomputes which versions the releases that have not ended need, and drops the evidence of all others.
func (c *Controller) updateTracked() {
	next := make(map[ident.VersionID]bool)
	for _, r := range c.ordered {
		if r.ended() {
			continue
		}
		for _, ch := range r.changes {
			next[ch.version] = true
			for _, v := range c.referenceVersions(ch) {
				next[v] = true
			}
		}
	}
	for v := range c.tracked {
		if !next[v] {
			c.evidence.DeleteVersion(v)
		}
	}
	c.tracked, c.trackedStale = next, false
}
