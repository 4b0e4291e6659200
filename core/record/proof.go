package record

import (
	"time"

	"geraniumsaddle/core/ident"
)

// Reason says why the coverage of a router cannot be proved.
type Reason string

const (
	// ReasonNotDeclared means that the ledger names another peer or term.
	ReasonNotDeclared Reason = "not_declared"
	// ReasonNeverConfirmed means that the router confirmed no acknowledgement of this peer.
	ReasonNeverConfirmed Reason = "never_confirmed"
	// ReasonLearnedLate means that the peer learned after the coverage grace that the router is gone.
	ReasonLearnedLate Reason = "learned_late"
	// ReasonUnnumbered means that the router runs a version that does not number its accounts.
	ReasonUnnumbered Reason = "unnumbered_accounts"
)

// Verdict says whether the coverage of a router is proved: Proof or NotProvable.
type Verdict interface{ verdict() }

// Proof states that the router released nothing beyond the replica's state.
type Proof struct {
	Router      ident.RouterID
	Declaration Declaration
	Counters    []Counters
	Open        []Hold
}

// NotProvable states why the router may have released more than the replica knows.
type NotProvable struct{ Reason Reason }

func (Proof) verdict()       {}
func (NotProvable) verdict() {}

// Close closes the replica and decides whether the coverage is proved. The VM list must say that the router's VM is
// gone for good, which implies that the router no longer runs. The caller must read the clock for now after it learns
// this, never before. The declaration comes from the confirmed holder row on which the closing of the holder is
// conditional. Later calls use the time of the first call.
func (r *Replica) Close(d Declaration, now time.Time) Verdict {
	if !r.closed {
		r.closed, r.closedAt = true, now
		r.collecting = nil
	}
	switch {
	case !r.loaded || d.Peer != r.self || d.Term != r.term:
		return NotProvable{ReasonNotDeclared}
	case r.confirmed.number == 0:
		return NotProvable{ReasonNeverConfirmed}
	case r.closedAt.Sub(r.confirmed.at) >= Grace-ClockMargin:
		return NotProvable{ReasonLearnedLate}
	case !r.state.numbered:
		return NotProvable{ReasonUnnumbered}
	}
	return Proof{Router: r.router, Declaration: d, Counters: r.state.allCounters(), Open: r.state.openHolds()}
}
