package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	fake "geraniumsaddle/io/fakes/store"
	"geraniumsaddle/io/store"
)

func budgetJSON(expires string, revoked bool) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"format":1,"id":"b1","org":"acme","expires_at":%q,"revoked":%t}`, expires, revoked))
}

func (b *bench) putBudget(ctx context.Context, expires string, revoked bool, v ident.ObjectVersion) (ident.ObjectVersion, error) {
	item, err := b.owner.Put(ctx, "budgets", "b1", budgetJSON(expires, revoked), Precondition{IfMatch: v})
	return item.Version, err
}

func code(err error) string {
	var p *Problem
	if errors.As(err, &p) {
		return p.Code
	}
	return fmt.Sprint(err)
}

// TestRace guards against two operators who both succeed on one version, and against a loser's expiry in the ledger.
func TestRace(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	v, err := b.putBudget(t.Context(), "2027-01-01T00:00:00Z", false, 0)
	is.NoErr(err)
	const operators = 8
	codes := make([]string, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			_, err := b.putBudget(t.Context(), fmt.Sprintf("2027-02-%02dT00:00:00Z", i+1), false, v)
			codes[i] = code(err)
		})
	}
	wg.Wait()
	winner := -1
	for i, c := range codes {
		if c == "<nil>" {
			is.Equal(winner, -1) // one success only
			winner = i
			continue
		}
		is.Equal(c, "stale_version")
	}
	is.True(winner >= 0)
	l, err := b.owner.Ledger(t.Context(), "b1")
	is.NoErr(err)
	is.Equal(l.ExpiresAt, time.Date(2027, 2, winner+1, 0, 0, 0, 0, time.UTC))
}

// TestLoserLeavesLedger guards against a change that passes the first check of its version, loses the race for the
// budget object, and still revokes the ledger entry.
func TestLoserLeavesLedger(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	v, err := b.putBudget(t.Context(), "2027-01-01T00:00:00Z", false, 0)
	is.NoErr(err)
	b.objects.call, b.objects.kind = "put", object.KindBudget
	b.objects.fn = func() error {
		_, err := b.putBudget(t.Context(), "2027-03-01T00:00:00Z", false, v)
		return err
	}
	_, err = b.putBudget(t.Context(), "2027-02-01T00:00:00Z", true, v)
	is.Equal(code(err), "stale_version")
	l, err := b.owner.Ledger(t.Context(), "b1")
	is.NoErr(err)
	is.True(!l.Revoked)
	is.Equal(l.ExpiresAt.Month(), time.March)
	is.Equal(b.audits(t), []string{"put done", "put done", "put refused stale_version"})
}

// TestLedgerFollowsLatest guards against an earlier change of a budget that reaches the ledger after a later one.
func TestLedgerFollowsLatest(t *testing.T) {
	for _, call := range []string{"get", "put"} {
		t.Run(call, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			v, err := b.putBudget(t.Context(), "2027-01-01T00:00:00Z", false, 0)
			is.NoErr(err)
			b.objects.call, b.objects.kind = call, object.KindLedger
			b.objects.fn = func() error {
				item, err := b.owner.Get(t.Context(), "budgets", "b1")
				is.NoErr(err)
				_, err = b.putBudget(t.Context(), "2027-03-01T00:00:00Z", false, item.Version)
				return err
			}
			_, err = b.putBudget(t.Context(), "2027-02-01T00:00:00Z", false, v)
			is.NoErr(err)
			l, err := b.owner.Ledger(t.Context(), "b1")
			is.NoErr(err)
			is.Equal(l.ExpiresAt.Month(), time.March)
		})
	}
}

// TestLostReply guards against a change that is reported wrongly or made twice when the platform's reply to one of its
// writes is lost: the audit record, the object, the ledger or the result.
func TestLostReply(t *testing.T) {
	ops := []struct {
		name string
		do   func(ctx context.Context, b *bench) error
	}{
		{"create budget", func(ctx context.Context, b *bench) error {
			_, err := b.owner.Put(ctx, "budgets", "b2", json.RawMessage(`{"format":1,"id":"b2","org":"acme","class_limits":[{"class":"x","tokens":5}]}`), Precondition{})
			return err
		}},
		{"top up", func(ctx context.Context, b *bench) error {
			v, err := b.owner.TopUp(ctx, "b1", "t1", Amount{Tokens: 500})
			if err == nil && v.Paid != 600 {
				err = fmt.Errorf("paid %d", v.Paid)
			}
			return err
		}},
		{"refund", func(ctx context.Context, b *bench) error {
			v, err := b.owner.Refund(ctx, "b1", "r1", Amount{Tokens: 30})
			if err == nil && v.Unallotted != 70 {
				err = fmt.Errorf("unallotted %d", v.Unallotted)
			}
			return err
		}},
		{"create key", func(ctx context.Context, b *bench) error {
			k, err := b.owner.CreateKey(ctx, "acme", CreateKeyRequest{ID: "k1", LimitTokens: 5})
			if err == nil && (k.Secret == "" || k.Pending != "") {
				err = fmt.Errorf("answer %+v", k)
			}
			return err
		}},
		{"delete", func(ctx context.Context, b *bench) error {
			item, err := b.owner.Get(ctx, "organisations", "acme")
			if err != nil {
				return err
			}
			return b.owner.Delete(ctx, "organisations", "acme", item.Version)
		}},
	}
	for _, op := range ops {
		for lost := range 5 {
			t.Run(fmt.Sprintf("%s/%d", op.name, lost), func(t *testing.T) {
				is := is.New(t)
				b := newBench(t)
				_, err := b.putBudget(t.Context(), "2027-01-01T00:00:00Z", false, 0)
				is.NoErr(err)
				_, err = b.owner.TopUp(t.Context(), "b1", "first", Amount{Tokens: 100})
				is.NoErr(err)
				_, err = b.owner.Put(t.Context(), "organisations", "acme", json.RawMessage(`{"format":1,"id":"acme","name":"A","class":"chat"}`), Precondition{})
				is.NoErr(err)
				b.platform.SetFaults(fake.Faults{LoseReply: lost})
				is.NoErr(op.do(t.Context(), b))
				records := b.audits(t)
				is.True(strings.Contains(records[len(records)-1], " done"))
			})
		}
	}
}

// TestUnknownTopUp guards against a top-up whose effect is unknown and that is reported as one without effect, and
// against a second effect of its repetition.
func TestUnknownTopUp(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	_, err := b.putBudget(t.Context(), "2027-01-01T00:00:00Z", false, 0)
	is.NoErr(err)
	b.objects.call, b.objects.kind = "put", object.KindLedger
	b.objects.fn = func() error {
		_, err := b.owner.TopUp(t.Context(), "b1", "t1", Amount{Tokens: 500})
		is.NoErr(err)
		b.platform.SetFaults(fake.Faults{Outage: true})
		return &store.Error{Kind: store.ErrUnknown, Call: "put"}
	}
	_, err = b.owner.TopUp(t.Context(), "b1", "t1", Amount{Tokens: 500})
	is.Equal(code(err), "outcome_unknown")
	b.platform.SetFaults(fake.Faults{})
	l, err := b.owner.TopUp(t.Context(), "b1", "t1", Amount{Tokens: 500})
	is.NoErr(err)
	is.Equal(l.Paid, ident.Tokens(500))
}

// TestPendingLedger guards against a stored budget whose ledger entry stays behind without notice after an outage.
func TestPendingLedger(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	v, err := b.putBudget(t.Context(), "2027-01-01T00:00:00Z", false, 0)
	is.NoErr(err)
	b.objects.call, b.objects.kind = "get", object.KindLedger
	b.objects.fn = func() error { return &store.Error{Kind: store.ErrUnavailable, Call: "get"} }
	_, err = b.putBudget(t.Context(), "2027-02-01T00:00:00Z", true, v)
	is.Equal(code(err), "ledger_pending")
	var p *Problem
	is.True(errors.As(err, &p))
	_, err = b.putBudget(t.Context(), "2027-02-01T00:00:00Z", true, p.Version)
	is.NoErr(err)
	l, err := b.owner.Ledger(t.Context(), "b1")
	is.NoErr(err)
	is.True(l.Revoked)
	is.Equal(b.audits(t), []string{"put done", "put ledger_pending", "put done"})
}

// TestNoChangeWithoutAudit guards against a change that no record names.
func TestNoChangeWithoutAudit(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.objects.call, b.objects.kind = "put", object.KindAudit
	b.objects.fn = func() error { return &store.Error{Kind: store.ErrUnknown, Call: "put"} }
	_, err := b.putBudget(t.Context(), "2027-01-01T00:00:00Z", false, 0)
	is.Equal(code(err), "audit_unavailable")
	_, err = b.owner.Get(t.Context(), "budgets", "b1")
	is.Equal(code(err), "not_found")
}

// TestUncheckedReference guards against an object that is accepted because its references could not be read.
func TestUncheckedReference(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.objects.call, b.objects.kind = "get", object.KindBudget
	b.objects.fn = func() error { return &store.Error{Kind: store.ErrLimited, Call: "get", RetryAfter: 7 * time.Second} }
	org := json.RawMessage(`{"format":1,"id":"acme","name":"A","class":"chat","budgets":["none"]}`)
	_, err := b.owner.Put(t.Context(), "organisations", "acme", org, Precondition{})
	var p *Problem
	is.True(errors.As(err, &p))
	is.Equal(p.Code, "platform_limited")
	is.Equal(p.RetryAfter, 7*time.Second) // the platform's own wait
	_, err = b.owner.Get(t.Context(), "organisations", "acme")
	is.Equal(code(err), "not_found")
}
