package edge

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"sync"
)

// maxEvent bounds one event of a stream in bytes.
const maxEventSize = 1 << 20

// eventBuffer is the size of the buffer that events are read through.
const eventBufferSize = 2 << 10

var (
	errEventTooLarge  = errors.New("event exceeds the bound")
	errEventTruncated = errors.New("stream ends inside an event")
)

// event is one event of a stream with the empty line that ends it.
type event struct {
	raw []byte
	id  string
	// number is the id if it is a whole number.
	number   int64
	numbered bool
}

// eventReader splits a stream into whole events.
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

func (e *eventReader) release() {
	e.r.Reset(nil)
	eventReaders.Put(e)
}

// next returns the next event, which is valid until the following call. The error is io.EOF only at the end of a
// complete stream.
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

// line appends the next line to raw and returns it without its end.
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
