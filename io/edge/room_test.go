package edge

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/platform/fakes"
)

// TestRoomReturns guards against refusing a request while all targets are left alone for a moment after a refusal, although
// it has the time to wait for room.
func TestRoomReturns(t *testing.T) {
	t.Parallel()
	for _, req := range []testRequest{book, chat} {
		t.Run(req.path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			env := newTestEnv(t)
			first, _ := req.firstTarget()
			for range 3 {
				env.targets[first].SetMode(fakes.Shed)
				a := env.do(req)
				is.Equal(a.status, http.StatusServiceUnavailable)
				is.True(a.header.Get("Retry-After") != "")
				env.targets[first].SetMode(fakes.Serve)
				is.Equal(env.do(req).status, http.StatusOK)
			}
		})
	}
}
