package peer

import (
	"context"
	"errors"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"
)

// Call sends m and waits for the reply until the context ends, at most 10 s. A Failure that the peer sends is
// returned as the error. After any other error the peer may or may not have handled the call.
func (t *Transport) Call(ctx context.Context, addr string, m Message) (Message, error) {
	env, err := t.CallEnvelope(ctx, addr, m)
	return env.Msg, err
}

// CallEnvelope is like Call but returns the envelope of the reply, which names the router that answered.
func (t *Transport) CallEnvelope(ctx context.Context, addr string, m Message) (Envelope, error) {
	b, err := Encode(t.cfg.Self, m)
	if err != nil {
		return Envelope{}, trace.Wrap(err)
	}
	l, err := t.link(addr)
	if err != nil {
		return Envelope{}, trace.Wrap(err)
	}
	if err := l.takeBytes(m.Type(), len(b)); err != nil {
		return Envelope{}, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sess, err := l.connect(ctx)
	if err != nil {
		return Envelope{}, trace.Wrap(err)
	}
	s, err := sess.conn.OpenStreamSync(ctx)
	if err != nil {
		return Envelope{}, trace.ConnectionProblem(ErrUnreachable, "call %s: %v", addr, err)
	}
	stop := context.AfterFunc(ctx, func() {
		s.CancelRead(0)
		s.CancelWrite(0)
	})
	defer stop()
	env, err := sess.exchange(s, m.Type(), b)
	if ctx.Err() != nil && err != nil {
		return Envelope{}, trace.Wrap(ctx.Err(), "call %s", addr)
	}
	var f Failure
	if err != nil && !errors.As(err, &f) {
		return Envelope{}, trace.ConnectionProblem(err, "call %s", addr)
	}
	return env, err
}

func (sess *session) exchange(s *quic.Stream, typ Type, b []byte) (Envelope, error) {
	if _, err := s.Write(b); err != nil {
		return Envelope{}, err
	}
	if err := s.Close(); err != nil {
		return Envelope{}, err
	}
	sess.t.counts.sent(typ, len(b))
	out, err := readAll(s)
	if err != nil {
		s.CancelRead(0)
		return Envelope{}, err
	}
	env, ok := sess.decode(out)
	if !ok {
		return Envelope{}, ErrMalformed
	}
	if f, ok := env.Msg.(Failure); ok {
		return Envelope{}, f
	}
	return env, nil
}
