package node

import (
	"context"
	"errors"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/member"
	"geraniumsaddle/core/target"
	"geraniumsaddle/io/caller"
	"geraniumsaddle/io/engine"
	"geraniumsaddle/io/peer"
)

const (
	// maxSpillOffers bounds the routers that one request is offered to.
	maxSpillOffers = 3
	// offerTimeout bounds the wait for the offer of another router. That router does not queue the request, so it answers
	// at once.
	offerTimeout = time.Second
	// forwardGoTimeout is how long a router keeps the slot that it has offered. It covers the time in which the origin
	// router, which has received the request from its caller, journals the hold.
	forwardGoTimeout = 10 * time.Second
)

// spill forwards a request to a router of another failure domain, because this one has no target with capacity for it.
// This router keeps the hold, journals it and writes the bill. spill returns refused if no other failure domain takes
// the request.
func (c *chat) spill(ctx context.Context, refused error) error {
	var refusal *caller.Refusal
	if !errors.As(refused, &refusal) || refusal.Outcome != ident.OutcomeNotRun ||
		refusal.Code != caller.CodeOverloaded && refusal.Code != caller.CodeUnavailable || c.n.transport == nil || ctx.Err() != nil {
		return refused
	}
	reqCtx := ctx
	if c.r.IdempotencyKey != "" {
		reqCtx = context.WithoutCancel(ctx) // The request keeps running without its caller, so that a retry can get its answer.
	}
	for _, addr := range c.n.spillRouters(c.r.ID, c.r.Model) {
		s, offer, err := c.n.offerForward(reqCtx, addr, c.r)
		if err != nil {
			c.n.log.Debug("request was not forwarded", "request_id", c.r.ID, "addr", addr, "error", err)
			continue
		}
		c.choice = target.Choice{Target: offer.Target, Version: offer.Version}
		err = c.copyForwarded(ctx, reqCtx, s)
		s.Close()
		return err
	}
	return refused
}

// spillRouters returns the addresses of the routers to offer a request to: failure domains in the order of
// SpillCandidates, and the routers of each by rendezvous hashing.
func (n *Node) spillRouters(id ident.RequestID, m ident.ModelID) []string {
	r := n.members.roster.Load()
	var out []string
	for _, cand := range n.table.Load().SpillCandidates(target.Key{Model: m, Domain: n.domain}, n.clock.Now()) {
		if cand.Fresh && cand.Free <= 0 {
			continue
		}
		var ids []ident.RouterID
		for _, row := range r.members {
			if row.Usable() && row.Domain == cand.Domain {
				ids = append(ids, row.ID)
			}
		}
		for i, router := range member.Rank("spill/"+string(id), ids) {
			// A second router of the same failure domain may have slots that the first lacks.
			if i < 2 && len(out) < maxSpillOffers {
				out = append(out, r.addrs[router])
			}
		}
	}
	return out
}

// offerForward offers a request to another router. No target receives the request before ForwardGo.
func (n *Node) offerForward(ctx context.Context, addr string, r caller.ChatRequest) (*peer.Stream, peer.ForwardOffer, error) {
	s, err := n.transport.OpenStream(ctx, addr, peer.Forward{
		Request: r.ID, Org: r.Caller.Org, Model: r.Model, Body: r.Body, Prefix: r.Prefix, Priority: r.Priority})
	if err != nil {
		return nil, peer.ForwardOffer{}, err
	}
	timer := n.clock.AfterFunc(offerTimeout, s.Close)
	m, err := s.Recv(ctx)
	if !timer.Stop() && err == nil {
		err = context.DeadlineExceeded
	}
	offer, ok := m.(peer.ForwardOffer)
	if err == nil && !ok {
		err = peer.ErrMalformed
	}
	if err != nil {
		s.Close()
		return nil, offer, err
	}
	return s, offer, nil
}

