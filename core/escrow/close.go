package escrow

import (
	"github.com/gravitational/trace"

	"geraniumsaddle/core/ident"
)

// ReasonInTransit marks tokens that a closed holder sent and no holder received.
const ReasonInTransit = "in_transit"

// Proof is what is known for certain about a holder that will not spend again. The counters are lower
// bounds except Out, which is complete whenever Unspent is above zero.
type Proof struct {
	Holder   HolderID     `json:"holder"`
	Open     uint64       `json:"open"`
	Settled  ident.Tokens `json:"settled"`
	Returned ident.Tokens `json:"returned"`
	In       ident.Tokens `json:"in"`
	Out      ident.Tokens `json:"out"`
	// Unspent is proved never to be billed. The journal peer's coverage rule decides it.
	Unspent ident.Tokens `json:"unspent"`
	Reason  string       `json:"reason"`
}

// Close removes the row of a holder whose VM is gone for good or that shut down. The proved settled
// amount stays billed, the proved unspent amount becomes unallotted, and the rest is unresolved.
// Closing a row that is not open has no effect.
func (e *Entry) Close(p Proof) (bool, error) {
	i, ok := e.find(p.Holder)
	if !ok || e.Holders[i].Open != p.Open {
		return false, nil
	}
	if p.Settled < 0 || p.Returned < 0 || p.In < 0 || p.Out < 0 || p.Unspent < 0 {
		return false, trace.BadParameter("proof for %s has a negative counter", p.Holder)
	}
	h := e.Holders[i]
	settled, returned := max(h.Settled, p.Settled), max(h.Returned, p.Returned)
	in, out := max(h.In, p.In), max(h.Out, p.Out)
	rest := h.Granted + in - returned - settled - out
	if rest < 0 {
		// The holder spent tokens whose receipt is not in the proof.
		in, rest = in-rest, 0
	}
	if p.Unspent > rest {
		return false, trace.BadParameter("proof for %s names %d tokens unspent of %d", p.Holder, p.Unspent, rest)
	}
	// Copies, because an earlier version of the shard may share the slices.
	holders := make([]Holder, 0, len(e.Holders)-1)
	e.Holders = append(append(holders, e.Holders[:i]...), e.Holders[i+1:]...)
	e.ClosedSettled += settled
	e.ClosedNetOut += out - in
	if n := rest - p.Unspent; n > 0 {
		e.addUnresolved(Unresolved{Holder: p.Holder, Open: p.Open, Tokens: n, Reason: p.Reason})
	}
	if len(e.Holders) == 0 {
		e.reconcile()
	}
	e.settleShrink()
	return true, nil
}

// reconcile settles transfers once no holder is left that could still send or receive.
func (e *Entry) reconcile() {
	n := e.ClosedNetOut
	switch {
	case n > 0:
		e.addUnresolved(Unresolved{Tokens: n, Reason: ReasonInTransit})
		e.ClosedNetOut = 0
	case n < 0:
		took := min(-n, e.UnresolvedTokens())
		e.takeUnresolved(took)
		e.ClosedNetOut += took
	}
}

func (e *Entry) addUnresolved(u Unresolved) {
	e.Unresolved = append(e.Unresolved[:len(e.Unresolved):len(e.Unresolved)], u)
}
