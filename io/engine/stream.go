package engine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
)

// Usage is the number of tokens that the engine reports.
type Usage struct {
	PromptTokens int64
	OutputTokens int64
	// CachedTokens is the part of the prompt that the engine had cached.
	CachedTokens int64
}

// Chunk is one event of a stream. Its byte slices are valid until the next call of Next.
type Chunk struct {
	// Offset is the number of the chunk in its stream, from zero.
	Offset int64
	// Data is the event's data as received: one JSON object.
	Data []byte
	// Content is the text of choice 0 in the escaped form of JSON, without quotes.
	Content []byte
	// FinishReason is the finish reason of choice 0, or nil.
	FinishReason []byte
	// Usage is valid when HasUsage is set.
	Usage    Usage
	HasUsage bool
}

// The faults of a stream. Each is the cause of an Error of class ErrUnknown.
var (
	// ErrMalformed means that an event is not of the expected form.
	ErrMalformed = errors.New("event stream is malformed")
	// ErrTruncated means that the stream ended before its end mark.
	ErrTruncated = errors.New("event stream is truncated")
	// ErrOversized means that an event exceeds Config.MaxEvent.
	ErrOversized = errors.New("event of a stream is too large")
	// ErrWrongRequest means that a chunk belongs to another request.
	ErrWrongRequest = errors.New("event stream carries a chunk of another request")
	// ErrOffset means that a chunk is missing or repeated.
	ErrOffset = errors.New("event stream has a chunk out of order")
	// ErrIdle means that nothing arrived within Config.IdleTimeout.
	ErrIdle = errors.New("event stream is idle for too long")
)

// Stream is the answer to a chat completion. One goroutine may use it at a time; Close may be called by another one.
type Stream struct {
	resp   *http.Response
	ctx    context.Context
	cancel context.CancelCauseFunc
	dec    *decoder
	clock  clockwork.Clock
	idle   time.Duration
	timer  clockwork.Timer
	offset int64
	err    error
}

// Offset returns the number of the next chunk, at which Resume continues.
func (s *Stream) Offset() int64 { return s.offset }

// Header returns the headers of the answer.
func (s *Stream) Header() http.Header { return s.resp.Header }

// Buffered reports whether Next returns without reading from the connection, so that a caller that writes the
// chunks on knows when to flush.
func (s *Stream) Buffered() bool { return s.err == nil && s.dec.buffered() }

// Next returns the next chunk. The error is io.EOF after the end mark of the stream; any other error is an Error of
// class ErrUnknown with one of the faults of a stream as its cause. It reads no further than its buffer, so a
// caller that stops calling Next stops the engine by backpressure.
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

// drainTime bounds the wait for the end of the answer after the end mark.
const drainTime = 100 * time.Millisecond

// drain reads the end of the answer, without which net/http closes the connection instead of keeping it for other
// requests. An engine that leaves the answer open or sends more loses the connection.
func (s *Stream) drain() {
	t := s.clock.AfterFunc(drainTime, func() { s.cancel(ErrIdle) })
	defer t.Stop()
	var b [512]byte
	if _, err := s.resp.Body.Read(b[:]); err != nil {
		return
	}
	s.cancel(context.Canceled)
}

// cause prefers the reason for which the stream was cancelled to the read error that follows from it.
func (s *Stream) cause(err error) error {
	if s.ctx.Err() != nil {
		return errors.Join(context.Cause(s.ctx), err)
	}
	return err
}

// Close ends the connection. It does not end the request at the engine, which Cancel does. After the end mark the
// connection is kept for other requests.
func (s *Stream) Close() error {
	err := s.resp.Body.Close()
	s.cancel(context.Canceled)
	return err
}

// Read reads from the connection within the idle time. The timer runs only while a read waits, so a caller that
// reads slowly does not count as an idle engine, and buffered chunks cost no timer.
func (s *Stream) Read(p []byte) (int, error) {
	if s.timer == nil {
		s.timer = s.clock.AfterFunc(s.idle, func() { s.cancel(ErrIdle) })
	} else {
		s.timer.Reset(s.idle)
	}
	n, err := s.resp.Body.Read(p)
	s.timer.Stop()
	return n, err
}