// copyForwarded journals the offered target, tells the other router to send the request and copies the answer.
func (c *chat) copyForwarded(ctx, reqCtx context.Context, s *peer.Stream) error {
	if err := c.journalAttempt(ctx); err != nil {
		return err
	}
	c.callerStream = new(callerStream)
	if err := s.Send(reqCtx, peer.ForwardGo{}); err != nil {
		return c.endInterrupted(err)
	}
	for {
		m, err := s.Recv(reqCtx)
		if err != nil {
			return c.endInterrupted(err)
		}
		switch m := m.(type) {
		case peer.ForwardChunk:
			if m.Offset != c.chunks {
				return c.endInterrupted(engine.ErrOffset)
			}
			c.chunks++
			if err := c.handleChunk(engineChunk(m), true); err != nil {
				if c.r.IdempotencyKey == "" {
					return caller.Refuse(caller.CodeIncompleteAnswer, ident.OutcomeRun, "the request ended before its answer was complete")
				}
				c.detached = true
			}
		case peer.ForwardEnd:
			return c.endForwarded(m)
		default:
			return c.endInterrupted(peer.ErrMalformed)
		}
	}
}

// engineChunk converts a forwarded chunk to the type of the engine client. Only whether Content is empty matters here.
func engineChunk(m peer.ForwardChunk) engine.Chunk {
	chunk := engine.Chunk{Offset: m.Offset, Data: m.Data}
	if m.Content {
		chunk.Content = m.Data
	}
	return chunk
}

// endInterrupted ends a request whose answer was interrupted after the other router was told to send the request.
func (c *chat) endInterrupted(err error) error {
	c.n.log.Warn("forwarded request failed", "request_id", c.r.ID, "target", c.choice.Target, "chunks", c.chunks, "error", err)
	if c.chunks > 0 {
		return caller.Refuse(caller.CodeIncompleteAnswer, ident.OutcomeRun, "the stream of another failure domain ended early")
	}
	return caller.Refuse(caller.CodeOutcomeUnknown, ident.OutcomeUnknown, "the router of another failure domain did not answer").After(time.Second)
}

// endForwarded ends a request according to the last message of the other router.
func (c *chat) endForwarded(m peer.ForwardEnd) error {
	if m.Code != "" {
		outcome := m.Outcome
		if outcome == ident.OutcomeNotRun && c.chunks > 0 || outcome == "" {
			outcome = ident.OutcomeUnknown
		}
		return caller.Refuse(caller.Code(m.Code), outcome, "%s", m.Message).After(time.Second)
	}
	if m.Chunks != c.chunks {
		return c.endInterrupted(engine.ErrTruncated)
	}
	c.usage, c.hasUsage, c.usageEvent = engine.Usage{PromptTokens: m.PromptTokens, OutputTokens: m.OutputTokens}, m.HasUsage, m.Usage
	// The other failure domain has recorded the evidence, because it judges its own versions and targets. Without a
	// version, complete records none here.
	version := c.choice.Version
	c.choice.Version = ""
	defer func() { c.choice.Version = version }()
	return c.complete()
}

// HandleStream implements peer.StreamHandler.
func (b inbox) HandleStream(ctx context.Context, from peer.Sender, m peer.Message, s *peer.Stream) error {
	f, ok := m.(peer.Forward)
	if !ok {
		return peer.Failure{Code: "not_a_stream", Message: m.Type().String()}
	}
	return b.n.serveForward(ctx, from, f, s)
}

