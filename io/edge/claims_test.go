package edge

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/core/elect"
	"geraniumsaddle/core/quota"
	"geraniumsaddle/io/peer"
	"geraniumsaddle/platform"
)

// newPeers starts routers that write through one another, with one store. Their addresses are used by no other test.
func newPeers(t *testing.T, n int) []*world {
	t.Helper()
	w := newWorldSet(t, peerSettingsIn("127.41.7", 0))
	ws := []*world{w}
	for i := 1; i < n; i++ {
		ws = append(ws, w.join(peerSettingsIn("127.41.7", i)))
	}
	return ws
}

// peerSettingsIn are the settings of a router with an address in a network that no other test uses.
func peerSettingsIn(network string, i int) func(*platform.Settings, *Deps) {
	return func(cfg *platform.Settings, d *Deps) {
		cfg.VM = fmt.Sprintf("vm-%d", i+1)
		cfg.Domain = fmt.Sprintf("domain-%d", i+1)
		cfg.PeerAddr = fmt.Sprintf("%s.%d:7340", network, i+1)
		cfg.FirstStart = i == 0
		d.DirectFleet = -1
	}
}

// TestClaims guards against routers of a large fleet that each write the ledgers, and against tokens that a router cannot
// get any more when the one that writes for it is gone.
func TestClaims(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ws := newPeers(t, 3)
	for range 5 {
		for _, w := range ws {
			is.Equal(w.ask(chat).status, http.StatusOK)
		}
	}
	_, _, own := ws[0].store.Get("allowances", string(ws[0].server.self))
	is.True(!own) // nobody has written alone
	ledger, _, ok := ws[0].store.Get("ledgers", ledgerKey(quota.NewLayout().Of("org1")).Name)
	is.True(ok)
	l, err := quota.Decode([]byte(ledger))
	is.NoErr(err)
	for _, w := range ws {
		is.True(l.Holders[w.server.self] != nil)
	}
	// The writer stops; the others find another one and what it held returns.
	var members []elect.Member
	for _, w := range ws {
		members = append(members, w.server.member())
	}
	writer, ok := elect.New(members).Pick(ws[0].server.deps.Clock.Now())
	is.True(ok)
	var left []*world
	for _, w := range ws {
		if w.server.member() == writer {
			w.stop()
			continue
		}
		left = append(left, w)
	}
	is.Equal(len(left), 2)
	for _, w := range left {
		w.await("tokens without the first writer", func() bool {
			for range 5 {
				if w.ask(chat).status != http.StatusOK {
					return false
				}
			}
			return true
		})
	}
	left[0].await("returned tokens", func() bool {
		ledger, _, _ := left[0].store.Get("ledgers", ledgerKey(quota.NewLayout().Of("org1")).Name)
		l, err := quota.Decode([]byte(ledger))
		return err == nil && len(l.Holders) == 2
	})
}

// TestForeignClaim guards against a router that writes a claim for another one than its sender.
func TestForeignClaim(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorldSet(t, peerSettingsIn("127.41.8", 0))
	ws := []*world{w, w.join(peerSettingsIn("127.41.8", 1))}
	c := &quota.Claim{Router: "vm-9.1", VM: "vm-9", Writes: 1, Allows: &quota.Allowances{}}
	_, err := ws[1].server.sendClaim(context.Background(), ws[0].server.member(), c)
	var f peer.Failure
	is.True(errors.As(err, &f))
	is.Equal(f.Code, "bad_message")
}
