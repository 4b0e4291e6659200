package canary

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// Config names the failure domain and the figures of its decisions.
type Config struct {
	Domain ident.DomainID
	Policy Policy
}

// Controller decides the releases of one failure domain on one router. It isn't safe for concurrent use.
type Controller struct {
	cfg      Config
	versions map[ident.VersionID]object.Version
	releases map[ident.ReleaseID]*release
	order    []*release // by object version, then by name
	evidence *Evidence
	tracked  map[ident.VersionID]bool // versions whose evidence is needed
	stale    bool                     // tracked must be computed anew
	bad      map[ident.VersionID]string
	stored   map[ident.VersionID]bool // bad versions that the platform holds
	peers    map[peerKey]peerRow
	outcomes map[ident.ReleaseID]object.DomainOutcome
	last     time.Time
}

// New returns a controller without releases.
func New(cfg Config) *Controller {
	return &Controller{cfg: cfg,
		versions: make(map[ident.VersionID]object.Version),
		releases: make(map[ident.ReleaseID]*release),
		evidence: NewEvidence(),
		tracked:  make(map[ident.VersionID]bool),
		bad:      make(map[ident.VersionID]string),
		stored:   make(map[ident.VersionID]bool),
		peers:    make(map[peerKey]peerRow),
		outcomes: make(map[ident.ReleaseID]object.DomainOutcome),
	}
}

// PutVersion takes a version object.
func (c *Controller) PutVersion(v object.Version) {
	c.versions[v.ID] = v
	c.stale = true
}

// DropVersion takes the deletion of a version object.
func (c *Controller) DropVersion(v ident.VersionID) {
	delete(c.versions, v)
	c.stale = true
}

// PutRelease takes a release with its object version. A newer object of a release that has started may
// move its finish; its versions stay.
func (c *Controller) PutRelease(v ident.ObjectVersion, note object.Release) {
	old := c.releases[note.ID]
	if old != nil && (old.version >= v || old.ended()) {
		return
	}
	if old != nil && old.running() {
		old.note.FinishAt = note.FinishAt
		return
	}
	c.releases[note.ID] = newRelease(v, note)
	c.sort()
}

// DropRelease takes the deletion of a release. Its open versions lose their share.
func (c *Controller) DropRelease(id ident.ReleaseID) {
	delete(c.releases, id)
	delete(c.outcomes, id)
	for k := range c.peers {
		if k.release == id {
			delete(c.peers, k)
		}
	}
	c.sort()
}

func (c *Controller) sort() {
	c.stale = true
	c.order = c.order[:0]
	for _, r := range c.releases {
		c.order = append(c.order, r)
	}
	slices.SortFunc(c.order, func(a, b *release) int {
		return cmp.Or(cmp.Compare(a.version, b.version), cmp.Compare(a.note.ID, b.note.ID))
	})
}

// MergeEvidence takes cumulative counters of this router or of peers of the same failure domain. Versions
// that no release needs are skipped.
func (c *Controller) MergeEvidence(cells []Cell) {
	if c.stale {
		c.track()
	}
	for i := range cells {
		if c.tracked[cells[i].Version] {
			c.evidence.Merge(cells[i : i+1])
		}
	}
}

// Tick advances all releases to the time now.
func (c *Controller) Tick(now time.Time) {
	dt := now.Sub(c.last)
	if c.last.IsZero() || dt < 0 {
		dt = 0
	}
	c.last = later(c.last, now)
	for _, r := range c.order {
		if r.seen.IsZero() {
			r.seen = now
		}
		if d, ok := c.outcomes[r.note.ID]; ok {
			r.adopt(d, now)
		}
		if r.pending() {
			c.start(r, now)
		}
		c.advance(r, dt, now)
	}
	c.track()
}

// start refuses a release that conflicts with an earlier one and runs it when its time has come.
func (c *Controller) start(r *release, now time.Time) {
	if why := c.conflict(r); why != "" {
		r.takeBack("refused: "+why, now)
		return
	}
	if now.Before(r.note.StartAt) || !fire(r.life, eventStart) {
		return
	}
	for _, ch := range r.changes {
		ch.stepped = now
		refs := c.references(ch)
		if ch.replaces == "" {
			ch.part = 1 / float64(1+len(refs))
		}
		switch late := r.seen.Sub(r.note.StartAt); {
		case late <= 0:
			ch.baseline(c.evidence, refs)
		case late > 2*catchUp:
			ch.quiet = now.Add(catchUp)
		}
	}
}

