package admin

import (
	"context"
	"errors"
	"net/http"
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
	key := escrow.LedgerKey(id)
	for range maxAttempts {
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
		if err == nil {
			return e, nil
		}
		// After an unknown effect the loop reads the shard again and finds the change in it or not.
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
			return escrow.Entry{}, err
		}
	}
	return escrow.Entry{}, problem(http.StatusServiceUnavailable, "contended", "the ledger shard changes too fast; retry")
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

// ledgerProblem turns a refusal of the ledger into a problem.
func ledgerProblem(err error) error {
	return problem(http.StatusConflict, "ledger_refused", "%s", err)
}

// setLimit raises the entry of a limit to n tokens. Limits are not lowered below what is spent.
func (s *Server) setLimit(ctx context.Context, id escrow.EntryID, n ident.Tokens) error {
	_, err := s.changeEntry(ctx, id, func(e *escrow.Entry) (bool, error) { return e.SetCapacity(n) })
	return err
}

// Amount is the body of a top-up, a refund or a decision on unresolved tokens.
type Amount struct {
	Tokens ident.Tokens `json:"tokens"`
	Note   string       `json:"note,omitempty"`
	// Decision is "release" or "write_off", for unresolved tokens only.
	Decision string `json:"decision,omitempty"`
}

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
	Holders []escrow.Holder     `json:"holders"`
	Rest    []escrow.Unresolved `json:"rest"`
}

func viewOf(id ident.BudgetID, e *escrow.Entry) LedgerView {
	return LedgerView{
		Budget: id, Paid: e.Paid, Refunded: e.Refunded, Billed: e.Settled(), Unallotted: e.Unallotted(),
		Unresolved: e.UnresolvedTokens(), WrittenOff: e.WrittenOff, Revoked: e.Revoked, ExpiresAt: e.ExpiresAt,
		Holders: append([]escrow.Holder{}, e.Holders...), Rest: append([]escrow.Unresolved{}, e.Unresolved...),
	}
}

func (s *Server) ledger(ctx context.Context, q *request) error {
	id := ident.BudgetID(q.r.PathValue("id"))
	entry := escrow.BudgetEntry(id)
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
	return s.operate(ctx, q, escrow.OpTopUp)
}

func (s *Server) refund(ctx context.Context, q *request) error {
	return s.operate(ctx, q, escrow.OpRefund)
}

// decisions are the operations on unresolved tokens.
var decisions = map[string]escrow.OpKind{"release": escrow.OpRelease, "write_off": escrow.OpWriteOff}

func (s *Server) resolve(ctx context.Context, q *request) error {
	var a Amount
	if err := decodeStrict(q.body, &a); err != nil {
		return err
	}
	kind, ok := decisions[a.Decision]
	if !ok {
		return invalid(object.Faults{{Path: "decision", Message: `must be "release" or "write_off"`}})
	}
	return s.operate(ctx, q, kind)
}

// operate applies an operation with the idempotency key as its identity, so that a repeated request has no second effect.
func (s *Server) operate(ctx context.Context, q *request, kind escrow.OpKind) error {
	var a Amount
	if err := decodeStrict(q.body, &a); err != nil {
		return err
	}
	opID := q.r.Header.Get("Idempotency-Key")
	var faults object.Faults
	if a.Tokens < 1 || a.Tokens > object.MaxTokens {
		faults = append(faults, object.Fault{Path: "tokens", Message: "must be positive and at most 2^50"})
	}
	if !object.ValidID(opID) {
		faults = append(faults, object.Fault{Path: "Idempotency-Key", Message: "is required, with 1 to 64 letters, digits, '.', '_' or '-'"})
	}
	if len(faults) > 0 {
		return invalid(faults)
	}
	id := ident.BudgetID(q.r.PathValue("id"))
	key := object.Key{Kind: object.KindBudget, Name: string(id)}
	if _, err := s.objects.Get(ctx, key); err != nil {
		return err
	}
	var e escrow.Entry
	err := s.audited(ctx, q, string(kind), key, func() (err error) {
		e, err = s.changeEntry(ctx, escrow.BudgetEntry(id), func(e *escrow.Entry) (bool, error) {
			return e.Do(escrow.Op{ID: opID, Kind: kind, Tokens: a.Tokens})
		})
		return err
	})
	if err != nil {
		return err
	}
	writeJSON(q.w, http.StatusOK, viewOf(id, &e))
	return nil
}
