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
	// maxStreams limits the streams of one connection in each direction, so that some of the connection's QUIC streams
	// stay free for calls.
	maxStreams = 64
	// streamCreditWindow limits the bytes sent on a stream that the receiver has not consumed. Without it, a slow receiver
	// would exhaust the flow-control window of the connection and block its other streams.
	streamCreditWindow = 32 << 10
	// streamIdleTimeout limits the wait of the opening side for the next message, and each write of a message.
	streamIdleTimeout = 30 * time.Second
	// streamInboxSize is the number of messages from the opening router that are buffered for the handler of the
	// answering router.
	streamInboxSize = 4
	// refusedDrainTimeout limits the wait for the peer to end a refused stream.
	refusedDrainTimeout = time.Second
)

// StreamHandler is implemented by a Handler that also answers streams.
type StreamHandler interface {
	// HandleStream answers a stream that another router opened with m. The context ends when that router closes the
	// stream. An error is sent to it as a Failure.
	HandleStream(ctx context.Context, from Sender, m Message, s *Stream) error
}

// Stream exchanges messages in both directions with another router. The bytes that the answering side has in flight are
// limited. One goroutine may receive while another one sends.
type Stream struct {
	sess       *session
	quicStream *quic.Stream

	// inbox is nil on the opening side, where Recv reads from the QUIC stream. On the answering side readLoop fills it.
	inbox chan Message
	// received is the number of bytes consumed on the opening side, and acked the number that the last StreamAck reported.
	received      int64
	acked         int64
	stopAfterFunc func() bool // releases the context of OpenStream
	closed        atomic.Bool

	writeMu     sync.Mutex // serialises the writing of frames
	creditMu    sync.Mutex // protects sent and confirmed
	sent        int64
	confirmed   int64
	creditFreed chan struct{}
}

// OpenStream opens a stream to a router and sends m on it. The stream ends with the context or with Close.
func (t *Transport) OpenStream(ctx context.Context, addr string, m Message) (*Stream, error) {
	b, err := Encode(t.cfg.Self, m)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	l, err := t.link(addr)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := l.takeBytes(m.Type(), len(b)); err != nil {
		return nil, trace.Wrap(err)
	}
	sess, err := l.connect(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if sess.openedStreams.Add(1) > maxStreams {
		sess.openedStreams.Add(-1)
		return nil, trace.LimitExceeded("too many streams to %s", addr)
	}
	qs, err := sess.conn.OpenStreamSync(ctx)
	if err != nil {
		sess.openedStreams.Add(-1)
		return nil, trace.ConnectionProblem(ErrUnreachable, "open a stream to %s: %v", addr, err)
	}
	s := &Stream{sess: sess, quicStream: qs, creditFreed: make(chan struct{}, 1)}
	s.stopAfterFunc = context.AfterFunc(ctx, s.cancel)
	if err := s.writeFrame(m.Type(), b); err != nil {
		s.Close()
		return nil, trace.ConnectionProblem(ErrUnreachable, "open a stream to %s: %v", addr, err)
	}
	return s, nil
}

// Close ends the stream. Only the opening side may call it.
func (s *Stream) Close() {
	if s.closed.Swap(true) {
		return
	}
	s.stopAfterFunc()
	s.cancel()
	s.sess.openedStreams.Add(-1)
}

func (s *Stream) cancel() {
	s.quicStream.CancelRead(0)
	s.quicStream.CancelWrite(0)
}

// Recv returns the next message. On the opening side the error is io.EOF after the last message, and a Failure if the
// peer has sent one.
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
	_ = s.quicStream.SetReadDeadline(time.Now().Add(streamIdleTimeout))
	m, n, err := s.sess.readMessage(s.quicStream)
	if err != nil {
		return nil, err
	}
	s.received += int64(n)
	if f, ok := m.(Failure); ok {
		return nil, f
	}
	return m, nil
}

// acknowledge sends a StreamAck once half of the credit window was consumed. Its error is ignored: a peer that has sent
// its last message reads no more acknowledgements, but messages from it may still be unread here.
func (s *Stream) acknowledge() {
	if s.received-s.acked < streamCreditWindow/2 {
		return
	}
	s.acked = s.received
	_ = s.sendWithoutCredit(StreamAck{Received: s.received})
}

// Send writes a message. On the answering side it first waits until the peer has consumed enough of the earlier ones.
func (s *Stream) Send(ctx context.Context, m Message) error {
	b, err := Encode(s.sess.t.cfg.Self, m)
	if err != nil {
		return err
	}
	if s.inbox != nil {
		if err := s.acquireCredit(ctx, int64(len(b))); err != nil {
			return err
		}
	}
	return s.writeFrame(m.Type(), b)
}

// sendWithoutCredit writes an acknowledgement or a Failure, which do not count against the credit window.
func (s *Stream) sendWithoutCredit(m Message) error {
	b, err := Encode(s.sess.t.cfg.Self, m)
	if err != nil {
		return err
	}
	return s.writeFrame(m.Type(), b)
}

