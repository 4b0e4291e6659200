package peer

import (
	"net"
	"sync"
	"time"
)

// Direction selects the traffic that a PacketFilter blocks.
type Direction uint8

// The directions of blocked traffic, as seen from the router with the filter.
const (
	ToPeer Direction = 1 << iota
	FromPeer
	Both = ToPeer | FromPeer
)

// PacketFilter drops packets to or from selected peers, to simulate network partitions in tests and under fault
// injection. A transport without a filter uses the socket directly.
type PacketFilter struct {
	mu     sync.RWMutex
	byAddr map[string]Direction
}

// Set blocks the given directions for a peer address and unblocks the others. Zero unblocks both.
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

// Clear unblocks all directions for all peers.
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

// filteredConn applies a PacketFilter to a socket. It has none of the socket's batch methods, so that quic-go passes
// every packet through ReadFrom and WriteTo.
type filteredConn struct {
	udp    *net.UDPConn
	filter *PacketFilter
}

func (c *filteredConn) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		n, addr, err := c.udp.ReadFrom(b)
		if err != nil || !c.filter.blocked(addr, FromPeer) {
			return n, addr, err
		}
	}
}

func (c *filteredConn) WriteTo(b []byte, addr net.Addr) (int, error) {
	if c.filter.blocked(addr, ToPeer) {
		return len(b), nil
	}
	return c.udp.WriteTo(b, addr)
}

func (c *filteredConn) Close() error                       { return c.udp.Close() }
func (c *filteredConn) LocalAddr() net.Addr                { return c.udp.LocalAddr() }
func (c *filteredConn) SetDeadline(t time.Time) error      { return c.udp.SetDeadline(t) }
func (c *filteredConn) SetReadDeadline(t time.Time) error  { return c.udp.SetReadDeadline(t) }
func (c *filteredConn) SetWriteDeadline(t time.Time) error { return c.udp.SetWriteDeadline(t) }
func (c *filteredConn) SetReadBuffer(n int) error          { return c.udp.SetReadBuffer(n) }
func (c *filteredConn) SetWriteBuffer(n int) error         { return c.udp.SetWriteBuffer(n) }
