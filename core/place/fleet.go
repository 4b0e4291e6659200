package place

import (
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumsaddle/core/cold"
	"geraniumsaddle/core/cost"
	"geraniumsaddle/core/digest"
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
	// VM is the VM of that router. Routers of different VMs choose differently among equal targets.
	VM ident.VMID
	// RemovalGrace is the time after an outage of the store within which live targets renew their expired entries.
	RemovalGrace time.Duration
}

// Engine describes the model engines of a service.
type Engine struct {
	// KVCapacity is the number of tokens in the KV cache of an engine, or zero if unknown.
	KVCapacity ident.Tokens
}

// Fleet holds the targets. It is safe for concurrent use.
type Fleet struct {
	cfg Config

	// mu is held for less than a microsecond by a choice, whatever the number of targets, but for the view of a pool.
	mu               sync.Mutex
	rng              *rand.Rand
	targets          map[ident.TargetID]*member
	byWorkKey        map[digest.Key]*member
	pools            map[ident.ServiceID]*pool
	others           *digest.Table
	peers            Peers
	failuresByDomain map[ident.DomainID]*domainFailures
	notices          map[startKey]*notice
	domains          map[ident.DomainID]*domainState
	// ramping says that a failure domain is taken back by a ramp.
	ramping bool
	regions map[ident.DomainID]ident.RegionID
	// cold limits the requests to cold targets.
	cold     *cold.Limiter
	removals map[startKey]removal
	// storeUnreachable says whether the store is unreachable now, and storeBackAt when its last outage ended.
	storeUnreachable bool
	storeBackAt      time.Time
}

// New returns an empty fleet.
func New(cfg Config) *Fleet {
	return &Fleet{
		cfg:              cfg,
		rng:              rand.New(rand.NewPCG(xxhash.Sum64String(string(cfg.VM)), 0)),
		targets:          make(map[ident.TargetID]*member),
		byWorkKey:        make(map[digest.Key]*member),
		pools:            make(map[ident.ServiceID]*pool),
		others:           digest.NewTable(),
		failuresByDomain: make(map[ident.DomainID]*domainFailures),
		notices:          make(map[startKey]*notice),
		domains:          make(map[ident.DomainID]*domainState),
		cold:             cold.New(cfg.VM),
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
		old.domain = f.domainState(t.Domain)
		old.removeAt = time.Time{}
		f.poolOf(t.Service).changed = true
		return
	}
	if old != nil {
		f.remove(old)
	}
	m := &member{
		Target: t, notice: f.notices[t.key()], domain: f.domainState(t.Domain), cold: f.cold.State(t.ID),
		hash: xxhash.Sum64String(string(t.ID)), workKey: digest.KeyOf(t.ID, t.Born),
		speed: cost.NewQuantile(0.5, speedStep, 1, minSpeed, maxSpeed),
	}
	f.targets[t.ID] = m
	f.byWorkKey[m.workKey] = m
	f.poolOf(t.Service).add(m)
}

// poolOf returns the pool of a service and creates it on first use. The caller holds f.mu.
func (f *Fleet) poolOf(s ident.ServiceID) *pool {
	p := f.pools[s]
	if p == nil {
		p = newPool()
		f.pools[s] = p
	}
	return p
}

// SetEngine sets what the configuration says about the engines of a service.
func (f *Fleet) SetEngine(s ident.ServiceID, e Engine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.poolOf(s).capacity = e.KVCapacity
}

// members returns the targets of a service. The caller holds f.mu.
func (f *Fleet) members(s ident.ServiceID) []*member {
	if p := f.pools[s]; p != nil {
		return p.members
	}
	return nil
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
	delete(f.byWorkKey, m.workKey)
	f.poolOf(m.Service).remove(m)
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
	for _, m := range f.members(s) {
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
	for _, m := range f.members(s) {
		if m.Version != v {
			n += m.own.Running
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
	return m != nil && m.available() && m.Born == t.Born && m.Addr == t.Addr && !now.Before(m.quietUntil())
}

// ReportLoad records the load that a target has reported. Unknown targets are ignored.
func (f *Fleet) ReportLoad(id ident.TargetID, l Load, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.targets[id]; m != nil {
		m.recordLoad(l, now)
	}
}
