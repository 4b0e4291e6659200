package admin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"log/slog"
	"net/http"
	"strings"

	"github.com/jonboulle/clockwork"
	"github.com/justinas/alice"

	"geraniumsaddle/core/object"
	"geraniumsaddle/io/store"
)

// maxBody bounds a request body in bytes; it is the largest value of the platform.
const maxBody = store.MaxValue

// Server is the handler of the administration API.
type Server struct {
	objects ObjectStore
	fleet   Fleet
	clock   clockwork.Clock
	log     *slog.Logger
}

// request is one authenticated request.
type request struct {
	w    http.ResponseWriter
	r    *http.Request
	who  object.Operator
	body []byte
}

// New returns the handler of the administration API, for paths under /admin/v1/.
func New(o ObjectStore, f Fleet, clock clockwork.Clock, log *slog.Logger) http.Handler {
	s := &Server{objects: o, fleet: f, clock: clock, log: log}
	mux := http.NewServeMux()
	for _, c := range collections {
		s.serveCollection(mux, c)
	}
	for _, row := range []struct {
		pattern string
		role    object.Role
		serve   func(ctx context.Context, q *request) error
	}{
		{"POST /admin/v1/organisations/{id}/keys", object.RoleOperator, s.createKey},
		{"DELETE /admin/v1/organisations/{id}/keys/{key}", object.RoleOperator, s.revokeKey},
		{"GET /admin/v1/budgets/{id}/ledger", object.RoleViewer, s.ledger},
		{"POST /admin/v1/budgets/{id}/top-ups", object.RoleOperator, s.topUp},
		{"POST /admin/v1/budgets/{id}/refunds", object.RoleOperator, s.refund},
		{"POST /admin/v1/budgets/{id}/unresolved", object.RoleOwner, s.resolve},
		{"GET /admin/v1/status", object.RoleViewer, s.status},
		{"GET /admin/v1/organisations/{id}/statement", object.RoleViewer, s.statement},
		{"GET /admin/v1/audit", object.RoleViewer, s.listAudit},
	} {
		mux.Handle(row.pattern, s.handle(row.role, row.serve))
	}
	mux.Handle("/", s.handle(object.RoleViewer, func(_ context.Context, q *request) error {
		return problem(http.StatusNotFound, codeAbsent, "no such route: %s %s", q.r.Method, q.r.URL.Path)
	}))
	return alice.New(noStore).Then(mux)
}

func (s *Server) serveCollection(mux *http.ServeMux, c collection) {
	base := "/admin/v1/" + string(c.path)
	write := object.RoleOperator
	if c.kind == object.KindOperator {
		write = object.RoleOwner
	}
	mux.Handle("GET "+base, s.handle(object.RoleViewer, func(ctx context.Context, q *request) error { return s.list(ctx, q, c.kind) }))
	mux.Handle("GET "+base+"/{id}", s.handle(object.RoleViewer, func(ctx context.Context, q *request) error { return s.get(ctx, q, c) }))
	mux.Handle("PUT "+base+"/{id}", s.handle(write, func(ctx context.Context, q *request) error { return s.put(ctx, q, c) }))
	mux.Handle("DELETE "+base+"/{id}", s.handle(write, func(ctx context.Context, q *request) error { return s.remove(ctx, q, c) }))
}

func noStore(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Cache-Control", "no-store")
		next.ServeHTTP(w, r)
	})
}

// ranks orders the roles.
var ranks = map[object.Role]int{object.RoleViewer: 1, object.RoleOperator: 2, object.RoleOwner: 3}

// handle authenticates the operator, checks the role and reads the body.
func (s *Server) handle(need object.Role, serve func(ctx context.Context, q *request) error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := &request{w: w, r: r}
		err := s.admit(q, need)
		if err == nil {
			err = checkNames(r)
		}
		if err == nil {
			err = readBody(q)
		}
		if err == nil {
			err = serve(r.Context(), q)
		}
		if err != nil {
			p := asProblem(err)
			writeProblem(w, p)
			s.log.Warn("operator request refused", "operator", q.who.ID, "method", r.Method, "path", r.URL.Path, "code", p.Code)
		}
	})
}

// checkNames refuses names in the path that no object can have, before they become part of a platform call.
func checkNames(r *http.Request) error {
	var faults object.Faults
	for _, name := range []string{"id", "key"} {
		if v := r.PathValue(name); v != "" && !object.ValidID(v) {
			faults = append(faults, object.Fault{Path: name, Message: "the name in the path is not valid"})
		}
	}
	if len(faults) > 0 {
		return invalid(faults)
	}
	return nil
}

func (s *Server) admit(q *request, need object.Role) error {
	scheme, token, _ := strings.Cut(q.r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return problem(http.StatusUnauthorized, "unauthenticated", "an operator token is required as a bearer token")
	}
	who, ok := s.fleet.Operator(HashSecret(strings.TrimSpace(token)))
	if !ok {
		return problem(http.StatusUnauthorized, "unauthenticated", "the operator token is not known")
	}
	q.who = who
	if ranks[who.Role] < ranks[need] {
		return problem(http.StatusForbidden, "forbidden", "the role %s is required", need)
	}
	return nil
}

// HashSecret returns the SHA-256 hash of a secret in lower-case hexadecimal, the form in which it is stored.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
