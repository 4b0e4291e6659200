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

// fakeFleet has one operator for each role, whose token is the role, and rejects the release "too-late".
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

// hookedStore runs a hook once, before the first call with the given name and kind. Tests use it to make a concurrent
// change or to inject an error at that point.
type hookedStore struct {
	ObjectStore
	mu   sync.Mutex
	call string
	kind object.Kind
	hook func() error
}

// runHook runs the hook if the call matches, and removes it.
func (h *hookedStore) runHook(call string, kind object.Kind) error {
	h.mu.Lock()
	hook := h.hook
	if call != h.call || kind != h.kind {
		hook = nil
	} else {
		h.hook = nil
	}
	h.mu.Unlock()
	if hook == nil {
		return nil
	}
	return hook()
}

func (h *hookedStore) Get(ctx context.Context, key object.Key) (store.Object, error) {
	if err := h.runHook("get", key.Kind); err != nil {
		return store.Object{}, err
	}
	return h.ObjectStore.Get(ctx, key)
}

func (h *hookedStore) PutResolved(ctx context.Context, key object.Key, value []byte, cond store.Condition) (ident.ObjectVersion, error) {
	if err := h.runHook("put", key.Kind); err != nil {
		return 0, err
	}
	return h.ObjectStore.PutResolved(ctx, key, value, cond)
}

// testAPI is an administration API server on a fake platform.
type testAPI struct {
	platform *fake.Server
	objects  *hookedStore
	url      string
	owner    *Client
}

func newTestAPI(t *testing.T) *testAPI {
	t.Helper()
	is := is.New(t)
	clock := clockwork.NewRealClock()
	platform := fake.New(fake.Config{}, clock)
	platformServer := httptest.NewServer(platform)
	objects, err := store.New(store.Config{URL: platformServer.URL}, clock)
	is.NoErr(err)
	api := &testAPI{platform: platform, objects: &hookedStore{ObjectStore: objects}}
	apiServer := httptest.NewServer(New(api.objects, fakeFleet{}, clockwork.NewFakeClockAt(testNow), slog.New(slog.DiscardHandler)))
	api.url = apiServer.URL
	api.owner, err = NewClient(ClientConfig{URL: apiServer.URL, Token: "owner"})
	is.NoErr(err)
	t.Cleanup(func() {
		apiServer.Close()
		platform.Close()
		platformServer.Close()
	})
	return api
}

// auditResults returns the action and the detail of each audit record, sorted by object version, that is, by the time
// of the last update. The IDs do not sort by time here, because the fake clock does not advance.
func (api *testAPI) auditResults(t *testing.T) []string {
	t.Helper()
	page, err := api.owner.Audit(t.Context(), ListOptions{})
	is.New(t).NoErr(err)
	slices.SortFunc(page.Items, func(x, y AuditItem) int { return cmp.Compare(x.Version, y.Version) })
	var out []string
	for _, i := range page.Items {
		out = append(out, i.Value.Action+" "+i.Value.Detail)
	}
	return out
}
