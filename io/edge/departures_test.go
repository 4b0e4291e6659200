package edge

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/elect"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/quota"
	"geraniumsaddle/platform"
	"geraniumsaddle/platform/fakes"
)

// TestStopWhileStoreAway guards against a router that stops while the store is away and whose successor counts all that
// its allowances permitted until the successor's start as spent.
func TestStopWhileStoreAway(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const host = 130
	set := func(int, *platform.Settings, *Deps) {}
	envs := newDomainFleet(t, host, 3, set)
	for _, env := range envs {
		env.waitFor("the first answer", func() bool { return env.do(chat).status == http.StatusOK })
	}
	// The second and the third router know others. The one that the third prefers as its writer goes on.
	writer, ok := elect.New(envs[2].server.claims.members).Pick(time.Now())
	is.True(ok)
	i := 2
	if writer == envs[2].server.selfMember() {
		i = 1
	}
	stopped, others := envs[i], slices.Delete(slices.Clone(envs), i, i+1)
	accounts := stopped.server.accounts
	stopped.waitFor("tokens", func() bool {
		return stopped.server.acquireTokens(t.Context(), "org1", 140, 200*time.Millisecond).Verdict == quota.Held
	})
	accounts.Settle("org1", 140, 100)
	stopped.waitFor("allowances", func() bool { return accounts.Balance("org1").Limit > 300 })
	stopped.store.SetFault(faultAll(fakes.Unavailable))
	stopped.waitFor("the loss of the store", stopped.server.storeMonitor.isUnreachable)
	id, spent := stopped.server.self, accounts.Balance("org1").Spent
	stopped.stop()
	stopped.store.SetFault(nil)
	stopped.startRouterWithoutTokens(logOnFailure(t, func(cfg *platform.Settings, d *Deps) {
		peerSettings(host, i)(cfg, d)
		cfg.Domain, cfg.FirstStart = "a", false
	}))
	var ledger *quota.Ledger
	others[0].waitFor("the closing of the rows", func() bool {
		value, _, _ := others[0].store.Get("ledgers", ledgerKey(quota.NewLayout().ShardOf("org1")).Name)
		l, err := quota.DecodeLedger([]byte(value))
		ledger = l
		return err == nil && l.Holders[id] == nil
	})
	is.Equal(ledger.Closed["org1"], spent)
	is.Equal(ledger.Presumed["org1"], ident.Tokens(0))
}
