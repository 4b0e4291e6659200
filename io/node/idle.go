package node

import (
	"context"
	"time"

	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

const (
	// idleAfter is the time without use after which an account is closed, when a router does not hold all budgets.
	// About 30 rows for each budget fit a shard of 1 MB at 18,000 budgets, and a fleet has more routers than that.
	idleAfter = 10 * time.Minute
	idleEvery = 10 * time.Second
)

// idleAccounts closes accounts that no request uses. It belongs to the control goroutine.
type idleAccounts struct {
	n    *Node
	at   time.Time
	used map[escrow.EntryID]usedRow
}

// usedRow is the last observed use of an account.
type usedRow struct {
	settled ident.Tokens
	at      time.Time
}

func newIdleAccounts(n *Node) *idleAccounts {
	return &idleAccounts{n: n, used: make(map[escrow.EntryID]usedRow)}
}

// tick closes the accounts that have been idle for long. A fleet with few budgets keeps all of them open, so that a
// later partition finds tokens everywhere.
func (i *idleAccounts) tick(now time.Time) {
	if now.Sub(i.at) < idleEvery {
		return
	}
	i.at = now
	if len(i.n.view.Load().budgets) <= maxPrefetchBudgets {
		return
	}
	for _, a := range i.n.accounts.all() {
		if a.shard.Kind != object.KindLedger {
			continue
		}
		row, ok := i.used[a.Entry()]
		if !ok || row.settled != a.Settled() || a.Held() > 0 {
			i.used[a.Entry()] = usedRow{a.Settled(), now}
			continue
		}
		if now.Sub(row.at) >= idleAfter {
			delete(i.used, a.Entry())
			i.close(a)
		}
	}
}

// close replaces the account by none and closes its row in the background.
func (i *idleAccounts) close(a *account) {
	a.Leave()
	i.n.accounts.drop(a)
	i.n.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
		defer cancel()
		for len(i.n.closeAccounts(ctx, a.shard, []*account{a})) > 0 {
			select {
			case <-i.n.clock.After(handoverPoll):
			case <-ctx.Done():
				i.n.log.Warn("idle account stays open on the platform", "entry", a.Entry())
				return
			}
		}
	})
}
