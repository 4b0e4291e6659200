// Package relay sends requests to targets over kept connections and returns their answers.
//
// It speaks HTTP/1.1 itself on top of net/http's parser, because net/http's client repeats a request by itself when a
// kept connection fails, and takes any answer on a connection for that of its request. Here a request is sent once, an
// answer must bear the id of its request, and a connection with unexpected bytes is not used again.
package relay

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"geraniumsaddle/core/link"
)

const (
	// readBuffer holds the headers of an answer. Events of a stream are read through it.
	readBuffer = 4 << 10
	// receiveBuffer bounds what the kernel keeps of an answer that a slow caller does not read.
	receiveBuffer = 32 << 10
)

// conn is a connection to one target. One request uses it at a time.
type conn struct {
	net.Conn
	r *bufio.Reader
	// idleSince is the end of the last answer, and idleFor the time after which the target may close.
	idleSince time.Time
	idleFor   time.Duration
	reused    bool
	// meter counts what the connection carries, unless it is nil.
	meter *link.Meter
	clock clockwork.Clock
}

func newConn(raw net.Conn, cfg Config) *conn {
	c := &conn{Conn: raw, meter: cfg.Meter, clock: cfg.Clock}
	c.r = bufio.NewReaderSize(c, readBuffer)
	return c
}

// Read reads and counts bytes.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(link.In, n)
	return n, err
}

// Write writes and counts bytes.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(link.Out, n)
	return n, err
}

func (c *conn) count(d link.Direction, n int) {
	if c.meter != nil {
		c.meter.Add(d, n, c.clock.Now())
	}
}

// quiet reports whether the connection is open and has no unread byte. A byte that comes before a request belongs to
// no request.
func (c *conn) quiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}
