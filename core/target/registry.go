package target

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/looplab/fsm"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// DefaultSubsetSize is the mean number of targets of a version that a router uses in a large pool.
const DefaultSubsetSize = 64

// Config configures a Registry for the router that owns it.
type Config struct {
	Domain ident.DomainID
	Router ident.RouterID
	// Start is earlier than every other time. The times of load reports are stored relative to it.
	Start time.Time
	// SubsetSize is the mean subset size, or zero for DefaultSubsetSize.
	SubsetSize int
}

// Registry holds what the control goroutine knows about targets. It is not safe for concurrent use.
type Registry struct {
	cfg          Config
	rnd          *rand.Rand
	entries      map[ident.TargetID]*entry
	sorted       []*entry
	versions     map[ident.VersionID]object.Version
	vms          map[ident.VMID]object.TargetState
	shares       map[Key]Shares // keys without failure domain
	routers      []uint64
	versionStats map[poolVersion]*versionStats
	poolStats    map[Key]*poolStats
	remoteTotals map[Key]PoolTotal // of other failure domains
	hints        *hintTable
	serial       uint32
	dirty        bool
	table        *Table
}

// entry holds everything the registry knows about one target.
type entry struct {
	obj       object.Target
	fsm       *fsm.FSM
	peerState object.TargetState // the most final state that peers have reported
	health    health
	shared    *sharedState
	adapters  []string
	// loaded lists the versions that the target reports as loaded. It is only valid if reportsLoaded is set.
	loaded        []ident.VersionID
	reportsLoaded bool
	feed          cacheFeed
	loadAsOf      time.Time
	otherRequests int64
	versionStats  []*versionStats
	poolStats     []*poolStats
}

func (e *entry) state() object.TargetState { return object.TargetState(e.fsm.Current()) }

// poolVersion identifies a version in a pool.
type poolVersion struct {
	key     Key
	version ident.VersionID
}

// Load is a target's report of its load.
type Load struct {
	Target  ident.TargetID `json:"target"`
	Running int            `json:"running"`
	Queued  int            `json:"queued"`
	AsOf    time.Time      `json:"as_of"`
}

// New returns an empty registry. The random source provides the jitter of ejections.
func New(cfg Config, rnd *rand.Rand) *Registry {
	if cfg.SubsetSize <= 0 {
		cfg.SubsetSize = DefaultSubsetSize
	}
	return &Registry{
		cfg:          cfg,
		rnd:          rnd,
		entries:      make(map[ident.TargetID]*entry),
		versions:     make(map[ident.VersionID]object.Version),
		vms:          make(map[ident.VMID]object.TargetState),
		shares:       make(map[Key]Shares),
		routers:      routerHashes([]ident.RouterID{cfg.Router}),
		versionStats: make(map[poolVersion]*versionStats),
		poolStats:    make(map[Key]*poolStats),
		remoteTotals: make(map[Key]PoolTotal),
		hints:        new(hintTable),
		dirty:        true,
	}
}

// PutTarget adds or updates a target.
func (r *Registry) PutTarget(t object.Target) {
	e := r.entries[t.ID]
	if e == nil {
		e = &entry{fsm: newLifecycle(), shared: new(sharedState), peerState: object.TargetActive}
		r.entries[t.ID] = e
		r.invalidateHints(e)
		i, _ := slices.BinarySearchFunc(r.sorted, t.ID, compareID)
		r.sorted = slices.Insert(r.sorted, i, e)
	}
	e.obj = t
	r.dirty = true
	r.updateLifecycle(e)
}

// DeleteTarget removes a target. Choices of it that are still held can be released as usual.
func (r *Registry) DeleteTarget(id ident.TargetID) {
	if r.entries[id] == nil {
		return
	}
	delete(r.entries, id)
	i, _ := slices.BinarySearchFunc(r.sorted, id, compareID)
	r.sorted = slices.Delete(r.sorted, i, i+1)
	r.dirty = true
}

func compareID(e *entry, id ident.TargetID) int { return strings.Compare(string(e.obj.ID), string(id)) }

// PutVersion adds or updates a version.
func (r *Registry) PutVersion(v object.Version) {
	r.versions[v.ID] = v
	r.dirty = true
}

// DeleteVersion removes a version.
func (r *Registry) DeleteVersion(id ident.VersionID) {
	delete(r.versions, id)
	r.dirty = true
}

