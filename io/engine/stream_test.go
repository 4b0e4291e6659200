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

// delayedEOF is a response body that returns io.EOF only at a read after the end marker, or never.
type delayedEOF struct {
	io.Reader
	ctx        context.Context
	never      bool
	reachedEOF bool
}

func (b *delayedEOF) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if n > 0 || !errors.Is(err, io.EOF) {
		return n, err
	}
	if b.never {
		<-b.ctx.Done()
		return 0, b.ctx.Err()
	}
	b.reachedEOF = true
	return 0, io.EOF
}

func (b *delayedEOF) Close() error { return nil }

// TestNextDrainsResponse guards against net/http closing the connection because the end of the response was not read,
// and against Next blocking on a response that stays open after its end marker.
func TestNextDrainsResponse(t *testing.T) {
	for _, never := range []bool{false, true} {
		is := is.New(t)
		clock := clockwork.NewFakeClock()
		ctx, cancel := context.WithCancelCause(context.Background())
		b := &delayedEOF{Reader: strings.NewReader("id: 0\ndata: [DONE]\n\n"), ctx: ctx, never: never}
		s := &Stream{resp: &http.Response{Body: b}, ctx: ctx, cancel: cancel, idleTimeout: drainTimeout, clock: clock}
		s.dec = newDecoder(s, "r", 1024)
		if never {
			go func() {
				_ = clock.BlockUntilContext(context.Background(), 1)
				clock.Advance(drainTimeout)
			}()
		}
		_, err := s.Next()
		is.Equal(err, io.EOF)
		is.Equal(b.reachedEOF, !never)
		is.NoErr(s.Close())
	}
}
