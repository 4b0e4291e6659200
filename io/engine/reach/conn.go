package reach

import (
	"io"
	"net"
	"net/http/httptrace"
	"sync"
)

// conn counts the bytes handed to the kernel, so that a failed request of which no byte was written is known.
type conn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write counts the bytes before it writes them. A request that fails meanwhile is then taken for sent.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.written += int64(len(b))
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if n < len(b) {
		c.mu.Lock()
		c.written -= int64(len(b) - n)
		c.mu.Unlock()
	}
	return n, err
}

func (c *conn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal refuses all later writes and returns the bytes written so far.
func (c *conn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// usage records the connection of one request.
type usage struct {
	mu    sync.Mutex
	conn  *conn
	from  int64
	ended bool
	other bool
}

func (u *usage) start(info httptrace.GotConnInfo) {
	u.mu.Lock()
	defer u.mu.Unlock()
	raw := info.Conn
	if t, ok := raw.(interface{ NetConn() net.Conn }); ok {
		raw = t.NetConn()
	}
	c, ok := raw.(*conn)
	switch {
	case !ok || u.conn != nil:
		u.other = true
	case u.ended:
		c.seal()
	default:
		u.conn, u.from = c, c.count()
	}
}

// end reports whether a byte of the request can have been written. None is written after it returns.
func (u *usage) end() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ended = true
	if u.other {
		return true
	}
	if u.conn == nil {
		return false
	}
	return u.conn.seal() > u.from
}

// onceBody is a request body that net/http cannot read again, which keeps it from repeating the request.
type onceBody struct {
	rest []byte
}

func (b *onceBody) Read(p []byte) (int, error) {
	if len(b.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

func (b *onceBody) Close() error { return nil }
