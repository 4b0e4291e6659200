package target

import (
	"time"

	"geraniumsaddle/core/object"
)

// PoolTotal sums up a pool for the routers of other failure domains.
type PoolTotal struct {
	Key Key
	// Active is the number of targets that may take requests and Capacity that of their slots.
	Active   int
	Capacity int64
	// Busy is the number of requests that they hold, as far as reported.
	Busy int64
	// AsOf is the time of the newest report; zero means that there was none.
	AsOf time.Time
}

// Totals returns the totals of the pools of the own failure domain in the newest table.
func (r *Registry) Totals() []PoolTotal {
	rows := make(map[Key]*PoolTotal)
	var keys []Key
	for _, e := range r.sorted {
		if e.obj.Domain != r.cfg.Domain || e.state() != object.TargetActive || e.health.phase != phaseHealthy {
			continue
		}
		seen := make(map[Key]bool, 1)
		for _, p := range r.places(e) {
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
			row.Busy += e.others + e.live.inflight.Load()
			if e.asOf.After(row.AsOf) {
				row.AsOf = e.asOf
			}
		}
	}
	out := make([]PoolTotal, 0, len(keys))
	for _, k := range keys {
		out = append(out, *rows[k])
	}
	return out
}

// ReportTotal records the totals of a pool of another failure domain. An older report than the last one is ignored.
func (r *Registry) ReportTotal(t PoolTotal) {
	old, ok := r.totals[t.Key]
	if t.Key.Domain == r.cfg.Domain || ok && !t.AsOf.After(old.AsOf) {
		return
	}
	r.totals[t.Key] = t
	if s := r.pools[t.Key]; s != nil && ok && old.Active == t.Active && old.Capacity == t.Capacity {
		s.adopt(t, r.cfg.Start)
		return
	}
	r.dirty = true
}

// adopt takes over a report. The targets of another failure domain send none of their own.
func (s *poolStat) adopt(t PoolTotal, base time.Time) {
	s.others.Store(t.Busy)
	if !t.AsOf.IsZero() {
		s.asOf.Store(max(1, int64(t.AsOf.Sub(base))))
	}
}

// adoptTotals replaces what the configuration says of the pools of other failure domains by what they report.
func (r *Registry) adoptTotals(t *Table) {
	for k, s := range t.domains {
		if total, ok := r.totals[k]; ok {
			s.active, s.capacity = total.Active, total.Capacity
			s.adopt(total, r.cfg.Start)
		}
	}
}
