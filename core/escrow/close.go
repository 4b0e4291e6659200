package escrow

import (
	"slices"

	"github.com/gravitational/trace"

	"geraniumsaddle/core/ident"
)

// ReasonInTransit marks tokens that a closed holder sent and no holder received.
const ReasonInTransit = "in_transit"

// Proof holds what is known for certain about a holder that will not spend again. The counters are lower bounds unless
// the proof is complete.
type Proof struct {
	Holder    HolderID     `json:"holder"`
	RowNumber uint64       `json:"open"`
	Settled   ident.Tokens `json:"settled"`
	Returned  ident.Tokens `json:"returned"`
	In        ident.Tokens `json:"in"`
	Out       ident.Tokens `json:"out"`
	// Complete says that Settled, Out and Held cover everything that the holder spent, so that all its other tokens are
	// unspent, including grants that it never saw. For a dead router the coverage rule of its journal peer decides this.
	Complete bool `json:"complete,omitempty"`
	// Held is the sum of the reservations of requests whose end is not known.
	Held   ident.Tokens `json:"held"`
	Reason string       `json:"reason"`
}

// Close removes the row of a holder that shut down or whose VM is permanently gone, and reports whether the row was
// open. What the row and the proof show as settled stays billed. The other tokens become unallotted if a complete proof
// shows that they are unspent, and unresolved otherwise.
func (e *Entry) Close(p Proof) (bool, error) {
	i, ok := e.findHolder(p.Holder)
	if !ok || e.Holders[i].RowNumber != p.RowNumber {
		return false, nil
	}
	if p.Settled < 0 || p.Returned < 0 || p.In < 0 || p.Out < 0 || p.Held < 0 {
		return false, trace.BadParameter("proof for %s has a negative counter", p.Holder)
	}
	h := e.Holders[i]
	if h.Seq == 0 {
		// The holder never reported under this row number, so nothing was granted. A late copy of its first report may
		// have opened the row again after the proof was counted. What the holder received from others stays in transit.
		p = Proof{Holder: p.Holder, RowNumber: p.RowNumber}
	}
	settled, returned := max(h.Settled, p.Settled), max(h.Returned, p.Returned)
	in, out := max(h.In, p.In), max(h.Out, p.Out)
	unaccounted := h.Granted + in - returned - settled - out
	if unaccounted < 0 {
		// The holder spent tokens whose receipt is not in the proof.
		in, unaccounted = in-unaccounted, 0
	}
	unresolved := unaccounted
	if p.Complete {
		unresolved = min(unaccounted, p.Held)
	}
	// The slice is copied because an earlier version of the shard may share it.
	holders := make([]Holder, 0, len(e.Holders)-1)
	e.Holders = append(append(holders, e.Holders[:i]...), e.Holders[i+1:]...)
	e.ClosedSettled += settled
	e.ClosedNetOut += out - in
	if unresolved > 0 {
		e.addUnresolved(Unresolved{Holder: p.Holder, RowNumber: p.RowNumber, Tokens: unresolved, Reason: p.Reason})
	}
	if len(e.Holders) == 0 {
		e.reconcileTransfers()
	}
	e.applyPendingReduction()
	return true, nil
}

// reconcileTransfers accounts for transfers for which the counters of sender and receiver differ. It must only be
// called when no holder is open that could still send or receive.
func (e *Entry) reconcileTransfers() {
	n := e.ClosedNetOut
	switch {
	case n > 0:
		e.addUnresolved(Unresolved{Tokens: n, Reason: ReasonInTransit})
		e.ClosedNetOut = 0
	case n < 0:
		// A receiver counted more than the proofs of its senders contain.
		e.ClosedNetOut += e.removeUnresolved("", -n)
		for i := 0; i < len(e.Unresolved) && e.ClosedNetOut < 0; i++ {
			u := &e.Unresolved[i]
			taken := min(-e.ClosedNetOut, u.Tokens)
			u.Tokens -= taken
			e.ClosedNetOut += taken
		}
		e.Unresolved = slices.DeleteFunc(e.Unresolved, func(u Unresolved) bool { return u.Tokens == 0 })
	}
}

func (e *Entry) addUnresolved(u Unresolved) {
	e.Unresolved = append(e.Unresolved[:len(e.Unresolved):len(e.Unresolved)], u)
}
