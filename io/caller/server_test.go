package caller_test

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/io/caller"
)

// authOnlyBackend accepts one API key and implements no other method. Its embedded interface is nil, so a request that
// reaches another method panics.
type authOnlyBackend struct{ caller.Backend }

func (authOnlyBackend) Authenticate(_ context.Context, secret string) (caller.Identity, error) {
	if secret != "good" {
		return caller.Identity{}, caller.Refuse(caller.CodeInvalidKey, ident.OutcomeNotRun, "the API key is not known or is revoked")
	}
	return caller.Identity{Org: "o"}, nil
}

type noopObserver struct{}

func (noopObserver) RequestFinished(caller.FinishedRequest) {}

type requestCase struct {
	Name   string            `json:"name"`
	Method string            `json:"method"`
	Path   string            `json:"path"`
	Header map[string]string `json:"header"`
	Body   string            `json:"body"`
	Repeat int               `json:"repeat"`
	Status int               `json:"status"`
	Code   string            `json:"code"`
}

// TestInvalidRequests guards against invalid input that reaches the backend, or that is refused with a wrong code or
// without the outcome not_run.
func TestInvalidRequests(t *testing.T) {
	raw, err := os.ReadFile("testdata/edge.json")
	is.New(t).NoErr(err)
	var cases []requestCase
	is.New(t).NoErr(json.Unmarshal(raw, &cases))
	limits := caller.Limits{MaxBodyBytes: 256, RequestTimeout: time.Minute}
	h := caller.New(authOnlyBackend{}, limits, slog.New(slog.DiscardHandler), noopObserver{}, time.Now)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			body := strings.Repeat(c.Body, max(1, c.Repeat))
			req := httptest.NewRequest(c.Method, c.Path, strings.NewReader(body))
			for k, v := range c.Header {
				req.Header.Set(k, v)
			}
			w := httptest.NewRecorder()
			h.ServeHTTP(w, req)
			answer, err := io.ReadAll(w.Body)
			is.NoErr(err)
			is.Equal(w.Code, c.Status)
			is.True(strings.Contains(string(answer), `"code":"`+c.Code+`"`))
			is.Equal(w.Header().Get("Request-Outcome"), "not_run")
			is.True(strings.HasPrefix(w.Header().Get("X-Request-Id"), "req-"))
		})
	}
}

// TestPanicEndsConnection guards against a response that appears complete although the backend panicked.
func TestPanicEndsConnection(t *testing.T) {
	is := is.New(t)
	h := caller.New(authOnlyBackend{}, caller.Limits{MaxBodyBytes: 256, RequestTimeout: time.Minute}, slog.New(slog.DiscardHandler), noopObserver{}, time.Now)
	srv := httptest.NewServer(h)
	defer srv.Close()
	req, err := http.NewRequest(http.MethodGet, srv.URL+"/v1/models", nil)
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer good")
	_, err = http.DefaultClient.Do(req)
	is.True(err != nil)
}
