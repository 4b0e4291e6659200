package edge

import (
	"io"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/stream"
)

const (
	// bufferShare is the share of the process's memory, one in bufferShare, that the large bodies and answers of all
	// requests may take together. One organisation may take one in orgBufferShare of that.
	bufferShare    = 4
	orgBufferShare = 2
	// defaultMemory is the memory of the process in bytes if the settings don't say.
	defaultMemory = 256 << 20
	// freeBuffer is the size in bytes up to which a body, an answer or an event isn't counted.
	freeBuffer = 64 << 10
)

// newBufferLimiter returns the limiter for the bodies and answers that a process with the given memory holds.
func newBufferLimiter(memory int64) *stream.Limiter {
	if memory <= 0 {
		memory = defaultMemory
	}
	limit := ident.Bytes(memory / bufferShare)
	return stream.NewLimiter(limit/orgBufferShare, limit)
}

// buffer counts the bytes that one body, answer or event holds.
type buffer struct {
	x        *exchange
	reserved ident.Bytes
}

// newBuffer returns a buffer whose reservation ends with the request.
func (x *exchange) newBuffer() *buffer {
	b := &buffer{x: x}
	x.buffers = append(x.buffers, b)
	return b
}

// grow makes sure that the given size is reserved. The error is a *stream.LimitError.
func (b *buffer) grow(size ident.Bytes) error {
	more := size - freeBuffer - b.reserved
	if more <= 0 {
		return nil
	}
	// Reserving more than is needed now saves calls. Less is reserved only if there is no more.
	step := max(more, freeBuffer)
	limiter := b.x.s.buffers
	err := limiter.Reserve(b.x.orgID(), step)
	if err != nil && step > more {
		step = more
		err = limiter.Reserve(b.x.orgID(), step)
	}
	if err == nil {
		b.reserved += step
	}
	return err
}

// release ends the reservation.
func (b *buffer) release() {
	if b.reserved > 0 {
		b.x.s.buffers.Release(b.x.orgID(), b.reserved)
		b.reserved = 0
	}
}

// releaseBuffers ends all reservations of the request.
func (x *exchange) releaseBuffers() {
	for _, b := range x.buffers {
		b.release()
	}
}

// orgID returns the request's organisation, or nothing on a public route.
func (x *exchange) orgID() ident.OrgID {
	if x.org == nil {
		return ""
	}
	return x.org.ID
}

// bufferedReader reads what is kept in a buffer.
type bufferedReader struct {
	r      io.Reader
	buffer *buffer
	size   ident.Bytes
}

func (r *bufferedReader) Read(b []byte) (int, error) {
	n, err := r.r.Read(b)
	r.size += ident.Bytes(n)
	if limitErr := r.buffer.grow(r.size); limitErr != nil {
		return n, limitErr
	}
	return n, err
}
