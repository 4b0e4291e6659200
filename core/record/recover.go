package record

import (
	"time"

	"geraniumsaddle/core/bill"
	"geraniumsaddle/core/ident"
)

// TargetResult is what the target reports about an open request of a dead router: Ran, Absent or Unknown.
type TargetResult interface{ result() }

// Ran means that the target ran the request to its end.
type Ran struct{ PromptTokens, OutputTokens ident.Tokens }

// Absent means that the target has no record of the request.
type Absent struct {
	// Certain is set only when no target can have received the request: the target has kept its records since the
	// hold was opened, and no connection of the dead router can still deliver it.
	Certain bool
}

// Unknown means that the target cannot be asked or does not keep requests.
type Unknown struct{}

func (Ran) result()     {}
func (Absent) result()  {}
func (Unknown) result() {}

// NewBill returns the bill of a settled hold.
func NewBill(router ident.RouterID, h Hold, s Settlement) bill.Bill {
	return bill.Bill{
		RequestID: h.Request, Org: h.Org, Budget: h.Budget, Key: h.Key, Model: h.Model, Service: h.Service,
		Version: h.Version, Target: h.Target, PromptTokens: s.PromptTokens, OutputTokens: s.OutputTokens,
		Billed: s.Billed, OverBound: s.OverBound, Outcome: s.Outcome, Router: router, At: s.At,
	}
}

// AccountState is what the journal knows of one account at a closed router. The holder's unspent tokens are
// granted + in - returned - settled - out - unresolved.
type AccountState struct {
	Counters   Counters     `json:"counters"`
	Unresolved ident.Tokens `json:"unresolved"`
}

// CloseProof allows the ledger to close a holder. Accounts are sorted by budget and account.
type CloseProof struct {
	Router      ident.RouterID `json:"router"`
	Declaration Declaration    `json:"declaration"`
	Accounts    []AccountState `json:"budgets"`
}

// Recovery is the outcome of a dead router's open requests.
type Recovery struct {
	// Settlements has one entry for each open hold. A request without a known result has no bill yet.
	Settlements []Settlement
	// Bills covers the open holds with a known result. Bills of requests that the router settled are included, because
	// the router may have died before it wrote them. Duplicates have the same identity and content.
	Bills []bill.Bill
	// Accounts is the state of each account, including the open holds with a known result. Without a proof it is a lower
	// bound: the router may have released more. It is sorted by budget and account.
	Accounts []AccountState
	// Proof is nil when the coverage is not provable.
	Proof  *CloseProof
	Reason Reason
}

// Recover settles the open requests of a dead router. A request without a result counts as Unknown. The same arguments
// give the same recovery.
func (r *Replica) Recover(v Verdict, results map[ident.RequestID]TargetResult, at time.Time) Recovery {
	var rec Recovery
	for _, c := range r.state.recent.list() {
		rec.Bills = append(rec.Bills, NewBill(r.router, c.Hold, c.Settlement))
	}
	billed := map[account]ident.Tokens{}
	unresolved := map[account]ident.Tokens{}
	for _, h := range r.state.openHolds() {
		s, known := settlementFor(h, results[h.Request], at)
		rec.Settlements = append(rec.Settlements, s)
		billed[h.account()] += s.Billed
		unresolved[h.account()] += s.Unresolved
		if known {
			rec.Bills = append(rec.Bills, NewBill(r.router, h, s))
		}
	}
	for _, c := range r.state.allCounters() {
		c.Settled += billed[c.account()]
		rec.Accounts = append(rec.Accounts, AccountState{Counters: c, Unresolved: unresolved[c.account()]})
	}
	switch v := v.(type) {
	case NotProvable:
		rec.Reason = v.Reason
	case Proof:
		rec.Proof = &CloseProof{Router: v.Router, Declaration: v.Declaration, Accounts: rec.Accounts}
	}
	return rec
}

func settlementFor(h Hold, res TargetResult, at time.Time) (Settlement, bool) {
	known := true
	s := Settlement{Request: h.Request, Outcome: ident.OutcomeUnknown, At: at}
	switch res := res.(type) {
	case Ran:
		s.Outcome = ident.OutcomeRun
		s.PromptTokens, s.OutputTokens = res.PromptTokens, res.OutputTokens
		used := res.PromptTokens + res.OutputTokens
		s.Billed = min(used, h.Tokens)
		s.OverBound = used - s.Billed
	case Absent:
		if res.Certain {
			s.Outcome = ident.OutcomeNotRun
		}
	default:
		known = false
		s.Unresolved = h.Tokens
	}
	return s, known
}
