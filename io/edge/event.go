package edge

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"sync"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/platform"
)

// maxEventSize is the maximum size of one event of a stream in bytes. An event holds a few tokens.
const maxEventSize = 256 << 10

// eventBufferSize is the size of the buffer of an eventReader in bytes.
const eventBufferSize = 2 << 10

var (
	errEventTooLarge  = errors.New("event exceeds the size limit")
	errEventTruncated = errors.New("stream ends inside an event")
	errNoEvent        = errors.New("stream contains a line that is no field of an event")
)

// event is one server-sent event.
type event struct {
	// raw holds the lines of the event with the empty line that ends it.
	raw []byte
	// empty says that it holds comments only, such as one that keeps a connection open.
	empty bool
	id    string
	// number is the ID as an integer, if numbered.
	number   int64
	numbered bool
}

// eventReader splits a stream into events.
type eventReader struct {
	r   *bufio.Reader
	raw []byte
	// grow reserves memory for an event of the given size. It may be nil.
	grow func(size ident.Bytes) error
}

var eventReaders = sync.Pool{New: func() any { return &eventReader{r: bufio.NewReaderSize(nil, eventBufferSize)} }}

func newEventReader(r io.Reader, grow func(ident.Bytes) error) *eventReader {
	e := eventReaders.Get().(*eventReader)
	e.r.Reset(r)
	e.grow = grow
	return e
}

// release returns the reader to the pool, without a buffer that an unusually large event has made grow.
func (e *eventReader) release() {
	e.r.Reset(nil)
	e.grow = nil
	if cap(e.raw) > eventBufferSize {
		e.raw = nil
	}
	eventReaders.Put(e)
}

// next returns the next event, which is valid until the next call. It returns io.EOF only if the stream ends after a
// complete event. A line that is no known field is an error, because a failing target may write the text of its failure,
// with or without the head of a response, into a stream.
func (e *eventReader) next() (event, error) {
	e.raw = e.raw[:0]
	ev := event{empty: true}
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
		if line[0] == ':' {
			continue
		}
		ev.empty = false
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "id":
			ev.id = string(bytes.TrimSpace(value))
			n, err := strconv.ParseInt(ev.id, 10, 64)
			ev.number, ev.numbered = n, err == nil
		case "data", "event", "retry", platform.EventVersionField:
		default:
			return ev, errNoEvent
		}
	}
}

// readLine appends the next line to raw and returns it without its line ending.
func (e *eventReader) readLine() ([]byte, error) {
	start := len(e.raw)
	for {
		chunk, err := e.r.ReadSlice('\n')
		if e.grow != nil {
			if err := e.grow(ident.Bytes(len(e.raw) + len(chunk))); err != nil {
				return nil, err
			}
		}
		e.raw = append(e.raw, chunk...)
		switch {
		case len(e.raw) > maxEventSize:
			return nil, errEventTooLarge
		case err == nil:
			return bytes.TrimRight(e.raw[start:], "\r\n"), nil
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		default:
			return nil, err
		}
	}
}
