package escrow

import (
	"context"
	"errors"
	"sync"
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
)

func fundedAccount(id EntryID, holder HolderID, n ident.Tokens, freed *Signal) *Account {
	a := NewAccount(AccountConfig{Entry: id, Holder: holder, Policy: DefaultRecall, Freed: freed})
	a.TransferIn("grant.1", n)
	return a
}

// TestConcurrentHolds guards against tokens that appear or vanish when requests, transfers, returns and
// reports run at once, and against a waiting request that misses its wake-up.
func TestConcurrentHolds(t *testing.T) {
	is := is.New(t)
	// Three of the four requests on a side fit at once. The bound on what is settled leaves each side
	// enough for one, so that no request waits forever.
	x, y := fundedAccount("b", "x.1", 300, nil), fundedAccount("b", "y.1", 300, nil)
	var wg sync.WaitGroup
	for i := range 8 {
		a, other := x, y
		if i%2 == 1 {
			a, other = y, x
		}
		wg.Go(func() {
			for range 500 {
				if a.HoldWait(t.Context(), 100) != nil {
					return
				}
				a.Settle(100, 1)
				if tr, ok := a.TransferOut(other.Holder(), 3); ok {
					other.TransferIn(tr.From, tr.Total)
				}
				if tr, ok := other.TransferOut(a.Holder(), 3); ok {
					a.TransferIn(tr.From, tr.Total)
				}
				if a.Settled()+other.Settled() >= 150 {
					return
				}
			}
		})
	}
	wg.Wait()
	is.Equal(x.Held()+y.Held(), ident.Tokens(0))
	is.Equal(x.Free()+y.Free()+x.Settled()+y.Settled(), ident.Tokens(600))
	for _, a := range []*Account{x, y} {
		r := a.Report()
		is.Equal(r.In-r.Out-r.Settled-r.Returned, a.Free())
	}
}

// TestWalletOrder guards against budgets used out of order, holds left on a limit when the budget lacks
// tokens, and a refusal that does not name what was missing.
func TestWalletOrder(t *testing.T) {
	is := is.New(t)
	freed := new(Signal)
	first, second := fundedAccount("b1", "x.1", 100, freed), fundedAccount("b2", "x.1", 100, freed)
	limit, key := fundedAccount("b1/class/chat", "x.1", 60, freed), fundedAccount("o/key/k", "x.1", 130, freed)
	w := &Wallet{
		Budgets: []WalletBudget{
			{Budget: "b1", Account: first, Classes: map[ident.Class]*Account{"chat": limit}},
			{Budget: "b2", Account: second},
		},
		Keys: map[ident.KeyID]*Account{"k": key}, Freed: freed,
	}
	r1, ok := w.Hold("k", "chat", 50)
	is.True(ok && r1.Budget == "b1")
	r2, ok := w.Hold("k", "chat", 50) // above the class limit of the first budget
	is.True(ok && r2.Budget == "b2")
	_, ok = w.Hold("k", "chat", 50) // above the limit of the key
	is.True(!ok)
	is.Equal(first.Held()+limit.Held(), ident.Tokens(100))

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := w.HoldWait(ctx, "k", "plan", 50)
	var refusal *Refusal
	is.True(errors.As(err, &refusal) && errors.Is(err, context.Canceled))
	is.Equal(refusal.Entry, EntryID("o/key/k"))
	is.Equal(refusal.Free, ident.Tokens(30))

	done := make(chan error, 1)
	short := key.cfg.WaitStarted.Wait()
	go func() {
		_, err := w.HoldWait(t.Context(), "k", "plan", 50)
		done <- err
	}()
	<-short
	over, ok := r1.Settle(70)
	is.True(ok && over == 20)
	is.True(r2.Release())
	is.NoErr(<-done)
	is.Equal(key.Settled(), ident.Tokens(50))
	is.Equal(key.Held(), ident.Tokens(50))
}

func BenchmarkHoldSettle(b *testing.B) {
	a := fundedAccount("b", "x.1", 1<<40, nil)
	b.ReportAllocs()
	for b.Loop() {
		a.Hold(100)
		a.Settle(100, 1)
	}
}

func BenchmarkHoldSettleParallel(b *testing.B) {
	a := fundedAccount("b", "x.1", 1<<40, nil)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			a.Hold(100)
			a.Settle(100, 1)
		}
	})
}

func BenchmarkWalletHold(b *testing.B) {
	freed := new(Signal)
	w := &Wallet{
		Budgets: []WalletBudget{
			{Budget: "b1", Account: fundedAccount("b1", "x.1", 1, freed)},
			{Budget: "b2", Account: fundedAccount("b2", "x.1", 1<<40, freed)},
		},
		Keys: map[ident.KeyID]*Account{"k": fundedAccount("k", "x.1", 1<<40, freed)}, Freed: freed,
	}
	b.ReportAllocs()
	for b.Loop() {
		r, _ := w.Hold("k", "chat", 100)
		r.Settle(1)
	}
}
