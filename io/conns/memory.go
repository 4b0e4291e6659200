package conns

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"geraniumsaddle/core/budget"
	"geraniumsaddle/core/ident"
)

const (
	// readAhead is what net/http may read beyond the end of a head, in bytes.
	readAhead ident.Bytes = 4 << 10
	// headForm is what the form of a head may add to its method, path and headers, in bytes.
	headForm ident.Bytes = 256
	// refusalTimeout limits the time for writing a refusal to a caller whose head isn't whole.
	refusalTimeout = 100 * time.Millisecond
	// lingerTime and maxLinger limit, in time and in bytes, the reading of what the caller of a refused head still sends.
	// A connection that is closed before it is read would be reset, and the caller would lose the refusal.
	lingerTime = 500 * time.Millisecond
	maxLinger  = 256 << 10
	// bodyStall is how long a body may take for each bodyStep bytes before its connection may be evicted to make room for
	// other large bodies and answers.
	bodyStall             = time.Second
	bodyStep  ident.Bytes = 8 << 10
	// writeStall is how long one write of an answer may wait for its caller before the connection may be evicted.
	writeStall = 2 * time.Second
	// lateReadTime is the time for reading a request that arrived while its idle connection was evicted.
	lateReadTime = time.Millisecond
)

var (
	// ErrFull means that the memory of the process is used up and that no connection could be evicted in time.
	ErrFull = errors.New("memory for callers is used up")
	// ErrEvicted means that the connection was evicted to make room before the request was whole.
	ErrEvicted = errors.New("connection was evicted to make room")

	errHeadTooLarge = errors.New("head of the request exceeds the limit")
)

// closedError ends the reading of a head. net/http closes the connection without an answer of its own after a timeout.
type closedError struct{ err error }

func (e closedError) Error() string { return e.err.Error() }
func (e closedError) Unwrap() error { return e.err }
func (closedError) Timeout() bool   { return true }
func (closedError) Temporary() bool { return false }

// memory is what a connection holds. The mutex of the connection guards it.
type memory struct {
	stage budget.Stage
	// lifted says that an eviction was lifted, so that a read may still return the expiry of its deadline.
	lifted bool
	// closed says that the reservations have been released.
	closed bool
	// lastRead is when bytes were received, or when the connection became idle.
	lastRead time.Time
	// headSize and headLines count the bytes and the lines that were read since the request before, and headHeld is
	// what is reserved for them.
	headSize  ident.Bytes
	headLines int
	headHeld  ident.Bytes
	// tail is what the lines cost that may have been read together with the end of the request before. It is reserved before
	// the connection waits for the rest of the next head.
	tail ident.Bytes
	// requestHeld is what the request holds beside its head.
	requestHeld ident.Bytes
	// share names whose share of the large bodies the request holds, if holdsShare is set.
	share      ident.OrgID
	holdsShare bool
	// stepSize counts the bytes since stepSince, when the body began or last completed a step.
	stepSize  ident.Bytes
	stepSince time.Time
	// writingSince is when the write began that is in progress, or zero.
	writingSince time.Time
}

// received counts bytes that were read into a buffer of the given size. While a head is read, it applies the limits, and
// answers the caller if the head exceeds one. Then the bytes are lost.
func (c *conn) received(b []byte, bufferSize int, now time.Time) error {
	c.mu.Lock()
	c.waiting = false
	m := &c.memory
	m.lastRead = now
	lines := bytes.Count(b, []byte{'\n'})
	c.recordTail(b, lines, bufferSize)
	if c.state == http.StateActive {
		if m.stepSize += ident.Bytes(len(b)); m.stepSize >= bodyStep {
			m.stepSize, m.stepSince = 0, now
		}
		c.mu.Unlock()
		return nil
	}
	if m.stage == budget.Idle {
		m.stage = budget.ReadingHead
	}
	m.headSize += ident.Bytes(len(b))
	m.headLines += lines
	size := m.headSize
	more := max(budget.HeadCost(m.headSize, m.headLines)-m.headHeld, 0)
	c.mu.Unlock()
	if limit := c.set.headLimit(); limit > 0 && size > limit {
		c.refuseHead(HeadTooLarge)
		return closedError{errHeadTooLarge}
	}
	return c.holdHead(more)
}

