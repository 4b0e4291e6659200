package peer

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"
)

const (
	// maxStreams bounds the streams of one connection in each direction, so that they leave room for calls.
	maxStreams = 64
	// streamWindow bounds the bytes that were sent on a stream and that its receiver has not consumed. Without it, a slow
	// receiver would fill the flow window of the connection and hold up its other streams.
	streamWindow = 32 << 10
	// streamIdle bounds the wait for the next message of an open stream.
	streamIdle = 30 * time.Second
	// streamQueue bounds the messages of the opening router that wait for the answering one.
	streamQueue = 4
	// refusedRest bounds the wait for the end of a stream that was refused.
	refusedRest = time.Second
)

// StreamHandler is a Handler that also answers streams.
type StreamHandler interface {
	// HandleStream answers a stream that another router has opened with a message. The context ends when the other side
	// has closed the stream. An error is sent as a Failure.
	HandleStream(ctx context.Context, from Sender, m Message, s *Stream) error
}

// Stream is a bounded conversation with another router. One goroutine may receive and another one send.
type Stream struct {
	in *session
	s  *quic.Stream

	// The opening side reads messages itself; the answering side gets them from its reader.
	inbox    chan Message
	received int64
	acked    int64
	stop     func() bool
	closed   atomic.Bool

	mu        sync.Mutex // of frames that are written
	creditMu  sync.Mutex
	sent      int64
	confirmed int64
	credit    chan struct{}
}

