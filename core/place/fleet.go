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
	// ErrNoTarget means that the service has no target that may take the request.
	ErrNoTarget = errors.New("no target serves the request")
	// ErrFull means that every eligible target has recently refused a request as full.
	ErrFull = errors.New("every target is full")
)

// Config configures a Fleet.
type Config struct {
	// Domain is the failure domain of the router that chooses.
	Domain ident.DomainID
	// RemovalGrace is the time after an outage of the store within which live targets renew their expired entries.
	RemovalGrace time.Duration
}

// Fleet holds the targets. It is safe for concurrent use.
type Fleet struct {
	cfg Config

	mu               sync.Mutex
	targets          map[ident.TargetID]*member
	pools            map[ident.ServiceID][]*member // sorted by ID
	failuresByDomain map[ident.DomainID]*domainFailures
	notices          map[startKey]*notice
	removals         map[startKey]removal
	// storeUnreachable says whether the store is unreachable now, and storeBackAt when its last outage ended.
	storeUnreachable bool
	storeBackAt      time.Time
}

// New returns an empty fleet.
func New(cfg Config) *Fleet {
	return &Fleet{
		cfg:              cfg,
		targets:          make(map[ident.TargetID]*member),
		pools:            make(map[ident.ServiceID][]*member),
		failuresByDomain: make(map[ident.DomainID]*domainFailures),
		notices:          make(map[startKey]*notice),
		removals:         make(map[startKey]removal),
	}
}

// Put adds or updates a target. A target that has restarted under the same ID loses its recorded load and failures.
func (f *Fleet) Put(t Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.targets[t.ID]
	if old != nil && old.Service == t.Service && old.Addr == t.Addr && old.Born == t.Born {
		old.Target = t
		old.removeAt = time.Time{}
		return
	}
	if old != nil {
		f.remove(old)
	}
	m := &member{Target: t, notice: f.notices[t.key()], hash: xxhash.Sum64String(string(t.ID))}
	f.targets[t.ID] = m
	pool := append(f.pools[t.Service], m)
	slices.SortFunc(pool, func(a, b *member) int { return compareIDs(a.ID, b.ID) })
	f.pools[t.Service] = pool
}

func compareIDs(a, b ident.TargetID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Remove handles the removal of a target's entry from the store. During an outage of the store the entries of live
// targets expire too, so a serving target then stays in use until it has had time to renew its entry.
func (f *Fleet) Remove(id ident.TargetID, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.targets[id]
	if m == nil {
		return
	}
	deadline := f.storeBackAt.Add(f.cfg.RemovalGrace)
	if f.storeUnreachable {
		deadline = now.Add(f.cfg.RemovalGrace)
	}
	if m.serving() && now.Before(deadline) {
		m.removeAt = deadline
		return
	}
	f.recordRemoval(m, now)
	f.remove(m)
}

func (f *Fleet) remove(m *member) {
	delete(f.targets, m.ID)
	pool := f.pools[m.Service]
	f.pools[m.Service] = slices.DeleteFunc(pool, func(o *member) bool { return o == m })
}

// IDs returns the IDs of all targets in ascending order.
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

// SetStoreUnreachable records whether the store is unreachable.
func (f *Fleet) SetStoreUnreachable(unreachable bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeUnreachable && !unreachable {
		f.storeBackAt = now
	}
	f.storeUnreachable = unreachable
}

// Expire removes the targets whose entries were not renewed in time after an outage of the store. During an outage it
// removes none.
func (f *Fleet) Expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeUnreachable {
		return
	}
	for _, m := range f.targets {
		if m.removeAt.IsZero() {
			continue
		}
		deadline := m.removeAt
		if afterOutage := f.storeBackAt.Add(f.cfg.RemovalGrace); afterOutage.After(deadline) {
			deadline = afterOutage
		}
		if !now.Before(deadline) {
			f.recordRemoval(m, now)
			f.remove(m)
		}
	}
}

// VersionCounts returns the number of serving targets per version of a service.
func (f *Fleet) VersionCounts(s ident.ServiceID) map[ident.VersionID]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := make(map[ident.VersionID]int)
	for _, m := range f.pools[s] {
		if m.serving() {
			counts[m.Version]++
		}
	}
	return counts
}

// ServingCount returns the number of serving targets of a service.
func (f *Fleet) ServingCount(s ident.ServiceID) int {
	n := 0
	for _, c := range f.VersionCounts(s) {
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

// Usable reports whether a target may still receive a request. Callers check it right before each send, because a pause
// of the process can make the choice stale.
func (f *Fleet) Usable(t Target, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.targets[t.ID]
	return m != nil && m.serving() && m.Born == t.Born && m.Addr == t.Addr && !now.Before(m.quietUntil())
}

// ReportLoad records the load that a target has reported. Unknown targets are ignored.
func (f *Fleet) ReportLoad(id ident.TargetID, l Load, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.targets[id]; m != nil {
		m.recordLoad(l, now)
	}
}
