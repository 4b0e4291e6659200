package edge

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/platform"
	"geraniumsaddle/platform/fakes"
)

// readGate holds back the bytes that the server has read from one connection, as if its goroutine was not scheduled. The
// connection is the one that sends the mark.
type readGate struct {
	mark []byte
	// read is closed when the mark has been read, and open lets the read return.
	read, open chan struct{}
	once       sync.Once
}

func newReadGate(mark string) *readGate {
	return &readGate{mark: []byte(mark), read: make(chan struct{}), open: make(chan struct{})}
}

func (g *readGate) wrap(ln net.Listener) net.Listener { return gatedListener{ln, g} }

type gatedListener struct {
	net.Listener
	gate *readGate
}

func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return gatedConn{c, l.gate}, nil
}

type gatedConn struct {
	net.Conn
	gate *readGate
}

func (c gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if bytes.Contains(b[:n], c.gate.mark) {
		c.gate.once.Do(func() {
			close(c.gate.read)
			<-c.gate.open
		})
	}
	return n, err
}

// rawCaller is a caller with a connection of its own.
type rawCaller struct {
	env  *testEnv
	conn net.Conn
	r    *bufio.Reader
}

func (env *testEnv) newRawCaller() *rawCaller {
	c, err := net.Dial("tcp", env.server.CallerAddr())
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { _ = c.Close() })
	return &rawCaller{env: env, conn: c, r: bufio.NewReader(c)}
}

func (c *rawCaller) send(req testRequest) {
	r, _ := c.env.newRequest(context.Background(), req)
	if err := r.Write(c.conn); err != nil {
		c.env.t.Fatal(err)
	}
}

// receive returns the status of the next answer, or an error if the connection ends without a complete one.
func (c *rawCaller) receive() (int, error) {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// waitClosed waits until the router has closed the idle connection.
func (c *rawCaller) waitClosed() {
	if _, err := c.r.ReadByte(); err == nil {
		c.env.t.Fatal("a byte arrived on an idle connection")
	}
}

// TestIdleCloseSparesRequest guards against closing a connection as idle on which a request has just been read: the
// request ran, and its caller got no answer. The connections expire because the limit is lowered, or the router stops.
func TestIdleCloseSparesRequest(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		expire func(*testEnv)
	}{
		{"lower limit", func(env *testEnv) {
			env.store.Put("config", "main", fakes.WithIdleTimeout(fakes.Config(2, 20_000, 1_000_000), 1))
		}},
		{"shutdown", func(env *testEnv) { env.cancel() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			gate := newReadGate("second of the pair")
			env := newTestEnvOn(t, gate.wrap, func(cfg *platform.Settings, _ *Deps) {
				cfg.Bounds.ShutdownGrace = 10 * time.Second
			})
			idle, busy := env.newRawCaller(), env.newRawCaller()
			for _, caller := range []*rawCaller{idle, busy} {
				caller.send(book)
				status, err := caller.receive()
				is.NoErr(err)
				is.Equal(status, http.StatusOK)
			}
			second := book
			second.body = "second of the pair"
			second.deadlineMS = 4000 // before the end of the grace period
			busy.send(second)
			<-gate.read
			c.expire(env)
			idle.waitClosed()
			close(gate.open)
			status, err := busy.receive()
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
		})
	}
}
