package cmds

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"geraniumsaddle/core/bill"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/admin"
	fake "geraniumsaddle/io/fakes/store"
	"geraniumsaddle/io/store"
)

// fakeFleet has a viewer and an owner as operators. The token of each is the name of its role.
type fakeFleet struct{}

func (fakeFleet) Operator(hash string) (object.Operator, bool) {
	for _, role := range []object.Role{object.RoleViewer, object.RoleOwner} {
		if hash == admin.HashSecret(string(role)) {
			return object.Operator{ID: "the-" + string(role), Role: role}, true
		}
	}
	return object.Operator{}, false
}

func (fakeFleet) Status(context.Context) admin.Status {
	at := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	return admin.Status{
		AsOf: at, Platform: admin.PlatformStatus{LastReply: at},
		Routers: []admin.RouterStatus{{ID: "r1.1", Domain: "a", Reachable: true, State: "alive",
			Applied: []admin.AppliedVersion{{Kind: object.KindBudget, Version: 7}}}},
		Targets: []admin.TargetStatus{{ID: "e1", Domain: "a", State: object.TargetActive, FreeSlots: 3}},
		Releases: []admin.ReleaseStatus{{ID: "r", TrafficShare: 1, Domains: []object.DomainOutcome{
			{Domain: "a", Verdict: object.VerdictCompleted, Reason: "shown good"}}}},
	}
}

func (fakeFleet) CheckRelease(context.Context, object.Release) object.Faults { return nil }

func (fakeFleet) Statement(_ context.Context, org ident.OrgID, at time.Time) (bill.Statement, error) {
	return bill.NewMonthRollup(org, at).Statement(), nil
}

// newAdminServer serves the administration API on a stand-in of the platform. The statement route returns the
// parameters of the request.
func newAdminServer(t *testing.T) string {
	t.Helper()
	clock := clockwork.NewRealClock()
	platform := httptest.NewServer(fake.New(fake.Config{}, clock))
	t.Cleanup(platform.Close)
	objects, err := store.New(store.Config{URL: platform.URL}, clock)
	is.New(t).NoErr(err)
	mux := http.NewServeMux()
	mux.Handle("/admin/v1/", admin.New(objects, fakeFleet{}, clock, slog.New(slog.DiscardHandler)))
	mux.HandleFunc("GET /admin/v1/organisations/{id}/statement", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		_, _ = fmt.Fprintf(w, `{"org":%q,"month":%q,"format":%q}`, r.PathValue("id"), q.Get("month"), q.Get("format"))
	})
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	return srv.URL
}

// TestAdminCommands guards against admin commands that return wrong exit codes, drop faults or print wrong output, and
// against an operator token in any output. The steps are in testdata/admin.txtar.
func TestAdminCommands(t *testing.T) {
	is := is.New(t)
	url := newAdminServer(t)
	closedServer := httptest.NewServer(http.NotFoundHandler())
	closedServer.Close()
	replace := strings.NewReplacer("$server", "--operator-token owner --admin-url "+url, "$url", url, "$nowhere", closedServer.URL)
	archive, err := txtar.ParseFile("testdata/admin.txtar")
	is.NoErr(err)
	for _, f := range archive.Files {
		runStep(t, f.Name, strings.Split(strings.TrimSuffix(string(f.Data), "\n"), "\n"), replace)
	}
}

// runStep runs the command in lines[0] and checks the exit code and the output that the other lines name.
func runStep(t *testing.T, name string, lines []string, replace *strings.Replacer) {
	t.Helper()
	var in strings.Builder
	for _, l := range lines[1:] {
		if text, ok := strings.CutPrefix(l, "in "); ok {
			in.WriteString(text)
		}
	}
	root := newRoot()
	root.SetIn(strings.NewReader(in.String()))
	var stdout, stderr bytes.Buffer
	got := execute(t.Context(), root, strings.Fields(replace.Replace(lines[0])), &stdout, &stderr)
	for _, l := range lines[1:] {
		kind, want, _ := strings.Cut(l, " ")
		ok := true
		switch kind {
		case "exit":
			ok = want == fmt.Sprint(got)
		case "out":
			ok = strings.Contains(stdout.String(), want)
		case "err":
			ok = strings.Contains(stderr.String(), want)
		}
		if !ok {
			t.Errorf("%s: %q does not hold; exit code %d\n%s%s", name, l, got, stdout.String(), stderr.String())
		}
	}
	if strings.Contains(stdout.String()+stderr.String(), "wrong-token-value") {
		t.Errorf("%s: the operator token is in the output", name)
	}
}
