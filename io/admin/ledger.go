package admin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/store"
)

// maxAttempts bounds the conditional updates of one change; a writer of the fleet may win in between.
const maxAttempts = 16

// change modifies an entry and reports whether it did.
type change func(e *escrow.Entry) (bool, error)

// changeEntry applies a change to a ledger entry by conditional updates. A lost reply is resolved by
// reading the entry back, because a change that is applied already changes nothing.
func (s *Server) changeEntry(ctx context.Context, id escrow.EntryID, apply change) (escrow.Entry, error) {
	uncertain := false
	for range maxAttempts {
		e, err := s.tryChange(ctx, id, apply)
		var refused *Problem
		switch {
		case err == nil:
			return e, nil
		case errors.Is(err, store.ErrUnknown):
			// The next attempt reads the shard again and finds the change in it or not.
			uncertain = true
		case errors.Is(err, store.ErrConflict):
		case uncertain && !errors.As(err, &refused):
			return escrow.Entry{}, unknownOutcome()
		default:
			return escrow.Entry{}, err
		}
	}
	if uncertain {
		return escrow.Entry{}, unknownOutcome()
	}
	return escrow.Entry{}, problem(http.StatusServiceUnavailable, "contended", "the ledger shard changes too fast; retry")
}

// tryChange makes one attempt. The change sees the entry before anything else that it reads, so that the conditional
// update fails if a later change was applied in between.
func (s *Server) tryChange(ctx context.Context, id escrow.EntryID, apply change) (escrow.Entry, error) {
	key := escrow.LedgerKey(id)
	shard, version, err := s.readShard(ctx, key)
	if err != nil {
		return escrow.Entry{}, err
	}
	e := escrow.Entry{ID: id}
	known := shard.Entry(id)
	if known != nil {
		e = known.Clone()
	}
	changed, err := apply(&e)
	if err != nil {
		return escrow.Entry{}, ledgerProblem(err)
	}
	if !changed && known != nil {
		return e, nil
	}
	raw, err := shard.With(e).Encode()
	if err != nil {
		return escrow.Entry{}, err
	}
	_, err = s.objects.PutResolved(ctx, key, raw, store.Match(version))
	return e, err
}

func (s *Server) readShard(ctx context.Context, key object.Key) (escrow.Shard, ident.ObjectVersion, error) {
	o, err := s.objects.Get(ctx, key)
	if errors.Is(err, store.ErrAbsent) {
		return escrow.NewShard(), 0, nil
	}
	if err != nil {
		return escrow.Shard{}, 0, err
	}
	shard, err := escrow.Decode(o.Value)
	return shard, o.Version, err
}

// Amount is the body of a top-up or a refund.
type Amount struct {
	Tokens ident.Tokens `json:"tokens"`
	// Note is kept in the audit record.
	Note string `json:"note,omitempty"`
}

// Resolution is the body of a decision on unresolved tokens: to release them to the budget or to write them off.
type Resolution struct {
	Tokens   ident.Tokens `json:"tokens"`
	Decision Decision     `json:"decision"`
	// Note is kept in the audit record.
	Note string `json:"note,omitempty"`
}

// Decision is what becomes of unresolved tokens.
type Decision string

// The decisions on unresolved tokens.
const (
	DecisionRelease  Decision = "release"
	DecisionWriteOff Decision = "write_off"
)

// decisions are the ledger operations of the decisions.
var decisions = map[Decision]escrow.OpKind{DecisionRelease: escrow.OpRelease, DecisionWriteOff: escrow.OpWriteOff}

// LedgerView is the state of a budget's ledger entry, in tokens.
type LedgerView struct {
	Budget     ident.BudgetID `json:"budget"`
	Paid       ident.Tokens   `json:"paid_tokens"`
	Refunded   ident.Tokens   `json:"refunded_tokens"`
	Billed     ident.Tokens   `json:"billed_tokens"`
	Unallotted ident.Tokens   `json:"unallotted_tokens"`
	Unresolved ident.Tokens   `json:"unresolved_tokens"`
	WrittenOff ident.Tokens   `json:"written_off_tokens"`
	Revoked    bool           `json:"revoked"`
	ExpiresAt  time.Time      `json:"expires_at,omitzero"`
	// Holders are the routers that hold a part, Rest are amounts of closed holders that wait for a decision.
	Holders         []escrow.Holder     `json:"holders"`
	UnresolvedItems []escrow.Unresolved `json:"rest"`
}

