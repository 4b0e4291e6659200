package conns

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"geraniumsaddle/core/link"
)

// TestHalfClose guards against a server that resets the connection of a caller that is still sending, because the wrapper
// hides CloseWrite.
func TestHalfClose(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	callers := New(Config{Clock: clockwork.NewRealClock(), Meter: new(link.Meter)}).Listener(l)
	defer func() { is.NoErr(callers.Close()) }()
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = caller.Close() }()
	c, err := callers.Accept()
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

// TestIdleLimits guards against an idle connection that stays open beyond the limit or through a shutdown, and against
// closing a connection whose first request is still on its way.
func TestIdleLimits(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		apply  func(*Set)
		unused bool // whether the connection has sent no request before
		closed bool
	}{
		{"lower limit", func(s *Set) { s.SetIdleLimit(time.Nanosecond) }, false, true},
		{"lower limit, unused", func(s *Set) { s.SetIdleLimit(time.Nanosecond) }, true, false},
		{"shutdown", (*Set).CloseIdle, false, true},
		{"shutdown, unused", (*Set).CloseIdle, true, true},
		{"limit removed", func(s *Set) {
			s.SetIdleLimit(time.Nanosecond)
			s.SetIdleLimit(0)
		}, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			set := New(Config{Clock: clockwork.NewRealClock()})
			set.SetIdleLimit(time.Hour)
			addr := serve(t, set)
			caller := dial(t, addr)
			if !c.unused {
				ask(t, caller)
			}
			c.apply(set)
			if c.unused || !c.closed {
				ask(t, caller) // A request that arrives in time is answered.
			}
			if c.closed {
				_, err := caller.r.ReadByte()
				is.Equal(err, io.EOF)
				is.NoErr(set.Wait(context.Background()))
			}
		})
	}
}

// TestPipelinedRequest guards against closing a connection as idle whose next request had been read together with the one
// before.
func TestPipelinedRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	set := New(Config{Clock: clockwork.NewRealClock()})
	caller := dial(t, serve(t, set))
	set.CloseIdle()
	_, err := io.WriteString(caller, request+request)
	is.NoErr(err)
	for range 2 {
		receive(t, caller)
	}
}
