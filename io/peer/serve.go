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

func (t *Transport) accept() {
	for {
		c, err := t.ln.Accept(t.ctx)
		if err != nil {
			return
		}
		t.mu.Lock()
		full := len(t.conns) >= t.cfg.MaxConns
		t.mu.Unlock()
		if full {
			_ = c.CloseWithError(3, "too many connections")
			continue
		}
		s, err := t.track(c)
		if err != nil {
			_ = c.CloseWithError(1, "connection refused")
			continue
		}
		if l, err := t.link(s.addr); err == nil {
			l.adopt(s)
		}
	}
}

// session is one connection with the router name of the peer's certificate.
type session struct {
	t    *Transport
	conn *quic.Conn
	name string
	addr string
	// opened and served count the streams of both directions; remote is the last sender.
	opened, served atomic.Int32
	remote         atomic.Pointer[ident.RouterID]
}

func (t *Transport) newSession(c *quic.Conn) (*session, error) {
	name, err := t.cfg.Certs.verifyPeer(c.ConnectionState().TLS.PeerCertificates)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &session{t: t, conn: c, name: name, addr: c.RemoteAddr().String()}, nil
}

// alive reports whether the connection is open.
func (in *session) alive() bool { return in.conn.Context().Err() == nil }

// serve reads messages and calls until the connection is closed.
func (in *session) serve() {
	in.t.wg.Go(in.streams)
	for {
		s, err := in.conn.AcceptUniStream(in.t.ctx)
		if err != nil {
			return
		}
		in.t.wg.Go(func() { in.messages(s) })
	}
}

func (in *session) streams() {
	for {
		s, err := in.conn.AcceptStream(in.t.ctx)
		if err != nil {
			return
		}
		in.t.wg.Go(func() { in.call(s) })
	}
}

// messages reads frames of one-way messages.
func (in *session) messages(s *quic.ReceiveStream) {
	var head [4]byte
	for {
		if _, err := io.ReadFull(s, head[:]); err != nil {
			return
		}
		n := binary.BigEndian.Uint32(head[:])
		if int64(n) > int64(MaxMessage) {
			in.t.counts.tooLarge.Add(1)
			s.CancelRead(0)
			return
		}
		b := make([]byte, n)
		if _, err := io.ReadFull(s, b); err != nil {
			return
		}
		env, ok := in.decode(b)
		if !ok {
			continue
		}
		in.t.cfg.Handler.HandleMessage(Sender{ID: env.From, Addr: in.addr}, env.Msg)
	}
}

// call reads one request and writes its answer.
func (in *session) call(s *quic.Stream) {
	defer func() { _ = s.Close() }()
	var first [1]byte
	if _, err := io.ReadFull(s, first[:]); err != nil {
		s.CancelRead(0)
		return
	}
	r := io.MultiReader(bytes.NewReader(first[:]), s)
	if first[0] == 0 {
		// The length of a frame. The CBOR map of a call begins with another byte.
		in.stream(s, r)
		return
	}
	b, err := readAll(r)
	if err != nil {
		s.CancelRead(0)
		return
	}
	ctx, cancel := context.WithTimeout(s.Context(), callTimeout)
	defer cancel()
	reply := in.answer(ctx, b)
	out, err := Encode(in.t.cfg.Self, reply)
	if err != nil {
		reply = Failure{Code: "reply_too_large", Message: err.Error()}
		if out, err = Encode(in.t.cfg.Self, reply); err != nil {
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
	in.t.counts.sent(reply.Type(), len(out))
}

func (in *session) answer(ctx context.Context, b []byte) Message {
	env, ok := in.decode(b)
	if !ok {
		return Failure{Code: "bad_message"}
	}
	reply, err := in.t.cfg.Handler.HandleCall(ctx, Sender{ID: env.From, Addr: in.addr}, env.Msg)
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

// decode decodes and counts a message and checks its sender against the certificate.
func (in *session) decode(b []byte) (Envelope, bool) {
	env, err := Decode(b)
	c := &in.t.counts
	switch {
	case errors.Is(err, ErrUnknownType):
		c.unknownType.Add(1)
	case errors.Is(err, ErrUnknownFormat):
		c.unknownFormat.Add(1)
	case errors.Is(err, ErrTooLarge):
		c.tooLarge.Add(1)
	case err != nil:
		c.malformed.Add(1)
	case env.From.Name() != in.name:
		c.wrongSender.Add(1)
		in.t.cfg.Log.Warn("message with a wrong sender", "addr", in.addr, "certificate", in.name, "from", string(env.From))
	default:
		c.received(env.Msg.Type(), len(b))
		return env, true
	}
	return Envelope{}, false
}

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
