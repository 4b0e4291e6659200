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

func (api *testAPI) putBudget(ctx context.Context, expires string, revoked bool, v ident.ObjectVersion) (ident.ObjectVersion, error) {
	item, err := api.owner.Put(ctx, "budgets", "b1", budgetJSON(expires, revoked), Precondition{IfMatch: v})
	return item.Version, err
}

func problemCode(err error) string {
	var p *Problem
	if errors.As(err, &p) {
		return p.Code
	}
	return fmt.Sprint(err)
}

// TestConcurrentPuts guards against two concurrent changes that both succeed on the same version, and against the
// expiry of a rejected change in the ledger.
func TestConcurrentPuts(t *testing.T) {
	is := is.New(t)
	api := newTestAPI(t)
	v, err := api.putBudget(t.Context(), "2027-01-01T00:00:00Z", false, 0)
	is.NoErr(err)
	const operators = 8
	codes := make([]string, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			_, err := api.putBudget(t.Context(), fmt.Sprintf("2027-02-%02dT00:00:00Z", i+1), false, v)
			codes[i] = problemCode(err)
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
	l, err := api.owner.Ledger(t.Context(), "b1")
	is.NoErr(err)
	is.Equal(l.ExpiresAt, time.Date(2027, 2, winner+1, 0, 0, 0, 0, time.UTC))
}

// TestLostRaceLeavesLedger guards against a change that passes the first version check, then loses the race for the
// budget object, but still revokes the ledger entry.
func TestLostRaceLeavesLedger(t *testing.T) {
	is := is.New(t)
	api := newTestAPI(t)
	v, err := api.putBudget(t.Context(), "2027-01-01T00:00:00Z", false, 0)
	is.NoErr(err)
	api.objects.call, api.objects.kind = "put", object.KindBudget
	api.objects.hook = func() error {
		_, err := api.putBudget(t.Context(), "2027-03-01T00:00:00Z", false, v)
		return err
	}
	_, err = api.putBudget(t.Context(), "2027-02-01T00:00:00Z", true, v)
	is.Equal(problemCode(err), "stale_version")
	l, err := api.owner.Ledger(t.Context(), "b1")
	is.NoErr(err)
	is.True(!l.Revoked)
	is.Equal(l.ExpiresAt.Month(), time.March)
	is.Equal(api.auditResults(t), []string{"put done", "put done", "put refused stale_version"})
}

// TestLedgerKeepsLatestBudget guards against an earlier change of a budget that overwrites a later one in the ledger.
func TestLedgerKeepsLatestBudget(t *testing.T) {
	for _, call := range []string{"get", "put"} {
		t.Run(call, func(t *testing.T) {
			is := is.New(t)
			api := newTestAPI(t)
			v, err := api.putBudget(t.Context(), "2027-01-01T00:00:00Z", false, 0)
			is.NoErr(err)
			api.objects.call, api.objects.kind = call, object.KindLedger
			api.objects.hook = func() error {
				item, err := api.owner.Get(t.Context(), "budgets", "b1")
				is.NoErr(err)
				_, err = api.putBudget(t.Context(), "2027-03-01T00:00:00Z", false, item.Version)
				return err
			}
			_, err = api.putBudget(t.Context(), "2027-02-01T00:00:00Z", false, v)
			is.NoErr(err)
			l, err := api.owner.Ledger(t.Context(), "b1")
			is.NoErr(err)
			is.Equal(l.ExpiresAt.Month(), time.March)
		})
	}
}

// TestLostReply guards against a change that is reported wrongly or made twice when the platform's reply to one of its
// writes is lost: of the audit record, the object, the ledger entry or the result in the audit record.
func TestLostReply(t *testing.T) {
	ops := []struct {
		name string
		do   func(ctx context.Context, api *testAPI) error
	}{
		{"create budget", func(ctx context.Context, api *testAPI) error {
			_, err := api.owner.Put(ctx, "budgets", "b2", json.RawMessage(`{"format":1,"id":"b2","org":"acme","class_limits":[{"class":"x","tokens":5}]}`), Precondition{})
			return err
		}},
		{"top up", func(ctx context.Context, api *testAPI) error {
			v, err := api.owner.TopUp(ctx, "b1", "t1", Amount{Tokens: 500})
			if err == nil && v.Paid != 600 {
				err = fmt.Errorf("paid %d", v.Paid)
			}
			return err
		}},
		{"refund", func(ctx context.Context, api *testAPI) error {
			v, err := api.owner.Refund(ctx, "b1", "r1", Amount{Tokens: 30})
			if err == nil && v.Unallotted != 70 {
				err = fmt.Errorf("unallotted %d", v.Unallotted)
			}
			return err
		}},
		{"create key", func(ctx context.Context, api *testAPI) error {
			k, err := api.owner.CreateKey(ctx, "acme", CreateKeyRequest{ID: "k1", LimitTokens: 5})
			if err == nil && (k.Secret == "" || k.Pending != "") {
				err = fmt.Errorf("answer %+v", k)
			}
			return err
		}},
		{"delete", func(ctx context.Context, api *testAPI) error {
			item, err := api.owner.Get(ctx, "organisations", "acme")
			if err != nil {
				return err
			}
			return api.owner.Delete(ctx, "organisations", "acme", item.Version)
		}},
	}
	for _, op := range ops {
		for lost := range 5 {
			t.Run(fmt.Sprintf("%s/%d", op.name, lost), func(t *testing.T) {
				is := is.New(t)
				api := newTestAPI(t)
				_, err := api.putBudget(t.Context(), "2027-01-01T00:00:00Z", false, 0)
				is.NoErr(err)
				_, err = api.owner.TopUp(t.Context(), "b1", "first", Amount{Tokens: 100})
				is.NoErr(err)
				_, err = api.owner.Put(t.Context(), "organisations", "acme", json.RawMessage(`{"format":1,"id":"acme","name":"A","class":"chat"}`), Precondition{})
				is.NoErr(err)
				api.platform.SetFaults(fake.Faults{LoseReply: lost})
				is.NoErr(op.do(t.Context(), api))
				records := api.auditResults(t)
				is.True(strings.Contains(records[len(records)-1], " done"))
			})
		}
	}
}

// TestTopUpUnknownOutcome guards against a top-up with an unknown outcome that is reported as one without effect, and
// against counting it twice when it is repeated.
func TestTopUpUnknownOutcome(t *testing.T) {
	is := is.New(t)
	api := newTestAPI(t)
	_, err := api.putBudget(t.Context(), "2027-01-01T00:00:00Z", false, 0)
	is.NoErr(err)
	api.objects.call, api.objects.kind = "put", object.KindLedger
	api.objects.hook = func() error {
		_, err := api.owner.TopUp(t.Context(), "b1", "t1", Amount{Tokens: 500})
		is.NoErr(err)
		api.platform.SetFaults(fake.Faults{Outage: true})
		return &store.Error{Kind: store.ErrUnknown, Call: "put"}
	}
	_, err = api.owner.TopUp(t.Context(), "b1", "t1", Amount{Tokens: 500})
	is.Equal(problemCode(err), "outcome_unknown")
	api.platform.SetFaults(fake.Faults{})
	l, err := api.owner.TopUp(t.Context(), "b1", "t1", Amount{Tokens: 500})
	is.NoErr(err)
	is.Equal(l.Paid, ident.Tokens(500))
}

// TestPendingLedger guards against an outage that leaves the ledger entry of a stored budget outdated without an error.
func TestPendingLedger(t *testing.T) {
	is := is.New(t)
	api := newTestAPI(t)
	v, err := api.putBudget(t.Context(), "2027-01-01T00:00:00Z", false, 0)
	is.NoErr(err)
	api.objects.call, api.objects.kind = "get", object.KindLedger
	api.objects.hook = func() error { return &store.Error{Kind: store.ErrUnavailable, Call: "get"} }
	_, err = api.putBudget(t.Context(), "2027-02-01T00:00:00Z", true, v)
	is.Equal(problemCode(err), "ledger_pending")
	var p *Problem
	is.True(errors.As(err, &p))
	_, err = api.putBudget(t.Context(), "2027-02-01T00:00:00Z", true, p.Version)
	is.NoErr(err)
	l, err := api.owner.Ledger(t.Context(), "b1")
	is.NoErr(err)
	is.True(l.Revoked)
	is.Equal(api.auditResults(t), []string{"put done", "put ledger_pending", "put done"})
}

// TestNoChangeWithoutAudit guards against a change without an audit record.
func TestNoChangeWithoutAudit(t *testing.T) {
	is := is.New(t)
	api := newTestAPI(t)
	api.objects.call, api.objects.kind = "put", object.KindAudit
	api.objects.hook = func() error { return &store.Error{Kind: store.ErrUnknown, Call: "put"} }
	_, err := api.putBudget(t.Context(), "2027-01-01T00:00:00Z", false, 0)
	is.Equal(problemCode(err), "audit_unavailable")
	_, err = api.owner.Get(t.Context(), "budgets", "b1")
	is.Equal(problemCode(err), "not_found")
}

// TestUnreadableReference guards against accepting an object whose references could not be read.
func TestUnreadableReference(t *testing.T) {
	is := is.New(t)
	api := newTestAPI(t)
	api.objects.call, api.objects.kind = "get", object.KindBudget
	api.objects.hook = func() error {
		return &store.Error{Kind: store.ErrRateLimited, Call: "get", RetryAfter: 7 * time.Second}
	}
	org := json.RawMessage(`{"format":1,"id":"acme","name":"A","class":"chat","budgets":["none"]}`)
	_, err := api.owner.Put(t.Context(), "organisations", "acme", org, Precondition{})
	var p *Problem
	is.True(errors.As(err, &p))
	is.Equal(p.Code, "platform_limited")
	is.Equal(p.RetryAfter, 7*time.Second) // the Retry-After of the platform
	_, err = api.owner.Get(t.Context(), "organisations", "acme")
	is.Equal(problemCode(err), "not_found")
}
