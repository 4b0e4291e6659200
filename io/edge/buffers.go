package edge

import (
	"io"

	"geraniumsaddle/core/budget"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/stream"
	"geraniumsaddle/io/conns"
)

const (
	// bufferShare is the share of the process's memory, one in bufferShare, that the large bodies and answers of all
	// requests may take together. One organisation may take one in orgBufferShare of that.
	bufferShare    = 4
	orgBufferShare = 2
	// defaultMemory is the memory of the process in bytes if the settings don't say.
	defaultMemory = 256 << 20
	// freeBuffer is the size in bytes up to which a body, an answer or an event isn't counted for its organisation. It counts
	// for the memory of the process from the first byte.
	freeBuffer = 64 << 10
	// growthShare is the part of its size, one in growthShare, by which a buffer may be larger than what it holds, and minGrowth
	// the smallest step in bytes.
	growthShare = 4
	minGrowth   = 2 << 10
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
	x     *exchange
	class budget.Class
	// reserved is counted for the organisation, and held for the process.
	reserved, held ident.Bytes
}

// newBuffer returns a buffer whose reservation ends with the request.
func (x *exchange) newBuffer(class budget.Class) *buffer {
	b := &buffer{x: x, class: class}
	x.buffers = append(x.buffers, b)
	return b
}

// grow makes sure that the given size is reserved. The error is a *stream.LimitError or one of exchange.reserve.
func (b *buffer) grow(size ident.Bytes) error {
	if err := b.growForOrg(size); err != nil {
		return err
	}
	if size <= b.held {
		return nil
	}
	step := max(size-b.held, size/growthShare, minGrowth)
	if err := b.x.reserve(b.class, step); err != nil {
		return err
	}
	b.held += step
	if b.class == budget.Bodies {
		conns.RequestOf(b.x.r.Context()).HoldBody(b.held)
	}
	return nil
}

// growForOrg reserves what counts for the organisation, if need be after bodies that hardly arrive have been evicted. The
// error is a *stream.LimitError.
func (b *buffer) growForOrg(size ident.Bytes) error {
	more := size - freeBuffer - b.reserved
	if more <= 0 {
		return nil
	}
	// Reserving more than is needed now saves calls. Less is reserved only if there is no more.
	limiter := b.x.s.buffers
	step := max(more, freeBuffer)
	reserve := func() error {
		err := limiter.Reserve(b.x.orgID(), step)
		if err != nil && step > more {
			step = more
			err = limiter.Reserve(b.x.orgID(), step)
		}
		return err
	}
	if err := reserve(); err != nil {
		if err = b.x.s.callers.ReserveShare(b.x.context(), b.x.orgID(), err, reserve); err != nil {
			return err
		}
	}
	b.reserved += step
	if b.class == budget.Bodies {
		conns.RequestOf(b.x.r.Context()).HoldShare(b.x.orgID())
	}
	return nil
}

// release ends the reservation.
func (b *buffer) release() {
	if b.reserved > 0 {
		b.x.s.buffers.Release(b.x.orgID(), b.reserved)
		b.reserved = 0
	}
	b.x.s.callers.Release(b.class, b.held)
	b.held = 0
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
