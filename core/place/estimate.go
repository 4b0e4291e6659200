package place

import (
	"time"

	"geraniumsaddle/core/ident"
)

const (
	// crossDomainCost is the delay in milliseconds of a target in another failure domain, and farCost the one of a service
	// whose targets in the own domain can do without the others. They include the cost of the traffic between the domains.
	crossDomainCost = 4
	farCost         = 25
	// heldDomainCost is the delay in milliseconds of a target that a ramp leaves out of a choice. It exceeds all others, so
	// that such a target is chosen only if no other one may take the request.
	heldDomainCost = 100_000
	// failureCost is the delay in milliseconds that a failed request counts as.
	failureCost = 3000
	// plainServiceCost is the delay in milliseconds of a target of a plain service when all of its slots are in use.
	// The delay is proportional to the share of slots in use.
	plainServiceCost = 100
	// fullCost is the delay in milliseconds of a target without a free slot, beside the wait for one.
	fullCost = 100
	// outputShare is the share of an engine's time that goes to the output of running requests.
	outputShare = 0.1
	// batchCost is the delay in milliseconds of an engine whose slots are all in use. It grows with the square of the share.
	batchCost = 10
	// boundRatio and boundSlack bound the load of an engine in a self-sufficient failure domain: that ratio of the mean over
	// its engines, and the slack in requests. Each request beyond that costs boundCost milliseconds. In a smaller pool each
	// router knows enough of the load to do without.
	boundRatio = 1.15
	boundSlack = 0.5
	boundCost  = 90
	// memoryShare is the share of an engine's KV cache that running requests may use. Beyond it requests are preempted and
	// read again, which costs memoryCost milliseconds, and as much again for each tenth more.
	memoryShare = 0.9
	memoryCost  = 200
	// rereadCost is how much the time to read tokens that another engine probably has in its cache counts beside the delay of
	// the request itself: it delays others at the engine, and the next request with the part finds it in two places or none.
	// It weighs against boundCost and so holds for the same pools.
	rereadCost = 2.0
	// toldPrefill is the share of the prompt tokens that other routers have told an engine to read which still lie before a
	// request. Their digests are some 100 ms old, and engines read several prompts by turns.
	toldPrefill = 0.2
	// stepTime is the time in milliseconds from the send of a short request to its first output at an idle engine.
	stepTime = 8
)

// demand is what a request needs, whatever the target.
type demand struct {
	// output is the expected output in tokens.
	output ident.Tokens
	// ownTokens is the number of prompt tokens that no engine has in its cache, and allTokens that with the shared part.
	ownTokens, allTokens ident.Tokens
	// shared is the hash of the part of the prompt that other requests share, or zero. owners are the engines that most likely
	// have it in their caches, in this order.
	shared uint64
	owners owners
}

// estimate is what a request costs at one target.
type estimate struct {
	// cost is the delay in milliseconds, and first the time to the first output at a target of the usual speed and pace.
	cost, first float64
	// requests is the estimated number of requests at the target. full says that none of its slots is free.
	requests float64
	full     bool
	// prefill is the number of prompt tokens that the target has to read for the request, and queued the ones before it.
	prefill, queued ident.Tokens
}

func (p *pool) demandOf(r *Request) demand {
	if r.Prompt == nil {
		return demand{}
	}
	d := demand{output: p.lengths.Expect(r.Route, r.Prompt.OutputHint, r.Prompt.MaxOutput)}
	// Every target is assumed to cache the first part, and one that caches the shared prefix all parts but the last.
	first, prefix := r.Prompt.Parts.cachedTokens()
	d.allTokens = max(r.Prompt.Input-first, 0)
	d.ownTokens = d.allTokens
	if part, ok := r.Prompt.Parts.shared(); ok {
		d.ownTokens = max(r.Prompt.Input-prefix, 0)
		d.shared = partHash(part)
		wide := p.selfSufficient && p.rates.Prefill(float64(d.allTokens-d.ownTokens)) > farCost
		d.owners = p.ownersOf(ownerKey{d.shared, wide})
	}
	return d
}

// patience returns the cost in milliseconds from which more targets are compared: an answer would come too late to leave
// room for another attempt.
func (p *pool) patience(r *Request) float64 {
	goal := r.Goal
	if goal <= 0 {
		goal = defaultGoal
	}
	return float64(goal) / float64(time.Millisecond) / 2
}

// estimate returns what a request costs at a target. The caller holds f.mu.
func (f *Fleet) estimate(p *pool, m *member, r *Request, d *demand) estimate {
	var e estimate
	e.requests = f.requestsAt(m, r.Now)
	if !m.home && p.selfSufficient && r.Now.Sub(m.reportedAt) > freshReport {
		// Nothing is known of it, so that it is taken to be as busy as the others.
		e.requests = max(e.requests, p.meanRequests())
	}
	slots := float64(max(m.Slots, 1))
	e.full = m.Slots > 0 && e.requests >= slots
	e.cost = f.riskOf(p, m, r.Now)
	if !m.home && p.selfSufficient && d.owners.owns(m) {
		e.cost += crossDomainCost - farCost // the part is there, whose reading costs more than the way
	}
	if r.Prompt == nil {
		e.cost += plainServiceCost * e.requests / slots * m.pace(r.Now)
		return e
	}
	f.addEngineCost(&e, p, m, r, d)
	if e.full {
		e.cost += fullCost + p.rates.Hold()*(e.requests-slots+1)/slots
	}
	return e
}

// riskOf returns the cost of a target in milliseconds that no request changes: its failures and its place.
func (f *Fleet) riskOf(p *pool, m *member, now time.Time) float64 {
	cost := failureCost * m.decayedFailureRate(now)
	if now.Before(m.backoffUntil) || f.suspectUnreachable(m.Domain, now) {
		cost += failureCost
	}
	if m.domain.held {
		cost += heldDomainCost
	}
	switch {
	case m.Domain == f.cfg.Domain:
	case p.selfSufficient:
		cost += farCost
	default:
		cost += crossDomainCost
	}
	return cost
}

// addEngineCost adds the time to the first output, and what the request costs the others at the engine.
func (f *Fleet) addEngineCost(e *estimate, p *pool, m *member, r *Request, d *demand) {
	others := f.otherWork(m)
	e.prefill = d.allTokens
	if f.caches(p, m, d, r.Now) {
		e.prefill = d.ownTokens
	}
	e.queued = m.own.Prefill + ident.Tokens(toldPrefill*float64(others.Prefill))
	e.first = stepTime + p.rates.Prefill(float64(e.prefill+e.queued))
	e.cost += e.first * m.speedAt(r.Now) * m.pace(r.Now)
	slots := float64(max(m.Slots, 1))
	share := e.requests / slots
	e.cost += batchCost * share * share
	e.cost += outputShare * p.rates.Output() * float64(m.own.Output+others.Output) / slots
	if p.selfSufficient {
		e.cost += rereadCost * p.rates.Prefill(float64(e.prefill-d.ownTokens))
		e.cost += boundCost * max(f.domainRequestsAt(m)-p.bound(), 0)
	}
	if p.capacity > 0 {
		used := float64(m.own.Memory+others.Memory+r.Prompt.Input+d.output) / float64(p.capacity)
		if used > memoryShare {
			e.cost += memoryCost * (1 + 10*(used-memoryShare))
		}
	}
}
