package edge

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/core/quota"
	"geraniumsaddle/io/peer"
)

// TestPanicInTask guards against a panic of a background task that ends the process with all its requests.
func TestPanicInTask(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := &Server{deps: newTestEnv(t).server.deps, taskFailed: make(chan error, 1)}
	s.runTask("test", func() { panic("broken entry") })
	err := <-s.taskFailed
	is.True(strings.Contains(err.Error(), "task test panicked: broken entry"))
	s.runTask("test", func() {})
	is.Equal(len(s.taskFailed), 0)
}

// TestPanicAtMessage guards against a message of a peer that ends the process.
func TestPanicAtMessage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := peerHandler{s: &Server{deps: newTestEnv(t).server.deps}} // has no writer
	claim := peer.TokenClaim{Claim: quota.Claim{Router: "vm-2.1", VM: "vm-2", Allowances: &quota.Allowances{}}}
	_, err := h.HandleCall(context.Background(), peer.Sender{ID: "vm-2.1"}, claim)
	is.Equal(err, peer.Failure{Code: codePanic})
}

// TestPanicInRequest guards against a panic of a request that leaves no line in the log.
func TestPanicInRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newTestEnv(t).server
	h := s.abortAtPanic(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("broken request") }))
	defer func() {
		is.Equal(recover(), http.ErrAbortHandler)
		w := httptest.NewRecorder()
		s.deps.Metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		is.True(strings.Contains(w.Body.String(), "geraniumsaddle_edge_panics_total 1"))
	}()
	h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
}
