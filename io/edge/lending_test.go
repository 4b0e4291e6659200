package edge

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/elect"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/quota"
	"geraniumsaddle/platform"
)

// newDomainFleet starts routers of one failure domain, of which one holds the tokens. No other test uses their addresses,
// of which the first has the given host number. set changes the settings of the router with an index.
func newDomainFleet(t *testing.T, host, n int, set func(int, *platform.Settings, *Deps)) []*testEnv {
	t.Helper()
	inDomain := func(i int) func(*platform.Settings, *Deps) {
		return logOnFailure(t, func(cfg *platform.Settings, d *Deps) {
			peerSettings(host, i)(cfg, d)
			cfg.Domain = "a"
			set(i, cfg, d)
		})
	}
	envs := []*testEnv{newTestEnvWith(t, inDomain(0))}
	for i := 1; i < n; i++ {
		env := &testEnv{t: t, store: envs[0].store, storeAddr: envs[0].storeAddr, targets: envs[0].targets}
		env.startRouterWithoutTokens(inDomain(i))
		envs = append(envs, env)
	}
	return envs
}

// spent returns what the ledgers show as spent by the organisation.
func (env *testEnv) spent() ident.Tokens {
	var n ident.Tokens
	for _, name := range env.store.Names("ledgers") {
		value, _, _ := env.store.Get("ledgers", name)
		l, err := quota.DecodeLedger([]byte(value))
		if err != nil {
			env.t.Fatal(err)
		}
		n += l.Spent("org1")
	}
	return n
}

// TestBorrowedTokens guards against a router without tokens that refuses requests although another one has them, against
// tokens that stay held after their request, and against a fleet that serves nothing once its holder has gone.
func TestBorrowedTokens(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	envs := newDomainFleet(t, 60, 3, func(int, *platform.Settings, *Deps) {})
	const requests = 4
	for _, env := range envs {
		// A router that has just joined refuses until its first claim is answered or it has a connection to a holder.
		env.waitFor("the first answer", func() bool { return env.do(chat).status == http.StatusOK })
		for range requests - 1 {
			is.Equal(env.do(chat).status, http.StatusOK)
		}
	}
	// A request uses its 100 prompt tokens and three events of four tokens.
	const used = ident.Tokens(3 * requests * 112)
	envs[0].waitFor("the settlements", func() bool { return envs[0].spent() == used })

	holder := envs[0].server.lending.Load().holdersOf("org1").Asked[0]
	var others []*testEnv
	for _, env := range envs {
		if env.server.selfMember() == holder {
			env.stop()
			continue
		}
		others = append(others, env)
	}
	is.Equal(len(others), 2)
	for _, env := range others {
		env.waitFor("tokens after the loss of the holder", func() bool { return env.do(chat).status == http.StatusOK })
	}
}

// TestSettleAfterStop guards against a settlement that begins while a stop waits for the others, which ends the process by a
// panic of the WaitGroup.
func TestSettleAfterStop(t *testing.T) {
	t.Parallel()
	l := &lending{s: newTestEnv(t).server}
	l.waitSettled()
	l.settle(elect.Member{}, "late", 0, time.Second) // It would use the transport, which is missing.
	l.settlements.Wait()
}
