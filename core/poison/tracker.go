package poison

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"geraniumsaddle/core/ident"
)

// replacedLossAge is the time after which a further loss of the same start of a target shows that the first one was none.
const replacedLossAge = 5 * time.Second

// Tracker holds the evidence and the quarantine of one router. It is not safe for concurrent use.
type Tracker struct {
	policy Policy
	losses map[Target]*loss
	// parts holds the parts that losses or quarantines name, and recent when parts were answered lately. accusationCount is the
	// number of parts that all losses accuse.
	parts           map[Part]*partState
	accusationCount int
	recent          recentAnswers
	held            map[Part]*quarantine
	// news holds what other routers have not been told yet.
	news news
	// changed is set when losses or quarantines have changed since the last decision. decideAt is when the evidence that
	// is known suffices, if no answer arrives, or zero.
	changed  bool
	decideAt time.Time
	events   []Event
}

// partState is what is known of the answers to requests with a part.
type partState struct {
	id string
	// losses is the number of losses that accuse the part.
	losses     int
	answeredAt time.Time
	// toldAt is the newest answer that other routers know of.
	toldAt time.Time
	// accusedAt is the time of the newest loss that accuses the part.
	accusedAt time.Time
	// clearedAt is when an answer ended a quarantine of the part, or zero. A router that was out of contact may still
	// report the quarantine.
	clearedAt time.Time
}

// quarantine is a quarantined part, or one on probation after its quarantine.
type quarantine struct {
	Quarantine
	at, lossAt, until time.Time
	// active is false while the part is on probation.
	active bool
}

// New returns a tracker without evidence.
func New(p Policy) *Tracker {
	return &Tracker{
		policy: p, losses: make(map[Target]*loss), parts: make(map[Part]*partState), recent: newRecentAnswers(),
		held: make(map[Part]*quarantine), news: newNews(),
	}
}

// Quarantined returns the quarantined part of a prompt, if there is one.
func (t *Tracker) Quarantined(service ident.ServiceID, p Prompt) (Part, bool) {
	if len(t.held) == 0 {
		return Part{}, false
	}
	for _, id := range p {
		part := Part{service, partID(id)}
		if q := t.held[part]; q != nil && q.active {
			return part, true
		}
	}
	return Part{}, false
}

// RecordLoss records that a target ended while it had not begun to answer the requests with the given prompts.
func (t *Tracker) RecordLoss(l Loss, now time.Time) {
	if t.mergeLoss(l, now) {
		t.news.losses[l.Target] = true
	}
}

// RecordAnswer records that a target has answered a request with a prompt.
func (t *Tracker) RecordAnswer(service ident.ServiceID, p Prompt, now time.Time) {
	for i, id := range p {
		part := Part{service, partID(id)}
		if i+1 < len(p) {
			t.recent.record(part, now)
		}
		t.recordAnswerOf(part, now)
	}
}

// Lift ends the quarantine of a part by the word of an operator, and reports whether there was one.
func (t *Tracker) Lift(part Part, now time.Time) bool {
	q := t.held[part]
	if q == nil || !q.active {
		return false
	}
	t.recordAnswerOf(part, now)
	return true
}

func (t *Tracker) recordAnswerOf(part Part, at time.Time) {
	s := t.parts[part]
	if s == nil || !at.After(s.answeredAt) {
		return
	}
	s.answeredAt = at
	if s.worthTelling() {
		t.news.clearances[Part{part.Service, s.id}] = true
	}
	t.release(part, at)
}

// worthTelling reports whether other routers need to know the newest answer: it clears the part of a loss or of a
// quarantine, or is the first one known.
func (s *partState) worthTelling() bool {
	if s.answeredAt.IsZero() || !s.answeredAt.After(s.toldAt) {
		return false
	}
	if s.toldAt.IsZero() {
		return true
	}
	return s.answeredAt.After(s.accusedAt) && !s.toldAt.After(s.accusedAt)
}

// release ends the quarantine of a part that was answered after the last loss that counts against it.
func (t *Tracker) release(part Part, answeredAt time.Time) {
	q := t.held[part]
	if q == nil || !answeredAt.After(q.lossAt) {
		return
	}
	delete(t.held, part)
	t.parts[part].clearedAt = answeredAt
	for _, l := range t.losses {
		l.void = l.void || l.service == part.Service && l.accuses(part.ID)
	}
	t.changed = true
	if q.active {
		t.events = append(t.events, Released{part, ReleasedByAnswer})
	}
}

