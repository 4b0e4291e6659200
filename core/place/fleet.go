package place

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumsaddle/core/ident"
)

var (
	// ErrNoTarget means that no target of the service may take the request.
	ErrNoTarget = errors.New("no target serves the request")
	// ErrFull means that every target refuses requests at the moment.
	ErrFull = errors.New("every target is full")
)

// Config describes the router that chooses.
type Config struct {
	Domain ident.DomainID
	// RemovalGrace is the time after an outage of the store in which the entry of a living target is back.
	RemovalGrace time.Duration
}

// Fleet holds the targets. It is safe for concurrent use.
type Fleet struct {
	cfg Config

	mu      sync.Mutex
	targets map[ident.TargetID]*member
	pools   map[ident.ServiceID][]*member // ordered by id
	domains map[ident.DomainID]*reach
	// away says that the store cannot be heard, and backAt when it was heard again.
	away   bool
	backAt time.Time
}

// New returns a fleet without targets.
func New(cfg Config) *Fleet {
	return &Fleet{
		cfg:     cfg,
		targets: make(map[ident.TargetID]*member),
		pools:   make(map[ident.ServiceID][]*member),
		domains: make(map[ident.DomainID]*reach),
	}
}

// Put adds or changes a target. A target that starts anew under its id loses what was known about it.
func (f *Fleet) Put(t Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.targets[t.ID]
	if old != nil && old.Service == t.Service && old.Addr == t.Addr && old.Born == t.Born {
		old.Target = t
		old.lapsed = time.Time{}
		return
	}
	if old != nil {
		f.remove(old)
	}
	m := &member{Target: t, hash: xxhash.Sum64String(string(t.ID))}
	f.targets[t.ID] = m
	pool := append(f.pools[t.Service], m)
	slices.SortFunc(pool, func(a, b *member) int { return cmpID(a.ID, b.ID) })
	f.pools[t.Service] = pool
}

func cmpID(a, b ident.TargetID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Remove takes the removal of an entry. After an outage of the store, in which entries of living targets lapse, the
// target stays in use until its entry had time to come back.
func (f *Fleet) Remove(id ident.TargetID, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.targets[id]
	if m == nil {
		return
	}
	until := f.backAt.Add(f.cfg.RemovalGrace)
	if f.away {
		until = now.Add(f.cfg.RemovalGrace)
	}
	if m.State == Serving && now.Before(until) {
		m.lapsed = until
		return
	}
	f.remove(m)
}

func (f *Fleet) remove(m *member) {
	delete(f.targets, m.ID)
	pool := f.pools[m.Service]
	f.pools[m.Service] = slices.DeleteFunc(pool, func(o *member) bool { return o == m })
}

// IDs returns the known targets, ordered.
func (f *Fleet) IDs() []ident.TargetID {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := make([]ident.TargetID, 0, len(f.targets))
	for id := range f.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// SetStoreUnreachable records whether the store can be heard.
func (f *Fleet) SetStoreUnreachable(away bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.away && !away {
		f.backAt = now
	}
	f.away = away
}

// Expire removes the targets whose entry did not come back after an outage.
func (f *Fleet) Expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.away {
		return
	}
	for _, m := range f.targets {
		if m.lapsed.IsZero() {
			continue
		}
		until := m.lapsed
		if back := f.backAt.Add(f.cfg.RemovalGrace); back.After(until) {
			until = back
		}
		if !now.Before(until) {
			f.remove(m)
		}
	}
}

// Versions returns the number of serving targets of each version of a service.
func (f *Fleet) Versions(s ident.ServiceID) map[ident.VersionID]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := make(map[ident.VersionID]int)
	for _, m := range f.pools[s] {
		if m.State == Serving {
			n[m.Version]++
		}
	}
	return n
}

// ServingCount returns the number of targets of a service that serve.
func (f *Fleet) ServingCount(s ident.ServiceID) int {
	n := 0
	for _, c := range f.Versions(s) {
		n += c
	}
	return n
}

// RunningOnOtherVersions returns the number of this router's requests at targets of other versions.
func (f *Fleet) RunningOnOtherVersions(s ident.ServiceID, v ident.VersionID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, m := range f.pools[s] {
		if m.Version != v {
			n += m.running
		}
	}
	return n
}

// Usable reports whether a target may still get a request. It is asked again just before each send, because the
// choice may be old after a pause of the process.
func (f *Fleet) Usable(t Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.targets[t.ID]
	return m != nil && m.State == Serving && m.Born == t.Born && m.Addr == t.Addr
}

// ReportLoad takes a target's load.
func (f *Fleet) ReportLoad(id ident.TargetID, l Load, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.targets[id]; m != nil {
		m.report(l, now)
	}
}
