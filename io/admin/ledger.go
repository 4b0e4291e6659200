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

// maxUpdateAttempts limits the conditional updates of one change. An attempt fails if another writer updates the same
// object between the read and the write.
const maxUpdateAttempts = 16

// entryChange modifies a ledger entry and reports whether the entry changed.
type entryChange func(e *escrow.Entry) (bool, error)

// changeEntry applies a change to a ledger entry by conditional updates. After a lost reply it reads the entry and
// applies the change again, which has no effect if the change is already stored.
func (s *Server) changeEntry(ctx context.Context, id escrow.EntryID, apply entryChange) (escrow.Entry, error) {
	uncertain := false
	for range maxUpdateAttempts {
		e, err := s.tryChangeEntry(ctx, id, apply)
		var refused *Problem
		switch {
		case err == nil:
			return e, nil
		case errors.Is(err, store.ErrUnknown):
			// The next attempt reads the shard again and finds out whether it contains the change.
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
	return escrow.Entry{}, newProblem(http.StatusServiceUnavailable, "contended", "the ledger shard changes too fast; retry")
}

// tryChangeEntry makes one attempt. It reads the shard before apply reads anything else, so that the conditional update
// fails if another change was stored after that.
func (s *Server) tryChangeEntry(ctx context.Context, id escrow.EntryID, apply entryChange) (escrow.Entry, error) {
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

// readShard returns a ledger shard and its version, or an empty shard with version zero if it does not exist.
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
	// Note is copied to the audit record.
	Note string `json:"note,omitempty"`
}

// Resolution is the body of a request that releases unresolved tokens to the budget or writes them off.
type Resolution struct {
	Tokens   ident.Tokens `json:"tokens"`
	Decision Decision     `json:"decision"`
	// Note is copied to the audit record.
	Note string `json:"note,omitempty"`
}

// Decision selects what happens to unresolved tokens.
type Decision string

// The values of Decision.
const (
	DecisionRelease  Decision = "release"
	DecisionWriteOff Decision = "write_off"
)

// decisionOps maps decisions to ledger operations.
var decisionOps = map[Decision]escrow.OpKind{DecisionRelease: escrow.OpRelease, DecisionWriteOff: escrow.OpWriteOff}

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
	// Holders are the routers that hold tokens of the budget.
	Holders []escrow.Holder `json:"holders"`
	// UnresolvedItems are the tokens of closed holders that need a decision by an operator.
	UnresolvedItems []escrow.Unresolved `json:"rest"`
}

func newLedgerView(id ident.BudgetID, e *escrow.Entry) LedgerView {
	return LedgerView{
		Budget: id, Paid: e.Paid, Refunded: e.Refunded, Billed: e.Settled(), Unallotted: e.Unallotted(),
		Unresolved: e.UnresolvedTokens(), WrittenOff: e.WrittenOff, Revoked: e.Revoked, ExpiresAt: e.ExpiresAt,
		Holders: append([]escrow.Holder{}, e.Holders...), UnresolvedItems: append([]escrow.Unresolved{}, e.Unresolved...),
	}
}

func (s *Server) getLedger(ctx context.Context, req *request) error {
	id := ident.BudgetID(req.r.PathValue("id"))
	entry := escrow.BudgetEntryID(id)
	shard, _, err := s.readShard(ctx, escrow.LedgerKey(entry))
	if err != nil {
		return err
	}
	e := shard.Entry(entry)
	if e == nil {
		return newProblem(http.StatusNotFound, "not_found", "the budget has no ledger entry")
	}
	writeJSON(req.w, http.StatusOK, newLedgerView(id, e))
	return nil
}

func (s *Server) topUp(ctx context.Context, req *request) error {
	return s.applyAmount(ctx, req, escrow.OpTopUp)
}

func (s *Server) refund(ctx context.Context, req *request) error {
	return s.applyAmount(ctx, req, escrow.OpRefund)
}

// applyAmount serves a top-up or a refund.
func (s *Server) applyAmount(ctx context.Context, req *request, kind escrow.OpKind) error {
	var amount Amount
	faults, err := decodeStrict(req.body, &amount)
	if err != nil {
		return err
	}
	return s.applyOp(ctx, req, kind, amount, faults)
}

func (s *Server) resolveUnresolved(ctx context.Context, req *request) error {
	var r Resolution
	faults, err := decodeStrict(req.body, &r)
	if err != nil {
		return err
	}
	kind, ok := decisionOps[r.Decision]
	if !ok {
		faults = mergeFaults(faults, object.Faults{{Path: "decision", Message: `must be "release" or "write_off"`}})
	}
	return s.applyOp(ctx, req, kind, Amount{Tokens: r.Tokens, Note: r.Note}, faults)
}

// maxNoteBytes limits the length of a note.
const maxNoteBytes = 200

func (a Amount) validate(opID string) object.Faults {
	var faults object.Faults
	if a.Tokens < 1 || a.Tokens > object.MaxTokens {
		faults = append(faults, object.Fault{Path: "tokens", Message: "must be positive and at most 2^50"})
	}
	if len(a.Note) > maxNoteBytes {
		faults = append(faults, object.Fault{Path: "note", Message: "must have at most " + strconv.Itoa(maxNoteBytes) + " bytes"})
	}
	if !object.ValidID(opID) {
		faults = append(faults, object.Fault{Path: "Idempotency-Key", Message: "is required, with 1 to 64 letters, digits, '.', '_' or '-'"})
	}
	return faults
}

// applyOp applies an operation to the ledger entry of a budget. The idempotency key is the ID of the operation, so that
// a repeated request has no second effect.
func (s *Server) applyOp(ctx context.Context, req *request, kind escrow.OpKind, amount Amount, faults object.Faults) error {
	opID := req.r.Header.Get("Idempotency-Key")
	if faults = mergeFaults(faults, amount.validate(opID)); len(faults) > 0 {
		return invalidFields(faults)
	}
	id := ident.BudgetID(req.r.PathValue("id"))
	key := object.Key{Kind: object.KindBudget, Name: string(id)}
	if _, err := s.objects.Get(ctx, key); err != nil {
		return err
	}
	action := auditAction{name: string(kind), key: key, detail: fmt.Sprintf("%d tokens, operation %s", amount.Tokens, opID)}
	if amount.Note != "" {
		action.detail += ", " + amount.Note
	}
	op := escrow.Op{ID: opID, Kind: kind, Tokens: amount.Tokens}
	if s.alreadyApplied(ctx, escrow.BudgetEntryID(id), op) {
		action.detail += ", applied before"
	}
	var e escrow.Entry
	err := s.withAudit(ctx, req, action, func(ctx context.Context) (err error) {
		e, err = s.changeEntry(ctx, escrow.BudgetEntryID(id), func(e *escrow.Entry) (bool, error) { return e.ApplyOp(op) })
		return err
	})
	if err != nil {
		return err
	}
	writeJSON(req.w, http.StatusOK, newLedgerView(id, &e))
	return nil
}

// alreadyApplied reports whether an entry is known to contain an operation. The audit record of a repeated request says
// so, so that readers who add up the tokens in audit records do not count them twice.
func (s *Server) alreadyApplied(ctx context.Context, id escrow.EntryID, op escrow.Op) bool {
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
