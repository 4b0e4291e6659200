package edge

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/platform"
)

// TestLinkSaturation guards against a router that keeps accepting callers while its link is full. Their requests would
// wait beyond the timeout of their route, while other routers have free capacity.
func TestLinkSaturation(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const rate = 200_000 // bytes per second
	env := newTestEnvWith(t, func(cfg *platform.Settings, _ *Deps) { cfg.LinkRate = rate })
	large := book
	large.body = strings.Repeat("x", rate/10)
	for range 10 {
		is.Equal(env.do(large).status, http.StatusOK)
	}
	env.waitFor("the router to be not ready", func() bool { return !env.isReady() })
	env.waitFor("a closed connection", func() bool {
		a := env.do(large)
		is.Equal(a.status, http.StatusOK) // a busy router still serves the requests that it receives
		return a.close
	})
	// If a target is unreachable, no other target is tried over the same full link.
	env.targets["desk-1"].Close()
	a := env.do(large)
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.Equal(strings.TrimSpace(a.body), refuseLinkFull.reason)
	is.True(a.header.Get("Retry-After") != "")
	env.waitFor("free capacity on the link", env.isReady)
}
