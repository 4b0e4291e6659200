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
	// cancelInterval is the interval of attempts to confirm that a target no longer holds a request.
	cancelInterval = 500 * time.Millisecond
	// maxRequestHold is the time after which a target that does not answer is assumed to have dropped the request: twice
	// the longest time that an engine keeps a stream without readers.
	maxRequestHold = time.Minute
)

// random returns a random number for a request.
func (t *traffic) random() uint64 { return rand.Uint64() } //nolint:gosec // spreads load, not a secret

// cancelAndRelease cancels a request at its target in the background and returns the slot once the target no longer
// holds the request. Returning it earlier could send the target more requests than its capacity.
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

// releaseLater returns the slot of a target that did not answer after maxRequestHold, when the target can no longer hold
// the request.
func (t *traffic) releaseLater(choice target.Choice, r target.Result) {
	t.n.spawn(func(ctx context.Context) {
		defer choice.Release(r)
		select {
		case <-t.n.clock.After(maxRequestHold):
		case <-ctx.Done():
		}
	})
}

// cancelConfirmed cancels a request and reports whether the target confirms that it no longer runs.
func cancelConfirmed(ctx context.Context, c *engine.Client, id ident.RequestID) bool {
	if _, err := c.Cancel(ctx, id); err != nil {
		return false
	}
	st, err := c.Status(ctx, id)
	return err == nil && st.State != engine.RequestRunning
}

// errSuspended means that the stream was closed because its caller reads too slowly. It is resumed when the caller
// reads again.
var errSuspended = errors.New("stream is suspended")

// streamSet tracks the streams that are copied to callers, to limit their memory and to suspend those of slow readers.
type streamSet struct {
	limiter *stream.Limiter
	mu      sync.Mutex
	streams map[*callerStream]struct{}
	// suspensions counts how often a stream was suspended.
	suspensions atomic.Int64
}

// callerStream is the stream of one request to its caller.
type callerStream struct {
	org ident.OrgID
	// targetReserved is set while targetSideBytes are reserved for the stream.
	targetReserved atomic.Bool
	current        atomic.Pointer[engine.Stream] // nil while the stream is suspended
	writeStarted   atomic.Int64                  // time at which a write to the caller began, or zero
}

func newStreamSet(l *stream.Limiter) streamSet {
	return streamSet{limiter: l, streams: make(map[*callerStream]struct{})}
}

// reserve reserves the memory of a stream, or returns a *stream.LimitError and reserves none.
func (s *streamSet) reserve(org ident.OrgID) (*callerStream, error) {
	if err := s.limiter.Reserve(org, callerSideBytes+targetSideBytes); err != nil {
		return nil, err
	}
	c := &callerStream{org: org}
	c.targetReserved.Store(true)
	return c, nil
}

// reserveTarget reserves the memory of the target's side again after a suspension has released it, and reports whether
// it is reserved.
func (s *streamSet) reserveTarget(c *callerStream) bool {
	if c.targetReserved.Load() {
		return true
	}
	if s.limiter.Reserve(c.org, targetSideBytes) != nil {
		return false
	}
	c.targetReserved.Store(true)
	return true
}

// releaseTarget releases the memory of the target's side, if it is reserved.
func (s *streamSet) releaseTarget(c *callerStream) {
	if c.targetReserved.Swap(false) {
		s.limiter.Release(c.org, targetSideBytes)
	}
}

// release releases the memory of a stream.
func (s *streamSet) release(c *callerStream) {
	s.releaseTarget(c)
	s.limiter.Release(c.org, callerSideBytes)
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

// currentStream returns the open stream, or nil while it is suspended.
func (c *callerStream) currentStream() *engine.Stream { return c.current.Load() }

// replace closes the open stream, if any, and puts another one in its place.
func (c *callerStream) replace(s *engine.Stream) {
	if old := c.current.Swap(s); old != nil {
		_ = old.Close()
	}
}

// close closes the open stream but keeps it, so that the goroutine that reads from it gets the error.
func (c *callerStream) close() {
	if s := c.current.Load(); s != nil {
		_ = s.Close()
	}
}

func (c *callerStream) beginWrite(now time.Time) { c.writeStarted.Store(now.UnixNano()) }
func (c *callerStream) endWrite()                { c.writeStarted.Store(0) }

// suspendSlow closes the streams whose callers have blocked a write for at least the given time, and drops their
// buffers. The copying goroutine resumes a stream at its offset when the caller reads again. suspendSlow returns the
// number of suspended streams.
func (s *streamSet) suspendSlow(now time.Time, after time.Duration) int {
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
