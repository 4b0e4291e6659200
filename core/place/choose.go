package place

import (
	"slices"
	"time"

	"geraniumsaddle/core/digest"
	"geraniumsaddle/core/ident"
)

const (
	// smallPool is the number of targets up to which all targets of a service are compared. Among more, a choice compares the
	// owners of the prompt and a few targets at random: the minimum over all of them would be the same for all routers.
	smallPool = 32
	// randomTargets is the number of targets of the router's subset that a choice compares. If none of these and of the owners
	// is good enough, it compares widerTargets more of the failure domain and farTargets of others.
	randomTargets = 2
	widerTargets  = 6
	farTargets    = 2
	// defaultGoal is the time within which a first output has its full value, if the route doesn't say so.
	defaultGoal = 600 * time.Millisecond
)

// Request describes a request for which a target is chosen.
type Request struct {
	Service ident.ServiceID
	// Route is the name of the route, whose usual output is learned.
	Route string
	// Goal is the time to the first output within which an answer has its full value to the caller, or zero.
	Goal time.Duration
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
	// Work is what the request is expected to cost.
	Work digest.Work
	// Output is the number of output tokens that the target has sent. The caller sets it before Done.
	Output ident.Tokens

	fleet  *Fleet
	pool   *pool
	member *member
	prompt *Prompt
	route  string
	// sentAt and firstAt are the times of the choice and of the first output. queued is the number of prompt tokens that the
	// target had to read before those of the request, and first the time to the first output in milliseconds that is usual for that.
	sentAt, firstAt time.Time
	queued          ident.Tokens
	first           float64
}

// selection is the search for the best target of one request.
type selection struct {
	f        *Fleet
	pool     *pool
	r        Request
	demand   demand
	best     *member
	estimate estimate
	// candidates counts the targets that may take the request, and quietUntil is when the first one that wants none will.
	candidates int
	allQuiet   bool
	quietUntil time.Time
	// coldOnly says that targets were left out because they are cold.
	coldOnly bool
}

// Choose picks a target by the estimated delay and counts the request as running there. It returns ErrNoTarget, ErrFull or a
// QuietError if it finds none.
func (f *Fleet) Choose(r Request) (*Choice, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pools[r.Service]
	if p == nil {
		return nil, ErrNoTarget
	}
	f.advanceRamps(r.Now)
	f.refresh(p, r.Now)
	s := selection{f: f, pool: p, r: r, demand: p.demandOf(&r), allQuiet: true}
	if len(p.members) > smallPool {
		s.compareSome()
	}
	if s.best == nil || s.best.domain.held {
		s.candidates = 0
		s.compare(p.members)
	}
	switch {
	case s.candidates == 0:
		return nil, ErrNoTarget
	case s.best == nil && s.allQuiet:
		return nil, &QuietError{s.quietUntil}
	case s.best == nil && s.coldOnly:
		return nil, ErrCold
	case s.best == nil:
		return nil, ErrFull
	}
	return s.choice(), nil
}

// compareSome compares the owners of the prompt and a few other targets, and more of them if none of these is good enough.
func (s *selection) compareSome() {
	s.compare(s.demand.owners[:])
	s.compareRandom(s.pool.subset, randomTargets)
	if s.best != nil && !s.estimate.full && s.estimate.cost <= s.pool.patience(&s.r) {
		return
	}
	s.compareRandom(s.pool.home, widerTargets)
	s.compareRandom(s.pool.far, farTargets)
}

func (s *selection) compareRandom(members []*member, n int) {
	if len(members) <= n {
		s.compare(members)
		return
	}
	for range n {
		m := members[s.f.rng.IntN(len(members))]
		s.compare([]*member{m})
	}
}

// compare takes the best of the given targets and of the best one so far. Nil entries are skipped.
func (s *selection) compare(members []*member) {
	for _, m := range members {
		if m == nil || !s.f.eligible(m, &s.r) {
			continue
		}
		s.candidates++
		if until := m.quietUntil(); s.r.Now.Before(until) {
			if s.quietUntil.IsZero() || until.Before(s.quietUntil) {
				s.quietUntil = until
			}
			continue
		}
		s.allQuiet = false
		if s.r.Now.Before(m.fullUntil) {
			continue
		}
		if !s.f.allowsCold(m, s.r.Now) {
			s.coldOnly = true
			continue
		}
		e := s.f.estimate(s.pool, m, &s.r, &s.demand)
		if s.best == nil || e.cost < s.estimate.cost {
			s.best, s.estimate = m, e
		}
	}
}

// choice counts the request at the best target.
func (s *selection) choice() *Choice {
	m, p := s.best, s.pool
	isOwner := m == s.demand.owners[0]
	if !isOwner && s.demand.shared != 0 {
		p.reads.add(s.demand.shared, m, s.r.Now)
	}
	c := &Choice{
		Target: m.Target, Cost: s.estimate.cost, EstimatedRequests: s.estimate.requests, PrefixOwner: isOwner,
		fleet: s.f, pool: p, member: m, prompt: s.r.Prompt, route: s.r.Route,
		sentAt: s.r.Now, queued: s.estimate.queued, first: s.estimate.first,
	}
	c.Work = digest.Work{Running: 1}
	if s.r.Prompt != nil {
		c.Work.Prefill, c.Work.Output = s.estimate.prefill, s.demand.output
		c.Work.Memory = s.r.Prompt.Input + s.demand.output
	}
	m.addWork(c.Work, 1)
	c.Cold = s.f.recordColdSend(m, s.r.Now)
	if m.home {
		p.ownRunning++
	}
	return c
}

func (f *Fleet) eligible(m *member, r *Request) bool {
	if !m.available() || slices.Contains(r.Exclude, m.ID) {
		return false
	}
	return r.Versions.allows(m.Version) && (r.Regions == nil || f.inRegion(m, r.Regions))
}

// FirstOutput records that the target has read the prompt. The caller calls it on each event of the answer; the first call
// counts.
func (c *Choice) FirstOutput(now time.Time) {
	if !c.firstAt.IsZero() {
		return
	}
	c.firstAt = now
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.member.recordFirst(c, now)
	c.member.own.Prefill -= c.Work.Prefill
	c.Work.Prefill = 0
}

// Done records the result of the request and no longer counts it as running at the target.
func (c *Choice) Done(r Result, now time.Time) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.member.addWork(c.Work, -1)
	if c.member.home {
		c.pool.ownRunning--
	}
	c.member.recordResult(r, now)
	c.fleet.recordReachability(c.Target, r, now)
	if r == ResultUnreachable {
		c.fleet.cold.SuspectRestart(c.Target.ID, now)
	}
	if r != ResultOK {
		return
	}
	c.pool.rates.AddHold(now.Sub(c.sentAt))
	if c.prompt == nil || c.Output <= 0 {
		return
	}
	c.pool.lengths.Add(c.route, c.prompt.OutputHint, c.Output)
	if !c.firstAt.IsZero() {
		c.pool.rates.AddOutput(c.Output, now.Sub(c.firstAt))
	}
}
