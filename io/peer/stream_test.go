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

// flood answers a stream with chunks until it is closed or count chunks are sent, and counts them.
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

// TestStream guards against lost or reordered messages, against a slow receiver for which the sender or the connection
// buffers without bound or which holds up calls, and against a sender that goes on after the stream was closed.
func TestStream(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, clockwork.NewRealClock())
	h := &flood{echo: echo{got: make(chan peer.Envelope, 4096)}, count: 5000, sent: make(chan int64, 64)}
	a, b := f.node("a.1", nil), f.node("b.1", func(c *peer.Config) { c.Handler = h })
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
	_, err := a.Call(ctx, b.Addr(), probe(1)) // 32 streams that nobody reads hold up nothing
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

// TestStreamRefused guards against a refusal that reads as an empty answer.
func TestStreamRefused(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, clockwork.NewRealClock())
	a, b := f.node("a.1", nil), f.node("b.1", nil) // b answers no streams
	s, err := a.OpenStream(t.Context(), b.Addr(), peer.Forward{Request: "r"})
	is.NoErr(err)
	defer s.Close()
	_, err = s.Recv(t.Context())
	var fail peer.Failure
	is.True(errors.As(err, &fail))
	is.Equal(fail.Code, "not_a_stream")
}
