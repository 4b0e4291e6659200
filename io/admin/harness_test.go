package admin

import (
	"cmp"
	"context"
	"log/slog"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"geraniumsaddle/core/bill"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	fake "geraniumsaddle/io/fakes/store"
	"geraniumsaddle/io/store"
)

var testNow = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// fakeFleet has one operator for each role, whose token is the role, and one release that cannot be met.
type fakeFleet struct{}

func (fakeFleet) Operator(hash string) (object.Operator, bool) {
	for _, role := range []object.Role{object.RoleViewer, object.RoleOperator, object.RoleOwner} {
		if hash == HashSecret(string(role)) {
			return object.Operator{Format: 1, ID: "the-" + string(role), SHA256: hash, Role: role}, true
		}
	}
	return object.Operator{}, false
}

func (fakeFleet) Status(context.Context) Status {
	return Status{AsOf: testNow, Platform: PlatformStatus{Reachable: true}, Routers: []RouterStatus{{ID: "r1.1", Domain: "a"}}}
}

func (fakeFleet) Statement(_ context.Context, org ident.OrgID, at time.Time) (bill.Statement, error) {
	return bill.NewMonthRollup(org, at).Statement(), nil
}

func (fakeFleet) CheckRelease(_ context.Context, r object.Release) object.Faults {
	if r.ID == "too-late" {
		return object.Faults{{Path: "finish_at", Message: "the weights cannot be loaded in time"}}
	}
	return nil
}

// hooked runs a function once before a call whose name matches, to place another operator's change there.
type hooked struct {
	ObjectStore
	mu   sync.Mutex
	call string
	kind object.Kind
	fn   func() error
}

func (h *hooked) take(call string, kind object.Kind) error {
	h.mu.Lock()
	fn := h.fn
	if call != h.call || kind != h.kind {
		fn = nil
	} else {
		h.fn = nil
	}
	h.mu.Unlock()
	if fn == nil {
		return nil
	}
	return fn()
}

func (h *hooked) Get(ctx context.Context, key object.Key) (store.Object, error) {
	if err := h.take("get", key.Kind); err != nil {
		return store.Object{}, err
	}
	return h.ObjectStore.Get(ctx, key)
}

func (h *hooked) PutResolved(ctx context.Context, key object.Key, value []byte, cond store.Condition) (ident.ObjectVersion, error) {
	if err := h.take("put", key.Kind); err != nil {
		return 0, err
	}
	return h.ObjectStore.PutResolved(ctx, key, value, cond)
}

// bench is an administration API over a stand-in of the platform.
type bench struct {
	platform *fake.Server
	objects  *hooked
	url      string
	owner    *Client
}

func newBench(t *testing.T) *bench {
	t.Helper()
	is := is.New(t)
	clock := clockwork.NewRealClock()
	platform := fake.New(fake.Config{}, clock)
	ps := httptest.NewServer(platform)
	objects, err := store.New(store.Config{URL: ps.URL}, clock)
	is.NoErr(err)
	b := &bench{platform: platform, objects: &hooked{ObjectStore: objects}}
	as := httptest.NewServer(New(b.objects, fakeFleet{}, clockwork.NewFakeClockAt(testNow), slog.New(slog.DiscardHandler)))
	b.url = as.URL
	b.owner, err = NewClient(ClientConfig{URL: as.URL, Token: "owner"})
	is.NoErr(err)
	t.Cleanup(func() {
		as.Close()
		platform.Close()
		ps.Close()
	})
	return b
}

// audits returns the results of the audit records in the order of the results. The clock stands still, so the names of
// the records do not order them.
func (b *bench) audits(t *testing.T) []string {
	t.Helper()
	page, err := b.owner.Audit(t.Context(), ListOptions{})
	is.New(t).NoErr(err)
	slices.SortFunc(page.Items, func(x, y AuditItem) int { return cmp.Compare(x.Version, y.Version) })
	var out []string
	for _, i := range page.Items {
		out = append(out, i.Value.Action+" "+i.Value.Detail)
	}
	return out
}
