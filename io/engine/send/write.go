package send

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// WriteResult is the result of writing one request, which may go on while its response is read. Without it, the end of a
// connection says nothing about a response that has no length: the kernel reports a reset only once, and if a write of the
// request takes it, the reader sees an orderly end.
type WriteResult struct {
	clock clockwork.Clock
	size  int
	once  sync.Once
	done  chan struct{}
	err   error
	at    time.Time
}

// NewWriteResult returns the result of a request that is being written, with a body of size bytes.
func NewWriteResult(size int, clock clockwork.Clock) *WriteResult {
	return &WriteResult{clock: clock, size: size, done: make(chan struct{})}
}

// Finish records the result. Only the first call counts.
func (w *WriteResult) Finish(err error) {
	w.once.Do(func() {
		w.err = err
		w.at = w.clock.Now()
		close(w.done)
	})
}

// Done is closed when the result is known.
func (w *WriteResult) Done() <-chan struct{} { return w.done }

// Wait waits for the result and returns it.
func (w *WriteResult) Wait() error {
	<-w.done
	return w.err
}

// Succeeded reports whether the request has been written completely without an error.
func (w *WriteResult) Succeeded() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// undelivered returns for how long bytes of the written request may still be on their way to the target. The kernel and
// a link with a buffer take a request faster than the target gets it.
func (w *WriteResult) undelivered() time.Duration {
	if w.size <= maxSegment {
		return 0
	}
	return time.Duration(w.size)*time.Second/minDeliveryRate - w.clock.Since(w.at)
}
