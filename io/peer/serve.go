package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"sync/atomic"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"

	"geraniumsaddle/core/ident"
)

func (t *Transport) acceptConns() {
	for {
		c, err := t.ln.Accept(t.ctx)
		if err != nil {
			return
		}
		t.mu.Lock()
		full := len(t.sessions) >= t.cfg.MaxConns
		t.mu.Unlock()
		if full {
			_ = c.CloseWithError(3, "too many connections")
			continue
		}
		s, err := t.startSession(c)
		if err != nil {
			_ = c.CloseWithError(1, "connection refused")
			continue
		}
		if l, err := t.link(s.addr); err == nil {
			l.setIncomingSession(s)
		}
	}
}

// session is one connection to a peer, with the router name from the peer's certificate.
type session struct {
	t    *Transport
	conn *quic.Conn
	name string
	addr string
	// openedStreams and servedStreams count the open streams that this router and the peer have opened.
	openedStreams, servedStreams atomic.Int32
	// lastSender is the sender of the last message received on a stream.
	lastSender atomic.Pointer[ident.RouterID]
}

func (t *Transport) newSession(c *quic.Conn) (*session, error) {
	name, err := t.cfg.Certs.verifyPeer(c.ConnectionState().TLS.PeerCertificates)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &session{t: t, conn: c, name: name, addr: c.RemoteAddr().String()}, nil
}

// alive reports whether the connection is open.
func (sess *session) alive() bool { return sess.conn.Context().Err() == nil }

// serve accepts streams and handles their messages and calls until the connection is closed.
func (sess *session) serve() {
	sess.t.wg.Go(sess.acceptStreams)
	for {
		s, err := sess.conn.AcceptUniStream(sess.t.ctx)
		if err != nil {
			return
		}
		sess.t.wg.Go(func() { sess.readOneWay(s) })
	}
}

func (sess *session) acceptStreams() {
	for {
		s, err := sess.conn.AcceptStream(sess.t.ctx)
		if err != nil {
			return
		}
		sess.t.wg.Go(func() { sess.serveStream(s) })
	}
}

// readOneWay reads frames of one-way messages and passes them to the handler.
func (sess *session) readOneWay(s *quic.ReceiveStream) {
	var head [4]byte
	for {
		if _, err := io.ReadFull(s, head[:]); err != nil {
			return
		}
		n := binary.BigEndian.Uint32(head[:])
		if int64(n) > int64(MaxMessage) {
			sess.t.counts.tooLarge.Add(1)
			s.CancelRead(0)
			return
		}
		b := make([]byte, n)
		if _, err := io.ReadFull(s, b); err != nil {
			return
		}
		env, ok := sess.decode(b)
		if !ok {
			continue
		}
		sess.t.cfg.Handler.HandleMessage(Sender{ID: env.From, Addr: sess.addr}, env.Msg)
	}
}

// serveStream answers a call, or hands a stream of frames to answerStream.
func (sess *session) serveStream(s *quic.Stream) {
	defer func() { _ = s.Close() }()
	var first [1]byte
	if _, err := io.ReadFull(s, first[:]); err != nil {
		s.CancelRead(0)
		return
	}
	r := io.MultiReader(bytes.NewReader(first[:]), s)
	if first[0] == 0 {
		// A frame starts with its length, whose first byte is 0 for any length up to MaxMessage. A call starts with
		// the head of a CBOR map, which is never 0.
		sess.answerStream(s, r)
		return
	}
	b, err := readAll(r)
	if err != nil {
		s.CancelRead(0)
		return
	}
	ctx, cancel := context.WithTimeout(s.Context(), callTimeout)
	defer cancel()
	reply := sess.handleCall(ctx, b)
	out, err := Encode(sess.t.cfg.Self, reply)
	if err != nil {
		reply = Failure{Code: "reply_too_large", Message: err.Error()}
		if out, err = Encode(sess.t.cfg.Self, reply); err != nil {
			return
		}
	}
	if d, ok := ctx.Deadline(); ok {
		_ = s.SetWriteDeadline(d)
	}
	if _, err := s.Write(out); err != nil {
		s.CancelWrite(0)
		return
	}
	sess.t.counts.sent(reply.Type(), len(out))
}

func (sess *session) handleCall(ctx context.Context, b []byte) Message {
	env, ok := sess.decode(b)
	if !ok {
		return Failure{Code: "bad_message"}
	}
	reply, err := sess.t.cfg.Handler.HandleCall(ctx, Sender{ID: env.From, Addr: sess.addr}, env.Msg)
	var f Failure
	switch {
	case errors.As(err, &f):
		return f
	case err != nil:
		return Failure{Code: "failed", Message: err.Error()}
	case reply == nil:
		return Done{}
	}
	return reply
}

// decode decodes and counts a message and compares its sender with the router name of the certificate.
func (sess *session) decode(b []byte) (Envelope, bool) {
	env, err := Decode(b)
	c := &sess.t.counts
	switch {
	case errors.Is(err, ErrUnknownType):
		c.unknownType.Add(1)
	case errors.Is(err, ErrUnknownFormat):
		c.unknownFormat.Add(1)
	case errors.Is(err, ErrTooLarge):
		c.tooLarge.Add(1)
	case err != nil:
		c.malformed.Add(1)
	case env.From.Name() != sess.name:
		c.wrongSender.Add(1)
		sess.t.cfg.Log.Warn("message with a wrong sender", "addr", sess.addr, "certificate", sess.name, "from", string(env.From))
	default:
		c.received(env.Msg.Type(), len(b))
		return env, true
	}
	return Envelope{}, false
}

// readAll reads r to the end. It returns ErrTooLarge if r holds more than MaxMessage bytes.
func readAll(r io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, int64(MaxMessage)+1))
	if err != nil {
		return nil, err
	}
	if len(b) > int(MaxMessage) {
		return nil, ErrTooLarge
	}
	return b, nil
}
