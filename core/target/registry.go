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

// Config describes the router that owns a registry.
type Config struct {
	Domain ident.DomainID
	Router ident.RouterID
	// Start is a time before all others; load reports are stored relative to it.
	Start time.Time
	// SubsetSize is the mean subset size, or zero for DefaultSubset.
	SubsetSize int
}

// Registry holds what the control goroutine knows about targets. It is not safe for concurrent use.
type Registry struct {
	cfg      Config
	rnd      *rand.Rand
	entries  map[ident.TargetID]*entry
	sorted   []*entry
	versions map[ident.VersionID]object.Version
	vms      map[ident.VMID]object.TargetState
	shares   map[Key]Shares // keys without failure domain
	routers  []uint64
	stats    map[place]*stat
	pools    map[Key]*poolStat
	totals   map[Key]PoolTotal // of other failure domains
	hints    *hints
	serial   uint32
	dirty    bool
	table    *Table
}

// entry is one target.
type entry struct {
	obj      object.Target
	fsm      *fsm.FSM
	learned  object.TargetState // from peers
	health   health
	live     *live
	adapters []string
	// loaded are the versions that the target reports, if it has reported a list.
	loaded     []ident.VersionID
	loadedList bool
	feed       feed
	asOf       time.Time
	others     int64
	stats      []*stat
	pools      []*poolStat
}

func (e *entry) state() object.TargetState { return object.TargetState(e.fsm.Current()) }

// place is a version in a pool.
type place struct {
	key     Key
	version ident.VersionID
}

// Load is a load report of a target.
type Load struct {
	Target  ident.TargetID `json:"target"`
	Running int            `json:"running"`
	Queued  int            `json:"queued"`
	AsOf    time.Time      `json:"as_of"`
}

// New returns an empty registry. The random source jitters ejections.
func New(cfg Config, rnd *rand.Rand) *Registry {
	if cfg.SubsetSize <= 0 {
		cfg.SubsetSize = DefaultSubsetSize
	}
	return &Registry{
		cfg:      cfg,
		rnd:      rnd,
		entries:  make(map[ident.TargetID]*entry),
		versions: make(map[ident.VersionID]object.Version),
		vms:      make(map[ident.VMID]object.TargetState),
		shares:   make(map[Key]Shares),
		routers:  routerHashes([]ident.RouterID{cfg.Router}),
		stats:    make(map[place]*stat),
		pools:    make(map[Key]*poolStat),
		totals:   make(map[Key]PoolTotal),
		hints:    new(hints),
		dirty:    true,
	}
}

// PutTarget adds or changes a target.
func (r *Registry) PutTarget(t object.Target) {
	e := r.entries[t.ID]
	if e == nil {
		e = &entry{fsm: newLifecycle(), live: new(live), learned: object.TargetActive}
		r.entries[t.ID] = e
		r.renumber(e)
		i, _ := slices.BinarySearchFunc(r.sorted, t.ID, byID)
		r.sorted = slices.Insert(r.sorted, i, e)
	}
	e.obj = t
	r.dirty = true
	r.follow(e)
}

// DeleteTarget forgets a target. Requests that it still holds can be released as usual.
func (r *Registry) DeleteTarget(id ident.TargetID) {
	if r.entries[id] == nil {
		return
	}
	delete(r.entries, id)
	i, _ := slices.BinarySearchFunc(r.sorted, id, byID)
	r.sorted = slices.Delete(r.sorted, i, i+1)
	r.dirty = true
}

func byID(e *entry, id ident.TargetID) int { return strings.Compare(string(e.obj.ID), string(id)) }

// PutVersion adds or changes a version.
func (r *Registry) PutVersion(v object.Version) {
	r.versions[v.ID] = v
	r.dirty = true
}

// DeleteVersion forgets a version.
func (r *Registry) DeleteVersion(id ident.VersionID) {
	delete(r.versions, id)
	r.dirty = true
}

// SetVMState records the state of a VM from the VM list. Leaving and gone are final, because the list lags.
func (r *Registry) SetVMState(vm ident.VMID, s object.TargetState) {
	old, ok := r.vms[vm]
	if ok && later(old, s) == old {
		return
	}
	r.vms[vm] = s
	for _, e := range r.sorted {
		if e.obj.VM == vm {
			r.follow(e)
		}
	}
}

// ForgetVM removes a VM that is no longer listed. Its targets keep their state.
func (r *Registry) ForgetVM(vm ident.VMID) { delete(r.vms, vm) }

// SetState records a target's state that a peer reported. A state only moves towards gone this way.
func (r *Registry) SetState(id ident.TargetID, s object.TargetState) {
	if e := r.entries[id]; e != nil {
		e.learned = later(e.learned, s)
		r.follow(e)
	}
}

// follow moves the lifecycle of a target to the most final state that any source reports.
func (r *Registry) follow(e *entry) {
	want := later(later(e.obj.State, e.learned), r.vms[e.obj.VM])
	if advance(e.fsm, want) {
		r.dirty = true
	}
}

// State returns the lifecycle state of a target, or gone for an unknown one.
func (r *Registry) State(id ident.TargetID) object.TargetState {
	if e := r.entries[id]; e != nil {
		return e.state()
	}
	return object.TargetGone
}

// SetShares sets the version shares of a model or service; the key's failure domain is ignored.
// Without shares, all serving versions have the same weight.
func (r *Registry) SetShares(key Key, s Shares) {
	key.Domain = ""
	r.shares[key] = s
	r.dirty = true
}

// SetRouters sets the routers of the failure domain, which share its targets. The own router is added
// if it is missing.
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

// SetLoaded records the versions that a target reports as loaded. A listed version that is not among them gets no
// requests. A nil list means that the target serves every version that is listed for it.
func (r *Registry) SetLoaded(id ident.TargetID, loaded []ident.VersionID) {
	e := r.entries[id]
	if e == nil || e.loadedList == (loaded != nil) && slices.Equal(e.loaded, loaded) {
		return
	}
	e.loaded, e.loadedList = slices.Clone(loaded), loaded != nil
	r.dirty = true
}

// Loaded returns the versions that a target has reported as loaded, or nil for a target without a list.
func (r *Registry) Loaded(id ident.TargetID) []ident.VersionID {
	if e := r.entries[id]; e != nil && e.loadedList {
		return append([]ident.VersionID{}, e.loaded...)
	}
	return nil
}

// has reports whether the target can serve a version that is listed for it.
func (e *entry) has(v ident.VersionID) bool { return !e.loadedList || slices.Contains(e.loaded, v) }

// Report records a load report. It is visible to traffic at once. A report that is older than the
// last one is ignored.
func (r *Registry) Report(l Load) {
	e := r.entries[l.Target]
	if e == nil || !l.AsOf.After(e.asOf) {
		return
	}
	e.asOf = l.AsOf
	others := max(int64(l.Running)+int64(l.Queued)-e.live.inflight.Load(), 0)
	at := l.AsOf.Sub(r.cfg.Start)
	e.live.load.Store(packLoad(others, at))
	for _, s := range e.stats {
		s.others.Add(others - e.others)
	}
	for _, s := range e.pools {
		s.others.Add(others - e.others)
		s.asOf.Store(max(s.asOf.Load(), int64(at)))
	}
	e.others = others
}
