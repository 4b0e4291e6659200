package edge

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/quota"
	"geraniumsaddle/io/peer"
	"geraniumsaddle/platform"
)

// TestClaimSender guards against a router that claims tokens, or closes ledger rows, in the name of another
// router or VM.
func TestClaimSender(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	sender := ident.NewRouterID("vm-7", 1)
	allowances := &quota.Allowances{Format: quota.Format}
	cases := []struct {
		name    string
		claim   quota.Claim
		refused bool
	}{
		{"own", quota.Claim{Router: sender, VM: "vm-7", Allowances: allowances}, false},
		{"of another router", quota.Claim{Router: ident.NewRouterID("vm-8", 1), VM: "vm-8", Allowances: allowances}, true},
		{"of another process of the VM", quota.Claim{Router: ident.NewRouterID("vm-7", 2), VM: "vm-7", Allowances: allowances}, true},
		{"for another VM", quota.Claim{Router: sender, VM: "vm-8", Allowances: allowances}, true},
		{"without allowances", quota.Claim{Router: sender, VM: "vm-7"}, true},
		{"probe of another router", quota.Claim{Router: ident.NewRouterID("vm-8", 1), Probe: true}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			_, err := peerHandler{env.server}.HandleCall(ctx, peer.Sender{ID: sender}, peer.TokenClaim{Claim: c.claim})
			var failure peer.Failure
			is.Equal(errors.As(err, &failure) && failure.Code == "bad_message", c.refused)
		})
	}
}

// writerFunc is called with each line of a log.
type writerFunc func(line string)

func (f writerFunc) Write(line []byte) (int, error) {
	f(string(line))
	return len(line), nil
}

// TestBusyPeerAddr guards against a router without a transport to other routers because its predecessor still held the address.
func TestBusyPeerAddr(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	held, err := net.ListenPacket("udp", "127.0.0.1:0")
	is.NoErr(err)
	release := writerFunc(func(line string) {
		if strings.Contains(line, "address is busy") {
			_ = held.Close()
		}
	})
	env := newTestEnvWith(t, func(cfg *platform.Settings, deps *Deps) {
		cfg.PeerAddr = held.LocalAddr().String()
		deps.Log = slog.New(slog.NewJSONHandler(release, nil))
	})
	env.waitFor("transport to other routers", func() bool { return env.server.gossip.Load() != nil })
}