// mergeLoss adds a loss, or its prompts to one that is known, and reports whether it said anything new.
func (t *Tracker) mergeLoss(l Loss, now time.Time) bool {
	at := now.Add(-max(l.Age, 0))
	if l.Age > t.policy.Memory {
		return false
	}
	known := t.losses[l.Target]
	if known != nil && at.Sub(known.at) > replacedLossAge {
		t.forgetLoss(l.Target)
		known = nil
	}
	isNew := known == nil
	if isNew {
		t.makeRoomForLoss()
		known = &loss{service: l.Service, at: at, knownAt: now, parts: make(map[string][]string)}
		t.losses[l.Target] = known
	}
	if at.Before(known.at) {
		known.at = at
	}
	for _, p := range l.Prompts {
		if t.addPrompt(known, p) {
			isNew = true
		}
	}
	if isNew {
		t.changed = true
		t.makeRoomForParts()
	}
	return isNew
}

// observePart begins to record the answers of a part that a loss accuses.
func (t *Tracker) observePart(part Part, accusedAt time.Time) *partState {
	s := t.parts[part]
	if s == nil {
		part.ID = strings.Clone(part.ID)
		s = &partState{id: part.ID, answeredAt: t.recent.lastOf(part)}
		t.parts[part] = s
	}
	if accusedAt.After(s.accusedAt) {
		s.accusedAt = accusedAt
	}
	if s.worthTelling() {
		t.news.clearances[Part{part.Service, s.id}] = true
	}
	return s
}

// sortedTargets returns the lost targets in a fixed order, so that decisions do not depend on the order of a map.
func (t *Tracker) sortedTargets() []Target {
	return slices.SortedFunc(maps.Keys(t.losses), func(a, b Target) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born))
	})
}

// Advance decides on the evidence, ends quarantines whose term has passed, forgets what is old, and returns what has
// changed since the last call.
func (t *Tracker) Advance(now time.Time) []Event {
	t.expire(now)
	if due := !t.decideAt.IsZero() && !now.Before(t.decideAt); due || t.changed {
		t.changed = false
		for t.quarantineNext(now) {
			continue
		}
	}
	events := t.events
	t.events = nil
	return events
}

// Active reports whether a loss is recent or a part is quarantined.
func (t *Tracker) Active(now time.Time) bool {
	for _, l := range t.losses {
		if now.Sub(l.at) <= reportedLossAge {
			return true
		}
	}
	for _, q := range t.held {
		if q.active {
			return true
		}
	}
	return false
}

// Idle reports whether Advance has nothing to do until the next loss: no loss is recent and no part is held.
func (t *Tracker) Idle() bool { return len(t.losses) == 0 && len(t.held) == 0 }

func (t *Tracker) expire(now time.Time) {
	for target, l := range t.losses {
		if now.Sub(l.at) > t.policy.Memory {
			t.forgetLoss(target)
			t.changed = true
		}
	}
	for _, part := range t.sortedHeld() {
		q := t.held[part]
		switch {
		case q.active && !now.Before(q.until):
			q.active = false
			t.changed = true
			t.events = append(t.events, Released{part, ReleasedByTerm})
		case !q.active && now.Sub(q.until) > t.policy.ProbationTime:
			delete(t.held, part)
		}
	}
	if t.changed {
		t.forgetParts(now)
	}
}

// forgetParts forgets the answers of parts that no loss names and that are in no quarantine and were in none that may
// still be reported.
func (t *Tracker) forgetParts(now time.Time) {
	for part, s := range t.parts {
		mayReturn := !s.clearedAt.IsZero() && now.Sub(s.clearedAt) < 2*t.policy.MaxTerm
		if s.losses == 0 && t.held[part] == nil && !mayReturn {
			delete(t.parts, part)
		}
	}
}

func (t *Tracker) sortedHeld() []Part { return slices.SortedFunc(maps.Keys(t.held), compareParts) }

func compareParts(a, b Part) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
}
