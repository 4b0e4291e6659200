package logs

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/matryer/is"
)

// TestFullPipeDoesNotBlock guards against a router that blocks because nothing reads its output.
func TestFullPipeDoesNotBlock(t *testing.T) {
	is := is.New(t)
	r, out, err := os.Pipe()
	is.NoErr(err)
	w := New(out, 8)
	log := w.Logger(slog.LevelInfo)
	const lines = 5000
	for range lines {
		log.Info("decision", "filler", strings.Repeat("x", 200))
	}
	is.True(w.Dropped() > 0)
	// Once the output is read again, a line reports how many lines were dropped.
	read := make(chan []byte)
	go func() {
		b, err := io.ReadAll(r)
		is.NoErr(err)
		read <- b
	}()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	w.Close(ctx)
	is.NoErr(out.Close())
	got := <-read
	is.True(bytes.Contains(got, []byte("log lines dropped")))
	is.True(bytes.Count(got, []byte("\n")) < lines)
}

// TestLongLines guards against a queue whose long lines hold much memory while nothing reads the output.
func TestLongLines(t *testing.T) {
	is := is.New(t)
	r, out, err := os.Pipe()
	is.NoErr(err)
	defer func() { _ = errors.Join(r.Close(), out.Close()) }()
	w := New(out, DefaultQueueSize)
	line := bytes.Repeat([]byte{'x'}, 64<<10)
	for range DefaultQueueSize {
		_, err := w.Write(line)
		is.NoErr(err)
	}
	held := 0
	for len(w.lines) > 0 {
		held += len(<-w.lines)
	}
	is.True(held <= maxQueueBytes)
	is.True(w.Lost() > 0)
}

// TestLinesInOrder guards against lines that are lost or reordered although the queue has room, and against lines below
// the log level.
func TestLinesInOrder(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := New(&out, 16)
	log := w.Logger(slog.LevelInfo)
	log.Info("first")
	log.Debug("left out")
	log.Info("second")
	w.Close(context.Background())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 2)
	is.True(strings.Contains(lines[0], "first"))
	is.True(strings.Contains(lines[1], "second"))
}

func BenchmarkLine(b *testing.B) {
	w := New(io.Discard, DefaultQueueSize)
	log := w.Logger(slog.LevelInfo)
	b.ReportAllocs()
	for b.Loop() {
		log.Info("request", "id", "9c41d07be2a35f68", "route", "r-1", "status", 200, "total_ms", 123)
	}
}

// TestErrorsAreText guards against errors that are logged as JSON objects, whose text cannot be searched for.
func TestErrorsAreText(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := New(&out, 16)
	w.Logger(slog.LevelInfo).Info("failed", "error", trace.Wrap(io.ErrUnexpectedEOF, "read answer"))
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	w.Close(ctx)
	is.True(strings.Contains(out.String(), `"error":"read answer`))
}