// conflict names the version that the release shares with an earlier one that has not ended, or that
// it replaces twice.
func (c *Controller) conflict(r *release) string {
	replaced := make(map[ident.VersionID]bool)
	for _, ch := range r.changes {
		if ch.replaces != "" && replaced[ch.replaces] {
			return fmt.Sprintf("version %s is replaced twice", ch.replaces)
		}
		replaced[ch.replaces] = true
	}
	for _, other := range c.order {
		if other == r {
			return ""
		}
		if other.ended() {
			continue
		}
		taken := other.touches()
		for _, v := range r.touches() {
			if slices.Contains(taken, v) {
				return fmt.Sprintf("version %s belongs to release %s", v, other.note.ID)
			}
		}
	}
	return ""
}

// references are the versions that a new version is compared with.
func (c *Controller) references(ch *change) []ident.VersionID {
	if ch.replaces != "" {
		return []ident.VersionID{ch.replaces}
	}
	v := c.versions[ch.version]
	var out []ident.VersionID
	for id, o := range c.versions {
		if id != v.ID && o.Model == v.Model && o.Service == v.Service && o.Serving && !o.Withdrawn && !c.fresh(id) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// fresh reports whether a release brings the version and has not completed it.
func (c *Controller) fresh(v ident.VersionID) bool {
	for _, r := range c.order {
		for _, ch := range r.changes {
			if ch.version == v && ch.verdict != object.VerdictCompleted {
				return true
			}
		}
	}
	return false
}

func (c *Controller) advance(r *release, dt time.Duration, now time.Time) {
	if r.pending() {
		return
	}
	for _, ch := range r.changes {
		c.merge(r, ch, now)
		if ch.open() {
			c.judge(r, ch, dt, now)
		}
	}
	r.settle(now)
}

// merge applies the verdicts of peers.
func (c *Controller) merge(r *release, ch *change, now time.Time) {
	if why, ok := c.bad[ch.version]; ok {
		ch.end(object.VerdictTakenBack, "bad verdict: "+why, now)
	}
	row, ok := c.peers[peerKey{r.note.ID, ch.version}]
	if !ok {
		return
	}
	if row.isBack {
		ch.end(object.VerdictTakenBack, row.back, now)
	}
	if row.done > 0 && row.done <= r.note.FinishAt.UnixMilli() {
		ch.end(object.VerdictCompleted, "shown good by a peer", time.UnixMilli(row.done))
	}
}

func (c *Controller) judge(r *release, ch *change, dt time.Duration, now time.Time) {
	p := &c.cfg.Policy
	ch.observe(p, c.evidence, c.references(ch), dt, now.Before(ch.quiet))
	if f := ch.fault(p); f != "" {
		c.condemn(ch.version, f)
		ch.end(object.VerdictTakenBack, "bad verdict: "+f, now)
		return
	}
	if now.Before(r.note.FinishAt) {
		peer := c.peers[peerKey{r.note.ID, ch.version}].step
		if ch.grow(p, r.window(), peer, now) {
			ch.end(object.VerdictCompleted, "shown good", now)
		}
		return
	}
	limit := r.note.FinishAt.Add(p.Grace)
	if r.seen.After(r.note.FinishAt) {
		limit = r.seen.Add(p.LateGrace)
	}
	if !now.Before(limit) {
		ch.end(object.VerdictTakenBack, ch.late(p), now)
	}
}

// track notes the versions of releases that have not ended and forgets the evidence of others.
func (c *Controller) track() {
	next := make(map[ident.VersionID]bool)
	for _, r := range c.order {
		if r.ended() {
			continue
		}
		for _, ch := range r.changes {
			next[ch.version] = true
			for _, v := range c.references(ch) {
				next[v] = true
			}
		}
	}
	for v := range c.tracked {
		if !next[v] {
			c.evidence.Drop(v)
		}
	}
	c.tracked, c.stale = next, false
}
