package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

const unframedHead = "HTTP/1.1 200 OK\r\nId: mine\r\n\r\n"

// resetConn is a connection that is reset while a request is written: the write gets the error, and the reader sees the
// end of the connection after the bytes that had arrived.
type resetConn struct {
	net.Conn
	response io.Reader
	reset    chan struct{}
}

func (c *resetConn) Write(b []byte) (int, error) {
	if len(b) < maxInlineBody {
		return len(b), nil // the head
	}
	<-c.reset
	return 0, syscall.ECONNRESET
}

func (c *resetConn) Read(b []byte) (int, error) {
	n, err := c.response.Read(b)
	if err == io.EOF {
		close(c.reset)
	}
	return n, err
}

func (c *resetConn) Close() error { return nil }

// TestWriteTakesReset guards against passing on half of a response without a length as a whole one. The kernel reports a
// reset once: if the write of a long request takes it, the reader sees an orderly end.
func TestWriteTakesReset(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	cfg := Config{Clock: clockwork.NewFakeClock()}
	p := New(cfg)
	raw := &resetConn{response: strings.NewReader(unframedHead + "half"), reset: make(chan struct{})}
	r := newRequest("addr")
	r.Method, r.Body = http.MethodPost, make([]byte, 4<<20)
	resp, err := p.sendOn(context.Background(), newConn(raw, cfg), r)
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	resp.Close(0)
	is.Equal(string(body), "half")
	is.True(err != nil)
}

// TestResponseWithoutLength guards against taking a response without a length for complete that a reset has ended, and
// against taking one for cut that ended in order before the request was read.
func TestResponseWithoutLength(t *testing.T) {
	t.Parallel()
	const (
		rounds = 20
		answer = "a whole answer"
		// linkDelay is the delay of the link to the target.
		linkDelay = 5 * time.Millisecond
	)
	readAll := func(r io.Reader, c net.Conn) { _, _ = io.Copy(io.Discard, r) }
	answerAll := func(_ io.Reader, c net.Conn) { _, _ = io.WriteString(c, unframedHead+answer) }
	endAnswer := func(_ io.Reader, c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() }
	wait := func(r io.Reader, _ net.Conn) { _, _ = io.CopyN(io.Discard, r, 64<<10) }
	// The link's delay, after which the reset of a target that was closed before it had read the request comes back.
	resetLater := func(_ io.Reader, c net.Conn) {
		time.Sleep(linkDelay)
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	cases := []struct {
		name     string
		body     int // bytes of the request
		target   []func(request io.Reader, c net.Conn)
		complete bool
	}{
		{"short request", 10, []func(io.Reader, net.Conn){readAll, answerAll}, true},
		{"request read before", 4 << 20, []func(io.Reader, net.Conn){readAll, answerAll}, true},
		{"request read after the answer", 4 << 20, []func(io.Reader, net.Conn){answerAll, endAnswer, readAll}, true},
		{"request read during the answer", 4 << 20, []func(io.Reader, net.Conn){answerAll, readAll}, true},
		{"reset while the request is written", 4 << 20, []func(io.Reader, net.Conn){answerAll, wait}, false},
		{"reset after the request was buffered", 300 << 10, []func(io.Reader, net.Conn){answerAll, wait}, false},
		{"closed after the end of the answer, request unread", 4 << 20, []func(io.Reader, net.Conn){answerAll, endAnswer, wait}, false},
		{"closed in order, reset by bytes that a link had taken", 300 << 10, []func(io.Reader, net.Conn){answerAll, endAnswer, readAll, resetLater}, false},
		{"the same with a long request", 4 << 20, []func(io.Reader, net.Conn){answerAll, endAnswer, readAll, resetLater}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			addr := newScriptedServer(t, func(conn net.Conn) {
				defer func() { _ = conn.Close() }()
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				for _, step := range c.target {
					step(req.Body, conn)
				}
			})
			// Beside load a dial takes longer than the default timeout, and a request that wasn't sent tells nothing of its end.
			p := New(Config{Clock: clockwork.NewRealClock(), DialTimeout: 30 * time.Second})
			for range rounds {
				r := newRequest(addr)
				r.Method, r.Body = http.MethodPost, make([]byte, c.body)
				resp, err := p.Send(context.Background(), r)
				if err == nil {
					var body []byte
					body, err = io.ReadAll(resp.Body)
					resp.Close(0)
					is.True(strings.HasPrefix(answer, string(body)))
				}
				t.Logf("response ended with %v", err)
				is.Equal(err == nil, c.complete)
			}
		})
	}
}
