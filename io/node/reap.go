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
	reapEvery = 500 * time.Millisecond
	// reapFor is the time after which a target that answers nothing is taken to hold the request no longer: the
	// longest that an engine keeps a stream without readers, twice.
	reapFor = time.Minute
)

// random returns a random number for a request.
func (t *traffic) random() uint64 { return rand.Uint64() } //nolint:gosec // spreads load, no secret

// reap cancels a request at its target and returns the slot once the target holds it no longer. Returning it earlier
// could send the target more requests than its capacity.
func (t *traffic) reap(c *engine.Client, id ident.RequestID, choice target.Choice, r target.Result) {
	t.n.spawn(func(ctx context.Context) {
		defer choice.Release(r)
		end := t.n.clock.Now().Add(reapFor)
		for t.n.clock.Now().Before(end) {
			if cancelled(ctx, c, id) {
				return
			}
			select {
			case <-t.n.clock.After(reapEvery):
			case <-ctx.Done():
				return
			}
		}
	})
}

// hold keeps the slot of a target that did not answer until it can hold the request no longer.
func (t *traffic) hold(choice target.Choice, r target.Result) {
	t.n.spawn(func(ctx context.Context) {
		defer choice.Release(r)
		select {
		case <-t.n.clock.After(reapFor):
		case <-ctx.Done():
		}
	})
}

// cancelled reports whether the target holds the request no longer.
func cancelled(ctx context.Context, c *engine.Client, id ident.RequestID) bool {
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
	rows    map[*streamRow]struct{}
	// suspensions counts the streams that were suspended.
	suspensions atomic.Int64
}

// streamRow is one stream.
type streamRow struct {
	org ident.OrgID
	// held says that targetBytes are reserved for the stream.
	held    atomic.Bool
	cur     atomic.Pointer[engine.Stream] // nil while the stream is suspended
	blocked atomic.Int64                  // time at which a write to the caller began, or zero
}

func newStreamSet(l *stream.Limiter) streamSet {
	return streamSet{limiter: l, rows: make(map[*streamRow]struct{})}
}

// reserve takes the memory of a stream, or returns a *stream.LimitError and takes none.
func (s *streamSet) reserve(org ident.OrgID) (*streamRow, error) {
	if err := s.limiter.Reserve(org, callerBytes+targetBytes); err != nil {
		return nil, err
	}
	r := &streamRow{org: org}
	r.held.Store(true)
	return r, nil
}

// reopen takes the memory that the suspension gave back.
func (s *streamSet) reopen(r *streamRow) bool {
	if r.held.Load() {
		return true
	}
	if s.limiter.Reserve(r.org, targetBytes) != nil {
		return false
	}
	r.held.Store(true)
	return true
}

// shrink gives back the memory of the target's side.
func (s *streamSet) shrink(r *streamRow) {
	if r.held.Swap(false) {
		s.limiter.Release(r.org, targetBytes)
	}
}

// release gives back the memory of a stream.
func (s *streamSet) release(r *streamRow) {
	s.shrink(r)
	s.limiter.Release(r.org, callerBytes)
}

func (s *streamSet) add(r *streamRow, st *engine.Stream) {
	r.cur.Store(st)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows[r] = struct{}{}
}

func (s *streamSet) remove(r *streamRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.rows, r)
}

// stream returns the open stream, or nil while it is suspended.
func (r *streamRow) stream() *engine.Stream { return r.cur.Load() }

// replace closes the stream and puts another one in its place.
func (r *streamRow) replace(s *engine.Stream) {
	if old := r.cur.Swap(s); old != nil {
		_ = old.Close()
	}
}

// close closes the stream and keeps it, so that a reader of it sees the error.
func (r *streamRow) close() {
	if s := r.cur.Load(); s != nil {
		_ = s.Close()
	}
}

func (r *streamRow) writing(now time.Time) { r.blocked.Store(now.UnixNano()) }
func (r *streamRow) written()              { r.blocked.Store(0) }

// suspend closes the streams whose callers have not read for the given time, and drops them with their buffers. The
// copying goroutine resumes a stream at its offset when the caller reads again. It returns the number of streams that
// are suspended.
func (s *streamSet) suspend(now time.Time, after time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for r := range s.rows {
		since := r.blocked.Load()
		if since == 0 || now.UnixNano()-since < int64(after) {
			continue
		}
		n++
		if old := r.cur.Swap(nil); old != nil {
			_ = old.Close()
			s.shrink(r)
			s.suspensions.Add(1)
		}
	}
	return n
}