// writeFrame writes the length of an encoded message and the message.
func (s *Stream) writeFrame(typ Type, b []byte) error {
	buf := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(b)), uint32(len(b))) //nolint:gosec // at most MaxMessage
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	_ = s.quicStream.SetWriteDeadline(time.Now().Add(streamIdleTimeout))
	if _, err := s.quicStream.Write(append(buf, b...)); err != nil {
		return err
	}
	s.sess.t.counts.sent(typ, len(b))
	return nil
}

// acquireCredit waits until n bytes fit in the credit window. A message larger than the window is sent once all earlier
// ones are consumed.
func (s *Stream) acquireCredit(ctx context.Context, n int64) error {
	for {
		s.creditMu.Lock()
		if out := s.sent - s.confirmed; out == 0 || out+n <= streamCreditWindow {
			s.sent += n
			s.creditMu.Unlock()
			return nil
		}
		s.creditMu.Unlock()
		select {
		case <-s.creditFreed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// handleAck records that the peer has consumed the given number of bytes since the stream was opened.
func (s *Stream) handleAck(received int64) {
	s.creditMu.Lock()
	s.confirmed = min(max(s.confirmed, received), s.sent)
	s.creditMu.Unlock()
	select {
	case s.creditFreed <- struct{}{}:
	default:
	}
}

// readMessage reads and decodes one frame. It returns the message and its encoded size. The error is io.EOF only if the
// stream ends between two frames.
func (sess *session) readMessage(r io.Reader) (Message, int, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, 0, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if int64(n) > int64(MaxMessage) {
		sess.t.counts.tooLarge.Add(1)
		return nil, 0, ErrTooLarge
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, 0, err
	}
	env, ok := sess.decode(b)
	if !ok {
		return nil, 0, ErrMalformed
	}
	sess.lastSender.Store(&env.From)
	return env.Msg, int(n), nil
}

// answerStream passes a stream to the handler. r yields the stream from its first byte, which was already read from qs.
func (sess *session) answerStream(qs *quic.Stream, r io.Reader) {
	defer qs.CancelRead(0)
	s := &Stream{sess: sess, quicStream: qs, inbox: make(chan Message, streamInboxSize), creditFreed: make(chan struct{}, 1)}
	_ = qs.SetReadDeadline(time.Now().Add(callTimeout))
	m, _, err := sess.readMessage(r)
	if err != nil {
		sess.refuseStream(qs)
		return
	}
	h, ok := sess.t.cfg.Handler.(StreamHandler)
	if !ok {
		_ = s.sendWithoutCredit(Failure{Code: "not_a_stream"})
		return
	}
	if sess.servedStreams.Add(1) > maxStreams {
		sess.servedStreams.Add(-1)
		_ = s.sendWithoutCredit(Failure{Code: "too_many_streams"})
		return
	}
	defer sess.servedStreams.Add(-1)
	_ = qs.SetReadDeadline(time.Time{})
	ctx, cancel := context.WithCancel(qs.Context())
	defer cancel()
	sess.t.wg.Go(func() { s.readLoop(ctx, cancel) })
	from := Sender{Addr: sess.addr}
	if id := sess.lastSender.Load(); id != nil {
		from.ID = *id
	}
	if err := h.HandleStream(ctx, from, m, s); err != nil {
		f := Failure{Code: "failed", Message: err.Error()}
		_ = errors.As(err, &f)
		_ = s.sendWithoutCredit(f)
	}
}

// refuseStream sends a Failure on a stream whose first message cannot be read. The Failure has the form of a reply to a
// call, without the length of a frame, because the peer may have made a call.
func (sess *session) refuseStream(qs *quic.Stream) {
	m := Failure{Code: "bad_message"}
	b, err := Encode(sess.t.cfg.Self, m)
	if err != nil {
		return
	}
	_ = qs.SetWriteDeadline(time.Now().Add(callTimeout))
	if _, err := qs.Write(b); err != nil {
		qs.CancelWrite(0)
		return
	}
	sess.t.counts.sent(m.Type(), len(b))
	// Cancelling the reading side at once could make the peer's own close of the stream fail. The peer would then treat
	// the call as lost although the reply is on its way.
	_ = qs.Close()
	_ = qs.SetReadDeadline(time.Now().Add(refusedDrainTimeout))
	_, _ = io.CopyN(io.Discard, qs, int64(MaxMessage))
}

// readLoop reads the messages of the opening side until that side closes the stream.
func (s *Stream) readLoop(ctx context.Context, cancel context.CancelFunc) {
	defer cancel()
	for {
		m, _, err := s.sess.readMessage(s.quicStream)
		if err != nil {
			return
		}
		if a, ok := m.(StreamAck); ok {
			s.handleAck(a.Received)
			continue
		}
		select {
		case s.inbox <- m:
		case <-ctx.Done():
			return
		}
	}
}
