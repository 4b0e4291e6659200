package canary

import (
	"slices"

	"geraniumsaddle/core/ident"
)

type rowKey struct {
	router ident.RouterID
	cell   cellKey
}

// sums are the counters of a cell over all routers.
type sums struct {
	// all holds everything that was reported.
	all counts
	// live leaves out the first report of each router, which may cover weeks before a release.
	live counts
}

// Evidence merges the cells of several routers. Each counter of a router keeps its maximum, so that
// repeated, late and reordered cells change nothing, and a cell's counters add up over routers.
type Evidence struct {
	rows  map[rowKey]*counts
	books map[ident.VersionID]*book
}

// book holds the cells of a version.
type book struct {
	cells  map[place]*sums
	places []place // sorted
}

// NewEvidence returns an empty collection.
func NewEvidence() *Evidence {
	return &Evidence{rows: make(map[rowKey]*counts), books: make(map[ident.VersionID]*book)}
}

// Merge takes cumulative counters of any router.
func (e *Evidence) Merge(cells []Cell) {
	for _, c := range cells {
		key := cellKey{c.Version, place{c.Route, c.Band}}
		b := e.books[c.Version]
		if b == nil {
			b = &book{cells: make(map[place]*sums)}
			e.books[c.Version] = b
		}
		s := b.sums(key.place)
		n := countsOf(c)
		if row, ok := e.rows[rowKey{c.Router, key}]; ok {
			d := row.raise(n)
			s.all.add(d)
			s.live.add(d)
			continue
		}
		e.rows[rowKey{c.Router, key}] = &n
		s.all.add(n)
	}
}

func (b *book) sums(p place) *sums {
	if s := b.cells[p]; s != nil {
		return s
	}
	i, _ := slices.BinarySearchFunc(b.places, p, place.compare)
	b.places = slices.Insert(b.places, i, p)
	s := new(sums)
	b.cells[p] = s
	return s
}

// Drop forgets a version.
func (e *Evidence) Drop(v ident.VersionID) {
	delete(e.books, v)
	for k := range e.rows {
		if k.cell.version == v {
			delete(e.rows, k)
		}
	}
}

// Export returns all rows, ordered by router, version, route and band.
func (e *Evidence) Export() []Cell {
	out := make([]Cell, 0, len(e.rows))
	for k, n := range e.rows {
		out = append(out, n.cell(k))
	}
	slices.SortFunc(out, Cell.compare)
	return out
}

func (n *counts) cell(k rowKey) Cell {
	c := Cell{Router: k.router, Version: k.cell.version, Route: k.cell.place.route, Band: k.cell.place.band,
		Requests: n.requests, Errors: n.errors}
	used := 0
	for kd := range n.latency {
		for _, v := range n.latency[kd] {
			c.Latency = append(c.Latency, v)
			if v > 0 {
				used = len(c.Latency)
			}
			if kind(kd) == firstToken {
				c.Timed += v
			}
		}
	}
	c.Latency = c.Latency[:used]
	return c
}

func (e *Evidence) at(v ident.VersionID, p place) *sums {
	if b := e.books[v]; b != nil {
		return b.cells[p]
	}
	return nil
}

func (e *Evidence) places(v ident.VersionID) []place {
	if b := e.books[v]; b != nil {
		return b.places
	}
	return nil
}
