package node

import (
	"context"
	"time"

	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

const (
	// idleTimeout is the time without use after which an account is closed, in a fleet with too many budgets to keep all
	// accounts open. At 18,000 budgets, a shard of 1 MB has room for about 30 rows per budget, and a fleet may have more
	// routers than that.
	idleTimeout       = 10 * time.Minute
	idleCheckInterval = 10 * time.Second
)

// idleAccounts closes the ledger accounts that no request uses. It belongs to the control goroutine.
type idleAccounts struct {
	n         *Node
	checkedAt time.Time
	lastUse   map[escrow.EntryID]accountUse
}

// accountUse is the last observed use of an account.
type accountUse struct {
	settled ident.Tokens
	usedAt  time.Time
}

func newIdleAccounts(n *Node) *idleAccounts {
	return &idleAccounts{n: n, lastUse: make(map[escrow.EntryID]accountUse)}
}

// tick closes the accounts that have been idle for idleTimeout. In a fleet with at most maxPrefetchBudgets budgets,
// all accounts stay open, so that every router has tokens if the network partitions.
func (i *idleAccounts) tick(now time.Time) {
	if now.Sub(i.checkedAt) < idleCheckInterval {
		return
	}
	i.checkedAt = now
	if len(i.n.view.Load().budgets) <= maxPrefetchBudgets {
		return
	}
	for _, a := range i.n.accounts.all() {
		if a.shard.Kind != object.KindLedger {
			continue
		}
		use, ok := i.lastUse[a.Entry()]
		if !ok || use.settled != a.Settled() || a.Held() > 0 {
			i.lastUse[a.Entry()] = accountUse{a.Settled(), now}
			continue
		}
		if now.Sub(use.usedAt) >= idleTimeout {
			delete(i.lastUse, a.Entry())
			i.closeAccount(a)
		}
	}
}

// closeAccount drops the account and closes its row on the platform in the background.
func (i *idleAccounts) closeAccount(a *account) {
	a.Leave()
	i.n.accounts.drop(a)
	i.n.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
		defer cancel()
		for len(i.n.closeAccounts(ctx, a.shard, []*account{a})) > 0 {
			select {
			case <-i.n.clock.After(handoverPollInterval):
			case <-ctx.Done():
				i.n.log.Warn("idle account could not be closed on the platform", "entry", a.Entry())
				return
			}
		}
	})
}
