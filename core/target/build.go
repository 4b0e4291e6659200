package target

import (
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// Table is an immutable snapshot of all pools.
type Table struct {
	base    time.Time
	pools   map[Key]*Pool
	domains map[Key]*poolStat
}

// Pool returns the pool of a model or service in the router's failure domain, or nil.
func (t *Table) Pool(key Key) *Pool { return t.pools[key] }

// Build updates ejections from the results of requests and returns the newest table. It returns the
// same table as before when nothing that the table holds has changed. The control goroutine calls it
// several times a second.
func (r *Registry) Build(now time.Time) *Table {
	r.examine(now)
	r.limit(now)
	for _, e := range r.sorted {
		r.mend(e, now)
	}
	if r.dirty {
		r.table = r.rebuild()
		r.dirty = false
	}
	return r.table
}

// places returns the pools and versions that a target belongs to.
func (r *Registry) places(e *entry) []place {
	if len(e.obj.Versions) == 0 && e.obj.Kind == object.TargetService {
		return []place{{key: Key{Service: e.obj.Service, Domain: e.obj.Domain}}}
	}
	out := make([]place, 0, len(e.obj.Versions))
	for _, id := range e.obj.Versions {
		v, ok := r.versions[id]
		if !ok || v.Withdrawn || !e.has(id) {
			continue
		}
		out = append(out, place{key: Key{Model: v.Model, Service: v.Service, Domain: e.obj.Domain}, version: id})
	}
	return out
}

// rebuild makes a new table. Counters are kept from the old one.
func (r *Registry) rebuild() *Table {
	t := &Table{base: r.cfg.Start, pools: make(map[Key]*Pool), domains: make(map[Key]*poolStat)}
	stats := make(map[place]*stat)
	adapters := make(map[ident.TargetID][]string)
	for _, e := range r.sorted {
		e.stats, e.pools = e.stats[:0], e.pools[:0]
		if e.state() != object.TargetActive {
			continue
		}
		if len(e.adapters) > 0 {
			adapters[e.obj.ID] = e.adapters
		}
		m := &member{
			id:       e.obj.ID,
			url:      e.obj.URL,
			hash:     hash("target/" + string(e.obj.ID)),
			capacity: float64(max(e.obj.Capacity, 1)),
			live:     e.live,
			anyTrial: e.health.anyTrial,
		}
		for _, p := range r.places(e) {
			r.addPool(t, e, p.key)
			if p.key.Domain == r.cfg.Domain {
				r.addMember(t, stats, e, m, p)
			}
		}
	}
	r.adoptTotals(t)
	r.stats, r.pools = stats, t.domains
	routers := r.routers
	self := hash("router/" + r.cfg.Router.Name())
	for key, p := range t.pools {
		p.compile(r.sharesOf(key))
		for _, s := range p.sets {
			s.withdrawn = r.versions[s.version].Withdrawn
			s.usable, s.others = split(s.usable, self, routers, r.cfg.SubsetSize)
			s.index(adapters)
		}
	}
	return t
}

// addPool counts the target in its pool's totals. The totals start anew because targets may have left.
func (r *Registry) addPool(t *Table, e *entry, key Key) {
	s := t.domains[key]
	if s == nil {
		s = new(poolStat)
		if old := r.pools[key]; old != nil {
			s.asOf.Store(old.asOf.Load())
		}
		t.domains[key] = s
	}
	for _, known := range e.pools {
		if known == s {
			return
		}
	}
	if e.health.phase == phaseHealthy {
		s.active++
		s.capacity += int64(max(e.obj.Capacity, 1))
	}
	s.others.Add(e.others)
	e.pools = append(e.pools, s)
}

func (r *Registry) addMember(t *Table, stats map[place]*stat, e *entry, m *member, at place) {
	p := t.pools[at.key]
	if p == nil {
		p = &Pool{key: at.key, base: r.cfg.Start, sets: make(map[ident.VersionID]*set), hints: r.hints}
		t.pools[at.key] = p
	}
	s := p.set(at.version)
	if stats[at] == nil {
		if old := r.stats[at]; old != nil {
			s.stat = old
			s.stat.others.Store(0)
		}
		stats[at] = s.stat
	}
	s.stat.others.Add(e.others)
	e.stats = append(e.stats, s.stat)
	s.active++
	switch e.health.phase {
	case phaseHealthy:
		s.usable = append(s.usable, m)
	case phaseHalfOpen:
		s.trials = append(s.trials, m)
	case phaseEjected:
	}
}

// sharesOf returns the configured shares, or one line for each serving version.
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
