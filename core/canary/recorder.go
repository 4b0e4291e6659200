package canary

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"geraniumsaddle/core/ident"
)

const (
	// DefaultMaxCells bounds the memory of a recorder to about 4 MB.
	DefaultMaxCells = 8192
	// OtherRoute collects the routes of a version beyond MaxRoutes.
	OtherRoute = "(other)"
	// MaxRoutes bounds the routes of one version in each load band. Callers choose the paths, so the number of routes
	// must be bounded.
	MaxRoutes = 64
)

// Sample is the result of one request.
type Sample struct {
	Version ident.VersionID
	Route   string
	Band    uint8
	// Failed marks an error of the target, not one of the caller.
	Failed bool
	// FirstToken and BetweenTokens are zero when they were not measured. FirstToken is the response
	// time of a plain service.
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// segment is the part of a version's traffic with one route and load band.
type segment struct {
	route string
	band  uint8
}

func (p segment) compare(q segment) int {
	return cmp.Or(cmp.Compare(p.route, q.route), cmp.Compare(p.band, q.band))
}

type cellKey struct {
	version ident.VersionID
	segment segment
}

// atomicCounts is the atomic form of counts.
type atomicCounts struct {
	requests, errors atomic.Uint64
	latency          [latencyKinds][LatencyBuckets]atomic.Uint64
}

type cellTable map[cellKey]*atomicCounts

// Recorder counts the results of requests. Its methods may be called from any goroutine. The lookup
// table is copied when a cell is added, so Record takes no lock for a known cell.
type Recorder struct {
	router    ident.RouterID
	limit     int
	cells     atomic.Pointer[cellTable]
	uncounted atomic.Uint64
	mu        sync.Mutex // serialises copies of the table
}

// NewRecorder returns a recorder of one router incarnation with at most limit cells; zero means
// DefaultMaxCells.
func NewRecorder(router ident.RouterID, limit int) *Recorder {
	if limit <= 0 {
		limit = DefaultMaxCells
	}
	r := &Recorder{router: router, limit: limit}
	r.cells.Store(&cellTable{})
	return r
}

// Record counts one finished request.
func (r *Recorder) Record(s Sample) {
	t := r.findOrAdd(cellKey{s.Version, segment{s.Route, s.Band}})
	if t == nil {
		r.uncounted.Add(1)
		return
	}
	// Export reads errors before requests, so that it never sees more errors than requests.
	t.requests.Add(1)
	if s.Failed {
		t.errors.Add(1)
	}
	if s.FirstToken > 0 {
		t.latency[firstToken][bucketOf(s.FirstToken)].Add(1)
	}
	if s.BetweenTokens > 0 {
		t.latency[betweenTokens][bucketOf(s.BetweenTokens)].Add(1)
	}
}

// Uncounted returns the number of requests that were not counted because all cells were in use.
func (r *Recorder) Uncounted() uint64 { return r.uncounted.Load() }

func (r *Recorder) findOrAdd(k cellKey) *atomicCounts {
	m := *r.cells.Load()
	if t := m[k]; t != nil {
		return t
	}
	other := cellKey{k.version, segment{OtherRoute, k.segment.band}}
	if t := m[other]; t != nil || len(m) >= r.limit {
		return t
	}
	return r.addCell(k, other)
}

func (r *Recorder) addCell(k, other cellKey) *atomicCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := *r.cells.Load()
	if t := m[k]; t != nil {
		return t
	}
	if len(m) >= r.limit || m.routeCount(k.version, k.segment.band) >= MaxRoutes {
		k = other
		if t := m[k]; t != nil || len(m) >= r.limit {
			return t
		}
	}
	next := maps.Clone(m)
	t := new(atomicCounts)
	next[k] = t
	r.cells.Store(&next)
	return t
}

func (m cellTable) routeCount(v ident.VersionID, band uint8) int {
	n := 0
	for k := range m {
		if k.version == v && k.segment.band == band {
			n++
		}
	}
	return n
}

// DeleteVersion removes the cells of a version that is out of service. Later counts of the version start at zero, so it
// must not be called for a version of a release that has not ended.
func (r *Recorder) DeleteVersion(v ident.VersionID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := maps.Clone(*r.cells.Load())
	maps.DeleteFunc(next, func(k cellKey, _ *atomicCounts) bool { return k.version == v })
	r.cells.Store(&next)
}

// Export returns the counters of all cells, ordered by version, route and band.
func (r *Recorder) Export() []Cell {
	m := *r.cells.Load()
	out := make([]Cell, 0, len(m))
	for k, t := range m {
		out = append(out, t.toCell(r.router, k))
	}
	slices.SortFunc(out, Cell.compare)
	return out
}

func (t *atomicCounts) toCell(router ident.RouterID, k cellKey) Cell {
	c := Cell{Router: router, Version: k.version, Route: k.segment.route, Band: k.segment.band}
	c.Errors = t.errors.Load()
	c.Requests = t.requests.Load()
	latency := make([]uint64, 0, int(latencyKinds)*LatencyBuckets)
	used := 0
	for kd := range t.latency {
		for i := range t.latency[kd] {
			n := t.latency[kd][i].Load()
			latency = append(latency, n)
			if n == 0 {
				continue
			}
			used = len(latency)
			if latencyKind(kd) == firstToken {
				c.Timed += n
			}
		}
	}
	c.Latency = latency[:used]
	return c
}

func (c Cell) compare(d Cell) int {
	return cmp.Or(cmp.Compare(c.Router, d.Router), cmp.Compare(c.Version, d.Version),
		segment{c.Route, c.Band}.compare(segment{d.Route, d.Band}))
}
