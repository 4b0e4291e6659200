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

// loadKey names the weights of a version at a target.
type loadKey struct {
	target  ident.TargetID
	version ident.VersionID
}

// loadPlan holds the starts of the loads that releases need. A start stays as it is once planned, because a changed
// plan makes the issuer wait for the orders of the old one.
type loadPlan struct {
	view   *view
	starts map[loadKey]time.Time
	// planned are the starts of the planned releases.
	planned map[ident.ReleaseID]time.Time
	// waiting are versions that no release names yet.
	waiting map[ident.VersionID]bool
}

// never is the start of a load that waits for a release.
var never = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)

// start returns when a load may start; the zero time means at once.
func (p *loadPlan) start(t ident.TargetID, v ident.VersionID) time.Time {
	if p.waiting[v] {
		return never
	}
	return p.starts[loadKey{t, v}]
}

// update plans the loads of the releases that have not started. The weights are to be there when the release starts, so
// that its steps have the whole window. If that is too soon, they load at once.
func (p *loadPlan) update(n *Node, v *view, now time.Time) {
	if p.view == v {
		return
	}
	old := *p
	*p = loadPlan{view: v, starts: make(map[loadKey]time.Time), planned: make(map[ident.ReleaseID]time.Time), waiting: n.unreleased(v)}
	for _, id := range slices.Sorted(maps.Keys(v.releases)) {
		r := v.releases[id]
		loads := n.missingLoads(v, r)
		if at, ok := old.planned[id]; ok && at.Equal(r.StartAt) && old.has(loads) {
			p.keep(&old, loads)
		} else if r.StartAt.After(now) {
			p.schedule(order.ScheduleLoads(loads, n.weightStore(), now, r.StartAt))
		}
		p.planned[id] = r.StartAt
	}
}

// has reports whether all the loads have a start.
func (p *loadPlan) has(loads []order.Load) bool {
	return !slices.ContainsFunc(loads, func(l order.Load) bool { _, ok := p.starts[loadKey{l.Target, l.Version}]; return !ok })
}

func (p *loadPlan) keep(old *loadPlan, loads []order.Load) {
	for _, l := range loads {
		k := loadKey{l.Target, l.Version}
		p.starts[k] = old.starts[k]
	}
}

func (p *loadPlan) schedule(res order.ScheduleResult) {
	if s, ok := res.(order.Scheduled); ok {
		for _, t := range s.Transfers {
			p.starts[loadKey{t.Target, t.Version}] = t.Start
		}
	}
}

// unreleased returns the versions with weights that take no traffic and that no release names. When the rate of the weight
// store is known, they wait for a release that plans their loads.
func (n *Node) unreleased(v *view) map[ident.VersionID]bool {
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

func (n *Node) weightStore() order.StoreBandwidth {
	return order.StoreBandwidth{BytesPerSecond: ident.Bytes(n.cfg.WeightBytesPerSecond), Concurrent: n.cfg.WeightTransfers}
}

// missingLoads returns the loads that a release needs before its versions can be served, in all failure domains. A
// target whose loaded versions are not known counts as one that has to load. It runs on the control goroutine.
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

// loadsDue returns the time at which the weights of a release must be there at the latest: the share steps take a fixed
// part of its window.
func loadsDue(r object.Release) time.Time {
	part := 0.0
	for _, d := range canary.DefaultPolicy().Dwell {
		part += d
	}
	return r.FinishAt.Add(-time.Duration(part * float64(r.FinishAt.Sub(r.StartAt))))
}

// checkLoads returns the reason for which the weights of a release cannot be loaded in time. The loads of other releases
// that are due no later have the same weight store.
func (n *Node) checkLoads(ctx context.Context, v *view, r object.Release) object.Faults {
	if n.cfg.WeightBytesPerSecond == 0 {
		return nil
	}
	var loads []order.Load
	now, due := n.clock.Now(), loadsDue(r)
	err := n.runOnControl(ctx, func() {
		loads = n.missingLoads(v, r)
		if len(loads) == 0 {
			return
		}
		for id, other := range v.releases {
			if id == r.ID || loadsDue(other).After(due) || !other.FinishAt.After(now) {
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
	u, unfit := order.ScheduleLoads(loads, n.weightStore(), now, due).(order.Infeasible)
	if !unfit {
		return nil
	}
	message := u.Reason
	if !u.Earliest.IsZero() {
		message += "; the weights are due at " + due.UTC().Format(time.RFC3339) + ", before the share steps, and can be there at " +
			u.Earliest.UTC().Format(time.RFC3339)
	}
	return object.Faults{{Path: "finish_at", Message: message}}
}
