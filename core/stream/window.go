// Package stream holds the pure state of response streams: a bounded window of chunks for each stream, and byte limits
// for each organisation and for the process. It does no I/O and reads no clock.
package stream

import (
	"errors"
	"fmt"
	"time"

	"geraniumsaddle/core/ident"
)

const (
	// WindowBytes is the size of a window.
	WindowBytes ident.Bytes = 32 << 10
	// SuspendAfter is how long a window stays full before the target's stream is suspended.
	SuspendAfter = 10 * time.Second
	// windowChunks bounds the chunks of a window. It allows for chunks of 32 bytes on average; a window of smaller
	// chunks is full earlier.
	windowChunks = 1024
)

var (
	// ErrCrossed reports a chunk of another request. It must not be delivered.
	ErrCrossed = errors.New("chunk belongs to another request")
	// ErrDuplicate reports a chunk with an offset that was already pushed.
	ErrDuplicate = errors.New("chunk was already received")
	// ErrFull reports that the window has no room. Reading from the target stops until a pop.
	ErrFull = errors.New("window is full")
	// ErrTooLarge reports a chunk that is larger than the window.
	ErrTooLarge = errors.New("chunk is larger than the window")
	// ErrEnded reports a chunk after the end of the stream.
	ErrEnded = errors.New("stream has ended")
)

// GapError reports missing chunks. The stream is resumed at the offset Want.
type GapError struct{ Want, Got uint64 }

func (e *GapError) Error() string {
	return fmt.Sprintf("chunk %d arrived where %d was expected", e.Got, e.Want)
}

// Chunk is one part of an answer. Offset counts chunks from 0, as the target's stream does.
type Chunk struct {
	Request ident.RequestID
	Offset  uint64
	Data    []byte
}

// Window is the bounded ring buffer of one stream between its target and its caller. It allocates its buffer with the
// first chunk and grows it by doubling, so that fast readers stay small. It is not safe for concurrent use.
type Window struct {
	request ident.RequestID
	buf     []byte
	head    int // position of the oldest byte in buf
	used    int
	sizes   []uint16 // ring of chunk sizes, with a power of two as length
	first   int      // position of the oldest size
	count   int
	next    uint64 // offset expected by Push
	ended   bool

	fullSince time.Time // zero while there is room
	suspended bool
	refused   int // size of the chunk that met a full window
}

// NewWindow returns an empty window for a request whose first chunk has the given offset.
func NewWindow(req ident.RequestID, offset uint64) *Window {
	return &Window{request: req, next: offset}
}

// Push copies a chunk into the window. A refused chunk leaves the window as it is, except that ErrFull starts the time
// after which Decide suspends the stream. It returns ErrCrossed, ErrEnded, ErrDuplicate, *GapError, ErrTooLarge or
// ErrFull.
func (w *Window) Push(c Chunk, now time.Time) error {
	if err := w.check(&c); err != nil {
		return err
	}
	n := len(c.Data)
	if w.used+n > int(WindowBytes) || w.count == windowChunks {
		if w.fullSince.IsZero() && !w.suspended {
			w.fullSince = now
		}
		w.refused = n
		return ErrFull
	}
	w.growBytes(w.used + n)
	w.growSizes()
	tail := (w.head + w.used) & (len(w.buf) - 1)
	k := copy(w.buf[tail:], c.Data)
	copy(w.buf, c.Data[k:])
	w.used += n
	// A size of 32 KB itself fits into 16 bits.
	w.sizes[(w.first+w.count)&(len(w.sizes)-1)] = uint16(n)
	w.count++
	w.next++
	return nil
}

func (w *Window) check(c *Chunk) error {
	switch {
	case c.Request != w.request:
		return ErrCrossed
	case w.ended:
		return ErrEnded
	case c.Offset < w.next:
		return ErrDuplicate
	case c.Offset > w.next:
		return &GapError{Want: w.next, Got: c.Offset}
	case len(c.Data) > int(WindowBytes):
		return ErrTooLarge
	}
	return nil
}

const minBuffer = 512

func (w *Window) growBytes(need int) {
	if need <= len(w.buf) {
		return
	}
	size := max(minBuffer, len(w.buf))
	for size < need {
		size *= 2
	}
	buf := make([]byte, size)
	w.copyOut(buf[:w.used])
	w.buf, w.head = buf, 0
}

func (w *Window) growSizes() {
	if w.count < len(w.sizes) {
		return
	}
	sizes := make([]uint16, max(16, 2*len(w.sizes)))
	for i := range w.count {
		sizes[i] = w.sizes[(w.first+i)&(len(w.sizes)-1)]
	}
	w.sizes, w.first = sizes, 0
}

// copyOut copies the oldest len(dst) bytes.
func (w *Window) copyOut(dst []byte) {
	k := copy(dst, w.buf[w.head:])
	copy(dst[k:], w.buf)
}

// Pop appends the oldest chunk to dst. It returns false when the window is empty.
func (w *Window) Pop(dst []byte) ([]byte, bool) {
	if w.count == 0 {
		return dst, false
	}
	n := int(w.sizes[w.first])
	k := min(n, len(w.buf)-w.head)
	dst = append(dst, w.buf[w.head:w.head+k]...)
	dst = append(dst, w.buf[:n-k]...)
	if len(w.buf) > 0 {
		w.head = (w.head + n) & (len(w.buf) - 1)
	}
	w.first = (w.first + 1) & (len(w.sizes) - 1)
	w.count--
	w.used -= n
	w.fullSince = time.Time{}
	return dst, true
}

// End marks the end of the target's stream, which has total chunks counted from offset 0. It returns a *GapError when
// chunks are missing. Only a stream that ended and is drained is complete.
func (w *Window) End(req ident.RequestID, total uint64) error {
	switch {
	case req != w.request:
		return ErrCrossed
	case total < w.next:
		return ErrDuplicate
	case total > w.next:
		return &GapError{Want: w.next, Got: total}
	}
	w.ended = true
	return nil
}

// Complete reports whether the stream ended and every chunk was popped.
func (w *Window) Complete() bool { return w.ended && w.count == 0 }

// Len returns the buffered bytes of chunk data.
func (w *Window) Len() ident.Bytes { return ident.Bytes(w.used) }

// Next returns the offset that Push expects.
func (w *Window) Next() uint64 { return w.next }

// Action is what the reader of the target's stream has to do.
type Action int

const (
	// Read means that the stream is read as chunks come.
	Read Action = iota
	// Wait means that the window is full and reading stops.
	Wait
	// Suspend means that the connection to the target is closed. The caller of Decide does it once.
	Suspend
	// Suspended means that the stream is closed and waits for room.
	Suspended
	// Resume means that the stream is opened again at Next. The caller of Decide does it once.
	Resume
)

// hasRoom reports whether half of the window and the refused chunk are free.
func (w *Window) hasRoom() bool {
	return w.used <= int(WindowBytes)/2 && w.used+w.refused <= int(WindowBytes) && w.count <= windowChunks/2
}

// Decide returns the action at the time now. A suspended stream resumes when half of the window is free, so that a slow
// caller does not reopen the stream for each chunk.
func (w *Window) Decide(now time.Time) Action {
	switch {
	case w.suspended && !w.hasRoom():
		return Suspended
	case w.suspended:
		w.suspended = false
		return Resume
	case w.fullSince.IsZero():
		return Read
	case now.Sub(w.fullSince) >= SuspendAfter:
		w.suspended = true
		w.fullSince = time.Time{}
		return Suspend
	}
	return Wait
}
