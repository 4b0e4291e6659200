package poison

import (
	"cmp"
	"slices"
	"time"

	"geraniumsaddle/core/ident"
)

// accused is a part with the losses that count against it: those since the last answer that no quarantined part explains.
type accused struct {
	part   Part
	losses []accusation // in ascending order of time
	// prompts are the last parts of the different prompts with the part in these losses.
	prompts map[string]bool
}

// accusation is a loss that counts against a part.
type accusation struct {
	target Target
	*loss
}

// quarantineNext quarantines the part with the most evidence, if that is enough, and reports whether it did.
func (t *Tracker) quarantineNext(now time.Time) bool {
	best := t.mostAccused(now)
	if best == nil || t.held[best.part] == nil && !t.makeRoom(best.last().at) {
		return false
	}
	q := &quarantine{
		Quarantine: Quarantine{Part: best.part, Losses: len(best.losses), Prompts: len(best.prompts), Strikes: 1},
		at:         now, lossAt: best.last().at, active: true,
	}
	if old := t.held[best.part]; old != nil {
		q.Strikes = old.Strikes + 1
	}
	q.Term = t.policy.term(q.Strikes)
	q.until = now.Add(t.extended(q.Term))
	t.held[best.part] = q
	t.news.quarantines[best.part] = true
	t.events = append(t.events, Quarantined{q.Quarantine, best.targets()})
	return true
}

// makeRoom reports whether another part can be held, whose last loss was at a time. If needed, it forgets the part on probation whose
// quarantine ended first, or else the part that has ended no target for longest, unless the other one has ended none for
// even longer.
func (t *Tracker) makeRoom(lossAt time.Time) bool {
	if len(t.held) < maxQuarantined {
		return true
	}
	var first *quarantine
	for _, part := range t.sortedHeld() {
		q := t.held[part]
		switch {
		case first == nil || first.active && !q.active:
			first = q
		case first.active != q.active:
		case q.active && q.lossAt.Before(first.lossAt) || !q.active && q.until.Before(first.until):
			first = q
		}
	}
	if first.active && !first.lossAt.Before(lossAt) {
		return false
	}
	delete(t.held, first.Part)
	if first.active {
		t.events = append(t.events, Released{first.Part, ReleasedForOthers})
	}
	return true
}

func (t *Tracker) extended(term time.Duration) time.Duration {
	return term + time.Duration(float64(term)*t.policy.TermSpread)
}

// mostAccused returns the part with the most evidence among those with enough, or nil. The guilty part shares its losses
// with the other parts of the same requests. What tells it from them is, in this order: more losses, more different
// prompts, and the longer time without an answer.
func (t *Tracker) mostAccused(now time.Time) *accused {
	var best *accused
	t.decideAt = time.Time{}
	for _, a := range t.accusations(t.policy.MinLosses) {
		at, enough := t.sufficesAt(a)
		switch {
		case !enough:
		case now.Before(at):
			if t.decideAt.IsZero() || at.Before(t.decideAt) {
				t.decideAt = at
			}
		case best == nil || t.compare(a, best) < 0:
			best = a
		}
	}
	return best
}

// compare orders parts by the weight of the evidence, the heaviest first.
func (t *Tracker) compare(a, b *accused) int {
	return cmp.Or(
		-cmp.Compare(len(a.losses), len(b.losses)),
		-cmp.Compare(len(a.prompts), len(b.prompts)),
		t.parts[a.part].answeredAt.Compare(t.parts[b.part].answeredAt),
		compareParts(a.part, b.part),
	)
}

// accusations returns the parts that unexplained losses accuse, without those that fewer than minLosses name, unless they were
// quarantined before.
func (t *Tracker) accusations(minLosses int) map[Part]*accused {
	found := make(map[Part]*accused)
	for _, target := range t.sortedTargets() {
		l := t.losses[target]
		if l.void || t.explained(l) {
			continue
		}
		for id, prompts := range l.parts {
			part := Part{l.service, id}
			s := t.parts[part]
			if l.at.After(s.answeredAt) && (s.losses >= minLosses || t.held[part] != nil) {
				accuse(found, part, accusation{target, l}, prompts)
			}
		}
	}
	for _, a := range found {
		slices.SortStableFunc(a.losses, func(x, y accusation) int { return x.at.Compare(y.at) })
	}
	return found
}

// accuse adds a loss that counts against a part because of prompts.
func accuse(found map[Part]*accused, part Part, l accusation, prompts []string) {
	a := found[part]
	if a == nil {
		a = &accused{part: part, prompts: make(map[string]bool)}
		found[part] = a
	}
	for _, last := range prompts {
		a.prompts[last] = true
	}
	a.losses = append(a.losses, l)
}

func (a *accused) last() accusation { return a.losses[len(a.losses)-1] }

func (a *accused) targets() []ident.TargetID {
	var ids []ident.TargetID
	for _, l := range a.losses {
		ids = append(ids, l.target.ID)
	}
	return ids
}

// explained reports whether a part that is quarantined accounts for a loss.
func (t *Tracker) explained(l *loss) bool {
	for part, q := range t.held {
		if q.active && part.Service == l.service && l.accuses(part.ID) {
			return true
		}
	}
	return false
}

// sufficesAt returns whether the evidence against a part suffices, and from when on: enough losses on enough occasions, and
// time for answers that other routers know of. One loss is enough within the probation after a quarantine.
func (t *Tracker) sufficesAt(a *accused) (time.Time, bool) {
	if q := t.held[a.part]; q != nil && a.last().at.After(q.until) {
		return a.last().at, true
	}
	var knownAt time.Time
	for i, l := range a.losses {
		if l.knownAt.After(knownAt) {
			knownAt = l.knownAt
		}
		if i+1 >= t.policy.MinLosses && t.occasions(a.losses[:i+1]) >= t.policy.MinOccasions {
			return knownAt.Add(t.policy.Settle), true
		}
	}
	return time.Time{}, false
}
