package place

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"geraniumsaddle/core/digest"
	"geraniumsaddle/core/ident"
)

// Peers says from which part of the routers of its failure domain a router gets digests.
type Peers struct {
	// Index is the place of this router among the routers of its domain, from zero, and Routers their number.
	Index, Routers int
	// Heard is the number of other routers that send this one their digests.
	Heard int
}

// scale returns the ratio of the other routers to those that are heard.
func (p Peers) scale() float64 {
	if p.Heard <= 0 || p.Routers <= p.Heard {
		return 1
	}
	return float64(p.Routers-1) / float64(p.Heard)
}

// SetPeers sets what the digests of other routers stand for.
func (f *Fleet) SetPeers(p Peers) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers = p
	for _, pool := range f.pools {
		pool.changed = true
	}
}

// Work returns what this router has in progress, for its digest.
func (f *Fleet) Work() []digest.Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	var rows []digest.Row
	for _, m := range f.targets {
		if m.own.Running > 0 {
			rows = append(rows, digest.Row{Target: m.workKey, Work: m.own})
		}
	}
	return rows
}

var (
	// ErrOtherDomain means that a digest comes from another failure domain.
	ErrOtherDomain = errors.New("digest of another failure domain")
	// ErrOldDigest means that a digest is not newer than one from the same router before it.
	ErrOldDigest = errors.New("digest is not newer than the one before")
)

// ApplyDigest records what another router has in progress. Rows of unknown targets are dropped. What one router can claim to
// have at a target is bounded by a quarter of its slots and memory, so that no router alone can make a target look full.
func (f *Fleet) ApplyDigest(from ident.RouterID, d digest.Digest, now time.Time) error {
	rows, err := d.Rows()
	if err != nil {
		return err
	}
	slices.SortFunc(rows, func(a, b digest.Row) int { return cmp.Compare(a.Target, b.Target) })
	rows = slices.CompactFunc(rows, func(a, b digest.Row) bool { return a.Target == b.Target })
	f.mu.Lock()
	defer f.mu.Unlock()
	if d.Domain != f.cfg.Domain {
		return ErrOtherDomain
	}
	known := rows[:0]
	for _, r := range rows {
		if m := f.byWorkKey[r.Target]; m != nil && r.Running > 0 {
			known = append(known, f.bounded(r, m))
		}
	}
	if !f.others.Apply(from, d.Seq, slices.Clip(known), now) {
		return ErrOldDigest
	}
	return nil
}

const (
	// claimShare is the part of a target, as its reciprocal, that one router is believed to have in use.
	claimShare = 4
	// maxRequestTokens bounds the tokens that one request in a digest counts for, in each respect.
	maxRequestTokens = 32 << 10
)

// bounded returns a row within the bounds of what one router is believed. The caller holds f.mu.
func (f *Fleet) bounded(r digest.Row, m *member) digest.Row {
	r.Running = min(r.Running, max(m.Slots/claimShare, 1))
	tokens := ident.Tokens(r.Running) * maxRequestTokens
	r.Prefill, r.Output = min(r.Prefill, tokens), min(r.Output, tokens)
	r.Memory = min(r.Memory, tokens)
	if p := f.pools[m.Service]; p != nil && p.capacity > 0 {
		r.Memory = min(r.Memory, p.capacity/claimShare)
	}
	return r
}

// otherWork returns the estimate of what the other routers of the failure domain have in progress at a target. The caller
// holds f.mu.
func (f *Fleet) otherWork(m *member) digest.Work {
	w := f.others.Total(m.workKey)
	if s := f.peers.scale(); s != 1 && w.Running > 0 {
		w.Prefill = ident.Tokens(s * float64(w.Prefill))
		w.Output = ident.Tokens(s * float64(w.Output))
		w.Memory = ident.Tokens(s * float64(w.Memory))
	}
	return w
}

// freshReport is the age up to which the load that a target reports goes before what routers tell each other.
const freshReport = 250 * time.Millisecond

// requestsAt returns the estimated number of requests at a target: this router's own, which it knows, and those of others.
// For these a fresh report of the target counts, but not less than other routers say they have there. An older one has a
// weight that falls with its age. The caller holds f.mu.
func (f *Fleet) requestsAt(m *member, now time.Time) float64 {
	told := float64(f.others.Total(m.workKey).Running)
	reported, age := m.reportedOthers(now)
	if age > freshReport {
		told *= f.peers.scale()
	}
	return float64(m.own.Running) + max(told, reported)
}

// domainRequestsAt returns the number of requests of the own failure domain's routers at a target. Unlike requestsAt it
// compares targets of all failure domains, because a report counts the requests of all routers. The caller holds f.mu.
func (f *Fleet) domainRequestsAt(m *member) float64 {
	return float64(m.own.Running) + float64(f.others.Total(m.workKey).Running)*f.peers.scale()
}
