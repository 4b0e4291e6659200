package queue

import "geraniumsaddle/core/ident"

// currentOrg returns the organisation that has the current turn, and adds its quantum once per turn.
func (q *Queue) currentOrg() *org {
	o := q.ring.Front().Value.(*org)
	if !o.quantumAdded {
		o.quantumAdded = true
		o.deficit += q.cfg.Quantum
	}
	return o
}

// endTurn ends the turn of an organisation whose next item costs more than its deficit.
func (q *Queue) endTurn(o *org) {
	o.quantumAdded = false
	q.ring.MoveToBack(o.ringElem)
	q.skipRounds()
}

// skipRounds adds at once the quanta of all rounds in which no organisation could dispatch, so that the time of Pop
// grows with the number of organisations and not with the cost of their requests.
func (q *Queue) skipRounds() {
	rounds := ident.Tokens(-1)
	for t := q.ring.Front(); t != nil; t = t.Next() {
		o := t.Value.(*org)
		short := o.head().Value.(*entry).item.Cost - o.deficit
		need := (short + q.cfg.Quantum - 1) / q.cfg.Quantum
		if need <= 1 {
			return
		}
		if rounds < 0 || need-1 < rounds {
			rounds = need - 1
		}
	}
	for t := q.ring.Front(); t != nil; t = t.Next() {
		t.Value.(*org).deficit += rounds * q.cfg.Quantum
	}
}
