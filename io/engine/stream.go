package engine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
)

// Usage holds the token counts that the engine reports for a request.
type Usage struct {
	PromptTokens int64
	OutputTokens int64
	// CachedTokens is the number of prompt tokens that were in the engine's cache.
	CachedTokens int64
}

// Chunk is one event of a stream. Its byte slices are valid until the next call to Next.
type Chunk struct {
	// Offset is the index of the chunk in its stream, starting at zero.
	Offset int64
	// Data is the data of the event as received, one JSON object.
	Data []byte
	// Content is the text of choice 0 as an escaped JSON string without quotes.
	Content []byte
	// FinishReason is the finish reason of choice 0, or nil.
	FinishReason []byte
	// Usage is valid when HasUsage is set.
	Usage    Usage
	HasUsage bool
}

// Errors of a stream. Each is the cause of an Error of class ErrOutcomeUnknown.
var (
	// ErrMalformed means that an event does not have the expected format.
	ErrMalformed = errors.New("event stream is malformed")
	// ErrTruncated means that the stream ended before its end marker.
	ErrTruncated = errors.New("event stream is truncated")
	// ErrOversized means that an event exceeds Config.MaxEventBytes.
	ErrOversized = errors.New("event of a stream is too large")
	// ErrWrongRequest means that a chunk belongs to another request.
	ErrWrongRequest = errors.New("event stream carries a chunk of another request")
	// ErrOffset means that a chunk is missing or repeated.
	ErrOffset = errors.New("event stream has a chunk out of order")
	// ErrIdle means that nothing arrived within Config.IdleTimeout.
	ErrIdle = errors.New("event stream is idle for too long")
)

// Stream is the response to a chat completion. Only one goroutine may use it at a time, but any goroutine may call
// Close.
type Stream struct {
	resp        *http.Response
	ctx         context.Context
	cancel      context.CancelCauseFunc
	dec         *decoder
	clock       clockwork.Clock
	idleTimeout time.Duration
	timer       clockwork.Timer
	offset      int64
	err         error
}

// Offset returns the index of the next chunk, to be passed to Client.Resume.
func (s *Stream) Offset() int64 { return s.offset }

// Header returns the headers of the response.
func (s *Stream) Header() http.Header { return s.resp.Header }

// Buffered reports whether Next can return without reading from the connection. A caller that forwards the chunks
// flushes its output when it cannot.
func (s *Stream) Buffered() bool { return s.err == nil && s.dec.buffered() }

// Next returns the next chunk. The error is io.EOF after the end marker of the stream. Any other error is an *Error of
// class ErrOutcomeUnknown with one of the errors of a stream as its cause. Next reads ahead by no more than its buffer,
// so a caller that stops calling Next slows the engine down through backpressure.
func (s *Stream) Next() (Chunk, error) {
	if s.err != nil {
		return Chunk{}, s.err
	}
	var c Chunk
	done, err := s.dec.next(&c)
	switch {
	case err == nil && c.Offset != s.offset:
		err = ErrOffset
	case err == nil && done:
		s.err = io.EOF
		s.offset++
		s.drain()
		return Chunk{}, s.err
	}
	if err != nil {
		s.err = &Error{Class: ErrOutcomeUnknown, Err: s.cause(err)}
		return Chunk{}, s.err
	}
	s.offset++
	return c, nil
}

// drainTimeout bounds the wait for the end of the response after the end marker.
const drainTimeout = 100 * time.Millisecond

// drain reads the end of the response, so that net/http keeps the connection for other requests. If the engine leaves
// the response open or sends more data, the connection is closed.
func (s *Stream) drain() {
	t := s.clock.AfterFunc(drainTimeout, func() { s.cancel(ErrIdle) })
	defer t.Stop()
	var b [512]byte
	if _, err := s.resp.Body.Read(b[:]); err != nil {
		return
	}
	s.cancel(context.Canceled)
}

// cause adds the reason for the cancellation to a read error of a cancelled stream.
func (s *Stream) cause(err error) error {
	if s.ctx.Err() != nil {
		return errors.Join(context.Cause(s.ctx), err)
	}
	return err
}

// Close closes the response. It does not cancel the request at the engine; use Client.Cancel for that. The connection
// is kept for other requests if the end of the response was read, and closed otherwise.
func (s *Stream) Close() error {
	err := s.resp.Body.Close()
	s.cancel(context.Canceled)
	return err
}

// Read reads from the connection within the idle timeout. The timer runs only during a read, so a caller that reads
// slowly is not mistaken for an idle engine, and buffered chunks need no timer.
func (s *Stream) Read(p []byte) (int, error) {
	if s.timer == nil {
		s.timer = s.clock.AfterFunc(s.idleTimeout, func() { s.cancel(ErrIdle) })
	} else {
		s.timer.Reset(s.idleTimeout)
	}
	n, err := s.resp.Body.Read(p)
	s.timer.Stop()
	return n, err
}
