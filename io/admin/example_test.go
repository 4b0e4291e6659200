package admin_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"time"

	"github.com/jonboulle/clockwork"

	"geraniumsaddle/core/bill"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/admin"
	fake "geraniumsaddle/io/fakes/store"
	"geraniumsaddle/io/store"
)

// fleet has one operator, an owner with the token "secret".
type fleet struct{}

func (fleet) Operator(hash string) (object.Operator, bool) {
	return object.Operator{ID: "first", Role: object.RoleOwner}, hash == admin.HashSecret("secret")
}
func (fleet) Status(context.Context) admin.Status                        { return admin.Status{} }
func (fleet) CheckRelease(context.Context, object.Release) object.Faults { return nil }

func (fleet) Statement(_ context.Context, org ident.OrgID, at time.Time) (bill.Statement, error) {
	return bill.NewMonthRollup(org, at).Statement(), nil
}

func ExampleClient() {
	clock := clockwork.NewRealClock()
	platform := httptest.NewServer(fake.New(fake.Config{}, clock))
	defer platform.Close()
	objects, err := store.New(store.Config{URL: platform.URL}, clock)
	if err != nil {
		panic(err)
	}
	srv := httptest.NewServer(admin.New(objects, fleet{}, clock, slog.New(slog.DiscardHandler)))
	defer srv.Close()
	c, err := admin.NewClient(admin.ClientConfig{URL: srv.URL, Token: "secret"})
	if err != nil {
		panic(err)
	}
	ctx := context.Background()
	budget := []byte(`{"format":1,"id":"grant-2026","org":"shelter"}`)
	_, err = c.Put(ctx, "budgets", "grant-2026", budget, admin.Precondition{})
	fmt.Println(err)
	for range 2 { // The second call has no further effect.
		v, err := c.TopUp(ctx, "grant-2026", "invoice-7", admin.Amount{Tokens: 1000})
		fmt.Println(v.Paid, err)
	}
	_, err = c.Put(ctx, "budgets", "grant-2026", budget, admin.Precondition{IfMatch: 1})
	fmt.Println(err)
	// Output:
	// <nil>
	// 1000 <nil>
	// 1000 <nil>
	// stale_version: the object has version 2
}
