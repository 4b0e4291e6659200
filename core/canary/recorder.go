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
	// MaxRoutes bounds the routes of one version. Callers choose paths, so routes must not grow freely.
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

type place struct {
	route string
	band  uint8
}

func (p place) compare(q place) int {
	return cmp.Or(cmp.Compare(p.route, q.route), cmp.Compare(p.band, q.band))
}

type cellKey struct {
	version ident.VersionID
	place   place
}

// tally is the atomic form of counts.
type tally struct {
	requests, errors atomic.Uint64
	latency          [kinds][LatencyBuckets]atomic.Uint64
}

type tallies map[cellKey]*tally

// Recorder counts the results of requests. Its methods may be called from any goroutine. The lookup
// table is copied when a cell is added, so Record takes no lock for a known cell.
type Recorder struct {
	router ident.RouterID
	limit  int
	cells  atomic.Pointer[tallies]
	lost   atomic.Uint64
	mu     sync.Mutex // serialises copies of the table
}

// NewRecorder returns a recorder of one router incarnation with at most limit cells; zero means
// DefaultMaxCells.
func NewRecorder(router ident.RouterID, limit int) *Recorder {
	if limit <= 0 {
		limit = DefaultMaxCells
	}
	r := &Recorder{router: router, limit: limit}
	r.cells.Store(&tallies{})
	return r
}

// Record counts one finished request.
func (r *Recorder) Record(s Sample) {
	t := r.tally(cellKey{s.Version, place{s.Route, s.Band}})
	if t == nil {
		r.lost.Add(1)
		return
	}
	// Export reads errors before requests, so that it never sees more errors than requests.
	t.requests.Add(1)
	if s.Failed {
		t.errors.Add(1)
	}
	if s.FirstToken > 0 {
		t.latency[firstToken][stepOf(s.FirstToken)].Add(1)
	}
	if s.BetweenTokens > 0 {
		t.latency[betweenTokens][stepOf(s.BetweenTokens)].Add(1)
	}
}

// Uncounted returns the number of requests that were not counted because all cells were in use.
func (r *Recorder) Uncounted() uint64 { return r.lost.Load() }

func (r *Recorder) tally(k cellKey) *tally {
	m := *r.cells.Load()
	if t := m[k]; t != nil {
		return t
	}
	other := cellKey{k.version, place{OtherRoute, k.place.band}}
	if t := m[other]; t != nil || len(m) >= r.limit {
		return t
	}
	return r.insert(k, other)
}

func (r *Recorder) insert(k, other cellKey) *tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := *r.cells.Load()
	if t := m[k]; t != nil {
		return t
	}
	if len(m) >= r.limit || m.routes(k.version, k.place.band) >= MaxRoutes {
		k = other
		if t := m[k]; t != nil || len(m) >= r.limit {
			return t
		}
	}
	next := maps.Clone(m)
	t := new(tally)
	next[k] = t
	r.cells.Store(&next)
	return t
}

func (m tallies) routes(v ident.VersionID, band uint8) int {
	n := 0
	for k := range m {
		if k.version == v && k.place.band == band {
			n++
		}
	}
	return n
}

// Drop removes the cells of a version that is out of service. Its counters would start anew, so it
// must not be called for a version of a release that has not ended.
func (r *Recorder) Drop(v ident.VersionID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := maps.Clone(*r.cells.Load())
	maps.DeleteFunc(next, func(k cellKey, _ *tally) bool { return k.version == v })
	r.cells.Store(&next)
}

// Export returns the counters of all cells, ordered by version, route and band.
func (r *Recorder) Export() []Cell {
	m := *r.cells.Load()
	out := make([]Cell, 0, len(m))
	for k, t := range m {
		out = append(out, t.cell(r.router, k))
	}
	slices.SortFunc(out, Cell.compare)
	return out
}

func (t *tally) cell(router ident.RouterID, k cellKey) Cell {
	c := Cell{Router: router, Version: k.version, Route: k.place.route, Band: k.place.band}
	c.Errors = t.errors.Load()
	c.Requests = t.requests.Load()
	steps := make([]uint64, 0, int(kinds)*LatencyBuckets)
	used := 0
	for kd := range t.latency {
		for i := range t.latency[kd] {
			n := t.latency[kd][i].Load()
			steps = append(steps, n)
			if n == 0 {
				continue
			}
			used = len(steps)
			if kind(kd) == firstToken {
				c.Timed += n
			}
		}
	}
	c.Latency = steps[:used]
	return c
}

func (c Cell) compare(d Cell) int {
	return cmp.Or(cmp.Compare(c.Router, d.Router), cmp.Compare(c.Version, d.Version),
		place{c.Route, c.Band}.compare(place{d.Route, d.Band}))
}
