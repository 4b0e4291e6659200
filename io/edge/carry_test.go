package edge

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/platform"
)

// TestFullLink guards against a router that keeps taking callers when its own link is full: they wait in the link, past
// the time of their route, while other routers have room.
func TestFullLink(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const rate = 200_000 // bytes per second
	w := newWorldSet(t, func(cfg *platform.Settings, _ *Deps) { cfg.LinkRate = rate })
	large := book
	large.body = strings.Repeat("x", rate/10)
	for range 10 {
		is.Equal(w.ask(large).status, http.StatusOK)
	}
	w.await("notice to the balancer", func() bool { return !w.isReady() })
	w.await("closed connection", func() bool {
		a := w.ask(large)
		is.Equal(a.status, http.StatusOK) // requests that arrive are served
		return a.close
	})
	// A target that cannot be reached is not replaced by another one behind the same link.
	w.engines["desk-1"].Close()
	a := w.ask(large)
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.Equal(strings.TrimSpace(a.body), refuseLink.reason)
	is.True(a.header.Get("Retry-After") != "")
	w.await("room on the link", w.isReady)
}
