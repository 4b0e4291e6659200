package queue

import "geraniumsaddle/core/ident"

// front returns the organisation that has the turn and adds its quantum once.
func (q *Queue) front() *org {
	o := q.ring.Front().Value.(*org)
	if !o.started {
		o.started = true
		o.deficit += q.cfg.Quantum
	}
	return o
}

// pass ends the turn of an organisation whose next item does not fit its deficit.
func (q *Queue) pass(o *org) {
	o.started = false
	q.ring.MoveToBack(o.turn)
	q.skip()
}

// skip adds the quanta of the rounds in which no organisation could dispatch, so that a pop takes time
// in proportion to the organisations and not to the size of their requests.
func (q *Queue) skip() {
	rounds := ident.Tokens(-1)
	for t := q.ring.Front(); t != nil; t = t.Next() {
		o := t.Value.(*org)
		short := o.head().Value.(*node).item.Cost - o.deficit
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
