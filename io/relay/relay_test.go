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

	"geraniumsaddle/io/engine/send"
)

// newScriptedServer starts a server that calls serve for one connection after the other.
func newScriptedServer(t *testing.T, serve func(net.Conn)) string {
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
			serve(c)
		}
	}()
	return ln.Addr().String()
}

func newRequest(addr string) Request {
	return Request{PoolKey: addr, Addr: addr, Method: http.MethodGet, URI: "/x", Host: "h", Header: http.Header{},
		Owner: ownerByID}
}

func ownerByID(_ int, h http.Header) Owner {
	switch h.Get("Id") {
	case "mine":
		return OwnerThis
	case "":
		return OwnerUnnamed
	}
	return OwnerOther
}

const okResponse = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok"

// TestSendNeverRetries guards against a retry by the client itself when a reused connection fails. net/http's client
// does that.
func TestSendNeverRetries(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	requests := make(chan string, 10)
	addr := newScriptedServer(t, func(c net.Conn) {
		b := make([]byte, 1000)
		for range 2 {
			n, err := c.Read(b)
			if err != nil {
				break
			}
			requests <- string(b[:n])
			if len(requests) == 1 {
				_, _ = io.WriteString(c, okResponse)
			}
		}
		_ = c.Close()
	})
	p := New(Config{Clock: clock})
	resp, err := p.Send(context.Background(), newRequest(addr))
	is.NoErr(err)
	_, err = io.ReadAll(resp.Body)
	is.NoErr(err)
	resp.Close(0)
	_, err = p.Send(context.Background(), newRequest(addr))
	is.True(errors.Is(err, send.ErrOutcomeUnknown))
	is.Equal(len(requests), 2)
}

// TestSendReportsNotSent guards against ErrOutcomeUnknown for a request that can't have reached the target.
func TestSendReportsNotSent(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := ln.Addr().String()
	is.NoErr(ln.Close())
	_, err = New(Config{Clock: clockwork.NewFakeClock()}).Send(context.Background(), newRequest(addr))
	is.True(errors.Is(err, send.ErrNotSent))
}

// TestConnectionReuse guards against reusing a connection with unexpected bytes, and against closing a connection that
// could be reused.
func TestConnectionReuse(t *testing.T) {
	otherResponse := strings.ReplaceAll(okResponse, "mine", "other")
	cases := []struct {
		name string
		sent string
		body string
		fail bool
		kept bool
	}{
		{"plain", okResponse, "ok", false, true},
		{"informational response first", "HTTP/1.1 100 Continue\r\n\r\n" + okResponse, "ok", false, true},
		{"other response first", otherResponse + okResponse, "ok", false, true},
		{"only another response", otherResponse, "", true, false},
		{"garbage", "hello\r\n\r\n", "", true, false},
		{"bytes after the response", okResponse + "x", "ok", false, false},
		{"connection: close", strings.Replace(okResponse, "Id", "Connection: close\r\nId", 1), "ok", false, false},
		{"truncated body", okResponse[:len(okResponse)-1], "", true, false},
		{"no length", "HTTP/1.1 200 OK\r\nId: mine\r\n\r\nok", "ok", false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			addr := newScriptedServer(t, func(conn net.Conn) {
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
			resp, err := p.Send(context.Background(), newRequest(addr))
			var body []byte
			if err == nil {
				body, err = io.ReadAll(resp.Body)
				resp.Close(0)
			}
			is.Equal(err != nil, c.fail)
			if !c.fail {
				is.Equal(string(body), c.body)
			}
			is.Equal(len(p.idle[addr]) == 1, c.kept)
		})
	}
}

// TestTakeIdleSkipsExpiringConn guards against a request on a connection that its target is about to close.
func TestTakeIdleSkipsExpiringConn(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	p := New(Config{Clock: clock})
	addr := newScriptedServer(t, func(c net.Conn) {
		b := make([]byte, 1000)
		if _, err := c.Read(b); err == nil {
			_, _ = io.WriteString(c, okResponse)
		}
	})
	resp, err := p.Send(context.Background(), newRequest(addr))
	is.NoErr(err)
	_, err = io.ReadAll(resp.Body)
	is.NoErr(err)
	const targetIdleTimeout = 2e9 // nanoseconds
	resp.Close(targetIdleTimeout)
	clock.Advance(targetIdleTimeout * 3 / 4)
	is.Equal(p.takeIdle(addr), nil)
}

// TestContextEndClosesConn guards against a connection that stays open after the request's context has ended.
func TestContextEndClosesConn(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	addr := newScriptedServer(t, func(c net.Conn) {
		_, _ = io.Copy(io.Discard, c)
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go cancel()
	_, err := New(Config{Clock: clockwork.NewFakeClock()}).Send(ctx, newRequest(addr))
	is.True(err != nil)
	if errors.Is(err, send.ErrOutcomeUnknown) {
		<-closed
	}
}

// closeTrap fails the test if it is closed while the pool is locked.
type closeTrap struct {
	net.Conn
	t *testing.T
	p *Pool
}

func (c closeTrap) Close() error {
	if !c.p.mu.TryLock() {
		c.t.Error("a connection is closed while requests wait for the pool")
		return nil
	}
	c.p.mu.Unlock()
	return nil
}

// TestSweep guards against requests that wait while many idle connections are closed, and against closing one that has not
// expired.
func TestSweep(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	cfg := Config{Clock: clock}
	p := New(cfg)
	put := func() { p.putIdle("a", newConn(closeTrap{t: t, p: p}, cfg)) }
	put()
	clock.Advance(p.cfg.IdleTimeout)
	put()
	p.Sweep()
	is.Equal(len(p.idle["a"]), 1)
	clock.Advance(p.cfg.IdleTimeout)
	p.Sweep()
	is.Equal(len(p.idle), 0)
}