// SetVMState records the state of a VM from the VM list. A state never moves back from gone or leaving, because the
// list lags.
func (r *Registry) SetVMState(vm ident.VMID, s object.TargetState) {
	old, ok := r.vms[vm]
	if ok && moreFinal(old, s) == old {
		return
	}
	r.vms[vm] = s
	for _, e := range r.sorted {
		if e.obj.VM == vm {
			r.updateLifecycle(e)
		}
	}
}

// ForgetVM removes a VM that is no longer listed. Its targets keep their state.
func (r *Registry) ForgetVM(vm ident.VMID) { delete(r.vms, vm) }

// ReportState records the state of a target that a peer has reported. Such a state never moves back from gone or
// leaving.
func (r *Registry) ReportState(id ident.TargetID, s object.TargetState) {
	if e := r.entries[id]; e != nil {
		e.peerState = moreFinal(e.peerState, s)
		r.updateLifecycle(e)
	}
}

// updateLifecycle moves the lifecycle of a target to the most final state that any source reports.
func (r *Registry) updateLifecycle(e *entry) {
	want := moreFinal(moreFinal(e.obj.State, e.peerState), r.vms[e.obj.VM])
	if transitionTo(e.fsm, want) {
		r.dirty = true
	}
}

// State returns the lifecycle state of a target, which is gone for an unknown target.
func (r *Registry) State(id ident.TargetID) object.TargetState {
	if e := r.entries[id]; e != nil {
		return e.state()
	}
	return object.TargetGone
}

// SetShares sets the version shares of a model or service. The failure domain of the key is ignored. Without shares,
// all serving versions have the same weight.
func (r *Registry) SetShares(key Key, s Shares) {
	key.Domain = ""
	r.shares[key] = s
	r.dirty = true
}

// SetRouters sets the routers that share the targets of the failure domain. It adds this router if it is missing.
func (r *Registry) SetRouters(routers []ident.RouterID) {
	hashes := routerHashes(append(slices.Clone(routers), r.cfg.Router))
	if !slices.Equal(hashes, r.routers) {
		r.routers = hashes
		r.dirty = true
	}
}

// SetAdapters records the adapters that a target has loaded.
func (r *Registry) SetAdapters(id ident.TargetID, adapters []string) {
	e := r.entries[id]
	if e == nil || slices.Equal(e.adapters, adapters) {
		return
	}
	e.adapters = slices.Clone(adapters)
	r.dirty = true
}

// SetLoaded records the versions that a target reports as loaded. The target gets no requests for other versions. A nil
// list means that the target serves every version that the configuration lists for it.
func (r *Registry) SetLoaded(id ident.TargetID, loaded []ident.VersionID) {
	e := r.entries[id]
	if e == nil || e.reportsLoaded == (loaded != nil) && slices.Equal(e.loaded, loaded) {
		return
	}
	e.loaded, e.reportsLoaded = slices.Clone(loaded), loaded != nil
	r.dirty = true
}

// Loaded returns the versions that a target has reported as loaded, or nil for a target without a list.
func (r *Registry) Loaded(id ident.TargetID) []ident.VersionID {
	if e := r.entries[id]; e != nil && e.reportsLoaded {
		return append([]ident.VersionID{}, e.loaded...)
	}
	return nil
}

// canServe reports whether the target can serve a version that the configuration lists for it.
func (e *entry) canServe(v ident.VersionID) bool {
	return !e.reportsLoaded || slices.Contains(e.loaded, v)
}

// ReportLoad records a load report, which traffic goroutines see at once. A report that is not newer than the last one
// is ignored.
func (r *Registry) ReportLoad(l Load) {
	e := r.entries[l.Target]
	if e == nil || !l.AsOf.After(e.loadAsOf) {
		return
	}
	e.loadAsOf = l.AsOf
	otherRequests := max(int64(l.Running)+int64(l.Queued)-e.shared.inflight.Load(), 0)
	at := l.AsOf.Sub(r.cfg.Start)
	e.shared.packedLoad.Store(packLoad(otherRequests, at))
	for _, s := range e.versionStats {
		s.otherRequests.Add(otherRequests - e.otherRequests)
	}
	for _, s := range e.poolStats {
		s.otherRequests.Add(otherRequests - e.otherRequests)
		s.asOf.Store(max(s.asOf.Load(), int64(at)))
	}
	e.otherRequests = otherRequests
}
