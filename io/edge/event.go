package edge

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"sync"
)

// maxEventSize is the maximum size of one event of a stream in bytes. An event holds a few tokens.
const maxEventSize = 256 << 10

// eventBufferSize is the size of the buffer of an eventReader in bytes.
const eventBufferSize = 2 << 10

var (
	errEventTooLarge  = errors.New("event exceeds the size limit")
	errEventTruncated = errors.New("stream ends inside an event")
)

// event is one server-sent event.
type event struct {
	// raw holds the lines of the event with the empty line that ends it.
	raw []byte
	id  string
	// number is the ID as an integer, if numbered.
	number   int64
	numbered bool
}

// eventReader splits a stream into events.
type eventReader struct {
	r   *bufio.Reader
	raw []byte
}

var eventReaders = sync.Pool{New: func() any { return &eventReader{r: bufio.NewReaderSize(nil, eventBufferSize)} }}

func newEventReader(r io.Reader) *eventReader {
	e := eventReaders.Get().(*eventReader)
	e.r.Reset(r)
	return e
}

// release returns the reader to the pool, without a buffer that an unusually large event has made grow.
func (e *eventReader) release() {
	e.r.Reset(nil)
	if cap(e.raw) > eventBufferSize {
		e.raw = nil
	}
	eventReaders.Put(e)
}

// next returns the next event, which is valid until the next call. It returns io.EOF only if the stream ends after a
// complete event.
func (e *eventReader) next() (event, error) {
	e.raw = e.raw[:0]
	var ev event
	for {
		line, err := e.readLine()
		if errors.Is(err, io.EOF) && len(e.raw) > 0 {
			return ev, errEventTruncated
		}
		if err != nil {
			return ev, err
		}
		if len(line) == 0 {
			ev.raw = e.raw
			return ev, nil
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			ev.id = string(bytes.TrimSpace(id))
			n, err := strconv.ParseInt(ev.id, 10, 64)
			ev.number, ev.numbered = n, err == nil
		}
	}
}

// readLine appends the next line to raw and returns it without its line ending.
func (e *eventReader) readLine() ([]byte, error) {
	start := len(e.raw)
	for {
		chunk, err := e.r.ReadSlice('\n')
		e.raw = append(e.raw, chunk...)
		switch {
		case err == nil:
			return bytes.TrimRight(e.raw[start:], "\r\n"), nil
		case len(e.raw) > maxEventSize:
			return nil, errEventTooLarge
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		default:
			return nil, err
		}
	}
}
