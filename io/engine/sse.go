package engine

import (
	"bytes"
	"errors"
	"io"
)

// initialBufferBytes is the initial size of a decoder's buffer. Most events have less than 300 bytes.
const initialBufferBytes = 4 << 10

// decoder decodes a stream of server-sent events. Its buffer never exceeds maxEvent bytes.
type decoder struct {
	r         io.Reader
	requestID string
	maxEvent  int
	buf       []byte
	start     int // of the unread bytes
	end       int
	eof       bool
}

func newDecoder(r io.Reader, requestID string, maxEvent int) *decoder {
	return &decoder{r: r, requestID: requestID, maxEvent: maxEvent, buf: make([]byte, min(initialBufferBytes, maxEvent))}
}

var (
	fieldID    = []byte("id")
	fieldData  = []byte("data")
	doneMarker = []byte("[DONE]")
)

// next decodes the next event into c. It reports whether the event is the end marker.
func (d *decoder) next(c *Chunk) (done bool, err error) {
	for {
		event, err := d.readEvent()
		if err != nil {
			return false, err
		}
		found, err := parseEvent(event, c)
		if err != nil {
			return false, err
		}
		if !found {
			continue // The event is empty or has only comments.
		}
		if bytes.Equal(c.Data, doneMarker) {
			return true, nil
		}
		return false, parseChunk(c, d.requestID)
	}
}

// readEvent returns the bytes up to the next blank line. They stay valid until the next call.
func (d *decoder) readEvent() ([]byte, error) {
	scanned := 0
	for {
		b := d.buf[d.start:d.end]
		if n, size := findBlankLine(b, scanned); n >= 0 {
			d.start += n + size
			return b[:n], nil
		}
		// The last three bytes may be the start of an end of event that spans two reads.
		scanned = max(0, len(b)-3)
		if err := d.fill(); err != nil {
			return nil, err
		}
	}
}

// buffered reports whether the buffer holds a complete event.
func (d *decoder) buffered() bool {
	n, _ := findBlankLine(d.buf[d.start:d.end], 0)
	return n >= 0
}

// findBlankLine returns the position and the size of the first blank line after from, or -1 if there is none.
func findBlankLine(b []byte, from int) (pos, size int) {
	for i := from; ; {
		n := bytes.IndexByte(b[i:], '\n')
		if n < 0 {
			return -1, 0
		}
		i += n + 1
		switch {
		case i < len(b) && b[i] == '\n':
			return i, 1
		case i+1 < len(b) && b[i] == '\r' && b[i+1] == '\n':
			return i, 2
		}
	}
}

// fill reads more bytes and grows the buffer if necessary, up to maxEvent bytes.
func (d *decoder) fill() error {
	if d.start > 0 {
		copy(d.buf, d.buf[d.start:d.end])
		d.end -= d.start
		d.start = 0
	}
	if d.end == len(d.buf) {
		if len(d.buf) >= d.maxEvent {
			return ErrOversized
		}
		grown := make([]byte, min(2*len(d.buf), d.maxEvent))
		copy(grown, d.buf[:d.end])
		d.buf = grown
	}
	if d.eof {
		return ErrTruncated
	}
	n, err := d.r.Read(d.buf[d.end:])
	d.end += n
	switch {
	case err == nil:
		return nil
	case errors.Is(err, io.EOF):
		d.eof = true
		if n == 0 {
			return ErrTruncated
		}
		return nil
	case n > 0:
		return nil // The next read returns the error again.
	}
	return errors.Join(ErrTruncated, err)
}

// parseEvent sets the offset and the data of c from the fields of an event. It reports whether the event has data.
func parseEvent(event []byte, c *Chunk) (bool, error) {
	var id, data []byte
	hasID, hasData := false, false
	for len(event) > 0 {
		line := event
		if n := bytes.IndexByte(event, '\n'); n >= 0 {
			line, event = event[:n], event[n+1:]
		} else {
			event = nil
		}
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch {
		case bytes.Equal(name, fieldID):
			if hasID {
				return false, ErrMalformed
			}
			id, hasID = value, true
		case bytes.Equal(name, fieldData):
			if hasData {
				return false, ErrMalformed // A chunk is one line of JSON.
			}
			data, hasData = value, true
		}
	}
	if !hasData {
		return false, nil
	}
	n, ok := parseCount(id)
	if !ok {
		return false, ErrMalformed
	}
	*c = Chunk{Offset: n, Data: data}
	return true, nil
}

// maxCount bounds the numbers in a stream so that their sums cannot overflow.
const maxCount = 1 << 40

// parseCount parses a decimal number without a sign.
func parseCount(b []byte) (int64, bool) {
	if len(b) == 0 {
		return 0, false
	}
	var n int64
	for _, d := range b {
		if d < '0' || d > '9' {
			return 0, false
		}
		n = n*10 + int64(d-'0')
		if n > maxCount {
			return 0, false
		}
	}
	return n, true
}
