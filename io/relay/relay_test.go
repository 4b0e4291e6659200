package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"geraniumsaddle/io/engine/reach"
)

// newScript starts a server that passes connections to play, one after the other.
func newScript(t *testing.T, play func(net.Conn)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			play(c)
		}
	}()
	return ln.Addr().String()
}

func get(addr string) Request {
	return Request{Key: addr, Addr: addr, Method: http.MethodGet, URI: "/x", Host: "h", Header: http.Header{},
		Belongs: func(_ int, h http.Header) bool { return h.Get("Id") == "mine" }}
}

const mine = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok"

// TestNeverRepeats guards against a request that is sent again by itself when a kept connection fails, as net/http's
// client does.
func TestNeverRepeats(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	requests := make(chan string, 10)
	addr := newScript(t, func(c net.Conn) {
		b := make([]byte, 1000)
		for range 2 {
			n, err := c.Read(b)
			if err != nil {
				break
			}
			requests <- string(b[:n])
			if len(requests) == 1 {
				_, _ = io.WriteString(c, mine)
			}
		}
		_ = c.Close()
	})
	p := New(Config{Clock: clock})
	a, err := p.Send(context.Background(), get(addr))
	is.NoErr(err)
	_, err = io.ReadAll(a.Body)
	is.NoErr(err)
	a.Close(0)
	_, err = p.Send(context.Background(), get(addr))
	is.True(errors.Is(err, reach.ErrOutcomeUnknown))
	is.Equal(len(requests), 2)
}

// TestNotSent guards against an unknown fate where nothing can have arrived.
func TestNotSent(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := ln.Addr().String()
	is.NoErr(ln.Close())
	_, err = New(Config{Clock: clockwork.NewFakeClock()}).Send(context.Background(), get(addr))
	is.True(errors.Is(err, reach.ErrNotSent))
}

// TestConnections guards against a kept connection with stray bytes, and against one that is thrown away without need.
func TestConnections(t *testing.T) {
	other := strings.ReplaceAll(mine, "mine", "other")
	cases := []struct {
		name string
		sent string
		body string
		fail bool
		kept bool
	}{
		{"plain", mine, "ok", false, true},
		{"informational answer first", "HTTP/1.1 100 Continue\r\n\r\n" + mine, "ok", false, true},
		{"stray answer first", other + mine, "ok", false, true},
		{"only a stray answer", other, "", true, false},
		{"garbage", "hello\r\n\r\n", "", true, false},
		{"bytes after the answer", mine + "x", "ok", false, false},
		{"connection: close", strings.Replace(mine, "Id", "Connection: close\r\nId", 1), "ok", false, false},
		{"body cut", mine[:len(mine)-1], "", true, false},
		{"no length", "HTTP/1.1 200 OK\r\nId: mine\r\n\r\nok", "ok", false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			addr := newScript(t, func(conn net.Conn) {
				b := make([]byte, 1000)
				if _, err := conn.Read(b); err != nil {
					t.Error(err)
				}
				_, _ = io.WriteString(conn, c.sent)
				if !c.kept {
					_ = conn.(*net.TCPConn).CloseWrite()
				}
			})
			p := New(Config{Clock: clockwork.NewFakeClock()})
			a, err := p.Send(context.Background(), get(addr))
			var body []byte
			if err == nil {
				body, err = io.ReadAll(a.Body)
				a.Close(0)
			}
			is.Equal(err != nil, c.fail)
			if !c.fail {
				is.Equal(string(body), c.body)
			}
			is.Equal(len(p.idle[addr]) == 1, c.kept)
		})
	}
}

// TestIdleLimit guards against a request on a connection that its target is about to close.
func TestIdleLimit(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	p := New(Config{Clock: clock})
	addr := newScript(t, func(c net.Conn) {
		b := make([]byte, 1000)
		if _, err := c.Read(b); err == nil {
			_, _ = io.WriteString(c, mine)
		}
	})
	a, err := p.Send(context.Background(), get(addr))
	is.NoErr(err)
	_, err = io.ReadAll(a.Body)
	is.NoErr(err)
	const told = 2e9 // nanoseconds
	a.Close(told)
	clock.Advance(told * 3 / 4)
	is.Equal(p.take(addr), nil)
}

// TestCancel guards against an exchange that outlives its caller.
func TestCancel(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	addr := newScript(t, func(c net.Conn) {
		_, _ = io.Copy(io.Discard, c)
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go cancel()
	_, err := New(Config{Clock: clockwork.NewFakeClock()}).Send(ctx, get(addr))
	is.True(err != nil)
	if errors.Is(err, reach.ErrOutcomeUnknown) {
		<-closed
	}
}
