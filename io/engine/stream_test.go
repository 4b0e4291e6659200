package engine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// lateEnd is an answer whose end arrives after its end mark, or never.
type lateEnd struct {
	io.Reader
	ctx   context.Context
	never bool
	ended bool
}

func (b *lateEnd) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if n > 0 || !errors.Is(err, io.EOF) {
		return n, err
	}
	if b.never {
		<-b.ctx.Done()
		return 0, b.ctx.Err()
	}
	b.ended = true
	return 0, io.EOF
}

func (b *lateEnd) Close() error { return nil }

// TestNextReadsTheEnd guards against a stream whose connection net/http closes because the end of the answer was not
// read, and against an answer that stays open after its end mark holding its reader.
func TestNextReadsTheEnd(t *testing.T) {
	for _, never := range []bool{false, true} {
		is := is.New(t)
		clock := clockwork.NewFakeClock()
		ctx, cancel := context.WithCancelCause(context.Background())
		b := &lateEnd{Reader: strings.NewReader("id: 0\ndata: [DONE]\n\n"), ctx: ctx, never: never}
		s := &Stream{resp: &http.Response{Body: b}, ctx: ctx, cancel: cancel, idle: drainTime, clock: clock}
		s.dec = newDecoder(s, "r", 1024)
		if never {
			go func() {
				_ = clock.BlockUntilContext(context.Background(), 1)
				clock.Advance(drainTime)
			}()
		}
		_, err := s.Next()
		is.Equal(err, io.EOF)
		is.Equal(b.ended, !never)
		is.NoErr(s.Close())
	}
}
