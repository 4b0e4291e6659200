package conns

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"geraniumsaddle/core/budget"
	"geraniumsaddle/core/link"
)

// conn is a connection of a caller. It applies the limits of its set as read deadlines.
type conn struct {
	net.Conn
	set *Set

	mu    sync.Mutex
	state http.ConnState
	// waiting says that no byte of the next request has been read, and waitingSince when the wait began.
	waiting      bool
	waitingSince time.Time
	// deadline is the read deadline that the server has set, or zero.
	deadline time.Time
	memory   memory
}

// Read reads and counts the bytes.
func (c *conn) Read(b []byte) (int, error) {
	if err := c.holdTail(); err != nil {
		return 0, err
	}
	for {
		n, err := c.Conn.Read(b)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			if c.retryAfterEviction(len(b)) {
				continue
			}
			if n = c.readLate(b); n == 0 {
				return 0, c.evictionError(err)
			}
			err = nil
		}
		if n == 0 {
			return 0, err
		}
		now := c.set.cfg.Clock.Now()
		if m := c.set.cfg.Meter; m != nil {
			m.Add(link.In, n, now)
		}
		if headErr := c.received(b[:n], len(b), now); headErr != nil {
			return 0, headErr
		}
		return n, err
	}
}

// Write writes and counts the bytes.
func (c *conn) Write(b []byte) (int, error) {
	c.beginWrite()
	n, err := c.Conn.Write(b)
	c.endWrite()
	c.count(link.Out, n)
	return n, err
}

func (c *conn) count(d link.Direction, n int) {
	if m := c.set.cfg.Meter; m != nil {
		m.Add(d, n, c.set.cfg.Clock.Now())
	}
}

// Close closes the connection and removes it from its set.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.set.remove(c)
	c.releaseMemory()
	return err
}

// NetConn returns the connection of the network.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side of the connection. net/http uses it to let a caller that is still sending read the
// answer before the connection is closed.
func (c *conn) CloseWrite() error {
	closer, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return closer.CloseWrite()
}

// SetReadDeadline sets the deadline, or an earlier one if a limit demands it.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != http.StateActive && !t.IsZero() {
		t = c.capHead(t)
	}
	c.deadline = t
	return c.applyDeadline()
}

// capHead returns the deadline for the head of a request.
func (c *conn) capHead(t time.Time) time.Time {
	if c.set.cfg.HeadTimeout == nil {
		return t
	}
	if limit := c.set.cfg.HeadTimeout(); limit > 0 {
		return earlier(t, c.set.cfg.Clock.Now().Add(limit))
	}
	return t
}

// setState follows the state that the server reports.
func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
	switch state {
	case http.StateIdle:
		c.waiting, c.waitingSince = true, c.set.cfg.Clock.Now()
		c.becomeIdle()
	case http.StateActive:
		c.headComplete()
		if !c.waiting && !c.memory.lifted {
			return
		}
		// If it waits, the whole head had been read together with the request before.
		c.waiting = false
	default:
		return
	}
	_ = c.applyDeadline() // Only a closed connection refuses it.
}

// updateDeadline applies changed limits. A deadline that has passed takes effect after a delay.
func (c *conn) updateDeadline(delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.memory.stage == budget.Evicted {
		return
	}
	t := c.readDeadline()
	if now := c.set.cfg.Clock.Now(); delay > 0 && !t.IsZero() && !t.After(now) {
		t = now.Add(delay)
	}
	_ = c.Conn.SetReadDeadline(t) // Only a closed connection refuses it.
}

// readDeadline returns the deadline of the server, or an earlier one of a limit. Zero means none. The caller holds c.mu.
func (c *conn) readDeadline() time.Time {
	switch {
	case c.waiting:
		return earlier(c.deadline, c.waitDeadline())
	case c.state == http.StateActive:
		if l := c.set.bodyLimits.Load(); l != nil && c.deadline.After(l.end) {
			return earlier(c.deadline, l.until)
		}
	}
	return c.deadline
}

// waitDeadline returns when the wait for the next request ends, or zero.
func (c *conn) waitDeadline() time.Time {
	if c.set.idleClosed.Load() {
		if c.state == http.StateNew {
			return c.waitingSince.Add(firstRequestGrace)
		}
		return c.waitingSince
	}
	limit := time.Duration(c.set.idleLimit.Load())
	if limit <= 0 || c.state == http.StateNew {
		return time.Time{}
	}
	return c.waitingSince.Add(limit + idleMargin)
}

// earlier returns the earlier of two deadlines, where zero means none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