// recordTail records how many lines of the next head may be in the buffer of the server at the end of the request. b
// was read into a buffer of the given size. The caller holds c.mu.
func (c *conn) recordTail(b []byte, lines, bufferSize int) {
	m := &c.memory
	switch {
	case c.state == http.StateActive && bufferSize == 1:
		// A read of one byte notices that the caller disconnects. It leaves the buffer as it is.
	case c.state == http.StateActive && bufferSize > int(readAhead):
		m.tail = 0 // The server reads a part of a body past its buffer, which is empty.
	case c.state != http.StateActive && bytes.HasSuffix(b, []byte("\n\r\n")):
		m.tail = 0
	default:
		m.tail = budget.HeadCost(0, lines)
	}
}

// holdTail reserves memory for a part of a head that had been read together with the request before. The server sets a
// deadline once it has found that part; without one it waits for the first bytes, and the tail belonged to a body.
func (c *conn) holdTail() error {
	c.mu.Lock()
	m := &c.memory
	cost := ident.Bytes(0)
	if m.stage == budget.Idle && c.state == http.StateIdle && !c.deadline.IsZero() {
		cost, m.tail = m.tail, 0
	}
	c.mu.Unlock()
	if cost == 0 {
		return nil
	}
	return c.holdHead(cost)
}

// holdHead reserves memory for a head, or refuses the request. The connection isn't evicted meanwhile: it would make room
// for itself, and its head may be whole.
func (c *conn) holdHead(n ident.Bytes) error {
	if c.set.cfg.Memory == nil {
		return nil
	}
	c.mu.Lock()
	if c.memory.stage != budget.Evicted {
		c.memory.stage = budget.Serving
	}
	c.mu.Unlock()
	if err := c.set.Reserve(context.Background(), budget.Heads, n, roomWait); err != nil {
		c.refuseHead(NoMemory)
		return closedError{err}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.memory.stage == budget.Serving && c.state != http.StateActive {
		c.memory.stage = budget.ReadingHead
	}
	if c.memory.closed {
		c.set.Release(budget.Heads, n)
		return nil
	}
	c.memory.headHeld += n
	return nil
}

// refuseHead answers a caller whose head isn't whole. Only the goroutine that reads the head may call it: net/http writes
// nothing meanwhile.
func (c *conn) refuseHead(r Refusal) {
	if c.set.cfg.Refusal == nil {
		return
	}
	now := time.Now()
	_ = c.SetWriteDeadline(now.Add(refusalTimeout))
	if _, err := c.Write(c.set.cfg.Refusal(r)); err != nil || c.CloseWrite() != nil || r == NoMemory {
		return
	}
	_ = c.Conn.SetReadDeadline(now.Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, maxLinger)
}

// headComplete records that the whole head has been read. The caller holds c.mu.
func (c *conn) headComplete() {
	m := &c.memory
	m.lifted = m.lifted || m.stage == budget.Evicted
	m.stage = budget.Serving
}

// becomeIdle records the end of a request. The caller holds c.mu.
func (c *conn) becomeIdle() {
	m := &c.memory
	m.stage, m.lastRead, m.lifted = budget.Idle, c.waitingSince, false
	m.headSize, m.headLines = 0, 0
	m.holdsShare = false
	c.releaseHead()
}

func (c *conn) releaseHead() {
	if c.memory.headHeld > 0 {
		c.set.cfg.Memory.Release(budget.Heads, c.memory.headHeld)
		c.memory.headHeld = 0
	}
}

// releaseMemory ends the reservations when the connection is closed.
func (c *conn) releaseMemory() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.memory.closed || c.set.cfg.Memory == nil {
		return
	}
	c.memory.closed = true
	c.releaseHead()
	c.set.cfg.Memory.Release(budget.Connections, c.set.connCost())
}

