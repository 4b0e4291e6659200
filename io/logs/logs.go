// Package logs writes a process's JSON log lines without ever blocking the work that they tell of.
//
// Lines wait in a bounded queue for a goroutine that writes them. When the reader of the output stops, the queue fills
// and further lines are dropped. Their number is logged once lines can be written again.
package logs

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
)

// DefaultQueueSize is the number of lines that wait to be written. A line has some hundred bytes.
const DefaultQueueSize = 1024

// Writer queues lines for an output. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	once    sync.Once
	closing chan struct{}
}

// New returns a writer with a queue of the given number of lines.
func New(out io.Writer, queue int) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queue), done: make(chan struct{}), closing: make(chan struct{})}
	go w.run()
	return w
}

// Logger returns a logger that writes JSON lines to w.
func (w *Writer) Logger(level slog.Leveler) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: plainErrors}))
}

// plainErrors writes errors as their message. Those of the trace library would encode themselves as objects.
func plainErrors(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}

// Write queues one line, or counts it as dropped when the queue is full. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that no line has told of yet.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes the queued lines until the context ends. Later lines are dropped.
func (w *Writer) Close(ctx context.Context) {
	w.once.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-ctx.Done():
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.closing:
			w.flush()
			return
		}
	}
}

func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

// write writes a line. A line that the output refuses is counted as dropped.
func (w *Writer) write(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		if _, err := fmt.Fprintf(w.out, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n); err != nil {
			w.dropped.Add(n)
		}
	}
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}
