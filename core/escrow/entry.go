package escrow

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"geraniumsaddle/core/ident"
)

// EntryID identifies a ledger entry: a budget, the limit of a traffic class or of an API key, or a target.
type EntryID string

// BudgetEntryID returns the ID of the entry of a budget.
func BudgetEntryID(id ident.BudgetID) EntryID { return EntryID(id) }

// TargetEntryID returns the ID of the entry of the capacity slots of a target.
func TargetEntryID(id ident.TargetID) EntryID { return EntryID(id) }

// ClassEntryID returns the ID of the entry of the limit of a traffic class inside a budget.
func ClassEntryID(id ident.BudgetID, c ident.Class) EntryID {
	return EntryID(string(id) + "/class/" + string(c))
}

// KeyEntryID returns the ID of the entry of the limit of an API key.
func KeyEntryID(org ident.OrgID, key ident.KeyID) EntryID {
	return EntryID(string(org) + "/key/" + string(key))
}

// HolderID identifies one account of one incarnation of a router.
type HolderID string

// NewHolderID returns the ID of the nth account, counted from 0, that the router opens on an entry. An idle account is
// closed to keep shards small. A later account of the same router needs another ID, because its counters start at zero.
func NewHolderID(r ident.RouterID, nth uint64) HolderID {
	if nth == 0 {
		return HolderID(r)
	}
	return HolderID(string(r) + "/" + strconv.FormatUint(nth, 10))
}

// Router returns the incarnation of the router that the holder belongs to.
func (h HolderID) Router() ident.RouterID {
	r, _, _ := strings.Cut(string(h), "/")
	return ident.RouterID(r)
}

// Entry is the platform's side of one budget, limit or target. Counts are tokens, or slots for a target.
type Entry struct {
	ID       EntryID      `json:"id"`
	Paid     ident.Tokens `json:"paid"`
	Refunded ident.Tokens `json:"refunded,omitempty"`
	// Ops lists the latest operator changes, oldest first, so that a repeated one has no effect.
	Ops []Op `json:"op_ids,omitempty"`
	// RowsOpened counts the rows that were ever opened. Each new row takes the next number.
	RowsOpened uint64   `json:"opened,omitempty"`
	Holders    []Holder `json:"holders,omitempty"` // sorted by ID
	// ClosedSettled is the sum that closed holders have billed.
	ClosedSettled ident.Tokens `json:"closed_settled,omitempty"`
	// ClosedNetOut is what closed holders sent to others, less what they received. It is negative
	// when a receiver closes before its sender.
	ClosedNetOut ident.Tokens `json:"closed_net_out,omitempty"`
	Unresolved   []Unresolved `json:"unresolved,omitempty"`
	// WrittenOff is the sum of unresolved tokens that operators wrote off.
	WrittenOff ident.Tokens `json:"written_off,omitempty"`
	// PendingReduction is the part of a capacity reduction that waits for holders to return slots.
	PendingReduction ident.Tokens `json:"shrink,omitempty"`
	Revoked          bool         `json:"revoked,omitempty"`
	ExpiresAt        time.Time    `json:"expires_at,omitzero"`
}

// Holder is the row of one holder.
type Holder struct {
	ID HolderID `json:"id"`
	// RowNumber is the number of the row. A report that names another number belongs to a closed row.
	RowNumber uint64       `json:"open"`
	Granted   ident.Tokens `json:"granted,omitempty"`
	Returned  ident.Tokens `json:"returned,omitempty"`
	Settled   ident.Tokens `json:"settled,omitempty"`
	In        ident.Tokens `json:"in,omitempty"`
	Out       ident.Tokens `json:"out,omitempty"`
	// UnmetNeed is the unmet part of the latest need. Seq is the number of the latest report that was merged.
	UnmetNeed   ident.Tokens   `json:"wanted,omitempty"`
	Seq         uint64         `json:"seq,omitempty"`
	JournalPeer ident.RouterID `json:"journal_peer,omitempty"`
}

// Unresolved is a number of tokens of a closed holder that are neither proved settled nor proved unspent.
type Unresolved struct {
	Holder    HolderID     `json:"holder"`
	RowNumber uint64       `json:"open"`
	Tokens    ident.Tokens `json:"tokens"`
	Reason    string       `json:"reason"`
}

// Unallotted returns the paid tokens that are not refunded, written off, unresolved, granted to open holders, or billed
// or transferred by closed ones.
func (e *Entry) Unallotted() ident.Tokens {
	n := e.Paid - e.Refunded - e.ClosedSettled - e.ClosedNetOut - e.WrittenOff - e.UnresolvedTokens()
	for i := range e.Holders {
		n -= e.Holders[i].Granted - e.Holders[i].Returned
	}
	return n
}

// UnresolvedTokens returns the sum over Unresolved.
func (e *Entry) UnresolvedTokens() ident.Tokens {
	var n ident.Tokens
	for i := range e.Unresolved {
		n += e.Unresolved[i].Tokens
	}
	return n
}

// Settled returns what open and closed holders are known to have billed.
func (e *Entry) Settled() ident.Tokens {
	n := e.ClosedSettled
	for i := range e.Holders {
		n += e.Holders[i].Settled
	}
	return n
}

// UnmetNeedExcept returns the sum of the unmet needs of all holders but one.
func (e *Entry) UnmetNeedExcept(except HolderID) ident.Tokens {
	var n ident.Tokens
	for i := range e.Holders {
		if e.Holders[i].ID != except {
			n += e.Holders[i].UnmetNeed
		}
	}
	return n
}

// equalShare returns the remaining tokens divided equally between the holders.
func (e *Entry) equalShare() ident.Tokens {
	return e.remaining() / ident.Tokens(max(1, len(e.Holders)))
}

// remaining returns the tokens that are not known to be refunded, written off, billed or unresolved.
func (e *Entry) remaining() ident.Tokens {
	return max(0, e.Paid-e.Refunded-e.WrittenOff-e.Settled()-e.UnresolvedTokens())
}

// Usable reports whether tokens of the entry may be granted and spent at the given time.
func (e *Entry) Usable(now time.Time) bool {
	return !e.Revoked && (e.ExpiresAt.IsZero() || now.Before(e.ExpiresAt))
}

// Holder returns the row of a holder, or nil.
func (e *Entry) Holder(id HolderID) *Holder {
	if i, ok := e.findHolder(id); ok {
		return &e.Holders[i]
	}
	return nil
}

func (e *Entry) findHolder(id HolderID) (int, bool) {
	return slices.BinarySearchFunc(e.Holders, id, func(h Holder, id HolderID) int { return cmp.Compare(h.ID, id) })
}

// Clone returns a copy that shares no memory with e.
func (e *Entry) Clone() Entry {
	c := *e
	c.Ops = slices.Clone(e.Ops)
	c.Holders = slices.Clone(e.Holders)
	c.Unresolved = slices.Clone(e.Unresolved)
	return c
}
