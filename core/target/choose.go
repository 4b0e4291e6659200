package target

import (
	"math"
	"slices"
	"time"

	"geraniumsaddle/core/ident"
)

const (
	// affinityLoadFactor bounds the load of a target that is chosen by affinity, relative to the average load.
	affinityLoadFactor = 1.25
	// minAffinityLimit is the least value of that bound. With an average below one, the factor alone would send the
	// second request for a prefix elsewhere.
	minAffinityLimit = 2
	// lowPriorityHeadroom is the fraction of a target's capacity that low-priority requests leave free.
	lowPriorityHeadroom = 1.0 / 8
	// maxPairDraws is the number of random pairs that are tried before the targets of the subset are scanned.
	maxPairDraws = 4
	// maxScan and maxOutsideScan bound the scans inside and outside the subset. They thus bound the time of a choice,
	// because each reservation takes tens of nanoseconds.
	maxScan        = 64
	maxOutsideScan = 8
)

// selection is the state of one call of Choose.
type selection struct {
	pool    *Pool
	set     *versionSet
	req     Request
	slots   Slots
	now     time.Duration
	average float64
	rand    uint64
}

// Choose chooses a target for the request and reserves a slot at it. It is safe for concurrent use. The errors are
// ErrNoTarget and ErrNoCapacity. With an error, at most the version of the choice is set. A nil pool, which Table.Pool
// returns after all targets have left, has no target.
func (p *Pool) Choose(r Request, slots Slots) (Choice, error) {
	if p == nil {
		return Choice{}, ErrNoTarget
	}
	sel := selection{pool: p, req: r, slots: slots, now: r.Now.Sub(p.start), rand: r.Rand}
	sel.set = sel.selectVersion()
	if sel.set == nil || sel.set.withdrawn {
		return Choice{}, ErrNoTarget
	}
	sel.average = sel.set.averageOtherRequests()
	if m, reason := sel.selectTarget(); m != nil {
		return sel.commit(m, reason), nil
	}
	if len(sel.set.inSubset)+len(sel.set.outsideSubset)+len(sel.set.halfOpen) == 0 {
		return Choice{Version: sel.set.version}, ErrNoTarget
	}
	return Choice{Version: sel.set.version}, ErrNoCapacity
}

// selectVersion returns the targets of the request's version. If the request pins no version and no target of the
// failure domain has the selected one loaded, it falls back to the version that this one replaces.
func (sel *selection) selectVersion() *versionSet {
	p := sel.pool
	if sel.req.Version != "" {
		return p.sets[sel.req.Version]
	}
	point := nextRandom(&sel.rand)
	if sel.req.Sticky != "" {
		point = hash(sel.req.Sticky)
	}
	s := p.versionAt(point)
	for range p.sets {
		if s == nil || s.activeTargets > 0 || s.predecessor == nil || s.predecessor.withdrawn {
			break
		}
		s = s.predecessor
	}
	return s
}

// selectTarget tries the rules in order until one of them reserves a slot.
func (sel *selection) selectTarget() (*member, Reason) {
	if m := sel.tryHalfOpen(false); m != nil {
		return m, ReasonTrial
	}
	if sel.req.Adapter != "" {
		if m := sel.tryRandomPairs(sel.set.adapters[sel.req.Adapter]); m != nil {
			return m, ReasonAdapter
		}
	}
	if sel.req.Prefix != 0 {
		if m, reason := sel.tryAffinity(); m != nil {
			return m, reason
		}
	}
	if m := sel.tryRandomPairs(sel.set.inSubset); m != nil {
		return m, ReasonLoad
	}
	inside, outside := maxScan, maxOutsideScan
	if sel.req.Exhaustive {
		inside, outside = len(sel.set.inSubset), len(sel.set.outsideSubset)
	}
	if m := sel.scan(sel.set.inSubset, inside); m != nil {
		return m, ReasonScan
	}
	if m := sel.scan(sel.set.outsideSubset, outside); m != nil {
		return m, ReasonScan
	}
	if m := sel.tryHalfOpen(true); m != nil {
		return m, ReasonTrial
	}
	return nil, ""
}

