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
	"geraniumsaddle/platform/stand"
)

// newPeers starts routers that write through one another, with one store. Their addresses are used by no other test.
func newPeers(t *testing.T, n int) []*world {
	t.Helper()
	w := newWorldSet(t, showLines(t, peerSettings(10, 0)))
	ws := []*world{w}
	for i := 1; i < n; i++ {
		ws = append(ws, w.join(showLines(t, peerSettings(10, i))))
	}
	return ws
}

// peerSettings are the settings of a router whose address no other router has: hosts from first on belong to one test,
// and the network to one process.
func peerSettings(first, i int) func(*platform.Settings, *Deps) {
	return func(cfg *platform.Settings, d *Deps) {
		pid := os.Getpid()
		cfg.VM = fmt.Sprintf("vm-%d", i+1)
		cfg.Domain = fmt.Sprintf("domain-%d", i+1)
		cfg.PeerAddr = fmt.Sprintf("127.%d.%d.%d:7340", 64+pid/256%64, pid%256, first+i)
		cfg.FirstStart = i == 0
		d.DirectFleet = 0
	}
}

// showLines makes a router log, and shows the lines about tokens if the test fails.
func showLines(t *testing.T, set func(*platform.Settings, *Deps)) func(*platform.Settings, *Deps) {
	var lines lineBuffer
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(lines.about("claim", "token", "ledger", "router"))
		}
	})
	return func(cfg *platform.Settings, d *Deps) {
		set(cfg, d)
		d.Log = slog.New(slog.NewJSONHandler(&lines, nil))
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
	ledger, _, ok := ws[0].store.Get("ledgers", ledgerKey(quota.NewLayout().ShardOf("org1")).Name)
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
		ledger, _, _ := left[0].store.Get("ledgers", ledgerKey(quota.NewLayout().ShardOf("org1")).Name)
		l, err := quota.Decode([]byte(ledger))
		holders := 0
		for _, h := range l.Holders {
			if len(h.Rows) > 0 {
				holders++
			}
		}
		return err == nil && holders == 2
	})
}

// TestForeignClaim guards against a router that writes a claim for another one than its sender.
func TestForeignClaim(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorldSet(t, peerSettings(20, 0))
	ws := []*world{w, w.join(peerSettings(20, 1))}
	c := &quota.Claim{Router: "vm-9.1", VM: "vm-9", Writes: 1, Allowances: &quota.Allowances{}}
	_, err := ws[1].server.sendClaim(context.Background(), ws[0].server.member(), c)
	var f peer.Failure
	is.True(errors.As(err, &f))
	is.Equal(f.Code, "bad_message")
}

// TestRefusalKeepsLink guards against a router that takes the refusal of a writer for an answer of the store, and so for
// a sign that it can be heard again.
func TestRefusalKeepsLink(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var lines lineBuffer
	w := newWorldSet(t, func(cfg *platform.Settings, d *Deps) {
		peerSettings(40, 0)(cfg, d)
		d.Log = slog.New(slog.NewJSONHandler(&lines, nil))
	})
	w.store.SetFault(faultAll(stand.Unavailable))
	w.await("two refused claims", func() bool { return strings.Count(lines.about("claim not served"), "\n") >= 2 })
	is.True(w.server.link.isAway())
	is.Equal(lines.about("store regained"), "")
}
