package target

import (
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// Table is an immutable snapshot of all pools. Only the atomic counters in it change.
type Table struct {
	start     time.Time
	pools     map[Key]*Pool
	poolStats map[Key]*poolStats
}

// Pool returns the pool of a model or service in the router's failure domain, or nil if it has no targets.
func (t *Table) Pool(key Key) *Pool { return t.pools[key] }

// Build updates the ejections from the results of requests and returns the current table. It returns the previous table
// if nothing in it has changed. The control goroutine calls Build several times a second.
func (r *Registry) Build(now time.Time) *Table {
	r.updateHealth(now)
	r.enforceEjectionLimit(now)
	for _, e := range r.sorted {
		r.resyncFeed(e, now)
	}
	if r.dirty {
		r.table = r.buildTable()
		r.dirty = false
	}
	return r.table
}

// poolVersions returns the pools and versions that a target serves.
func (r *Registry) poolVersions(e *entry) []poolVersion {
	if len(e.obj.Versions) == 0 && e.obj.Kind == object.TargetService {
		return []poolVersion{{key: Key{Service: e.obj.Service, Domain: e.obj.Domain}}}
	}
	out := make([]poolVersion, 0, len(e.obj.Versions))
	for _, id := range e.obj.Versions {
		v, ok := r.versions[id]
		if !ok || v.Withdrawn || !e.canServe(id) {
			continue
		}
		out = append(out, poolVersion{key: Key{Model: v.Model, Service: v.Service, Domain: e.obj.Domain}, version: id})
	}
	return out
}

// buildTable returns a new table. It keeps the counters of the previous one.
func (r *Registry) buildTable() *Table {
	table := &Table{start: r.cfg.Start, pools: make(map[Key]*Pool), poolStats: make(map[Key]*poolStats)}
	stats := make(map[poolVersion]*versionStats)
	adapters := make(map[ident.TargetID][]string)
	for _, e := range r.sorted {
		e.versionStats, e.poolStats = e.versionStats[:0], e.poolStats[:0]
		if e.state() != object.TargetActive {
			continue
		}
		if len(e.adapters) > 0 {
			adapters[e.obj.ID] = e.adapters
		}
		m := &member{
			id:         e.obj.ID,
			url:        e.obj.URL,
			idHash:     hash("target/" + string(e.obj.ID)),
			capacity:   float64(max(e.obj.Capacity, 1)),
			shared:     e.shared,
			anyRequest: e.health.anyRequest,
		}
		for _, pv := range r.poolVersions(e) {
			r.addToPoolStats(table, e, pv.key)
			if pv.key.Domain == r.cfg.Domain {
				r.addMember(table, stats, e, m, pv)
			}
		}
	}
	r.applyTotals(table)
	r.versionStats, r.poolStats = stats, table.poolStats
	routers := r.routers
	self := hash("router/" + r.cfg.Router.Name())
	for key, pool := range table.pools {
		pool.compileShares(r.sharesOf(key))
		for _, s := range pool.sets {
			s.withdrawn = r.versions[s.version].Withdrawn
			s.inSubset, s.outsideSubset = splitSubset(s.inSubset, self, routers, r.cfg.SubsetSize)
			s.buildIndexes(adapters)
		}
	}
	return table
}

// addToPoolStats adds the target to the totals of its pool. The totals are recomputed for each table because targets
// may have left.
func (r *Registry) addToPoolStats(t *Table, e *entry, key Key) {
	stats := t.poolStats[key]
	if stats == nil {
		stats = new(poolStats)
		if old := r.poolStats[key]; old != nil {
			stats.asOf.Store(old.asOf.Load())
		}
		t.poolStats[key] = stats
	}
	for _, known := range e.poolStats {
		if known == stats {
			return
		}
	}
	if e.health.phase == phaseHealthy {
		stats.active++
		stats.capacity += int64(max(e.obj.Capacity, 1))
	}
	stats.otherRequests.Add(e.otherRequests)
	e.poolStats = append(e.poolStats, stats)
}

func (r *Registry) addMember(t *Table, stats map[poolVersion]*versionStats, e *entry, m *member, pv poolVersion) {
	p := t.pools[pv.key]
	if p == nil {
		p = &Pool{key: pv.key, start: r.cfg.Start, sets: make(map[ident.VersionID]*versionSet), hints: r.hints}
		t.pools[pv.key] = p
	}
	s := p.versionSetOf(pv.version)
	if stats[pv] == nil {
		if old := r.versionStats[pv]; old != nil {
			s.stats = old
			s.stats.otherRequests.Store(0)
		}
		stats[pv] = s.stats
	}
	s.stats.otherRequests.Add(e.otherRequests)
	e.versionStats = append(e.versionStats, s.stats)
	s.activeTargets++
	switch e.health.phase {
	case phaseHealthy:
		s.inSubset = append(s.inSubset, m)
	case phaseHalfOpen:
		s.halfOpen = append(s.halfOpen, m)
	case phaseEjected:
	}
}

// sharesOf returns the configured shares, or by default a line of equal weight for each serving version.
func (r *Registry) sharesOf(key Key) Shares {
	key.Domain = ""
	if s, ok := r.shares[key]; ok {
		return s
	}
	var s Shares
	for _, v := range r.versions {
		if v.Model == key.Model && v.Service == key.Service && v.Serving && !v.Withdrawn {
			s.Lines = append(s.Lines, Line{Version: v.ID, Weight: 1})
		}
	}
	if len(s.Lines) == 0 {
		s.Lines = []Line{{Weight: 1}}
	}
	return s
}
