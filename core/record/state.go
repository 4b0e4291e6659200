package record

import (
	"cmp"
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
	// ErrInvalid reports an entry without content, or a hold or settlement with invalid values.
	ErrInvalid = errors.New("invalid journal entry")
	// ErrHeld reports an account that cannot be forgotten while one of its holds is open.
	ErrHeld = errors.New("account has an open hold")
	// ErrNoCounters reports an account without counters in the journal.
	ErrNoCounters = errors.New("account has no counters")
)

// account identifies one of the accounts that the router opened on a budget.
type account struct {
	budget ident.BudgetID
	number uint64
}

func (h *Hold) account() account     { return account{h.Budget, h.AccountNumber} }
func (c *Counters) account() account { return account{c.Budget, c.AccountNumber} }
func (f *Forget) account() account   { return account{f.Budget, f.AccountNumber} }

// accountRow holds the counters of an account and the number of its open holds.
type accountRow struct {
	Counters
	openHoldCount int
}

// state is the result of applying the entries up to seq. The router and its peer apply the same entries.
type state struct {
	lim          Limits
	seq          uint64
	holds        map[ident.RequestID]Hold
	requestByKey map[Hash]ident.RequestID
	accounts     map[account]*accountRow
	numbered     bool // see Snapshot.Numbered
	recent       settledRequests
}

func newState(lim Limits) state {
	return state{
		lim:          lim,
		holds:        map[ident.RequestID]Hold{},
		requestByKey: map[Hash]ident.RequestID{},
		accounts:     map[account]*accountRow{},
		recent:       newSettledRequests(lim.Recent, lim.AnswerBytes),
	}
}

// check returns an error if e cannot be applied.
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
			return fmt.Errorf("%w: settlement of request %q bills %d of %d tokens, leaves %d unresolved, outcome %q",
				ErrInvalid, e.Settle.Request, e.Settle.Billed, h.Tokens, e.Settle.Unresolved, e.Settle.Outcome)
		}
	case e.Raise != nil:
		return s.checkAccountLimit(e.Raise.account())
	case e.Forget != nil:
		return s.checkForget(e.Forget)
	default:
		return fmt.Errorf("%w: entry has no content", ErrInvalid)
	}
	return nil
}

func (s *state) checkOpen(h *Hold) error {
	if h.Request == "" || h.Tokens < 0 {
		return fmt.Errorf("%w: hold of request %q with %d tokens", ErrInvalid, h.Request, h.Tokens)
	}
	if _, ok := s.holds[h.Request]; ok {
		return ErrDuplicate
	}
	if len(s.holds) >= s.lim.Holds {
		return ErrFull
	}
	return s.checkAccountLimit(h.account())
}

func (s *state) checkAccountLimit(a account) error {
	if s.accounts[a] == nil && len(s.accounts) >= s.lim.Accounts {
		return ErrFull
	}
	return nil
}

func (s *state) checkForget(f *Forget) error {
	switch c := s.accounts[f.account()]; {
	case c == nil:
		return ErrNoCounters
	case c.openHoldCount > 0:
		return ErrHeld
	}
	return nil
}

// apply applies an entry for which check returned no error.
func (s *state) apply(e *Entry) {
	s.seq = e.Seq
	switch {
	case e.Open != nil:
		s.addHold(*e.Open)
	case e.Retarget != nil:
		h := s.holds[e.Retarget.Request]
		h.Target = e.Retarget.Target
		s.holds[h.Request] = h
	case e.Settle != nil:
		h := s.holds[e.Settle.Request]
		delete(s.holds, h.Request)
		if s.requestByKey[h.IdempotencyKey] == h.Request {
			delete(s.requestByKey, h.IdempotencyKey)
		}
		c := s.rowFor(h.account())
		c.openHoldCount--
		c.Settled += e.Settle.Billed
		s.recent.add(SettledRequest{Hold: h, Settlement: *e.Settle})
	case e.Raise != nil:
		mergeCounters(&s.rowFor(e.Raise.account()).Counters, e.Raise)
	case e.Forget != nil:
		delete(s.accounts, e.Forget.account())
	}
}

func (s *state) addHold(h Hold) {
	s.holds[h.Request] = h
	if h.IdempotencyKey != (Hash{}) {
		s.requestByKey[h.IdempotencyKey] = h.Request
	}
	s.rowFor(h.account()).openHoldCount++
}

func (s *state) rowFor(a account) *accountRow {
	c := s.accounts[a]
	if c == nil {
		c = &accountRow{Counters: Counters{Budget: a.budget, AccountNumber: a.number}}
		s.accounts[a] = c
	}
	return c
}

// mergeCounters raises Returned, Out and In of dst to those of src. Only settlements change Settled.
func mergeCounters(dst, src *Counters) {
	dst.Returned = max(dst.Returned, src.Returned)
	dst.Out = mergeTransfers(dst.Out, src.Out)
	dst.In = mergeTransfers(dst.In, src.In)
}

func mergeTransfers(dst, src []Transfer) []Transfer {
	for _, t := range src {
		i, ok := slices.BinarySearchFunc(dst, t, func(a, b Transfer) int {
			return strings.Compare(string(a.Router), string(b.Router))
		})
		if ok {
			dst[i].Tokens = max(dst[i].Tokens, t.Tokens)
			continue
		}
		dst = slices.Insert(dst, i, t)
	}
	return dst
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

// allCounters returns copies of the counters sorted by budget and account.
func (s *state) allCounters() []Counters {
	cs := make([]Counters, 0, len(s.accounts))
	for _, c := range s.accounts {
		cp := c.Counters
		cp.Out = slices.Clone(c.Out)
		cp.In = slices.Clone(c.In)
		cs = append(cs, cp)
	}
	slices.SortFunc(cs, func(a, b Counters) int {
		return cmp.Or(cmp.Compare(a.Budget, b.Budget), cmp.Compare(a.AccountNumber, b.AccountNumber))
	})
	return cs
}

func (s *state) snapshot() *Snapshot {
	return &Snapshot{Seq: s.seq, Numbered: true, Holds: s.openHolds(), Counters: s.allCounters(), Recent: s.recent.list()}
}

// loadSnapshot replaces the state with a snapshot.
func (s *state) loadSnapshot(sn *Snapshot) error {
	if len(sn.Holds) > s.lim.Holds || len(sn.Counters) > s.lim.Accounts {
		return ErrFull
	}
	n := newState(s.lim)
	n.seq, n.numbered = sn.Seq, sn.Numbered
	for i := range sn.Counters {
		c := &n.rowFor(sn.Counters[i].account()).Counters
		c.Settled = sn.Counters[i].Settled
		mergeCounters(c, &sn.Counters[i])
	}
	for _, h := range sn.Holds {
		n.addHold(h)
	}
	for _, c := range sn.Recent {
		// Snapshots carry no answers, so the answers that are already kept stay.
		if old, ok := s.recent.byRequest(c.Hold.Request); ok && c.Settlement.Answer == nil {
			c.Settlement.Answer = old.Settlement.Answer
		}
		n.recent.add(c)
	}
	*s = n
	return nil
}
