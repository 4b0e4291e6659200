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

// TestTokenWait guards against a request that waits for tokens which other routers hold, although no write of this router
// brings them, and against one that is refused although the next write serves it.
func TestTokenWait(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	const left = 300 * time.Millisecond
	cases := []struct {
		name   string
		answer quota.HoldResult
		away   bool
		want   time.Duration
		ok     bool
	}{
		{"granted", quota.HoldResult{Granted: true}, false, left, true},
		{"unallotted", quota.HoldResult{NextWriteMayCover: true}, false, left, true},
		{"elsewhere", quota.HoldResult{}, false, left, false},
		{"granted, store away", quota.HoldResult{Granted: true}, true, 0, false},
		{"grows in time, store away", quota.HoldResult{Granted: true, GrowthDelay: left}, true, left, true},
		{"grows too late, store away", quota.HoldResult{Granted: true, GrowthDelay: left + 1}, true, left + 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			link := newStoreMonitor(nil, nil, nil)
			link.unreachable = c.away
			x := &exchange{s: &Server{deps: Deps{Clock: clockwork.NewFakeClockAt(now)}, storeMonitor: link}}
			wait, ok := x.tokenWait(c.answer, now.Add(left))
			is.Equal(ok, c.ok)
			is.Equal(wait, c.want)
		})
	}
}

// TestTokensElsewhere guards against a request whose tokens other routers hold and that gets no time to come back.
func TestTokensElsewhere(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := quota.NewLedger()
	l.Holders["vm-2.1"] = &quota.Holder{VM: "vm-2", Writes: 1, Rows: map[ident.OrgID]quota.Row{"org1": {Granted: 999_900}}}
	w := newTestEnvWith(t, func(_ *platform.Settings, d *Deps) {
		_, err := d.Store.Create(context.Background(), ledgerKey(quota.NewLayout().ShardOf("org1")), l.Encode())
		is.NoErr(err)
	})
	a := w.do(chat)
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.Equal(strings.TrimSpace(a.body), refuseTokensHeld.reason)
	is.True(a.header.Get("Retry-After") != "")
}
