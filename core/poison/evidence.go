package poison

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"geraniumsaddle/core/ident"
)

const (
	// maxLosses bounds the losses that are remembered, and maxAccusations the parts that all of them accuse: eight prompts of
	// 4,000 parts that share none.
	maxLosses      = 256
	maxAccusations = 32 << 10
	// maxPromptsOfPart bounds the different prompts that are counted for a part and a loss.
	maxPromptsOfPart = 4
)

// loss is the end of a target.
type loss struct {
	service ident.ServiceID
	// at is when the target ended, and knownAt when this router learned of it.
	at, knownAt time.Time
	// parts holds the parts of the unanswered requests' prompts. Each has the last parts of prompts that hold it, which tell
	// different prompts apart.
	parts map[string][]string
	// void says that the loss counts against no part: the part that explained it was released.
	void bool
}

func (l *loss) accuses(id string) bool {
	_, ok := l.parts[id]
	return ok
}

// addPrompt adds the parts of a prompt to a loss, and reports whether it said anything new.
func (t *Tracker) addPrompt(l *loss, p Prompt) bool {
	if len(p) == 0 {
		return false
	}
	last := t.intern(l, partID(p[len(p)-1]))
	isNew := false
	for _, id := range p {
		if t.accuse(l, partID(id), last) {
			isNew = true
		}
	}
	return isNew
}

// intern returns the text of a part's ID that is kept. That of a prompt is part of a request's head, which it would keep in
// memory.
func (t *Tracker) intern(l *loss, id string) string {
	if s := t.parts[Part{l.service, id}]; s != nil {
		return s.id
	}
	return strings.Clone(id)
}

// accuse adds a part to a loss because of a prompt, which its last part names, and reports whether that is new.
func (t *Tracker) accuse(l *loss, id, last string) bool {
	prompts, known := l.parts[id]
	if known && (len(prompts) >= maxPromptsOfPart || slices.Contains(prompts, last)) {
		return false
	}
	s := t.observePart(Part{l.service, id}, l.at)
	if !known {
		s.losses++
		t.accusationCount++
	}
	l.parts[s.id] = append(prompts, last)
	return true
}

// forgetLoss forgets a loss.
func (t *Tracker) forgetLoss(target Target) {
	l := t.losses[target]
	delete(t.losses, target)
	for id := range l.parts {
		t.withdraw(l, id)
	}
}

// withdraw removes a part from a loss.
func (t *Tracker) withdraw(l *loss, id string) {
	delete(l.parts, id)
	t.accusationCount--
	if s := t.parts[Part{l.service, id}]; s != nil {
		s.losses--
	}
}

// makeRoomForLoss forgets a quarter of the losses if there are too many: those that say least of any part. Their parts have been
// cleared, or were lost on fewer occasions than others; then those that came with most others at once, which have another
// cause; then the oldest.
func (t *Tracker) makeRoomForLoss() {
	if len(t.losses) < maxLosses {
		return
	}
	occasions := make(map[Target]int)
	for _, a := range t.accusations(2) {
		n := t.occasions(a.losses)
		for _, l := range a.losses {
			occasions[l.target] = max(occasions[l.target], n)
		}
	}
	crowds := t.crowds()
	targets := t.sortedTargets()
	slices.SortStableFunc(targets, func(a, b Target) int {
		return cmp.Or(cmp.Compare(occasions[a], occasions[b]), -cmp.Compare(crowds[a], crowds[b]), t.losses[a].at.Compare(t.losses[b].at))
	})
	for _, target := range targets[:len(targets)/4] {
		t.forgetLoss(target)
	}
}

// crowds returns the number of losses about the time of each.
func (t *Tracker) crowds() map[Target]int {
	crowds := make(map[Target]int, len(t.losses))
	for a, l := range t.losses {
		for _, other := range t.losses {
			if l.at.Sub(other.at).Abs() < t.policy.Spread {
				crowds[a]++
			}
		}
	}
	return crowds
}

// occasions returns the number of occasions of losses in ascending order of time.
func (t *Tracker) occasions(losses []accusation) int {
	n := 0
	var occasion time.Time
	for _, l := range losses {
		if n == 0 || l.at.Sub(occasion) >= t.policy.Spread {
			n++
			occasion = l.at
		}
	}
	return n
}

// pair is a part that a loss accuses.
type pair struct {
	loss  *loss
	id    string
	state *partState
}

// usefulness orders pairs by what they may still prove, the least first: the part was answered since the loss, or was
// answered at some time, or is accused by no other loss.
func (p pair) usefulness() int {
	switch {
	case !p.loss.at.After(p.state.answeredAt):
		return 0
	case !p.state.answeredAt.IsZero():
		return 1
	case p.state.losses == 1:
		return 2
	}
	return 3
}

func comparePairs(a, b pair) int {
	return cmp.Or(
		cmp.Compare(a.usefulness(), b.usefulness()),
		-a.state.answeredAt.Compare(b.state.answeredAt),
		a.loss.at.Compare(b.loss.at),
		cmp.Compare(a.id, b.id),
	)
}

// pairsOf returns the accused parts of losses, the least useful first.
func (t *Tracker) pairsOf(losses ...*loss) []pair {
	var pairs []pair
	for _, l := range losses {
		for id := range l.parts {
			pairs = append(pairs, pair{l, id, t.parts[Part{l.service, id}]})
		}
	}
	slices.SortFunc(pairs, comparePairs)
	return pairs
}

// makeRoomForParts forgets a quarter of the accused parts if there are too many, the least useful ones.
func (t *Tracker) makeRoomForParts() {
	if t.accusationCount <= maxAccusations {
		return
	}
	pairs := t.pairsOf(slices.Collect(maps.Values(t.losses))...)
	for _, p := range pairs[:t.accusationCount-maxAccusations*3/4] {
		t.withdraw(p.loss, p.id)
	}
}
