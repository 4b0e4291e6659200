package canary

import (
	"slices"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/target"
)

// Shares returns the release lines and traffic shifts of a model or service.
func (c *Controller) Shares(key target.Key) target.Shares {
	var ids []ident.VersionID
	for id, v := range c.versions {
		if v.Model == key.Model && v.Service == key.Service {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	var out target.Shares
	for _, id := range ids {
		c.addLine(&out, id)
	}
	for _, r := range c.ordered {
		for _, ch := range r.changes {
			if slices.Contains(ids, ch.version) {
				c.addShift(&out, ch)
			}
		}
	}
	return out
}

// addLine adds the line of a serving version. The line is named after its first version, so that conversations stay on
// it when a release replaces the version.
func (c *Controller) addLine(out *target.Shares, id ident.VersionID) {
	if v := c.versions[id]; !v.Serving || c.IsBad(id) || c.awaitsCompletion(id) {
		return
	}
	first := id
	for range c.ordered {
		if ch := c.completedChange(func(ch *change) bool { return ch.version == first && ch.replaces != "" }); ch != nil {
			first = ch.replaces
		}
	}
	last := first
	for range c.ordered {
		if ch := c.completedChange(func(ch *change) bool { return ch.replaces == last && ch.replaces != "" }); ch != nil {
			last = ch.version
		}
	}
	same := func(l target.Line) bool { return l.HashKey == first }
	if !slices.ContainsFunc(out.Lines, same) && !c.withdrawn(last) {
		out.Lines = append(out.Lines, target.Line{Version: last, HashKey: first, Weight: 1})
	}
}

// completedChange returns the first completed change that matches.
func (c *Controller) completedChange(match func(*change) bool) *change {
	for _, r := range c.ordered {
		for _, ch := range r.changes {
			if ch.verdict == object.VerdictCompleted && match(ch) {
				return ch
			}
		}
	}
	return nil
}

func (c *Controller) addShift(out *target.Shares, ch *change) {
	share := ch.share(&c.cfg.Policy)
	if share == 0 || !c.started(ch) {
		return
	}
	if ch.replaces != "" {
		if ch.undecided() {
			out.Shifts = append(out.Shifts, target.TrafficShift{Version: ch.version, Replaces: ch.replaces, Share: share})
		}
		return
	}
	line := target.Line{Version: ch.version, HashKey: ch.version, Weight: 1}
	own := func(l target.Line) bool { return l.HashKey == ch.version }
	if slices.ContainsFunc(out.Lines, own) && len(out.Lines) > 1 {
		// The version keeps its traffic shift, because a line of its own would move conversations.
		out.Lines = slices.DeleteFunc(out.Lines, own)
	}
	switch {
	case len(out.Lines) == 0:
		out.Lines = append(out.Lines, line)
	case !slices.ContainsFunc(out.Lines, own):
		out.Shifts = append(out.Shifts, target.TrafficShift{Version: ch.version, Share: share})
	}
}

// started reports whether the version's release has begun here. A router that saw the release only
// after its finish gives it no share unless it completed.
func (c *Controller) started(ch *change) bool {
	for _, r := range c.ordered {
		if slices.Contains(r.changes, ch) {
			return !r.pending() && (!ch.undecided() || !r.firstTick.After(r.spec.FinishAt))
		}
	}
	return false
}

// withdrawn reports whether a release has withdrawn the version: when it completed, or from its start
// when it brings no version in its place.
func (c *Controller) withdrawn(v ident.VersionID) bool {
	if c.versions[v].Withdrawn {
		return true
	}
	for _, r := range c.ordered {
		if !slices.Contains(r.spec.Withdrawn, v) {
			continue
		}
		completed := r.lifecycle.Is(string(object.VerdictCompleted))
		if completed || r.running() && !c.hasSuccessor(r, v) {
			return true
		}
	}
	return false
}

// hasSuccessor reports whether the release brings a version in place of v, or for the same model or service.
func (c *Controller) hasSuccessor(r *release, v ident.VersionID) bool {
	old := c.versions[v]
	return slices.ContainsFunc(r.changes, func(ch *change) bool {
		o := c.versions[ch.version]
		return ch.replaces == v || ch.replaces == "" && o.Model == old.Model && o.Service == old.Service
	})
}
