package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// reportedLossAge is the age up to which a loss is part of a summary. An older one has reached all routers in contact.
const reportedLossAge = 10 * time.Second

// news names the evidence that other routers have not been told yet.
type news struct {
	losses                  map[Target]bool
	clearances, quarantines map[Part]bool
}

func newNews() news {
	return news{losses: make(map[Target]bool), clearances: make(map[Part]bool), quarantines: make(map[Part]bool)}
}

// News returns what has become known since the last call, from this router's targets or from other routers. What exceeds
// the bounds of a report is left for the next one.
func (t *Tracker) News(now time.Time) Report {
	n := t.news
	t.news = newNews()
	var r Report
	room := maxReportedParts
	for _, target := range t.sortedTargets() {
		if !n.losses[target] {
			continue
		}
		if room <= 0 {
			t.news.losses[target] = true
			continue
		}
		l := t.lossReport(target, now, room)
		room -= l.partCount()
		r.Losses = append(r.Losses, l)
	}
	told := t.mostAccusedFirst(n.clearances)
	for i, part := range told {
		if i >= maxClearances {
			t.news.clearances[part] = true
			continue
		}
		s := t.parts[part]
		s.toldAt = s.answeredAt
		r.Clearances = append(r.Clearances, Clearance{part, now.Sub(s.answeredAt)})
	}
	for _, part := range t.sortedHeld() {
		if n.quarantines[part] {
			r.Quarantines = append(r.Quarantines, t.held[part].report(now))
		}
	}
	return r
}

// mostAccusedFirst returns the known ones of some parts in the order in which others should learn that they were answered: those
// that most losses accuse first.
func (t *Tracker) mostAccusedFirst(parts map[Part]bool) []Part {
	var known []Part
	for part := range parts {
		if s := t.parts[part]; s != nil && !s.answeredAt.IsZero() {
			known = append(known, part)
		}
	}
	slices.SortFunc(known, func(a, b Part) int {
		return cmp.Or(-cmp.Compare(t.parts[a].losses, t.parts[b].losses), compareParts(a, b))
	})
	return known
}

// Summary returns what a router needs that knows nothing: the quarantined parts, those on probation, and recent losses
// with the answers that clear their parts. Of losses that exceed the bounds of a report, the latest are told.
func (t *Tracker) Summary(now time.Time) Report {
	var r Report
	for _, part := range t.sortedHeld() {
		r.Quarantines = append(r.Quarantines, t.held[part].report(now))
	}
	cleared := make(map[Part]bool)
	recent := slices.DeleteFunc(t.sortedTargets(), func(target Target) bool { return now.Sub(t.losses[target].at) > reportedLossAge })
	slices.SortStableFunc(recent, func(a, b Target) int { return t.losses[b].at.Compare(t.losses[a].at) })
	room := maxReportedParts
	for _, target := range recent {
		for id := range t.losses[target].parts {
			cleared[Part{t.losses[target].service, id}] = true
		}
		if room > 0 {
			l := t.lossReport(target, now, room)
			room -= l.partCount()
			r.Losses = append(r.Losses, l)
		}
	}
	for _, part := range t.mostAccusedFirst(cleared) {
		if len(r.Clearances) < maxClearances {
			r.Clearances = append(r.Clearances, Clearance{part, now.Sub(t.parts[part].answeredAt)})
		}
	}
	return r
}

// lossReport returns a loss with about as many parts as there is room for, the most useful ones, and without those that were
// answered since.
func (t *Tracker) lossReport(target Target, now time.Time, room int) Loss {
	l := t.losses[target]
	byLast := make(map[string]Prompt)
	pairs := t.pairsOf(l)
	for _, p := range slices.Backward(pairs) {
		if p.usefulness() == 0 || room <= 0 {
			break
		}
		for _, last := range l.parts[p.id] {
			if p.id != last {
				byLast[last] = append(byLast[last], p.id)
			} else if byLast[last] == nil {
				byLast[last] = Prompt{}
			}
			room--
		}
	}
	out := Loss{Target: target, Service: l.service, Age: now.Sub(l.at)}
	for _, last := range slices.Sorted(maps.Keys(byLast)) {
		out.Prompts = append(out.Prompts, append(byLast[last], last))
	}
	return out
}

// partCount returns the number of parts of all prompts of a loss.
func (l Loss) partCount() int {
	n := 0
	for _, p := range l.Prompts {
		n += len(p)
	}
	return n
}

func (q *quarantine) report(now time.Time) Quarantine {
	r := q.Quarantine
	r.Age, r.LossAge = now.Sub(q.at), now.Sub(q.lossAt)
	return r
}

// List returns the quarantined parts.
func (t *Tracker) List(now time.Time) []Quarantine {
	var list []Quarantine
	for _, part := range t.sortedHeld() {
		if q := t.held[part]; q.active {
			list = append(list, q.report(now))
		}
	}
	return list
}

// Merge adds the report of another router.
func (t *Tracker) Merge(r Report, now time.Time) {
	for _, l := range r.Losses[:min(len(r.Losses), maxLosses)] {
		if t.mergeLoss(l, now) {
			t.news.losses[l.Target] = true
		}
	}
	// An answer clears the part of a quarantine in the same report, so the quarantine has to be known first.
	for _, q := range r.Quarantines[:min(len(r.Quarantines), maxQuarantined)] {
		t.mergeQuarantine(q, now)
	}
	for _, c := range r.Clearances[:min(len(r.Clearances), maxClearances)] {
		t.mergeClearance(c, now)
	}
}

func (t *Tracker) mergeClearance(c Clearance, now time.Time) {
	s := t.parts[c.Part]
	if s == nil {
		return
	}
	at := now.Add(-max(c.Age, 0))
	t.recordAnswerOf(c.Part, at)
	if !s.answeredAt.After(at) && t.news.clearances[c.Part] {
		return // passed on with the next news
	}
	if at.After(s.toldAt) && !t.news.clearances[c.Part] {
		s.toldAt = at
	}
}

// mergeQuarantine takes over a quarantine that is newer than the known one of the part, unless an answer has cleared it.
func (t *Tracker) mergeQuarantine(r Quarantine, now time.Time) {
	at := now.Add(-max(r.Age, 0))
	lossAt := now.Add(-max(r.LossAge, 0))
	known := t.held[r.Part]
	isKnown := known != nil && (known.Strikes > r.Strikes || known.Strikes == r.Strikes && !at.Before(known.at.Add(-t.policy.Settle)))
	if isKnown {
		return
	}
	if s := t.parts[r.Part]; s != nil && s.answeredAt.After(lossAt) {
		t.news.clearances[r.Part] = true // the sender does not know of the answer
		return
	}
	if known == nil && !t.makeRoom(lossAt) {
		return
	}
	r.Strikes = max(r.Strikes, 1)
	r.Term = t.policy.term(r.Strikes)
	q := &quarantine{Quarantine: r, at: at, lossAt: lossAt, until: at.Add(t.extended(r.Term))}
	q.active = now.Before(q.until)
	t.held[r.Part] = q
	_ = t.observePart(r.Part, lossAt)
	t.news.quarantines[r.Part] = true
	if q.active && (known == nil || !known.active) {
		t.events = append(t.events, Quarantined{Quarantine: r})
	}
}