// holder returns what an eviction has to know about the connection.
func (c *conn) holder() budget.Holder {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := &c.memory
	h := budget.Holder{Stage: m.stage, Held: c.set.connCost() + m.headHeld + m.requestHeld, LastRead: m.lastRead}
	if m.stage == budget.Serving && c.stalled() {
		h.Stage, h.LastRead = budget.Stalled, m.writingSince
	}
	return h
}

// stalled reports whether the caller has not read its answer for writeStall. The caller holds c.mu.
func (c *conn) stalled() bool {
	since := c.memory.writingSince
	return !since.IsZero() && c.set.cfg.Clock.Since(since) >= writeStall
}

func (c *conn) beginWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memory.writingSince = c.set.cfg.Clock.Now()
}

func (c *conn) endWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memory.writingSince = time.Time{}
}

// evictStalled lets the write that waits expire, if it is the one that the holder describes. The caller holds c.mu.
func (c *conn) evictStalled(h budget.Holder) bool {
	m := &c.memory
	if m.stage != budget.Serving || !m.writingSince.Equal(h.LastRead) || m.closed {
		return false
	}
	m.stage = budget.Evicted
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // Only a closed connection refuses it.
	return true
}

// evict lets the read that waits expire, if the connection is still in the given stage and has read nothing since.
func (c *conn) evict(h budget.Holder) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := &c.memory
	if h.Stage == budget.Stalled {
		return c.evictStalled(h)
	}
	if m.stage != h.Stage || !m.lastRead.Equal(h.LastRead) || m.closed {
		return false
	}
	m.stage = budget.Evicted
	_ = c.applyDeadline() // Only a closed connection refuses it.
	return true
}

// applyDeadline sets the read deadline. The caller holds c.mu.
func (c *conn) applyDeadline() error {
	if c.memory.stage == budget.Evicted {
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return c.Conn.SetReadDeadline(c.readDeadline())
}

// retryAfterEviction reports whether a read whose deadline expired has to be repeated, because the request became whole
// while its connection was being evicted. A read of one byte is the one by which net/http notices that a caller disconnects
// while its request, which is whole, is served. While a head is read, its buffer may have room for one byte only.
func (c *conn) retryAfterEviction(size int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := &c.memory
	readsHead := c.state != http.StateActive && m.headSize > 0
	if m.stage == budget.Evicted && size == 1 && !readsHead {
		c.headComplete()
		_ = c.applyDeadline() // Only a closed connection refuses it.
	}
	retry := m.lifted
	m.lifted = false
	return retry
}

// readLate reads what has arrived on an idle connection that is evicted, and lifts the eviction if that is anything: the
// deadline of a read is checked before the data.
func (c *conn) readLate(b []byte) int {
	c.mu.Lock()
	idle := c.memory.stage == budget.Evicted && c.state != http.StateActive && c.memory.headSize == 0
	c.mu.Unlock()
	if !idle {
		return 0
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lateReadTime)) // Only a closed connection refuses it.
	n, _ := c.Conn.Read(b)                                   // The error is that of the next read too.
	if n == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memory.stage = budget.Idle
	_ = c.applyDeadline() // Only a closed connection refuses it.
	return n
}

// evictionError returns the error of a read whose deadline expired. It answers a caller whose head isn't whole.
func (c *conn) evictionError(err error) error {
	c.mu.Lock()
	evicted := c.memory.stage == budget.Evicted
	active, begun := c.state == http.StateActive, c.memory.headSize > 0
	c.mu.Unlock()
	switch {
	case !evicted:
		return err
	case active:
		return errors.Join(ErrEvicted, os.ErrDeadlineExceeded)
	case begun:
		c.refuseHead(NoMemory)
	}
	return closedError{ErrEvicted}
}