// serveForward runs a request from a router of another failure domain at a target of this one. It neither queues nor
// forwards the request.
func (n *Node) serveForward(ctx context.Context, from peer.Sender, f peer.Forward, s *peer.Stream) error {
	if n.traffic.leaving.Load() {
		return peer.Failure{Code: "leaving"}
	}
	done, err := n.traffic.admit(ctx)
	if err != nil {
		return err
	}
	defer done()
	cs, err := n.traffic.streams.reserve(f.Org)
	if err != nil {
		return err
	}
	defer n.traffic.streams.release(cs)
	choice, err := n.table.Load().Pool(target.Key{Model: f.Model, Domain: n.domain}).Choose(target.Request{
		Sticky: string(f.Org) + "/" + string(f.Prefix), Prefix: prefixHash(f.Prefix), Retryable: true, Exhaustive: true,
		Now: n.clock.Now(), Rand: n.traffic.random(),
	}, n.accounts)
	if err != nil {
		return err
	}
	if err := offerTarget(ctx, n, s, choice); err != nil {
		choice.Release(target.ResultNeutral)
		return err
	}
	n.log.Debug("running a request of another failure domain", "request_id", f.Request, "from", from.ID, "target", choice.Target)
	w := &forwardWriter{ctx: ctx, stream: s}
	c := &chat{
		n: n, r: caller.ChatRequest{ID: f.Request, Caller: caller.Identity{Org: f.Org}, Model: f.Model, Body: f.Body, Priority: f.Priority},
		w: w, start: n.clock.Now(), choice: choice, callerStream: cs,
	}
	w.chat = c
	err = c.runForwarded(ctx)
	if err == nil {
		return nil
	}
	return s.Send(ctx, failureEnd(err))
}

// offerTarget offers a slot at the target and waits until the origin router has journaled the hold.
func offerTarget(ctx context.Context, n *Node, s *peer.Stream, choice target.Choice) error {
	if err := s.Send(ctx, peer.ForwardOffer{Target: choice.Target, Version: choice.Version}); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := n.clock.AfterFunc(forwardGoTimeout, cancel)
	defer timer.Stop()
	m, err := s.Recv(ctx)
	if err != nil {
		return err
	}
	if _, ok := m.(peer.ForwardGo); !ok {
		return peer.ErrMalformed
	}
	return nil
}

// runForwarded sends the request to the chosen target and copies the answer to the origin router.
func (c *chat) runForwarded(ctx context.Context) error {
	var err error
	if c.client, err = c.n.pools.engineClient(c.choice.URL); err != nil {
		c.choice.Release(target.ResultFailed)
		return caller.Refuse(caller.CodeUnavailable, ident.OutcomeNotRun, "the target's address is invalid")
	}
	// The context of the process ends the wait for the target in a shutdown, because a closing transport waits for this
	// stream.
	s, err := c.client.Start(c.n.ctx, engine.Request{
		ID: c.r.ID, Version: c.choice.Version, Route: chatRoute, Priority: c.r.Priority, Body: c.r.Body})
	if err != nil {
		return c.handleStartError(err)
	}
	return c.copyStream(ctx, s)
}

// failureEnd returns the message that ends a failed request.
func failureEnd(err error) peer.ForwardEnd {
	var refusal *caller.Refusal
	if !errors.As(err, &refusal) {
		return peer.ForwardEnd{Outcome: ident.OutcomeUnknown, Code: string(caller.CodeOutcomeUnknown), Message: "the request failed"}
	}
	return peer.ForwardEnd{Outcome: refusal.Outcome, Code: string(refusal.Code), Message: refusal.Message}
}

// forwardWriter sends an answer to the router that has forwarded its request.
type forwardWriter struct {
	ctx           context.Context
	stream        *peer.Stream
	chat          *chat
	offset        int64
	contentChunks int64
}

// Begin implements caller.ChatWriter.
func (w *forwardWriter) Begin(ident.RequestID) error { return nil }

// Chunk implements caller.ChatWriter.
func (w *forwardWriter) Chunk(data []byte) error {
	m := peer.ForwardChunk{Offset: w.offset, Data: data, Content: w.chat.contentChunks > w.contentChunks}
	w.offset++
	w.contentChunks = w.chat.contentChunks
	return w.stream.Send(w.ctx, m)
}

// Flush implements caller.ChatWriter.
func (w *forwardWriter) Flush() error { return nil }

// End implements caller.ChatWriter.
func (w *forwardWriter) End(usage []byte, _ caller.Usage) error {
	return w.stream.Send(w.ctx, peer.ForwardEnd{
		Chunks: w.offset, Usage: usage, HasUsage: w.chat.hasUsage,
		PromptTokens: w.chat.usage.PromptTokens, OutputTokens: w.chat.usage.OutputTokens, Outcome: ident.OutcomeRun,
	})
}
