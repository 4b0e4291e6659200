package record

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"geraniumsaddle/core/ident"
)

var (
	// ErrFull reports that a memory limit is reached.
	ErrFull = errors.New("journal is full")
	// ErrDuplicate reports a request that is open or was settled recently.
	ErrDuplicate = errors.New("request is already in the journal")
	// ErrNotOpen reports a request without an open hold.
	ErrNotOpen = errors.New("request has no open hold")
	// ErrInvalid reports an entry with impossible amounts or without content.
	ErrInvalid = errors.New("invalid journal entry")
)

// state is the effect of the entries up to seq. The router and its peer apply the same entries to it.
type state struct {
	lim      Limits
	seq      uint64
	holds    map[ident.RequestID]Hold
	byKey    map[Hash]ident.RequestID
	counters map[ident.BudgetID]*Counters
	recent   recent
}

func newState(lim Limits) state {
	return state{
		lim:      lim,
		holds:    map[ident.RequestID]Hold{},
		byKey:    map[Hash]ident.RequestID{},
		counters: map[ident.BudgetID]*Counters{},
		recent:   newRecent(lim.Recent, lim.AnswerBytes),
	}
}

// check reports why e cannot be applied.
func (s *state) check(e *Entry) error {
	switch {
	case e.Open != nil:
		return s.checkOpen(e.Open)
	case e.Retarget != nil:
		if _, ok := s.holds[e.Retarget.Request]; !ok {
			return ErrNotOpen
		}
	case e.Settle != nil:
		h, ok := s.holds[e.Settle.Request]
		if !ok {
			return ErrNotOpen
		}
		if e.Settle.Billed < 0 || e.Settle.Billed > h.Tokens || e.Settle.Unresolved != 0 || !e.Settle.Outcome.Valid() {
			return fmt.Errorf("%w: settlement of %q", ErrInvalid, e.Settle.Request)
		}
	case e.Raise != nil:
		return s.checkBudget(e.Raise.Budget)
	default:
		return ErrInvalid
	}
	return nil
}

func (s *state) checkOpen(h *Hold) error {
	if h.Request == "" || h.Tokens < 0 {
		return fmt.Errorf("%w: hold of %q", ErrInvalid, h.Request)
	}
	if _, ok := s.holds[h.Request]; ok {
		return ErrDuplicate
	}
	if len(s.holds) >= s.lim.Holds {
		return ErrFull
	}
	return s.checkBudget(h.Budget)
}

func (s *state) checkBudget(b ident.BudgetID) error {
	if s.counters[b] == nil && len(s.counters) >= s.lim.Budgets {
		return ErrFull
	}
	return nil
}

// apply must follow a check without error.
func (s *state) apply(e *Entry) {
	s.seq = e.Seq
	switch {
	case e.Open != nil:
		s.open(*e.Open)
	case e.Retarget != nil:
		h := s.holds[e.Retarget.Request]
		h.Target = e.Retarget.Target
		s.holds[h.Request] = h
	case e.Settle != nil:
		h := s.holds[e.Settle.Request]
		delete(s.holds, h.Request)
		if s.byKey[h.IdempotencyKey] == h.Request {
			delete(s.byKey, h.IdempotencyKey)
		}
		s.budget(h.Budget).Settled += e.Settle.Billed
		s.recent.add(Closed{Hold: h, Settlement: *e.Settle})
	case e.Raise != nil:
		merge(s.budget(e.Raise.Budget), e.Raise)
	}
}

func (s *state) open(h Hold) {
	s.holds[h.Request] = h
	if h.IdempotencyKey != (Hash{}) {
		s.byKey[h.IdempotencyKey] = h.Request
	}
	s.budget(h.Budget)
}

func (s *state) budget(b ident.BudgetID) *Counters {
	c := s.counters[b]
	if c == nil {
		c = &Counters{Budget: b}
		s.counters[b] = c
	}
	return c
}

// merge raises returned, out and in. Settled comes from settlements alone.
func merge(c, by *Counters) {
	c.Returned = max(c.Returned, by.Returned)
	c.Out = mergeTransfers(c.Out, by.Out)
	c.In = mergeTransfers(c.In, by.In)
}

func mergeTransfers(ts, by []Transfer) []Transfer {
	for _, t := range by {
		i, ok := slices.BinarySearchFunc(ts, t, func(a, b Transfer) int {
			return strings.Compare(string(a.Router), string(b.Router))
		})
		if ok {
			ts[i].Tokens = max(ts[i].Tokens, t.Tokens)
			continue
		}
		ts = slices.Insert(ts, i, t)
	}
	return ts
}

// openHolds returns the open holds sorted by request.
func (s *state) openHolds() []Hold {
	hs := make([]Hold, 0, len(s.holds))
	for _, h := range s.holds {
		hs = append(hs, h)
	}
	slices.SortFunc(hs, func(a, b Hold) int { return strings.Compare(string(a.Request), string(b.Request)) })
	return hs
}

// allCounters returns copies of the counters sorted by budget.
func (s *state) allCounters() []Counters {
	cs := make([]Counters, 0, len(s.counters))
	for _, c := range s.counters {
		cp := *c
		cp.Out = slices.Clone(c.Out)
		cp.In = slices.Clone(c.In)
		cs = append(cs, cp)
	}
	slices.SortFunc(cs, func(a, b Counters) int { return strings.Compare(string(a.Budget), string(b.Budget)) })
	return cs
}

func (s *state) snapshot() *Snapshot {
	return &Snapshot{Seq: s.seq, Holds: s.openHolds(), Counters: s.allCounters(), Recent: s.recent.list()}
}

// load replaces the state by a snapshot.
func (s *state) load(sn *Snapshot) error {
	if len(sn.Holds) > s.lim.Holds || len(sn.Counters) > s.lim.Budgets {
		return ErrFull
	}
	n := newState(s.lim)
	n.seq = sn.Seq
	for i := range sn.Counters {
		c := n.budget(sn.Counters[i].Budget)
		c.Settled = sn.Counters[i].Settled
		merge(c, &sn.Counters[i])
	}
	for _, h := range sn.Holds {
		n.open(h)
	}
	for _, c := range sn.Recent {
		// Snapshots carry no answers, so those kept under the same request stay.
		if old, ok := s.recent.byRequest(c.Hold.Request); ok && c.Settlement.Answer == nil {
			c.Settlement.Answer = old.Settlement.Answer
		}
		n.recent.add(c)
	}
	*s = n
	return nil
}
