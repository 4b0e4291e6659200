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

// TestFullLink guards against a router that keeps taking callers when its own link is full: they wait in the link, past
// the time of their route, while other routers have room.
func TestLinkSaturation(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const rate = 200_000 // bytes per second
	w := newTestEnvWith(t, func(cfg *platform.Settings, _ *Deps) { cfg.LinkRate = rate })
	large := book
	large.body = strings.Repeat("x", rate/10)
	for range 10 {
		is.Equal(w.do(large).status, http.StatusOK)
	}
	w.waitFor("notice to the balancer", func() bool { return !w.isReady() })
	w.waitFor("closed connection", func() bool {
		a := w.do(large)
		is.Equal(a.status, http.StatusOK) // requests that arrive are served
		return a.close
	})
	// A target that cannot be reached is not replaced by another one behind the same link.
	w.targets["desk-1"].Close()
	a := w.do(large)
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.Equal(strings.TrimSpace(a.body), refuseLinkFull.reason)
	is.True(a.header.Get("Retry-After") != "")
	w.waitFor("room on the link", w.isReady)
}

// TestMeteredConnClosesHalf guards against a server that resets a connection whose caller still sends, because the wrapped
// connection hides that it can close one side.
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
	half, ok := c.(interface{ CloseWrite() error })
	is.True(ok)
	is.NoErr(half.CloseWrite())
	_, err = caller.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	_, err = caller.Write([]byte("x"))
	is.NoErr(err)
	n, err := c.Read(make([]byte, 1))
	is.NoErr(err)
	is.Equal(n, 1)
}
