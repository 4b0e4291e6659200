// Package relay is an HTTP/1.1 client that sends requests to targets over pooled connections.
//
// It writes requests itself and uses net/http only to parse responses, because net/http's client retries some requests
// by itself when a reused connection fails, and matches responses to requests by their order alone. This client sends
// a request at most once, accepts a response only if Request.Owner says that it is this request's, and doesn't reuse a connection on which
// unexpected bytes arrived.
package relay

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"geraniumsaddle/core/link"
)

const (
	// readBufferSize is the size of the buffer through which response headers and bodies are read.
	readBufferSize = 4 << 10
	// maxHeadSize and maxDiscardedSize bound the bytes read for one response head, and for the bodies of all responses to
	// other requests that are skipped while a response is awaited. A faulty target may send either without end.
	maxHeadSize      = 64 << 10
	maxDiscardedSize = 1 << 20
	// receiveBufferSize bounds the part of a response that the kernel buffers while a slow caller doesn't read.
	receiveBufferSize = 32 << 10
)

// errReadLimit means that a target has sent more bytes than a part of a response may have.
var errReadLimit = errors.New("response exceeds the size limit")

// noReadLimit is the value of conn.readLimit for a body, which its receiver bounds.
const noReadLimit = -1

// conn is a connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	r *bufio.Reader
	// readLimit is the number of bytes that may still be read, or noReadLimit.
	readLimit int
	// holdHead is called with the bytes and the lines of a head that have been read so far, or nil.
	holdHead func(size, lines int) error
	// headLines is the number of lines that were read of the heads of a response.
	headLines int
	// idleSince is when the last response ended. targetIdleTimeout is the time after which the target closes an idle
	// connection, or zero if unknown.
	idleSince         time.Time
	targetIdleTimeout time.Duration
	reused            bool
	// meter counts the bytes in both directions. It may be nil.
	meter *link.Meter
	clock clockwork.Clock
}

func newConn(raw net.Conn, cfg Config) *conn {
	c := &conn{Conn: raw, readLimit: noReadLimit, meter: cfg.Meter, clock: cfg.Clock}
	c.r = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// Read reads from the connection within the read limit and counts the bytes.
func (c *conn) Read(b []byte) (int, error) {
	switch {
	case c.readLimit == 0 && len(b) > 0:
		return 0, errReadLimit
	case c.readLimit > 0:
		b = b[:min(len(b), c.readLimit)]
	}
	n, err := c.Conn.Read(b)
	if c.readLimit != noReadLimit {
		c.readLimit -= n
	}
	c.count(link.In, n)
	if c.holdHead != nil && n > 0 {
		c.headLines += bytes.Count(b[:n], []byte{'\n'})
		if holdErr := c.holdHead(maxHeadSize-c.readLimit, c.headLines); holdErr != nil {
			return 0, holdErr
		}
	}
	return n, err
}

// Write writes to the connection and counts the bytes.
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

// usable reports whether the connection is open and has no unread bytes. Bytes that arrive before a request is sent
// can't be part of its response.
func (c *conn) usable() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && usable
}
