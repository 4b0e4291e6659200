// Package logs writes the JSON log lines of a process without blocking the code that logs.
//
// A goroutine writes the lines from a bounded queue. If the reader of the output stops reading, the queue fills up and
// further lines are dropped, and so is a line whose write fails, for instance because the reader of a pipe has gone away.
// Their number is logged once lines can be written again.
package logs

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
)

// DefaultQueueSize is the default size of the queue in lines. A line has a few hundred bytes.
const DefaultQueueSize = 1024

// maxQueueBytes bounds the lines in the queue together. A line holds the id of a request, which may be as long as the head
// of the request.
const maxQueueBytes = 2 << 20

// Writer queues log lines and writes them to an output. It is safe for concurrent use.
type Writer struct {
	out       io.Writer
	lines     chan []byte
	queued    atomic.Int64 // bytes
	dropped   atomic.Uint64
	lost      atomic.Uint64
	done      chan struct{}
	closeOnce sync.Once
	closing   chan struct{}
}

// New returns a writer with a queue of the given number of lines.
func New(out io.Writer, queue int) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queue), done: make(chan struct{}), closing: make(chan struct{})}
	go w.writeLoop()
	return w
}

// Logger returns a logger that writes JSON lines to w.
func (w *Writer) Logger(level slog.Leveler) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: errorsAsText}))
}

// errorsAsText replaces errors by their message. Errors of the trace library would be encoded as JSON objects.
func errorsAsText(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}

// Write queues one line, or counts it as dropped if the queue is full. It never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	n := int64(len(line))
	if w.queued.Add(n) > maxQueueBytes {
		w.queued.Add(-n)
		w.countLost()
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.queued.Add(-n)
		w.countLost()
	}
	return len(line), nil
}

// Lost returns the number of lines that could not be written since New. It never decreases.
func (w *Writer) Lost() uint64 { return w.lost.Load() }

func (w *Writer) countLost() {
	w.lost.Add(1)
	w.dropped.Add(1)
}

// Dropped returns the number of dropped lines that no line in the output has reported yet.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close waits until the queued lines are written or the context ends. Lines queued after Close may be lost.
func (w *Writer) Close(ctx context.Context) {
	w.closeOnce.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-ctx.Done():
	}
}

func (w *Writer) writeLoop() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-w.closing:
			w.drain()
			return
		}
	}
}

func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		default:
			return
		}
	}
}

// writeLine first reports dropped lines, if there are any, and then writes a line. A line that cannot be written is
// counted as dropped.
func (w *Writer) writeLine(line []byte) {
	defer w.queued.Add(-int64(len(line)))
	if n := w.dropped.Swap(0); n > 0 {
		if _, err := fmt.Fprintf(w.out, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n); err != nil {
			w.dropped.Add(n)
		}
	}
	if _, err := w.out.Write(line); err != nil {
		w.countLost()
	}
}
