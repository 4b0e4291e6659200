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

// maxBodyBytes limits the size of a request body. It is the largest value that the platform stores.
const maxBodyBytes = store.MaxValue

// Server implements the routes of the administration API. New returns its handler.
type Server struct {
	objects ObjectStore
	fleet   Fleet
	clock   clockwork.Clock
	log     *slog.Logger
}

// request is a request with its authenticated operator and its body.
type request struct {
	w        http.ResponseWriter
	r        *http.Request
	operator object.Operator
	body     []byte
}

// New returns the handler of the administration API, for paths under /admin/v1/.
func New(o ObjectStore, f Fleet, clock clockwork.Clock, log *slog.Logger) http.Handler {
	s := &Server{objects: o, fleet: f, clock: clock, log: log}
	mux := http.NewServeMux()
	for _, c := range collections {
		s.serveCollection(mux, c)
	}
	for _, route := range []struct {
		pattern string
		role    object.Role
		serve   func(ctx context.Context, req *request) error
	}{
		{"POST /admin/v1/organisations/{id}/keys", object.RoleOperator, s.createKey},
		{"DELETE /admin/v1/organisations/{id}/keys/{key}", object.RoleOperator, s.revokeKey},
		{"GET /admin/v1/budgets/{id}/ledger", object.RoleViewer, s.getLedger},
		{"POST /admin/v1/budgets/{id}/top-ups", object.RoleOperator, s.topUp},
		{"POST /admin/v1/budgets/{id}/refunds", object.RoleOperator, s.refund},
		{"POST /admin/v1/budgets/{id}/unresolved", object.RoleOwner, s.resolveUnresolved},
		{"GET /admin/v1/status", object.RoleViewer, s.getStatus},
		{"GET /admin/v1/organisations/{id}/statement", object.RoleViewer, s.getStatement},
		{"GET /admin/v1/audit", object.RoleViewer, s.listAudit},
	} {
		mux.Handle(route.pattern, s.handle(route.role, route.serve))
	}
	mux.Handle("/", s.handle(object.RoleViewer, func(_ context.Context, req *request) error {
		return newProblem(http.StatusNotFound, codeNotFound, "no such route: %s %s", req.r.Method, req.r.URL.Path)
	}))
	return alice.New(disableCaching).Then(mux)
}

// serveCollection registers the routes of a collection. Only owners change operators.
func (s *Server) serveCollection(mux *http.ServeMux, c collection) {
	base := "/admin/v1/" + string(c.name)
	writeRole := object.RoleOperator
	if c.kind == object.KindOperator {
		writeRole = object.RoleOwner
	}
	mux.Handle("GET "+base, s.handle(object.RoleViewer, func(ctx context.Context, req *request) error { return s.listObjects(ctx, req, c.kind) }))
	mux.Handle("GET "+base+"/{id}", s.handle(object.RoleViewer, func(ctx context.Context, req *request) error { return s.getObject(ctx, req, c) }))
	mux.Handle("PUT "+base+"/{id}", s.handle(writeRole, func(ctx context.Context, req *request) error { return s.putObject(ctx, req, c) }))
	mux.Handle("DELETE "+base+"/{id}", s.handle(writeRole, func(ctx context.Context, req *request) error { return s.deleteObject(ctx, req, c) }))
}

func disableCaching(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Cache-Control", "no-store")
		next.ServeHTTP(w, r)
	})
}

// roleRanks orders the roles: each one includes the rights of those below it.
var roleRanks = map[object.Role]int{object.RoleViewer: 1, object.RoleOperator: 2, object.RoleOwner: 3}

// handle returns a handler that authenticates the operator, checks the role and the names in the path, and reads the
// body before it calls serve. It sends an error of any step as a problem.
func (s *Server) handle(requiredRole object.Role, serve func(ctx context.Context, req *request) error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req := &request{w: w, r: r}
		err := s.authorize(req, requiredRole)
		if err == nil {
			err = checkPathNames(r)
		}
		if err == nil {
			err = readBody(req)
		}
		if err == nil {
			err = serve(r.Context(), req)
		}
		if err != nil {
			p := asProblem(err)
			writeProblem(w, p)
			s.log.Warn("operator request refused", "operator", req.operator.ID, "method", r.Method, "path", r.URL.Path, "code", p.Code)
		}
	})
}

// checkPathNames rejects invalid object and key names in the path before they are used in a platform call.
func checkPathNames(r *http.Request) error {
	var faults object.Faults
	for _, name := range []string{"id", "key"} {
		if v := r.PathValue(name); v != "" && !object.ValidID(v) {
			faults = append(faults, object.Fault{Path: name, Message: "the name in the path is not valid"})
		}
	}
	if len(faults) > 0 {
		return invalidFields(faults)
	}
	return nil
}

// authorize sets req.operator from the bearer token and checks that the operator has at least requiredRole.
func (s *Server) authorize(req *request, requiredRole object.Role) error {
	scheme, token, _ := strings.Cut(req.r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return newProblem(http.StatusUnauthorized, "unauthenticated", "an operator token is required as a bearer token")
	}
	operator, known := s.fleet.Operator(HashSecret(strings.TrimSpace(token)))
	if !known {
		return newProblem(http.StatusUnauthorized, "unauthenticated", "the operator token is not known")
	}
	req.operator = operator
	if roleRanks[operator.Role] < roleRanks[requiredRole] {
		return newProblem(http.StatusForbidden, "forbidden", "the role %s is required", requiredRole)
	}
	return nil
}

// HashSecret returns the SHA-256 hash of a secret in lower-case hexadecimal. Secrets are stored only in this form.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
