package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/stream"
	"geraniumsaddle/core/target"
	"geraniumsaddle/io/engine"
)

const (
	// reapEvery is the interval of attempts to confirm that a target no longer holds a request.
	cancelInterval = 500 * time.Millisecond
	// reapFor is the time after which a target that answers nothing is taken to hold the request no longer: the
	// longest that an engine keeps a stream without readers, twice.
	maxRequestHold = time.Minute
)

// random returns a random number for a request.
func (t *traffic) random() uint64 { return rand.Uint64() } //nolint:gosec // spreads load, no secret

// reap cancels a request at its target and returns the slot once the target holds it no longer. Returning it earlier
// could send the target more requests than its capacity.
func (t *traffic) cancelAndRelease(c *engine.Client, id ident.RequestID, choice target.Choice, r target.Result) {
	t.n.spawn(func(ctx context.Context) {
		defer choice.Release(r)
		deadline := t.n.clock.Now().Add(maxRequestHold)
		for t.n.clock.Now().Before(deadline) {
			if cancelConfirmed(ctx, c, id) {
				return
			}
			select {
			case <-t.n.clock.After(cancelInterval):
			case <-ctx.Done():
				return
			}
		}
	})
}

// hold keeps the slot of a target that did not answer until it can hold the request no longer.
func (t *traffic) releaseLater(choice target.Choice, r target.Result) {
	t.n.spawn(func(ctx context.Context) {
		defer choice.Release(r)
		select {
		case <-t.n.clock.After(maxRequestHold):
		case <-ctx.Done():
		}
	})
}

// cancelled reports whether the target holds the request no longer.
func cancelConfirmed(ctx context.Context, c *engine.Client, id ident.RequestID) bool {
	if _, err := c.Cancel(ctx, id); err != nil {
		return false
	}
	st, err := c.Status(ctx, id)
	return err == nil && st.State != engine.RequestRunning
}

// errSuspended means that the stream of a slow reader was closed. It is resumed when the caller reads again.
var errSuspended = errors.New("stream is suspended")

// streamSet holds the streams that are copied to callers, so that those of slow readers can be suspended.
type streamSet struct {
	limiter *stream.Limiter
	mu      sync.Mutex
	streams map[*callerStream]struct{}
	// suspensions counts the streams that were suspended.
	suspensions atomic.Int64
}

// streamRow is one stream.
type callerStream struct {
	org ident.OrgID
	// held says that targetBytes are reserved for the stream.
	targetReserved atomic.Bool
	current        atomic.Pointer[engine.Stream] // nil while the stream is suspended
	writeStarted   atomic.Int64                  // time at which a write to the caller began, or zero
}

func newStreamSet(l *stream.Limiter) streamSet {
	return streamSet{limiter: l, streams: make(map[*callerStream]struct{})}
}

// reserve takes the memory of a stream, or returns a *stream.LimitError and takes none.
func (s *streamSet) reserve(org ident.OrgID) (*callerStream, error) {
	if err := s.limiter.Reserve(org, callerBytes+targetBytes); err != nil {
		return nil, err
	}
	c := &callerStream{org: org}
	c.targetReserved.Store(true)
	return c, nil
}

// reopen takes the memory that the suspension gave back.
func (s *streamSet) reserveTarget(c *callerStream) bool {
	if c.targetReserved.Load() {
		return true
	}
	if s.limiter.Reserve(c.org, targetBytes) != nil {
		return false
	}
	c.targetReserved.Store(true)
	return true
}

// shrink gives back the memory of the target's side.
func (s *streamSet) releaseTarget(c *callerStream) {
	if c.targetReserved.Swap(false) {
		s.limiter.Release(c.org, targetBytes)
	}
}

// release gives back the memory of a stream.
func (s *streamSet) release(c *callerStream) {
	s.releaseTarget(c)
	s.limiter.Release(c.org, callerBytes)
}

func (s *streamSet) add(c *callerStream, st *engine.Stream) {
	c.current.Store(st)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[c] = struct{}{}
}

func (s *streamSet) remove(c *callerStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, c)
}

// stream returns the open stream, or nil while it is suspended.
func (c *callerStream) stream() *engine.Stream { return c.current.Load() }

// replace closes the stream and puts another one in its place.
func (c *callerStream) replace(s *engine.Stream) {
	if old := c.current.Swap(s); old != nil {
		_ = old.Close()
	}
}

// close closes the stream and keeps it, so that a reader of it sees the error.
func (c *callerStream) close() {
	if s := c.current.Load(); s != nil {
		_ = s.Close()
	}
}

func (c *callerStream) beginWrite(now time.Time) { c.writeStarted.Store(now.UnixNano()) }
func (c *callerStream) endWrite()                { c.writeStarted.Store(0) }

// suspend closes the streams whose callers have not read for the given time, and drops them with their buffers. The
// copying goroutine resumes a stream at its offset when the caller reads again. It returns the number of streams that
// are suspended.
func (s *streamSet) suspend(now time.Time, after time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.streams {
		since := c.writeStarted.Load()
		if since == 0 || now.UnixNano()-since < int64(after) {
			continue
		}
		n++
		if old := c.current.Swap(nil); old != nil {
			_ = old.Close()
			s.releaseTarget(c)
			s.suspensions.Add(1)
		}
	}
	return n
}