// OpenStream opens a stream to a router with a message. The stream ends with the context or with Close.
func (t *Transport) OpenStream(ctx context.Context, addr string, m Message) (*Stream, error) {
	b, err := Encode(t.cfg.Self, m)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	l, err := t.link(addr)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := l.spend(m.Type(), len(b)); err != nil {
		return nil, trace.Wrap(err)
	}
	sess, err := l.connect(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if sess.opened.Add(1) > maxStreams {
		sess.opened.Add(-1)
		return nil, trace.LimitExceeded("too many streams to %s", addr)
	}
	q, err := sess.conn.OpenStreamSync(ctx)
	if err != nil {
		sess.opened.Add(-1)
		return nil, trace.ConnectionProblem(ErrUnreachable, "open a stream to %s: %v", addr, err)
	}
	s := &Stream{in: sess, s: q, credit: make(chan struct{}, 1)}
	s.stop = context.AfterFunc(ctx, s.cancel)
	if err := s.write(m.Type(), b); err != nil {
		s.Close()
		return nil, trace.ConnectionProblem(ErrUnreachable, "open a stream to %s: %v", addr, err)
	}
	return s, nil
}

// Close ends the stream. The opening side calls it.
func (s *Stream) Close() {
	if s.closed.Swap(true) {
		return
	}
	s.stop()
	s.cancel()
	s.in.opened.Add(-1)
}

func (s *Stream) cancel() {
	s.s.CancelRead(0)
	s.s.CancelWrite(0)
}

// Recv returns the next message. The error is io.EOF after the last one, and a Failure that the peer has sent.
func (s *Stream) Recv(ctx context.Context) (Message, error) {
	if s.inbox != nil {
		select {
		case m := <-s.inbox:
			return m, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	s.acknowledge()
	_ = s.s.SetReadDeadline(time.Now().Add(streamIdle))
	m, n, err := s.in.readMessage(s.s)
	if err != nil {
		return nil, err
	}
	s.received += int64(n)
	if f, ok := m.(Failure); ok {
		return nil, f
	}
	return m, nil
}

// acknowledge tells the sender what was consumed, once that is a large part of the window. A sender that has sent its last
// message reads no more, so a failure says nothing about the messages that are still to be received.
func (s *Stream) acknowledge() {
	if s.received-s.acked < streamWindow/2 {
		return
	}
	s.acked = s.received
	_ = s.put(StreamAck{Received: s.received})
}

// Send writes a message. On the answering side it waits until the other side has consumed enough of the earlier ones.
func (s *Stream) Send(ctx context.Context, m Message) error {
	b, err := Encode(s.in.t.cfg.Self, m)
	if err != nil {
		return err
	}
	if s.inbox != nil {
		if err := s.spend(ctx, int64(len(b))); err != nil {
			return err
		}
	}
	return s.write(m.Type(), b)
}

func (s *Stream) put(m Message) error {
	b, err := Encode(s.in.t.cfg.Self, m)
	if err != nil {
		return err
	}
	return s.write(m.Type(), b)
}

func (s *Stream) write(typ Type, b []byte) error {
	buf := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(b)), uint32(len(b))) //nolint:gosec // at most MaxMessage
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.s.SetWriteDeadline(time.Now().Add(streamIdle))
	if _, err := s.s.Write(append(buf, b...)); err != nil {
		return err
	}
	s.in.t.counts.sent(typ, len(b))
	return nil
}

// spend waits until n bytes fit in the window. A message that is larger than the window goes alone.
func (s *Stream) spend(ctx context.Context, n int64) error {
	for {
		s.creditMu.Lock()
		if out := s.sent - s.confirmed; out == 0 || out+n <= streamWindow {
			s.sent += n
			s.creditMu.Unlock()
			return nil
		}
		s.creditMu.Unlock()
		select {
		case <-s.credit:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *Stream) confirm(received int64) {
	s.creditMu.Lock()
	s.confirmed = min(max(s.confirmed, received), s.sent)
	s.creditMu.Unlock()
	select {
	case s.credit <- struct{}{}:
	default:
	}
}

// readMessage reads one frame.
func (in *session) readMessage(r io.Reader) (Message, int, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, 0, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if int64(n) > int64(MaxMessage) {
		in.t.counts.tooLarge.Add(1)
		return nil, 0, ErrTooLarge
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, 0, err
	}
	env, ok := in.decode(b)
	if !ok {
		return nil, 0, ErrMalformed
	}
	in.remote.Store(&env.From)
	return env.Msg, int(n), nil
}

// stream answers a stream whose first byte was read.
func (in *session) stream(q *quic.Stream, r io.Reader) {
	defer q.CancelRead(0)
	s := &Stream{in: in, s: q, inbox: make(chan Message, streamQueue), credit: make(chan struct{}, 1)}
	_ = q.SetReadDeadline(time.Now().Add(callTimeout))
	m, _, err := in.readMessage(r)
	if err != nil {
		in.refuse(q)
		return
	}
	h, ok := in.t.cfg.Handler.(StreamHandler)
	if !ok {
		_ = s.put(Failure{Code: "not_a_stream"})
		return
	}
	if in.served.Add(1) > maxStreams {
		in.served.Add(-1)
		_ = s.put(Failure{Code: "too_many_streams"})
		return
	}
	defer in.served.Add(-1)
	_ = q.SetReadDeadline(time.Time{})
	ctx, cancel := context.WithCancel(q.Context())
	defer cancel()
	in.t.wg.Go(func() { s.pump(ctx, cancel) })
	from := Sender{Addr: in.addr}
	if id := in.remote.Load(); id != nil {
		from.ID = *id
	}
	if err := h.HandleStream(ctx, from, m, s); err != nil {
		f := Failure{Code: "failed", Message: err.Error()}
		_ = errors.As(err, &f)
		_ = s.put(f)
	}
}

// refuse answers a stream whose first message cannot be read as a call is answered, because it may be one.
func (in *session) refuse(q *quic.Stream) {
	m := Failure{Code: "bad_message"}
	b, err := Encode(in.t.cfg.Self, m)
	if err != nil {
		return
	}
	_ = q.SetWriteDeadline(time.Now().Add(callTimeout))
	if _, err := q.Write(b); err != nil {
		q.CancelWrite(0)
		return
	}
	in.t.counts.sent(m.Type(), len(b))
	// The end of the reading side would fail the peer's own end of the stream, and with it a call whose answer is on its way.
	_ = q.Close()
	_ = q.SetReadDeadline(time.Now().Add(refusedRest))
	_, _ = io.CopyN(io.Discard, q, int64(MaxMessage))
}

// pump reads the messages of the opening side until it closes the stream.
func (s *Stream) pump(ctx context.Context, cancel context.CancelFunc) {
	defer cancel()
	for {
		m, _, err := s.in.readMessage(s.s)
		if err != nil {
			return
		}
		if a, ok := m.(StreamAck); ok {
			s.confirm(a.Received)
			continue
		}
		select {
		case s.inbox <- m:
		case <-ctx.Done():
			return
		}
	}
}
