package canary

import (
	"fmt"
	"slices"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// change is one new version of a release.
type change struct {
	version  ident.VersionID
	replaces ident.VersionID // empty for an added version
	verdict  object.Verdict
	reason   string
	at       time.Time // of the verdict
	step     int
	stepped  time.Time
	quiet    time.Time // until then, evidence must not condemn
	part     float64   // largest share of an added version
	trials   map[place]*trial
	places   []place // sorted
}

func newChange(c object.ReleaseChange, verdict object.Verdict) *change {
	return &change{version: c.Version, replaces: c.Replaces, verdict: verdict, part: 1, trials: make(map[place]*trial)}
}

func (c *change) open() bool { return c.verdict == object.VerdictRunning }

// end sets the verdict. Taken back is final.
func (c *change) end(v object.Verdict, reason string, now time.Time) {
	if c.verdict == object.VerdictTakenBack || c.verdict == v {
		return
	}
	c.verdict, c.reason, c.at = v, reason, now
	c.trials, c.places = nil, nil
}

// share is the part of the conversations that the version takes.
func (c *change) share(p *Policy) float64 {
	switch c.verdict {
	case object.VerdictRunning:
		return p.Steps[c.step] * c.part
	case object.VerdictCompleted:
		return c.part
	}
	return 0
}

// observe feeds all cells with the evidence of a tick.
func (c *change) observe(p *Policy, e *Evidence, refs []ident.VersionID, dt time.Duration, quiet bool) {
	for _, v := range append([]ident.VersionID{c.version}, refs...) {
		for _, pl := range e.places(v) {
			if c.trials[pl] == nil {
				c.insert(pl, e, refs)
			}
		}
	}
	for _, pl := range c.places {
		in := input{dt: dt, fixed: c.replaces == "", quiet: quiet}
		if s := e.at(c.version, pl); s != nil {
			in.now = s.all
		}
		in.ref, in.all = references(e, refs, pl)
		c.trials[pl].advance(p, in)
	}
}

func (c *change) insert(pl place, e *Evidence, refs []ident.VersionID) *trial {
	t := &trial{place: pl}
	t.seenRf, _ = references(e, refs, pl)
	i, _ := slices.BinarySearchFunc(c.places, pl, place.compare)
	c.places = slices.Insert(c.places, i, pl)
	c.trials[pl] = t
	return t
}

func references(e *Evidence, refs []ident.VersionID, pl place) (live, all counts) {
	for _, v := range refs {
		if s := e.at(v, pl); s != nil {
			live.add(s.live)
			all.add(s.all)
		}
	}
	return live, all
}

// baseline leaves out what was counted before the release started.
func (c *change) baseline(e *Evidence, refs []ident.VersionID) {
	for _, pl := range e.places(c.version) {
		c.insert(pl, e, refs).seen = e.at(c.version, pl).all
	}
}

// fault returns the reason of the first bad cell.
func (c *change) fault(p *Policy) string {
	for _, pl := range c.places {
		if f := c.trials[pl].fault(p); f != "" {
			return f
		}
	}
	return ""
}

// lack says what evidence the step still lacks; it is empty when the step is shown good.
func (c *change) lack(p *Policy) string {
	var traffic uint64
	var fresh, good float64
	for _, t := range c.trials {
		traffic += t.traffic
	}
	for _, pl := range c.places {
		fresh += float64(c.trials[pl].fresh)
		good += c.trials[pl].errors.good[0]
	}
	if good > -p.MinEvidence[c.step] {
		return fmt.Sprintf("%.0f requests at a share of %g%% are not enough", fresh, 100*p.Steps[c.step]*c.part)
	}
	for _, pl := range c.places {
		t := c.trials[pl]
		small := float64(t.traffic) < p.MinTrafficShare*float64(traffic)
		if !t.doubtful(p) && (small || t.enough(p, c.step)) {
			continue
		}
		return fmt.Sprintf("%d requests at a share of %g%% are not enough on route %s, load band %d",
			t.fresh, 100*p.Steps[c.step]*c.part, pl.route, pl.band)
	}
	return ""
}

// grow takes the next step, or that of a peer that is further, and reports whether the last step was
// shown good.
func (c *change) grow(p *Policy, window time.Duration, peer int, now time.Time) bool {
	ahead := peer > c.step
	if !ahead && now.Sub(c.stepped) < time.Duration(p.Dwell[c.step]*float64(window)) {
		return false
	}
	if c.lack(p) != "" {
		return false
	}
	last := len(p.Steps) - 1
	if c.step == last {
		return true
	}
	c.step = min(max(c.step+1, peer), last)
	c.stepped = now
	for _, t := range c.trials {
		t.restart()
	}
	return false
}
