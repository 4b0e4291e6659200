package target

import (
	"math"
	"slices"
	"time"

	"geraniumsaddle/core/ident"
)

const (
	// balanceFactor bounds the load of a target that is chosen by affinity, relative to the average.
	balanceFactor = 1.25
	// affinityFloor allows this many requests by affinity whatever the average is. With an average
	// below one, the factor alone would send the second request of a prefix elsewhere.
	affinityFloor = 2
	// lowHeadroom is the part of a target's capacity that low priority leaves to others.
	lowHeadroom = 1.0 / 8
	// pairDraws is the number of random pairs tried before all targets of the subset are scanned.
	pairDraws = 4
	// maxScan and maxOutside bound the scans inside and outside of the subset, and with them the time
	// of a choice, because a reservation takes tens of nanoseconds.
	maxScan    = 64
	maxOutside = 8
)

// attempt is the state of one call of Choose.
type attempt struct {
	pool    *Pool
	set     *set
	req     Request
	slots   Slots
	now     time.Duration
	average float64
	rand    uint64
}

// Choose picks a target for the request and reserves a slot on it. It is safe for concurrent use. The
// errors are ErrNoTarget and ErrNoCapacity; the choice then names the version only. A nil pool, which is
// what a table has when all targets have left, has no target.
func (p *Pool) Choose(r Request, slots Slots) (Choice, error) {
	if p == nil {
		return Choice{}, ErrNoTarget // The table has no pool for a key without targets.
	}
	a := attempt{pool: p, req: r, slots: slots, now: r.Now.Sub(p.base), rand: r.Rand}
	a.set = a.pick()
	if a.set == nil || a.set.withdrawn {
		return Choice{}, ErrNoTarget
	}
	a.average = a.set.average()
	if m, why := a.find(); m != nil {
		return a.take(m, why), nil
	}
	if len(a.set.usable)+len(a.set.others)+len(a.set.trials) == 0 {
		return Choice{Version: a.set.version}, ErrNoTarget
	}
	return Choice{Version: a.set.version}, ErrNoCapacity
}

// pick returns the targets of the request's version. A version that no target of the failure domain
// has loaded gives way to the one it replaces.
func (a *attempt) pick() *set {
	p := a.pool
	if a.req.Version != "" {
		return p.sets[a.req.Version]
	}
	point := next(&a.rand)
	if a.req.Sticky != "" {
		point = hash(a.req.Sticky)
	}
	s := p.version(point)
	for range p.sets {
		if s == nil || s.active > 0 || s.fallback == nil || s.fallback.withdrawn {
			break
		}
		s = s.fallback
	}
	return s
}

// find tries the rules in order until one has reserved a slot.
func (a *attempt) find() (*member, Reason) {
	if m := a.trial(false); m != nil {
		return m, ReasonTrial
	}
	if a.req.Adapter != "" {
		if m := a.draw(a.set.adapters[a.req.Adapter]); m != nil {
			return m, ReasonAdapter
		}
	}
	if a.req.Prefix != 0 {
		if m, why := a.affine(); m != nil {
			return m, why
		}
	}
	if m := a.draw(a.set.usable); m != nil {
		return m, ReasonLoad
	}
	inside, outside := maxScan, maxOutside
	if a.req.Exhaustive {
		inside, outside = len(a.set.usable), len(a.set.others)
	}
	if m := a.scan(a.set.usable, inside); m != nil {
		return m, ReasonScan
	}
	if m := a.scan(a.set.others, outside); m != nil {
		return m, ReasonScan
	}
	if m := a.trial(true); m != nil {
		return m, ReasonTrial
	}
	return nil, ""
}

// trial offers the request to a half-open target that has no trial request. With force set, the
// request may be one that cannot be retried, because every other target is full.
func (a *attempt) trial(force bool) *member {
	for _, m := range a.set.trials {
		if !force && !a.req.Retryable && !m.anyTrial {
			continue
		}
		if !m.live.trial.CompareAndSwap(false, true) {
			continue
		}
		if a.reserve(m) {
			return m
		}
		m.live.trial.Store(false)
	}
	return nil
}

// affine prefers the target that reported the prefix, then the first two by rendezvous hashing, as
// long as they are not loaded above the bound.
func (a *attempt) affine() (*member, Reason) {
	if m := a.pool.hints.find(a.req.Prefix, a.set); m != nil && a.bounded(m) && a.reserve(m) {
		return m, ReasonHint
	}
	first, second := a.set.ranked(a.req.Prefix)
	if first != nil && a.bounded(first) && a.reserve(first) {
		return first, ReasonAffinity
	}
	if second != nil && a.bounded(second) && a.reserve(second) {
		return second, ReasonAffinity
	}
	return nil, ""
}

func (a *attempt) bounded(m *member) bool {
	mean := a.average + float64(a.set.stat.inflight.Load()+1)/float64(len(a.set.usable))
	limit := max(math.Ceil(balanceFactor*mean), affinityFloor)
	return m.live.estimate(a.now, a.average)+1 <= limit
}

// draw applies the power of two choices: of two random targets the less utilised one is tried first.
func (a *attempt) draw(in []*member) *member {
	n := len(in)
	if n == 0 {
		return nil
	}
	for range pairDraws {
		x := in[below(next(&a.rand), n)]
		if n == 1 {
			if a.reserve(x) {
				return x
			}
			return nil
		}
		i := below(next(&a.rand), n-1)
		y := in[i]
		if y == x {
			y = in[n-1]
		}
		if m := a.lesser(x, y); m != nil {
			return m
		}
	}
	return nil
}

func (a *attempt) lesser(x, y *member) *member {
	if y.live.estimate(a.now, a.average)*x.capacity < x.live.estimate(a.now, a.average)*y.capacity {
		x, y = y, x
	}
	if a.reserve(x) {
		return x
	}
	if a.reserve(y) {
		return y
	}
	return nil
}

// scan tries up to limit targets in order from a random start.
func (a *attempt) scan(in []*member, limit int) *member {
	n := len(in)
	if n == 0 {
		return nil
	}
	start := below(next(&a.rand), n)
	for i := range min(n, limit) {
		j := start + i
		if j >= n {
			j -= n
		}
		if a.reserve(in[j]) {
			return in[j]
		}
	}
	return nil
}

func (a *attempt) reserve(m *member) bool {
	if len(a.req.Exclude) > 0 && slices.Contains(a.req.Exclude, m.id) {
		return false
	}
	if a.req.Priority == ident.PriorityLow && m.live.estimate(a.now, a.average)+1 > max(1, m.capacity*(1-lowHeadroom)) {
		return false
	}
	return a.slots.TryReserve(m.id)
}

func (a *attempt) take(m *member, why Reason) Choice {
	m.live.inflight.Add(1)
	a.set.stat.inflight.Add(1)
	return Choice{
		Target:  m.id,
		URL:     m.url,
		Version: a.set.version,
		Reason:  why,
		live:    m.live,
		stat:    a.set.stat,
		slots:   a.slots,
	}
}
