package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/justinas/alice"

	"geraniumsaddle/core/ident"
)

// Limits bounds the resources of one HTTP request.
type Limits struct {
	MaxBodyBytes   ident.Bytes
	RequestTimeout time.Duration
}

// Observer is notified of finished requests.
type Observer interface {
	RequestFinished(f FinishedRequest)
}

// FinishedRequest describes a finished HTTP request.
type FinishedRequest struct {
	Route    string
	Caller   Identity
	Code     Code // empty if the request was answered
	Outcome  ident.Outcome
	Duration time.Duration
}

// Server is the HTTP handler of the callers' API.
type Server struct {
	backend  Backend
	limits   Limits
	log      *slog.Logger
	observer Observer
	now      func() time.Time
}

// New returns the handler of the callers' API, which passes requests to backend.
func New(backend Backend, limits Limits, log *slog.Logger, observer Observer, now func() time.Time) http.Handler {
	s := &Server{backend: backend, limits: limits, log: log, observer: observer, now: now}
	mux := http.NewServeMux()
	for _, entry := range []struct {
		pattern string
		serve   routeHandler
	}{
		{"POST /v1/chat/completions", s.handleChat},
		{"GET /v1/models", s.handleModels},
		{"/v1/services/{service}/{path...}", s.handleService},
		{"GET /v1/budget", s.handleBudget},
		{"GET /v1/bills/{id}", s.handleBill},
		{"POST /v1/operations", s.handleNewOperation},
	} {
		mux.Handle(entry.pattern, s.wrapRoute(entry.pattern, entry.serve))
	}
	mux.Handle("/", s.wrapRoute("/", s.handleNotFound))
	return alice.New(s.recoverPanic, requestID).Then(mux)
}

// exchange is one HTTP request with its response writer, its id and its authenticated caller.
type exchange struct {
	w      http.ResponseWriter
	r      *http.Request
	id     ident.RequestID
	caller Identity
}

// routeHandler serves one exchange. It returns an error only if it has not written any part of the response.
type routeHandler func(ctx context.Context, x *exchange) error

type requestIDKey struct{}

// requestID assigns a new id to every HTTP request and sends it in the X-Request-Id header.
func requestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := newRequestID()
		w.Header().Set("X-Request-Id", string(id))
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), requestIDKey{}, id)))
	})
}

func newRequestID() ident.RequestID {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return ident.RequestID("req-" + hex.EncodeToString(b[:]))
}

// recoverPanic logs a panic and aborts the connection, so that the caller does not mistake a partial response for a
// complete one.
func (s *Server) recoverPanic(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if v := recover(); v != nil {
				s.log.Error("panic while serving a request", "panic", v, "stack", string(debug.Stack()))
				panic(http.ErrAbortHandler)
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// wrapRoute returns a handler that authenticates the caller, limits the time of the request, writes the refusal if
// there is one and reports the finished request.
func (s *Server) wrapRoute(pattern string, handler routeHandler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := s.now()
		id, _ := r.Context().Value(requestIDKey{}).(ident.RequestID)
		x := &exchange{w: w, r: r, id: id}
		ctx, cancel := context.WithTimeout(r.Context(), s.limits.RequestTimeout)
		defer cancel()
		err := s.authenticate(ctx, x)
		if err == nil {
			err = handler(ctx, x)
		}
		finished := FinishedRequest{Route: pattern, Caller: x.caller, Outcome: ident.OutcomeRun, Duration: s.now().Sub(start)}
		if err != nil {
			refusal := asRefusal(err)
			writeRefusal(w, refusal)
			finished.Code, finished.Outcome = refusal.Code, refusal.Outcome
		}
		s.reportFinished(x, finished)
	})
}

func (s *Server) reportFinished(x *exchange, f FinishedRequest) {
	s.observer.RequestFinished(f)
	s.log.Info("request finished", "request_id", x.id, "org", x.caller.Org, "route", f.Route,
		"code", f.Code, "outcome", f.Outcome, "duration_ms", f.Duration.Milliseconds())
}

func (s *Server) authenticate(ctx context.Context, x *exchange) error {
	scheme, secret, _ := strings.Cut(x.r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || secret == "" {
		return Refuse(CodeInvalidKey, ident.OutcomeNotRun, "an API key is required as a bearer token")
	}
	var err error
	x.caller, err = s.backend.Authenticate(ctx, strings.TrimSpace(secret))
	return err
}

func (s *Server) handleNotFound(_ context.Context, x *exchange) error {
	return Refuse(CodeNotFound, ident.OutcomeNotRun, "no such route: %s", x.r.Method)
}

// maxIdempotencyKeyBytes bounds the length of an idempotency key.
const maxIdempotencyKeyBytes = 256

func idempotencyKey(r *http.Request) (string, error) {
	k := r.Header.Get("Idempotency-Key")
	if len(k) > maxIdempotencyKeyBytes {
		return "", invalid("Idempotency-Key is longer than %d bytes", maxIdempotencyKeyBytes)
	}
	for _, c := range []byte(k) {
		if c < 0x21 || c > 0x7e {
			return "", invalid("Idempotency-Key has a character other than printable ASCII")
		}
	}
	return k, nil
}

func (s *Server) handleChat(ctx context.Context, x *exchange) error {
	raw, err := readBody(x.w, x.r, s.limits.MaxBodyBytes)
	if err != nil {
		return err
	}
	parsed, err := decodeChat(raw)
	if err != nil {
		return err
	}
	key, err := idempotencyKey(x.r)
	if err != nil {
		return err
	}
	req := parsed.request
	req.ID, req.Caller, req.IdempotencyKey = x.id, x.caller, key
	req.BodyHash = xxhash.Sum64(raw)
	req.Deadline, _ = ctx.Deadline()
	if !parsed.stream {
		return s.backend.Chat(ctx, req, &completionWriter{w: x.w})
	}
	w := &sseWriter{w: x.w, rc: http.NewResponseController(x.w), includeUsage: parsed.includeUsage}
	err = s.backend.Chat(ctx, req, w)
	if err == nil || !w.started {
		return err
	}
	refusal := asRefusal(err)
	w.writeError(refusal)
	s.log.Warn("stream ended with an error", "request_id", x.id, "org", x.caller.Org, "code", refusal.Code, "outcome", refusal.Outcome)
	return nil
}
