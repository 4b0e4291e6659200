package node

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"geraniumsaddle/core/canary"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/order"
)

// loadKey identifies the weights of a version at a target.
type loadKey struct {
	target  ident.TargetID
	version ident.VersionID
}

// loadPlan holds the start times of the weight loads that releases need. A planned start time is not changed, because a
// changed plan makes the issuer wait for the orders of the old one.
type loadPlan struct {
	view   *view
	starts map[loadKey]time.Time
	// releaseStarts are the start times for which the loads of releases were planned.
	releaseStarts map[ident.ReleaseID]time.Time
	// unreleased are the versions that wait for a release to name them.
	unreleased map[ident.VersionID]bool
}

// never is the start of a load that waits for a release.
var never = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)

// start returns when a load may start; the zero time means at once.
func (p *loadPlan) start(t ident.TargetID, v ident.VersionID) time.Time {
	if p.unreleased[v] {
		return never
	}
	return p.starts[loadKey{t, v}]
}

// update plans the loads of the releases that have not started. The weights should be loaded when the release starts,
// so that its steps have the whole window. If that is not possible, they are loaded at once.
func (p *loadPlan) update(n *Node, v *view, now time.Time) {
	if p.view == v {
		return
	}
	old := *p
	*p = loadPlan{view: v, starts: make(map[loadKey]time.Time), releaseStarts: make(map[ident.ReleaseID]time.Time), unreleased: n.unreleasedVersions(v)}
	for _, id := range slices.Sorted(maps.Keys(v.releases)) {
		r := v.releases[id]
		loads := n.missingLoads(v, r)
		if at, ok := old.releaseStarts[id]; ok && at.Equal(r.StartAt) && old.hasAllStarts(loads) {
			p.copyStarts(&old, loads)
		} else if r.StartAt.After(now) {
			p.recordStarts(order.ScheduleLoads(loads, n.weightStoreBandwidth(), now, r.StartAt))
		}
		p.releaseStarts[id] = r.StartAt
	}
}

// hasAllStarts reports whether all the loads have a start.
func (p *loadPlan) hasAllStarts(loads []order.Load) bool {
	return !slices.ContainsFunc(loads, func(l order.Load) bool { _, ok := p.starts[loadKey{l.Target, l.Version}]; return !ok })
}

// copyStarts takes over the start times of the loads from the old plan.
func (p *loadPlan) copyStarts(old *loadPlan, loads []order.Load) {
	for _, l := range loads {
		k := loadKey{l.Target, l.Version}
		p.starts[k] = old.starts[k]
	}
}

func (p *loadPlan) recordStarts(res order.ScheduleResult) {
	if s, ok := res.(order.Scheduled); ok {
		for _, t := range s.Transfers {
			p.starts[loadKey{t.Target, t.Version}] = t.Start
		}
	}
}

// unreleasedVersions returns the versions with weights that take no traffic and that no release names. They wait for a
// release that plans their loads. If the bandwidth of the weight store is not known, loads are not planned and no
// version waits.
func (n *Node) unreleasedVersions(v *view) map[ident.VersionID]bool {
	out := make(map[ident.VersionID]bool)
	if n.cfg.WeightBytesPerSecond == 0 {
		return out
	}
	for id, ver := range v.versions {
		if ver.WeightBytes > 0 && !ver.Serving {
			out[id] = true
		}
	}
	for _, r := range v.releases {
		for _, c := range slices.Concat(r.Added, r.Changed) {
			delete(out, c.Version)
		}
	}
	return out
}

func (n *Node) weightStoreBandwidth() order.StoreBandwidth {
	return order.StoreBandwidth{BytesPerSecond: ident.Bytes(n.cfg.WeightBytesPerSecond), Concurrent: n.cfg.WeightTransfers}
}

// missingLoads returns the loads that a release needs before its versions can be served, in all failure domains. A
// target whose loaded versions are not known is assumed to have none. It runs on the control goroutine.
func (n *Node) missingLoads(v *view, r object.Release) []order.Load {
	var out []order.Load
	for _, c := range slices.Concat(r.Added, r.Changed) {
		ver, ok := v.versions[c.Version]
		if !ok || ver.WeightBytes == 0 {
			continue
		}
		for id, t := range v.targets {
			if t.Kind != object.TargetEngine || t.State != object.TargetActive || !slices.Contains(t.Versions, c.Version) ||
				slices.Contains(n.pools.registry.Loaded(id), c.Version) {
				continue
			}
			l := order.Load{Target: id, Version: c.Version, Bytes: ver.WeightBytes}
			if !slices.Contains(out, l) {
				out = append(out, l)
			}
		}
	}
	slices.SortFunc(out, func(a, b order.Load) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Version, b.Version))
	})
	return out
}

// loadDeadline returns the time by which the weights of a release must be loaded: the share steps take a fixed fraction
// of its window, up to its end.
func loadDeadline(r object.Release) time.Time {
	fraction := 0.0
	for _, d := range canary.DefaultPolicy().Dwell {
		fraction += d
	}
	return r.FinishAt.Add(-time.Duration(fraction * float64(r.FinishAt.Sub(r.StartAt))))
}

// checkLoads returns a fault if the weights of a release cannot be loaded in time. Releases with the same or an earlier
// deadline share the weight store, so their loads are planned with it.
func (n *Node) checkLoads(ctx context.Context, v *view, r object.Release) object.Faults {
	if n.cfg.WeightBytesPerSecond == 0 {
		return nil
	}
	var loads []order.Load
	now, deadline := n.clock.Now(), loadDeadline(r)
	err := n.runOnControl(ctx, func() {
		loads = n.missingLoads(v, r)
		if len(loads) == 0 {
			return
		}
		for id, other := range v.releases {
			if id == r.ID || loadDeadline(other).After(deadline) || !other.FinishAt.After(now) {
				continue
			}
			for _, l := range n.missingLoads(v, other) {
				if !slices.Contains(loads, l) {
					loads = append(loads, l)
				}
			}
		}
	})
	if err != nil {
		return object.Faults{{Path: "finish_at", Message: "the weight loads could not be planned: " + err.Error()}}
	}
	infeasible, isInfeasible := order.ScheduleLoads(loads, n.weightStoreBandwidth(), now, deadline).(order.Infeasible)
	if !isInfeasible {
		return nil
	}
	message := infeasible.Reason
	if !infeasible.Earliest.IsZero() {
		message += "; the weights are due at " + deadline.UTC().Format(time.RFC3339) + ", before the share steps, and can be there at " +
			infeasible.Earliest.UTC().Format(time.RFC3339)
	}
	return object.Faults{{Path: "finish_at", Message: message}}
}
