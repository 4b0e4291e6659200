package peer_test

import (
	"context"
	"errors"
	"io"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"geraniumsaddle/io/peer"
)

// flood answers a stream with count chunks, or fewer if the stream is closed before. It reports the number sent on
// sent.
type flood struct {
	echo
	count int64
	sent  chan int64
}

func (f *flood) HandleStream(ctx context.Context, _ peer.Sender, m peer.Message, s *peer.Stream) error {
	if _, ok := m.(peer.Forward); !ok {
		return peer.Failure{Code: "unexpected"}
	}
	n := int64(0)
	defer func() { f.sent <- n }()
	if _, err := s.Recv(ctx); err != nil {
		return err
	}
	for ; n < f.count; n++ {
		if err := s.Send(ctx, peer.ForwardChunk{Offset: n, Data: make([]byte, 1000)}); err != nil {
			return err
		}
	}
	return s.Send(ctx, peer.ForwardEnd{Chunks: n})
}

// TestStream guards against lost or reordered messages, against a slow receiver that makes the sender buffer without
// limit or blocks calls on the same connection, and against a sender that continues after the stream was closed.
func TestStream(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, clockwork.NewRealClock())
	h := &flood{echo: echo{received: make(chan peer.Envelope, 4096)}, count: 5000, sent: make(chan int64, 64)}
	a, b := f.newNode("a.1", nil), f.newNode("b.1", func(c *peer.Config) { c.Handler = h })
	ctx := t.Context()
	open := func() *peer.Stream {
		s, err := a.OpenStream(ctx, b.Addr(), peer.Forward{Request: "r"})
		is.NoErr(err)
		is.NoErr(s.Send(ctx, peer.ForwardGo{}))
		return s
	}
	slow := make([]*peer.Stream, 0, 32)
	for range cap(slow) {
		slow = append(slow, open())
	}
	_, err := a.Call(ctx, b.Addr(), probe(1)) // is not blocked by the 32 unread streams
	is.NoErr(err)
	s := open()
	for i := range h.count {
		m, err := s.Recv(ctx)
		is.NoErr(err)
		is.Equal(m.(peer.ForwardChunk).Offset, i)
	}
	m, err := s.Recv(ctx)
	is.NoErr(err)
	is.Equal(m, peer.ForwardEnd{Chunks: h.count})
	_, err = s.Recv(ctx)
	is.True(errors.Is(err, io.EOF))
	is.Equal(<-h.sent, h.count)
	s.Close()
	for _, s := range slow {
		s.Close()
		is.True(<-h.sent <= 32) // 32 KB in chunks of more than 1000 bytes
	}
}

// TestStreamRefused guards against a refused stream that looks like an empty response.
func TestStreamRefused(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, clockwork.NewRealClock())
	a, b := f.newNode("a.1", nil), f.newNode("b.1", nil) // the handler of b is no StreamHandler
	s, err := a.OpenStream(t.Context(), b.Addr(), peer.Forward{Request: "r"})
	is.NoErr(err)
	defer s.Close()
	_, err = s.Recv(t.Context())
	var fail peer.Failure
	is.True(errors.As(err, &fail))
	is.Equal(fail.Code, "not_a_stream")
}
