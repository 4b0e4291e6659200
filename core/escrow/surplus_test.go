package escrow_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
)

// accountWithGrant returns an account on an entry of the given size with the given grant.
func accountWithGrant(paid, granted int64, now time.Time) *escrow.Account {
	a := escrow.NewAccount(escrow.AccountConfig{Entry: "b", Holder: "r.1", Policy: escrow.DefaultRecall})
	e := escrow.Entry{ID: "b", RowsOpened: 2, Holders: []escrow.Holder{{ID: "r.1", RowNumber: 1, Seq: 1}, {ID: "s.1", RowNumber: 2, Seq: 1}}}
	_, _ = e.ApplyOp(escrow.Op{ID: "paid", Kind: escrow.OpTopUp, Tokens: ident.Tokens(paid)})
	e.Holders[0].Granted = ident.Tokens(granted)
	a.ApplyEntry(1, &e, now)
	return a
}

// TestRequestAboveRemaining guards against a request for more than an entry has left that collects the tokens of other
// holders and counts as demand.
func TestRequestAboveRemaining(t *testing.T) {
	is := is.New(t)
	a := accountWithGrant(100000, 4096, time.Unix(1000, 0))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(a.HoldWait(ctx, 100001) != nil)
	_, asks := a.Ask()
	is.True(!asks)
	is.Equal(a.Report().Need, ident.Tokens(0))
	a.Tick(time.Unix(1000, 0))
	a.Tick(time.Unix(1010, 0))
	is.Equal(a.Demand().TokensPerSecond, 0.0)
}

// TestSurplusReturns guards against a holder that keeps tokens that it collected for one request and no longer needs,
// and against tokens that are returned as soon as a burst ends.
func TestSurplusReturns(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a := accountWithGrant(100000, 100000, now)
	a.Tick(now)
	is.Equal(a.Rebalance(), ident.Tokens(0)) // the surplus has not lasted long enough
	a.Tick(now.Add(11 * time.Second))
	back := a.Rebalance()
	is.True(back >= 50000 && back < 100000) // the rest covers its share of the entry
	is.Equal(a.Free(), 100000-back)
}

// TestReturnedTokensReachOthers guards against a holder that returns tokens for another one's need and then takes them
// back again and again, so that the other one's need is never met and the counters never come to rest.
func TestReturnedTokensReachOthers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a := accountWithGrant(16000, 8000, now)
	e := escrow.Entry{ID: "b", RowsOpened: 2, Holders: []escrow.Holder{
		{ID: "r.1", RowNumber: 1, Seq: 1, Granted: 8000},
		{ID: "s.1", RowNumber: 2, Seq: 1, Granted: 8000, UnmetNeed: 7614},
	}}
	_, _ = e.ApplyOp(escrow.Op{ID: "paid", Kind: escrow.OpTopUp, Tokens: 16000})
	a.ApplyEntry(2, &e, now)
	back := a.Rebalance()
	is.True(back > 0) // the other holder lacks tokens
	e.Holders[0].Returned = back
	a.ApplyEntry(3, &e, now)
	is.Equal(a.Report().Want, ident.Tokens(0))
	e.Holders[1].UnmetNeed = 0
	a.ApplyEntry(4, &e, now)
	is.True(a.Report().Want > 0) // the need is met, so that the rest is free to be taken
}
