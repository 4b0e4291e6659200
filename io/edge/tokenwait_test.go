package edge

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/quota"
	"geraniumsaddle/platform"
)

// TestTokenWait guards against a request that waits for tokens held by other routers, which no write of this router can
// bring, and against one that is refused although the next write would serve it.
func TestTokenWait(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	const left = 300 * time.Millisecond
	cases := []struct {
		name        string
		answer      quota.HoldResult
		unreachable bool
		want        time.Duration
		ok          bool
	}{
		{"granted", quota.HoldResult{Granted: true}, false, left, true},
		{"next write may cover it", quota.HoldResult{NextWriteMayCover: true}, false, left, true},
		{"held by other routers", quota.HoldResult{}, false, left, false},
		{"granted, store unreachable", quota.HoldResult{Granted: true}, true, 0, false},
		{"grows in time, store unreachable", quota.HoldResult{Granted: true, GrowthDelay: left}, true, left, true},
		{"grows too late, store unreachable", quota.HoldResult{Granted: true, GrowthDelay: left + 1}, true, left + 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			monitor := newStoreMonitor(nil, nil, nil)
			monitor.unreachable = c.unreachable
			s := &Server{deps: Deps{Clock: clockwork.NewFakeClockAt(now)}, storeMonitor: monitor}
			wait, ok := s.tokenWait(c.answer, now.Add(left))
			is.Equal(ok, c.ok)
			is.Equal(wait, c.want)
		})
	}
}

// TestTokensHeldByOtherRouters guards against a refusal without a Retry-After header for a request whose tokens are
// held by other routers.
func TestTokensHeldByOtherRouters(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := quota.NewLedger()
	l.Holders["vm-2.1"] = &quota.Holder{VM: "vm-2", Writes: 1, Rows: map[ident.OrgID]quota.Row{"org1": {Granted: 999_900}}}
	env := newTestEnvWith(t, logOnFailure(t, func(_ *platform.Settings, d *Deps) {
		_, err := d.Store.Create(context.Background(), ledgerKey(quota.NewLayout().ShardOf("org1")), l.Encode())
		is.NoErr(err)
	}))
	a := env.do(chat)
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.Equal(strings.TrimSpace(a.body), refuseTokensHeld.reason)
	is.True(a.header.Get("Retry-After") != "")
}
