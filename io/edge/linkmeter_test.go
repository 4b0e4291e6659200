package edge

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"geraniumsaddle/core/link"
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

// TestMeteredConnHalfClose guards against a server that resets the connection of a caller that is still sending,
// because the wrapper hides CloseWrite.
func TestMeteredConnHalfClose(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	metered := meteredListener{l, new(link.Meter), clockwork.NewRealClock()}
	defer func() { is.NoErr(metered.Close()) }()
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = caller.Close() }()
	c, err := metered.Accept()
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	closer, ok := c.(interface{ CloseWrite() error })
	is.True(ok)
	is.NoErr(closer.CloseWrite())
	_, err = caller.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	_, err = caller.Write([]byte("x"))
	is.NoErr(err)
	n, err := c.Read(make([]byte, 1))
	is.NoErr(err)
	is.Equal(n, 1)
}
