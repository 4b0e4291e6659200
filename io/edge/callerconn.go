package edge

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"geraniumsaddle/core/link"
)

// callerListener accepts the connections of callers.
type callerListener struct {
	net.Listener
	meter *link.Meter
	clock clockwork.Clock
	// headTimeout returns how long a caller may take to send the head of a request. Zero means no limit.
	headTimeout func() time.Duration
}

// Accept returns the next connection.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, listener: l}, nil
}

// callerConn counts the bytes that a connection transfers, and applies the configured time limit for heads, which may
// change while connections are open. http.Server.ReadHeaderTimeout does not support that.
type callerConn struct {
	net.Conn
	listener callerListener
	// active says that the head of a request has been read and its answer has not ended.
	active atomic.Bool
}

func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.listener.meter.Add(link.In, n, c.listener.clock.Now())
	return n, err
}

func (c *callerConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.listener.meter.Add(link.Out, n, c.listener.clock.Now())
	return n, err
}

// SetReadDeadline sets the deadline, or an earlier one while the head of a request is read.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if limit := c.listener.headTimeout(); limit > 0 && !t.IsZero() && !c.active.Load() {
		if end := c.listener.clock.Now().Add(limit); end.Before(t) {
			t = end
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the sending side of the connection. net/http uses it to let a caller that is still sending read the
// answer before the connection is closed.
func (c *callerConn) CloseWrite() error {
	closer, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return closer.CloseWrite()
}

// trackState is the ConnState hook of the server for callers.
func (s *Server) trackState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*callerConn); ok {
		c.active.Store(state == http.StateActive)
	}
	s.idleConns.trackState(conn, state)
}

// headTimeout returns the configured time limit for the head of a request, or zero without a configuration.
func (s *Server) headTimeout() time.Duration {
	if t := s.table.Load(); t != nil {
		return t.Limits().HeaderTimeout
	}
	return 0
}