// tryHalfOpen uses the request as the trial of a half-open target that has none. With force set, which is the last
// resort when no other target has a slot, this includes requests that cannot be retried.
func (sel *selection) tryHalfOpen(force bool) *member {
	for _, m := range sel.set.halfOpen {
		if !force && !sel.req.Retryable && !m.anyRequest {
			continue
		}
		if !m.shared.trialTaken.CompareAndSwap(false, true) {
			continue
		}
		if sel.reserve(m) {
			return m
		}
		m.shared.trialTaken.Store(false)
	}
	return nil
}

// tryAffinity tries the target that last reported the prefix, then the first two by rendezvous hashing, unless their
// load exceeds the bound.
func (sel *selection) tryAffinity() (*member, Reason) {
	if m := sel.pool.hints.find(sel.req.Prefix, sel.set); m != nil && sel.underAffinityLimit(m) && sel.reserve(m) {
		return m, ReasonHint
	}
	first, second := sel.set.rendezvousTopTwo(sel.req.Prefix)
	if first != nil && sel.underAffinityLimit(first) && sel.reserve(first) {
		return first, ReasonAffinity
	}
	if second != nil && sel.underAffinityLimit(second) && sel.reserve(second) {
		return second, ReasonAffinity
	}
	return nil, ""
}

func (sel *selection) underAffinityLimit(m *member) bool {
	mean := sel.average + float64(sel.set.stats.inflight.Load()+1)/float64(len(sel.set.inSubset))
	limit := max(math.Ceil(affinityLoadFactor*mean), minAffinityLimit)
	return m.shared.estimatedRequests(sel.now, sel.average)+1 <= limit
}

// tryRandomPairs applies the power of two choices: of two random targets it tries the less utilised one first.
func (sel *selection) tryRandomPairs(members []*member) *member {
	n := len(members)
	if n == 0 {
		return nil
	}
	for range maxPairDraws {
		x := members[randomBelow(nextRandom(&sel.rand), n)]
		if n == 1 {
			if sel.reserve(x) {
				return x
			}
			return nil
		}
		j := randomBelow(nextRandom(&sel.rand), n-1)
		y := members[j]
		if y == x {
			y = members[n-1]
		}
		if m := sel.reserveLessUtilised(x, y); m != nil {
			return m
		}
	}
	return nil
}

func (sel *selection) reserveLessUtilised(x, y *member) *member {
	if y.shared.estimatedRequests(sel.now, sel.average)*x.capacity < x.shared.estimatedRequests(sel.now, sel.average)*y.capacity {
		x, y = y, x
	}
	if sel.reserve(x) {
		return x
	}
	if sel.reserve(y) {
		return y
	}
	return nil
}

// scan tries up to limit targets in order from a random start, wrapping around.
func (sel *selection) scan(members []*member, limit int) *member {
	n := len(members)
	if n == 0 {
		return nil
	}
	start := randomBelow(nextRandom(&sel.rand), n)
	for i := range min(n, limit) {
		j := start + i
		if j >= n {
			j -= n
		}
		if sel.reserve(members[j]) {
			return members[j]
		}
	}
	return nil
}

// reserve reserves a slot at the target. It skips a target that the request excludes, and one where a low-priority
// request would use the headroom.
func (sel *selection) reserve(m *member) bool {
	if len(sel.req.Exclude) > 0 && slices.Contains(sel.req.Exclude, m.id) {
		return false
	}
	if sel.req.Priority == ident.PriorityLow &&
		m.shared.estimatedRequests(sel.now, sel.average)+1 > max(1, m.capacity*(1-lowPriorityHeadroom)) {
		return false
	}
	return sel.slots.TryReserve(m.id)
}

// commit counts the request at a target whose slot is reserved, and returns the choice.
func (sel *selection) commit(m *member, reason Reason) Choice {
	m.shared.inflight.Add(1)
	sel.set.stats.inflight.Add(1)
	return Choice{
		Target:  m.id,
		URL:     m.url,
		Version: sel.set.version,
		Reason:  reason,
		shared:  m.shared,
		stats:   sel.set.stats,
		slots:   sel.slots,
	}
}
