package place

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumsaddle/core/ident"
)

const (
	// prefillRate is the number of prompt tokens that an engine reads in a millisecond.
	prefillRate = 50
	// slotCost is the delay in milliseconds that a running request adds for others at its engine.
	slotCost = 0.4
	// domainCost is the delay in milliseconds, traffic costs included, of a target in another failure domain.
	domainCost = 4
	// failCost is the delay in milliseconds that stands for a failed request.
	failCost = 3000
	// plainCost is the delay in milliseconds of each request that a plain service holds, as a part of its slots.
	plainCost = 100
)

// Request is what a choice depends on.
type Request struct {
	Service ident.ServiceID
	// Prompt is nil for a plain service.
	Prompt *Prompt
	// Exclude lists the targets that have had the request.
	Exclude []ident.TargetID
	// Versions restricts the versions that may take the request.
	Versions Versions
	Now      time.Time
}

// Versions restricts the versions of targets. The zero value allows all.
type Versions struct {
	// Only and Not are left out when empty.
	Only, Not ident.VersionID
}

func (v Versions) allow(id ident.VersionID) bool {
	return (v.Only == "" || id == v.Only) && (v.Not == "" || id != v.Not)
}

// Choice is a target with one request counted to it. The owner calls Done once.
type Choice struct {
	Target Target
	// Cost is the estimated delay in milliseconds, and EstimatedRequests the estimated number of its requests.
	Cost, EstimatedRequests float64
	// PrefixOwner says that the target is the first in the order of the prompt.
	PrefixOwner bool

	fleet   *Fleet
	member  *member
	prefill ident.Tokens
}

// Choose picks the target with the least estimated delay and counts the request to it.
func (f *Fleet) Choose(r Request) (*Choice, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	pool := f.pools[r.Service]
	home := homeOf(pool, r.Prompt)
	var best *member
	var bestCost float64
	candidates := 0
	for _, m := range pool {
		if !f.allowed(m, r) {
			continue
		}
		candidates++
		if r.Now.Before(m.fullUntil) {
			continue
		}
		cost := f.cost(m, r, m == home)
		if best == nil || cost < bestCost {
			best, bestCost = m, cost
		}
	}
	if candidates == 0 {
		return nil, ErrNoTarget
	}
	if best == nil {
		return nil, ErrFull
	}
	c := &Choice{Target: best.Target, Cost: bestCost, EstimatedRequests: best.busy(r.Now), PrefixOwner: best == home, fleet: f, member: best}
	if r.Prompt != nil {
		c.prefill = missing(r.Prompt, best == home)
	}
	best.running++
	best.prefill += c.prefill
	return c, nil
}

func (f *Fleet) allowed(m *member, r Request) bool {
	if m.State != Serving || slices.Contains(r.Exclude, m.ID) {
		return false
	}
	return r.Versions.allow(m.Version)
}

// homeOf returns the target that keeps the deepest shared part of the prompt.
func homeOf(pool []*member, p *Prompt) *member {
	part, ok := p.shared()
	if !ok {
		return nil
	}
	var home *member
	var top uint64
	hash := xxhash.Sum64String(part.ID)
	for _, m := range pool {
		if m.State != Serving {
			continue
		}
		if v := rank(hash, m.hash); home == nil || v > top {
			home, top = m, v
		}
	}
	return home
}

// missing returns the prompt tokens that a target has to read.
func missing(p *Prompt, home bool) ident.Tokens {
	n := p.Input
	for i, part := range p.Parts {
		if i+1 < len(p.Parts) && (home || i == 0) {
			n -= part.Tokens
		}
	}
	return max(n, 0)
}

func (f *Fleet) cost(m *member, r Request, home bool) float64 {
	cost := failCost * m.failRate(r.Now)
	if r.Now.Before(m.backoffUntil) || f.suspect(m.Domain, r.Now) {
		cost += failCost
	}
	if m.Domain != f.cfg.Domain {
		cost += domainCost
	}
	busy := m.busy(r.Now)
	if r.Prompt == nil {
		return cost + plainCost*busy/float64(max(m.Slots, 1))
	}
	cost += float64(missing(r.Prompt, home)+m.prefill) / prefillRate
	cost += slotCost * busy
	if over := busy - float64(m.Slots); m.Slots > 0 && over >= 0 {
		cost += 100 + 10*over
	}
	return cost
}

// PrefillDone says that the target has read the prompt.
func (c *Choice) PrefillDone() {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.member.prefill -= c.prefill
	c.prefill = 0
}

// Done ends the request at the target.
func (c *Choice) Done(r Result, now time.Time) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.member.running--
	c.member.prefill -= c.prefill
	c.prefill = 0
	c.member.record(r, now)
	c.fleet.recordReach(c.Target, r, now)
}
