package target

import (
	"time"

	"geraniumsaddle/core/object"
)

// PoolTotal holds the totals of a pool for the routers of other failure domains.
type PoolTotal struct {
	Key Key
	// Active is the number of targets that may take requests, and Capacity the number of their slots.
	Active   int
	Capacity int64
	// Busy is the number of requests that they hold, as far as reported.
	Busy int64
	// AsOf is the time of the newest load report, or zero if there was none.
	AsOf time.Time
}

// Totals returns the totals of the pools in the router's failure domain. Only healthy targets count.
func (r *Registry) Totals() []PoolTotal {
	rows := make(map[Key]*PoolTotal)
	var keys []Key
	for _, e := range r.sorted {
		if e.obj.Domain != r.cfg.Domain || e.state() != object.TargetActive || e.health.phase != phaseHealthy {
			continue
		}
		seen := make(map[Key]bool, 1)
		for _, p := range r.poolVersions(e) {
			if seen[p.key] {
				continue
			}
			seen[p.key] = true
			row := rows[p.key]
			if row == nil {
				row = &PoolTotal{Key: p.key}
				rows[p.key] = row
				keys = append(keys, p.key)
			}
			row.Active++
			row.Capacity += int64(max(e.obj.Capacity, 1))
			row.Busy += e.otherRequests + e.shared.inflight.Load()
			if e.loadAsOf.After(row.AsOf) {
				row.AsOf = e.loadAsOf
			}
		}
	}
	out := make([]PoolTotal, 0, len(keys))
	for _, k := range keys {
		out = append(out, *rows[k])
	}
	return out
}

// ReportTotal records the totals of a pool of another failure domain. A report that is not newer than the last one is
// ignored.
func (r *Registry) ReportTotal(t PoolTotal) {
	old, ok := r.remoteTotals[t.Key]
	if t.Key.Domain == r.cfg.Domain || ok && !t.AsOf.After(old.AsOf) {
		return
	}
	r.remoteTotals[t.Key] = t
	if s := r.poolStats[t.Key]; s != nil && ok && old.Active == t.Active && old.Capacity == t.Capacity {
		s.applyTotal(t, r.cfg.Start)
		return
	}
	r.dirty = true
}

// applyTotal replaces the load of a pool of another failure domain, whose targets send no load reports of their own.
func (s *poolStats) applyTotal(t PoolTotal, start time.Time) {
	s.otherRequests.Store(t.Busy)
	if !t.AsOf.IsZero() {
		s.asOf.Store(max(1, int64(t.AsOf.Sub(start))))
	}
}

// applyTotals replaces the configured totals of the pools of other failure domains with the reported ones.
func (r *Registry) applyTotals(t *Table) {
	for k, s := range t.poolStats {
		if total, ok := r.remoteTotals[k]; ok {
			s.active, s.capacity = total.Active, total.Capacity
			s.applyTotal(total, r.cfg.Start)
		}
	}
}
