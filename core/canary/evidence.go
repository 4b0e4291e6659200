package canary

import (
	"slices"

	"geraniumsaddle/core/ident"
)

type routerCellKey struct {
	router ident.RouterID
	cell   cellKey
}

// totals are the counters of a version in one segment, summed over all routers.
type totals struct {
	// all holds everything that was reported.
	all counts
	// incremental excludes the first report of each router, which may cover weeks before a release.
	incremental counts
}

// Evidence merges the cells of several routers. It keeps the maximum of each counter of a router, so that repeated,
// late and reordered cells have no effect, and sums the counters over the routers.
type Evidence struct {
	byRouter map[routerCellKey]*counts
	versions map[ident.VersionID]*versionTotals
}

// versionTotals holds the totals of one version by segment.
type versionTotals struct {
	bySegment map[segment]*totals
	segments  []segment // sorted
}

// NewEvidence returns evidence without cells.
func NewEvidence() *Evidence {
	return &Evidence{byRouter: make(map[routerCellKey]*counts), versions: make(map[ident.VersionID]*versionTotals)}
}

// Merge adds cumulative counters of any routers.
func (e *Evidence) Merge(cells []Cell) {
	for _, c := range cells {
		key := cellKey{c.Version, segment{c.Route, c.Band}}
		vt := e.versions[c.Version]
		if vt == nil {
			vt = &versionTotals{bySegment: make(map[segment]*totals)}
			e.versions[c.Version] = vt
		}
		s := vt.totalsOf(key.segment)
		n := countsOf(c)
		if row, ok := e.byRouter[routerCellKey{c.Router, key}]; ok {
			d := row.mergeMax(n)
			s.all.add(d)
			s.incremental.add(d)
			continue
		}
		e.byRouter[routerCellKey{c.Router, key}] = &n
		s.all.add(n)
	}
}

func (vt *versionTotals) totalsOf(seg segment) *totals {
	if s := vt.bySegment[seg]; s != nil {
		return s
	}
	i, _ := slices.BinarySearchFunc(vt.segments, seg, segment.compare)
	vt.segments = slices.Insert(vt.segments, i, seg)
	s := new(totals)
	vt.bySegment[seg] = s
	return s
}

// DeleteVersion removes the counters of a version.
func (e *Evidence) DeleteVersion(v ident.VersionID) {
	delete(e.versions, v)
	for k := range e.byRouter {
		if k.cell.version == v {
			delete(e.byRouter, k)
		}
	}
}

// Export returns the cells of all routers, ordered by router, version, route and band.
func (e *Evidence) Export() []Cell {
	out := make([]Cell, 0, len(e.byRouter))
	for k, n := range e.byRouter {
		out = append(out, n.toCell(k))
	}
	slices.SortFunc(out, Cell.compare)
	return out
}

func (n *counts) toCell(k routerCellKey) Cell {
	c := Cell{Router: k.router, Version: k.cell.version, Route: k.cell.segment.route, Band: k.cell.segment.band,
		Requests: n.requests, Errors: n.errors}
	used := 0
	for kd := range n.latency {
		for _, v := range n.latency[kd] {
			c.Latency = append(c.Latency, v)
			if v > 0 {
				used = len(c.Latency)
			}
			if latencyKind(kd) == firstToken {
				c.Timed += v
			}
		}
	}
	c.Latency = c.Latency[:used]
	return c
}

func (e *Evidence) totalsOf(v ident.VersionID, seg segment) *totals {
	if vt := e.versions[v]; vt != nil {
		return vt.bySegment[seg]
	}
	return nil
}

func (e *Evidence) segments(v ident.VersionID) []segment {
	if vt := e.versions[v]; vt != nil {
		return vt.segments
	}
	return nil
}
