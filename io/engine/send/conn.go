package send

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httptrace"
	"sync"
)

// conn counts the bytes written to the connection, which tells whether a failed request may have been sent.
type conn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
	// write is the writing of the request that uses the connection, or nil. unframed says that the response to it has no
	// length.
	write    *WriteResult
	unframed bool
}

// Read reads from the connection. The end of the connection counts only once the request has been written without an
// error, and for a response without a length only if AwaitEnd takes it for complete. net/http closes the connection at the
// end of such a response, so the wait for a target that reads the request afterwards has to be here. The end of the
// request's context closes the connection and ends the wait.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	c.mu.Lock()
	write, unframed := c.write, c.unframed
	c.mu.Unlock()
	if write == nil {
		return n, err
	}
	if unframed {
		if endErr := AwaitEnd(c.Conn, write); endErr != nil {
			return n, endErr
		}
		return n, err
	}
	if writeErr := write.Wait(); writeErr != nil {
		return n, fmt.Errorf("%w: the request was not written completely: %w", io.ErrUnexpectedEOF, writeErr)
	}
	return n, err
}

func (c *conn) setWrite(w *WriteResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.write, c.unframed = w, false
}

func (c *conn) setUnframed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unframed = true
}

// Write counts the bytes before it writes them, so that a request that fails during the write counts as sent.
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

func (c *conn) bytesWritten() int64 {
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

// connUse records which connection a request uses and how many bytes had been written to it before.
type connUse struct {
	write      *WriteResult
	mu         sync.Mutex
	conn       *conn
	startBytes int64
	ended      bool
	untracked  bool // the request used a connection that is not a *conn, or more than one connection
}

// gotConn is the GotConn hook of httptrace. A connection that arrives after end is sealed.
func (u *connUse) gotConn(info httptrace.GotConnInfo) {
	u.mu.Lock()
	defer u.mu.Unlock()
	raw := info.Conn
	if t, ok := raw.(interface{ NetConn() net.Conn }); ok {
		raw = t.NetConn()
	}
	c, ok := raw.(*conn)
	switch {
	case !ok || u.conn != nil:
		u.untracked = true
	case u.ended:
		c.seal()
	default:
		u.conn, u.startBytes = c, c.bytesWritten()
		c.setWrite(u.write)
	}
}

// setUnframed records that the response has no length, so that the end of the recorded connection ends it. The body is
// read only after that.
func (u *connUse) setUnframed() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conn != nil {
		u.conn.setUnframed()
	}
}

// end prevents further writes to the recorded connection and reports whether a byte of the request may have been
// written.
func (u *connUse) end() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ended = true
	if u.untracked {
		return true
	}
	if u.conn == nil {
		return false
	}
	return u.conn.seal() > u.startBytes
}

// onceBody is a request body that can be read only once, so that net/http does not retry the request.
type onceBody struct {
	unread []byte
}

func (b *onceBody) Read(p []byte) (int, error) {
	if len(b.unread) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

func (b *onceBody) Close() error { return nil }
