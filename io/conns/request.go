package conns

import (
	"context"
	"net"
	"net/http"

	"geraniumsaddle/core/budget"
	"geraniumsaddle/core/ident"
)

type contextKey struct{}

// ConnContext is the ConnContext hook of the server. RequestOf finds the connection in the context.
func (s *Set) ConnContext(ctx context.Context, raw net.Conn) context.Context {
	if c, ok := raw.(*conn); ok {
		return context.WithValue(ctx, contextKey{}, c)
	}
	return ctx
}

// Request is a request on a connection of a Set. The methods of the zero value do nothing.
type Request struct{ c *conn }

// RequestOf returns the request of a context.
func RequestOf(ctx context.Context) Request {
	c, _ := ctx.Value(contextKey{}).(*conn)
	return Request{c}
}

// Begin records that the head is whole. net/http doesn't report that for a head that was read with the request before.
func (r Request) Begin() {
	if r.c != nil {
		r.c.setState(http.StateActive)
	}
}

// BodyBegins allows the connection to be evicted until BodyEnds, for which n more bytes become free.
func (r Request) BodyBegins(n ident.Bytes) {
	if r.c == nil {
		return
	}
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	if m := &r.c.memory; m.stage == budget.Serving {
		m.stage, m.requestHeld = budget.ReadingBody, n
		m.stepSize, m.stepSince = 0, r.c.set.cfg.Clock.Now()
	}
}

// BodyEnds records that no more of the body is read. The connection isn't evicted from now on.
func (r Request) BodyEnds() {
	if r.c == nil {
		return
	}
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	evicted := r.c.memory.stage == budget.Evicted
	r.c.headComplete()
	r.c.memory.requestHeld, r.c.memory.holdsShare = 0, false
	if evicted {
		_ = r.c.applyDeadline() // Only a closed connection refuses it.
	}
}

// HoldBody records what an eviction of the connection would free beside the head.
func (r Request) HoldBody(n ident.Bytes) {
	if r.c == nil {
		return
	}
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	r.c.memory.requestHeld = n
}

// HoldShare records that the body holds a part of an organisation's share of large bodies and answers.
func (r Request) HoldShare(org ident.OrgID) {
	if r.c == nil {
		return
	}
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	r.c.memory.share, r.c.memory.holdsShare = org, true
}
