package peer

import (
	"net"
	"sync"
	"time"
)

// Direction selects the traffic that a cut blocks.
type Direction uint8

// The directions of a cut, as seen from the router that applies it.
const (
	ToPeer Direction = 1 << iota
	FromPeer
	Both = ToPeer | FromPeer
)

// PacketFilter drops packets to or from chosen peers. It serves tests and the test build of the router: a
// transport without cuts uses the socket directly.
type PacketFilter struct {
	mu     sync.RWMutex
	byAddr map[string]Direction
}

// Set blocks the given directions for a peer address and opens the others. Zero opens both.
func (c *PacketFilter) Set(addr string, d Direction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byAddr == nil {
		c.byAddr = make(map[string]Direction)
	}
	if d == 0 {
		delete(c.byAddr, addr)
		return
	}
	c.byAddr[addr] = d
}

// Clear opens all directions for all peers.
func (c *PacketFilter) Clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.byAddr)
}

func (c *PacketFilter) blocked(addr net.Addr, d Direction) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return len(c.byAddr) > 0 && c.byAddr[addr.String()]&d != 0
}

// cutConn hides the socket's batch calls from quic-go so that every packet passes here.
type cutConn struct {
	udp  *net.UDPConn
	cuts *PacketFilter
}

func (c *cutConn) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		n, addr, err := c.udp.ReadFrom(b)
		if err != nil || !c.cuts.blocked(addr, FromPeer) {
			return n, addr, err
		}
	}
}

func (c *cutConn) WriteTo(b []byte, addr net.Addr) (int, error) {
	if c.cuts.blocked(addr, ToPeer) {
		return len(b), nil
	}
	return c.udp.WriteTo(b, addr)
}

func (c *cutConn) Close() error                       { return c.udp.Close() }
func (c *cutConn) LocalAddr() net.Addr                { return c.udp.LocalAddr() }
func (c *cutConn) SetDeadline(t time.Time) error      { return c.udp.SetDeadline(t) }
func (c *cutConn) SetReadDeadline(t time.Time) error  { return c.udp.SetReadDeadline(t) }
func (c *cutConn) SetWriteDeadline(t time.Time) error { return c.udp.SetWriteDeadline(t) }
func (c *cutConn) SetReadBuffer(n int) error          { return c.udp.SetReadBuffer(n) }
func (c *cutConn) SetWriteBuffer(n int) error         { return c.udp.SetWriteBuffer(n) }