func viewOf(id ident.BudgetID, e *escrow.Entry) LedgerView {
	return LedgerView{
		Budget: id, Paid: e.Paid, Refunded: e.Refunded, Billed: e.Settled(), Unallotted: e.Unallotted(),
		Unresolved: e.UnresolvedTokens(), WrittenOff: e.WrittenOff, Revoked: e.Revoked, ExpiresAt: e.ExpiresAt,
		Holders: append([]escrow.Holder{}, e.Holders...), UnresolvedItems: append([]escrow.Unresolved{}, e.Unresolved...),
	}
}

func (s *Server) ledger(ctx context.Context, q *request) error {
	id := ident.BudgetID(q.r.PathValue("id"))
	entry := escrow.BudgetEntryID(id)
	shard, _, err := s.readShard(ctx, escrow.LedgerKey(entry))
	if err != nil {
		return err
	}
	e := shard.Entry(entry)
	if e == nil {
		return problem(http.StatusNotFound, "not_found", "the budget has no ledger entry")
	}
	writeJSON(q.w, http.StatusOK, viewOf(id, e))
	return nil
}

func (s *Server) topUp(ctx context.Context, q *request) error {
	return s.move(ctx, q, escrow.OpTopUp)
}

func (s *Server) refund(ctx context.Context, q *request) error {
	return s.move(ctx, q, escrow.OpRefund)
}

func (s *Server) move(ctx context.Context, q *request, kind escrow.OpKind) error {
	var a Amount
	faults, err := decodeStrict(q.body, &a)
	if err != nil {
		return err
	}
	return s.operate(ctx, q, kind, a, faults)
}

func (s *Server) resolve(ctx context.Context, q *request) error {
	var r Resolution
	faults, err := decodeStrict(q.body, &r)
	if err != nil {
		return err
	}
	kind, ok := decisions[r.Decision]
	if !ok {
		faults = join(faults, object.Faults{{Path: "decision", Message: `must be "release" or "write_off"`}})
	}
	return s.operate(ctx, q, kind, Amount{Tokens: r.Tokens, Note: r.Note}, faults)
}

// maxNote bounds a note in bytes.
const maxNote = 200

func (a Amount) validate(opID string) object.Faults {
	var f object.Faults
	if a.Tokens < 1 || a.Tokens > object.MaxTokens {
		f = append(f, object.Fault{Path: "tokens", Message: "must be positive and at most 2^50"})
	}
	if len(a.Note) > maxNote {
		f = append(f, object.Fault{Path: "note", Message: "must have at most " + strconv.Itoa(maxNote) + " bytes"})
	}
	if !object.ValidID(opID) {
		f = append(f, object.Fault{Path: "Idempotency-Key", Message: "is required, with 1 to 64 letters, digits, '.', '_' or '-'"})
	}
	return f
}

// operate applies an operation with the idempotency key as its identity, so that a repeated request has no second effect.
func (s *Server) operate(ctx context.Context, q *request, kind escrow.OpKind, a Amount, faults object.Faults) error {
	opID := q.r.Header.Get("Idempotency-Key")
	if faults = join(faults, a.validate(opID)); len(faults) > 0 {
		return invalid(faults)
	}
	id := ident.BudgetID(q.r.PathValue("id"))
	key := object.Key{Kind: object.KindBudget, Name: string(id)}
	if _, err := s.objects.Get(ctx, key); err != nil {
		return err
	}
	what := act{name: string(kind), key: key, detail: fmt.Sprintf("%d tokens, operation %s", a.Tokens, opID)}
	if a.Note != "" {
		what.detail += ", " + a.Note
	}
	op := escrow.Op{ID: opID, Kind: kind, Tokens: a.Tokens}
	if s.applied(ctx, escrow.BudgetEntryID(id), op) {
		what.detail += ", applied before"
	}
	var e escrow.Entry
	err := s.audited(ctx, q, what, func(ctx context.Context) (err error) {
		e, err = s.changeEntry(ctx, escrow.BudgetEntryID(id), func(e *escrow.Entry) (bool, error) { return e.ApplyOp(op) })
		return err
	})
	if err != nil {
		return err
	}
	writeJSON(q.w, http.StatusOK, viewOf(id, &e))
	return nil
}

// applied reports whether an operation is known to be in an entry already. The audit record of a repeated request says
// so, because the tokens of the records are summed by readers.
func (s *Server) applied(ctx context.Context, id escrow.EntryID, op escrow.Op) bool {
	shard, _, err := s.readShard(ctx, escrow.LedgerKey(id))
	if err != nil {
		return false
	}
	known := shard.Entry(id)
	if known == nil {
		return false
	}
	e := known.Clone()
	changed, err := e.ApplyOp(op)
	return err == nil && !changed
}
