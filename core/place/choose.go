package place

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumsaddle/core/ident"
)

const (
	// prefillTokensPerMs is the number of prompt tokens that an engine prefills per millisecond.
	prefillTokensPerMs = 50
	// runningRequestCost is the delay in milliseconds that each running request adds to the others at its engine.
	runningRequestCost = 0.4
	// crossDomainCost is the delay in milliseconds of a target in another failure domain. It includes the cost of the
	// traffic between the domains.
	crossDomainCost = 4
	// failureCost is the delay in milliseconds that a failed request counts as.
	failureCost = 3000
	// heldDomainCost is the delay in milliseconds of a target that a ramp leaves out of a choice. It exceeds all others, so
	// that such a target is chosen only if no other one may take the request.
	heldDomainCost = 100_000
	// plainServiceCost is the delay in milliseconds of a target of a plain service when all of its slots are in use.
	// The delay is proportional to the share of slots in use.
	plainServiceCost = 100
)

// Request describes a request for which a target is chosen.
type Request struct {
	Service ident.ServiceID
	// Prompt is nil for a plain service.
	Prompt *Prompt
	// Exclude lists the targets to which the request has already been sent.
	Exclude []ident.TargetID
	// Versions restricts the versions that may take the request.
	Versions VersionFilter
	// Regions restricts the regions of the targets that may take the request, unless it is nil.
	Regions *RegionFilter
	Now     time.Time
}

// VersionFilter restricts the versions of targets. The zero value allows all.
type VersionFilter struct {
	// Only is the single version allowed, and Not a version excluded. An empty field restricts nothing.
	Only, Not ident.VersionID
}

func (v VersionFilter) allows(id ident.VersionID) bool {
	return (v.Only == "" || id == v.Only) && (v.Not == "" || id != v.Not)
}

// Choice is a chosen target that already counts the request as running. The caller must call Done exactly once.
type Choice struct {
	Target Target
	// Cost is the estimated delay in milliseconds. EstimatedRequests is the estimated number of requests that the
	// target held before this one.
	Cost, EstimatedRequests float64
	// PrefixOwner reports whether the target ranks first for the prompt's shared prefix and so probably has it cached.
	PrefixOwner bool
	// Cold reports whether the target is or may be cold and limits its requests.
	Cold bool

	fleet          *Fleet
	member         *member
	pendingPrefill ident.Tokens
}

// Choose picks the target with the least estimated delay and counts the request as running there. It returns
// ErrNoTarget or ErrFull if it finds none.
func (f *Fleet) Choose(r Request) (*Choice, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advanceRamps(r.Now)
	pool := f.pools[r.Service]
	owner := f.prefixOwner(pool, r.Prompt)
	var best *member
	var bestCost float64
	candidates := 0
	var quiet QuietError
	allQuiet, coldOnly := true, false
	for _, m := range pool {
		if !f.eligible(m, r) {
			continue
		}
		candidates++
		if until := m.quietUntil(); r.Now.Before(until) {
			if quiet.Until.IsZero() || until.Before(quiet.Until) {
				quiet.Until = until
			}
			continue
		}
		allQuiet = false
		if r.Now.Before(m.fullUntil) {
			continue
		}
		if !f.allowsCold(m, r.Now) {
			coldOnly = true
			continue
		}
		cost := f.estimateCost(m, r, m == owner)
		if best == nil || cost < bestCost {
			best, bestCost = m, cost
		}
	}
	if candidates == 0 {
		return nil, ErrNoTarget
	}
	if best == nil && allQuiet {
		return nil, &quiet
	}
	if best == nil && coldOnly {
		return nil, ErrCold
	}
	if best == nil {
		return nil, ErrFull
	}
	isCold := f.recordColdSend(best, r.Now)
	c := &Choice{Target: best.Target, Cost: bestCost, EstimatedRequests: best.estimatedRequests(r.Now),
		PrefixOwner: best == owner, Cold: isCold, fleet: f, member: best}
	if r.Prompt != nil {
		c.pendingPrefill = uncachedTokens(r.Prompt, best == owner)
	}
	best.running++
	best.pendingPrefill += c.pendingPrefill
	return c, nil
}

func (f *Fleet) eligible(m *member, r Request) bool {
	if !m.available() || slices.Contains(r.Exclude, m.ID) {
		return false
	}
	return r.Versions.allows(m.Version) && (r.Regions == nil || f.inRegion(m, r.Regions))
}

// prefixOwner returns the target that caches the longest shared prefix of the prompt, or nil if no prefix is shared.
func (f *Fleet) prefixOwner(pool []*member, p *Prompt) *member {
	prefix, ok := p.sharedPart()
	if !ok {
		return nil
	}
	var owner *member
	var highest uint64
	hash := xxhash.Sum64String(prefix.ID)
	for _, m := range pool {
		if !m.available() {
			continue
		}
		if score := rendezvousScore(hash, m.hash); owner == nil || score > highest {
			owner, highest = m, score
		}
	}
	return owner
}

// uncachedTokens returns the number of prompt tokens that a target has to prefill. Every target is assumed to cache the
// first part, and the owner of the prefix all parts but the last.
func uncachedTokens(p *Prompt, cached bool) ident.Tokens {
	n := p.Input
	for i, part := range p.Parts {
		if i+1 < len(p.Parts) && (cached || i == 0) {
			n -= part.Tokens
		}
	}
	return max(n, 0)
}

func (f *Fleet) estimateCost(m *member, r Request, prefixCached bool) float64 {
	cost := failureCost * m.decayedFailureRate(r.Now)
	if r.Now.Before(m.backoffUntil) || f.suspectUnreachable(m.Domain, r.Now) {
		cost += failureCost
	}
	if m.domain.held {
		cost += heldDomainCost
	}
	if m.Domain != f.cfg.Domain {
		cost += crossDomainCost
	}
	requests := m.estimatedRequests(r.Now)
	if r.Prompt == nil {
		return cost + plainServiceCost*requests/float64(max(m.Slots, 1))
	}
	cost += float64(uncachedTokens(r.Prompt, prefixCached)+m.pendingPrefill) / prefillTokensPerMs
	cost += runningRequestCost * requests
	if excess := requests - float64(m.Slots); m.Slots > 0 && excess >= 0 {
		cost += 100 + 10*excess
	}
	return cost
}

// PrefillDone records that the target has read the prompt. The caller calls it on the first event of the answer.
func (c *Choice) PrefillDone() {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.member.pendingPrefill -= c.pendingPrefill
	c.pendingPrefill = 0
}

// Done records the result of the request and no longer counts it as running at the target.
func (c *Choice) Done(r Result, now time.Time) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.member.running--
	c.member.pendingPrefill -= c.pendingPrefill
	c.pendingPrefill = 0
	c.member.recordResult(r, now)
	c.fleet.recordReachability(c.Target, r, now)
	if r == ResultUnreachable {
		c.fleet.cold.SuspectRestart(c.Target.ID, now)
	}
}
