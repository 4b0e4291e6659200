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

// Limits bounds what one HTTP request may use.
type Limits struct {
	MaxBodyBytes   ident.Bytes
	RequestTimeout time.Duration
}

// Observer is told about finished requests.
type Observer interface {
	RequestFinished(f FinishedRequest)
}

// FinishedRequest describes a finished HTTP request.
type FinishedRequest struct {
	Route    string
	Caller   Identity
	Code     Code // empty for an answer
	Outcome  ident.Outcome
	Duration time.Duration
}

// Server is the HTTP handler of the callers' API.
type Server struct {
	backend Backend
	limits  Limits
	log     *slog.Logger
	obs     Observer
	now     func() time.Time
}

// New returns the handler of the callers' API.
func New(b Backend, l Limits, log *slog.Logger, obs Observer, now func() time.Time) http.Handler {
	s := &Server{backend: b, limits: l, log: log, obs: obs, now: now}
	mux := http.NewServeMux()
	for _, row := range []struct {
		pattern string
		serve   route
	}{
		{"POST /v1/chat/completions", s.chat},
		{"GET /v1/models", s.models},
		{"/v1/services/{service}/{path...}", s.service},
		{"GET /v1/budget", s.budget},
		{"GET /v1/bills/{id}", s.bill},
		{"POST /v1/operations", s.operation},
	} {
		mux.Handle(row.pattern, s.handle(row.pattern, row.serve))
	}
	mux.Handle("/", s.handle("/", s.absent))
	return alice.New(s.recoverPanic, requestID).Then(mux)
}

// exchange is one HTTP request with its identity.
type exchange struct {
	w      http.ResponseWriter
	r      *http.Request
	id     ident.RequestID
	caller Identity
}

// route serves one exchange. It returns a refusal only if it has written nothing.
type route func(ctx context.Context, x *exchange) error

type idKey struct{}

// requestID gives every HTTP request a new id and announces it.
func requestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := newRequestID()
		w.Header().Set("X-Request-Id", string(id))
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), idKey{}, id)))
	})
}

func newRequestID() ident.RequestID {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return ident.RequestID("req-" + hex.EncodeToString(b[:]))
}

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

// handle authenticates the caller, bounds the time and writes refusals.
func (s *Server) handle(pattern string, serve route) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := s.now()
		id, _ := r.Context().Value(idKey{}).(ident.RequestID)
		x := &exchange{w: w, r: r, id: id}
		ctx, cancel := context.WithTimeout(r.Context(), s.limits.RequestTimeout)
		defer cancel()
		err := s.authenticate(ctx, x)
		if err == nil {
			err = serve(ctx, x)
		}
		f := FinishedRequest{Route: pattern, Caller: x.caller, Outcome: ident.OutcomeRun, Duration: s.now().Sub(start)}
		if err != nil {
			ref := asRefusal(err)
			writeRefusal(w, ref)
			f.Code, f.Outcome = ref.Code, ref.Outcome
		}
		s.finish(x, f)
	})
}

func (s *Server) finish(x *exchange, f FinishedRequest) {
	s.obs.RequestFinished(f)
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

func (s *Server) absent(_ context.Context, x *exchange) error {
	return Refuse(CodeNotFound, ident.OutcomeNotRun, "no such route: %s", x.r.Method)
}

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 256

func idempotencyKey(r *http.Request) (string, error) {
	k := r.Header.Get("Idempotency-Key")
	if len(k) > maxKeyBytes {
		return "", invalid("Idempotency-Key is longer than %d bytes", maxKeyBytes)
	}
	for _, c := range []byte(k) {
		if c < 0x21 || c > 0x7e {
			return "", invalid("Idempotency-Key has a character other than printable ASCII")
		}
	}
	return k, nil
}

func (s *Server) chat(ctx context.Context, x *exchange) error {
	raw, err := readBody(x.w, x.r, s.limits.MaxBodyBytes)
	if err != nil {
		return err
	}
	p, err := decodeChat(raw)
	if err != nil {
		return err
	}
	key, err := idempotencyKey(x.r)
	if err != nil {
		return err
	}
	req := p.request
	req.ID, req.Caller, req.IdempotencyKey = x.id, x.caller, key
	req.BodyHash = xxhash.Sum64(raw)
	req.Deadline, _ = ctx.Deadline()
	if !p.stream {
		return s.backend.Chat(ctx, req, &plainWriter{w: x.w})
	}
	w := &sseWriter{w: x.w, rc: http.NewResponseController(x.w), includeUsage: p.includeUsage}
	err = s.backend.Chat(ctx, req, w)
	if err == nil || !w.begun {
		return err
	}
	ref := asRefusal(err)
	w.fail(ref)
	s.log.Warn("stream ended with an error", "request_id", x.id, "org", x.caller.Org, "code", ref.Code, "outcome", ref.Outcome)
	return nil
}
