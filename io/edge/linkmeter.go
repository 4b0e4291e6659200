package edge

import (
	"net"

	"github.com/jonboulle/clockwork"

	"geraniumsaddle/core/link"
)

// meteredListener counts the bytes that its connections transfer.
type meteredListener struct {
	net.Listener
	meter *link.Meter
	clock clockwork.Clock
}

// Accept returns the next connection.
func (l meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return meteredConn{c, l.meter, l.clock}, nil
}

// meteredConn counts the bytes that a connection transfers.
type meteredConn struct {
	net.Conn
	meter *link.Meter
	clock clockwork.Clock
}

func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.Add(link.In, n, c.clock.Now())
	return n, err
}

func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.Add(link.Out, n, c.clock.Now())
	return n, err
}

// CloseWrite closes the sending side of the connection. net/http uses it to let a caller that is still sending read the
// answer before the connection is closed.
func (c meteredConn) CloseWrite() error {
	closer, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return closer.CloseWrite()
}

// checkLink passes the traffic of the last second to the shedder and logs when the link becomes busy and when it no
// longer is.
func (s *Server) checkLink() {
	now := s.deps.Clock.Now()
	rate := s.linkMeter.Rate(now)
	if !s.shedder.Observe(rate, now) {
		return
	}
	if s.shedder.Busy() {
		s.deps.Log.Warn("link is busy; taking no new callers", "bytes_per_s", rate, "capacity", s.cfg.LinkRate)
		return
	}
	s.deps.Log.Info("link is no longer busy", "bytes_per_s", rate, "capacity", s.cfg.LinkRate)
}
