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

// fleet has one operator for each role, whose token is the role.
type fleet struct{}

func (fleet) Operator(hash string) (object.Operator, bool) {
	for _, role := range []object.Role{object.RoleViewer, object.RoleOwner} {
		if hash == admin.HashSecret(string(role)) {
			return object.Operator{ID: "the-" + string(role), Role: role}, true
		}
	}
	return object.Operator{}, false
}

func (fleet) Status(context.Context) admin.Status {
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

func (fleet) CheckRelease(context.Context, object.Release) object.Faults { return nil }

func (fleet) Statement(_ context.Context, org ident.OrgID, at time.Time) (bill.Statement, error) {
	return bill.NewMonthRollup(org, at).Statement(), nil
}

// newAdminServer serves the administration API over a stand-in of the platform, and an echo of statements.
func newAdminServer(t *testing.T) string {
	t.Helper()
	clock := clockwork.NewRealClock()
	platform := httptest.NewServer(fake.New(fake.Config{}, clock))
	t.Cleanup(platform.Close)
	objects, err := store.New(store.Config{URL: platform.URL}, clock)
	is.New(t).NoErr(err)
	mux := http.NewServeMux()
	mux.Handle("/admin/v1/", admin.New(objects, fleet{}, clock, slog.New(slog.DiscardHandler)))
	mux.HandleFunc("GET /admin/v1/organisations/{id}/statement", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		_, _ = fmt.Fprintf(w, `{"org":%q,"month":%q,"format":%q}`, r.PathValue("id"), q.Get("month"), q.Get("format"))
	})
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	return srv.URL
}

// TestAdminCommands guards against wrong exit codes, lost faults and wrong output of the operators' commands, and
// against an operator token in any output. The steps are in testdata/admin.txtar.
func TestAdminCommands(t *testing.T) {
	is := is.New(t)
	url := newAdminServer(t)
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	replace := strings.NewReplacer("$server", "--operator-token owner --admin-url "+url, "$url", url, "$nowhere", gone.URL)
	ar, err := txtar.ParseFile("testdata/admin.txtar")
	is.NoErr(err)
	for _, f := range ar.Files {
		runStep(t, f.Name, strings.Split(strings.TrimSuffix(string(f.Data), "\n"), "\n"), replace)
	}
}

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
			t.Errorf("%s: no %q; exit %d\n%s%s", name, l, got, stdout.String(), stderr.String())
		}
	}
	if strings.Contains(stdout.String()+stderr.String(), "wrong-token-value") {
		t.Errorf("%s: the operator token is in the output", name)
	}
}
