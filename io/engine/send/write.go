package send

import "sync"

// WriteResult is the result of writing one request, which may go on while its response is read. Without it, the end of a
// connection says nothing about a response that has no length: the kernel reports a reset only once, and if a write of the
// request takes it, the reader sees an orderly end.
type WriteResult struct {
	once sync.Once
	done chan struct{}
	err  error
}

// NewWriteResult returns the result of a request that is being written.
func NewWriteResult() *WriteResult { return &WriteResult{done: make(chan struct{})} }

// Finish records the result. Only the first call counts.
func (w *WriteResult) Finish(err error) {
	w.once.Do(func() {
		w.err = err
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
