package edge

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/core/elect"
	"geraniumsaddle/core/quota"
	"geraniumsaddle/io/peer"
	"geraniumsaddle/platform"
	"geraniumsaddle/platform/fakes"
)

// newFleet starts routers that share a store and send claims to each other. No other test uses their addresses.
func newFleet(t *testing.T, n int) []*testEnv {
	t.Helper()
	env := newTestEnvWith(t, logOnFailure(t, peerSettings(10, 0)))
	envs := []*testEnv{env}
	for i := 1; i < n; i++ {
		envs = append(envs, env.addRouter(logOnFailure(t, peerSettings(10, i))))
	}
	return envs
}

// peerSettings returns a function that sets up the i-th router of a fleet with a loopback address of its own: the
// network is derived from the process ID, and the hosts from firstHost on belong to one test.
func peerSettings(firstHost, i int) func(*platform.Settings, *Deps) {
	return func(cfg *platform.Settings, d *Deps) {
		pid := os.Getpid()
		cfg.VM = fmt.Sprintf("vm-%d", i+1)
		cfg.Domain = fmt.Sprintf("domain-%d", i+1)
		cfg.PeerAddr = fmt.Sprintf("127.%d.%d.%d:7340", 64+pid/256%64, pid%256, firstHost+i)
		cfg.FirstStart = i == 0
		d.DirectFleet = 0
	}
}

// logOnFailure wraps a set-up function so that the router's log lines about tokens are printed if the test fails.
func logOnFailure(t *testing.T, set func(*platform.Settings, *Deps)) func(*platform.Settings, *Deps) {
	var lines logBuffer
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(lines.linesContaining("claim", "token", "ledger", "router"))
		}
	})
	return func(cfg *platform.Settings, d *Deps) {
		set(cfg, d)
		d.Log = slog.New(slog.NewJSONHandler(&lines, nil))
	}
}

// TestClaimsAfterLossOfWriter guards against routers of a large fleet that each write the ledgers directly, and against
// routers that get no more tokens after their writer has stopped.
func TestClaimsAfterLossOfWriter(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	envs := newFleet(t, 3)
	for range 5 {
		for _, env := range envs {
			is.Equal(env.do(chat).status, http.StatusOK)
		}
	}
	_, _, writtenDirectly := envs[0].store.Get("allowances", string(envs[0].server.self))
	is.True(!writtenDirectly) // no router has written directly
	ledger, _, ok := envs[0].store.Get("ledgers", ledgerKey(quota.NewLayout().ShardOf("org1")).Name)
	is.True(ok)
	l, err := quota.DecodeLedger([]byte(ledger))
	is.NoErr(err)
	for _, env := range envs {
		is.True(l.Holders[env.server.self] != nil)
	}
	// The writer stops. The other routers find another writer, and the tokens that the first one held are returned.
	var members []elect.Member
	for _, env := range envs {
		members = append(members, env.server.selfMember())
	}
	writer, ok := elect.New(members).Pick(envs[0].server.deps.Clock.Now())
	is.True(ok)
	var remaining []*testEnv
	for _, env := range envs {
		if env.server.selfMember() == writer {
			env.stop()
			continue
		}
		remaining = append(remaining, env)
	}
	is.Equal(len(remaining), 2)
	for _, env := range remaining {
		env.waitFor("tokens without the first writer", func() bool {
			for range 5 {
				if env.do(chat).status != http.StatusOK {
					return false
				}
			}
			return true
		})
	}
	remaining[0].waitFor("returned tokens", func() bool {
		ledger, _, _ := remaining[0].store.Get("ledgers", ledgerKey(quota.NewLayout().ShardOf("org1")).Name)
		l, err := quota.DecodeLedger([]byte(ledger))
		holders := 0
		for _, h := range l.Holders {
			if len(h.Rows) > 0 {
				holders++
			}
		}
		return err == nil && holders == 2
	})
}

// TestClaimOfAnotherRouter guards against a writer that accepts a claim in the name of a router other than its sender.
func TestClaimOfAnotherRouter(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	env := newTestEnvWith(t, peerSettings(20, 0))
	envs := []*testEnv{env, env.addRouter(peerSettings(20, 1))}
	c := &quota.Claim{Router: "vm-9.1", VM: "vm-9", Writes: 1, Allowances: &quota.Allowances{}}
	_, err := envs[1].server.sendClaim(context.Background(), envs[0].server.selfMember(), c)
	var f peer.Failure
	is.True(errors.As(err, &f))
	is.Equal(f.Code, "bad_message")
}

// TestRefusalIsNoStoreAnswer guards against a router that takes a writer's refusal for an answer of the store, and so
// considers the store reachable again.
func TestRefusalIsNoStoreAnswer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var lines logBuffer
	env := newTestEnvWith(t, func(cfg *platform.Settings, d *Deps) {
		peerSettings(40, 0)(cfg, d)
		d.Log = slog.New(slog.NewJSONHandler(&lines, nil))
	})
	env.store.SetFault(faultAll(fakes.Unavailable))
	env.waitFor("two refused claims", func() bool {
		return strings.Count(lines.linesContaining("claim not served"), "\n") >= 2
	})
	is.True(env.server.storeMonitor.isUnreachable())
	is.Equal(lines.linesContaining("store is reachable again"), "")
}
