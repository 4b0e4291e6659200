package peer_test

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"io"
	"slices"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/quic-go/quic-go"

	"geraniumsaddle/io/peer"
)

// listenRaw starts a plain QUIC listener with a certificate for the given router name. It answers each stream with the
// next of the given answers and closes the stream in order.
func (f *fleet) listenRaw(name string, answers <-chan []byte) (addr string) {
	is := is.New(f.tb)
	pair := f.issue(name)
	cert, err := tls.X509KeyPair(pair.Cert, pair.Key)
	is.NoErr(err)
	ln, err := quic.ListenAddr("127.0.0.1:0", &tls.Config{
		Certificates: []tls.Certificate{cert}, ClientAuth: tls.RequestClientCert, NextProtos: []string{"geraniumsaddle-peer/1"},
	}, nil)
	is.NoErr(err)
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	f.tb.Cleanup(func() {
		cancel()
		_ = ln.Close()
		<-done
	})
	go func() {
		defer close(done)
		conn, err := ln.Accept(ctx)
		for err == nil {
			var s *quic.Stream
			if s, err = conn.AcceptStream(ctx); err != nil {
				return
			}
			_, _ = s.Write(<-answers)
			_ = s.Close()
		}
	}()
	return ln.Addr().String()
}

// TestCutMessages guards against taking the reply to a call, or the messages of a stream, for whole if the peer ends the
// stream in order inside them.
func TestCutMessages(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, clockwork.NewRealClock())
	answers := make(chan []byte, 1)
	a, addr := f.newNode("a.1", nil), f.listenRaw("x", answers)
	reply, err := peer.Encode("x.1", probe(7))
	is.NoErr(err)
	for n := range len(reply) + 1 {
		answers <- reply[:n]
		_, err := a.Call(t.Context(), addr, probe(7))
		is.Equal(err == nil, n == len(reply))
	}
	frame := append(binary.BigEndian.AppendUint32(nil, uint32(len(reply))), reply...)
	frames := slices.Repeat(frame, 2)
	for n := range len(frames) + 1 {
		answers <- frames[:n]
		s, err := a.OpenStream(t.Context(), addr, peer.Forward{Request: "r"})
		is.NoErr(err)
		received := 0
		for ; err == nil; received++ {
			_, err = s.Recv(t.Context())
		}
		s.Close()
		is.Equal(received-1, n/len(frame))
		if errors.Is(err, io.EOF) != (n%len(frame) == 0) {
			t.Errorf("stream cut after %d bytes of frames of %d: %v", n, len(frame), err)
		}
	}
}
