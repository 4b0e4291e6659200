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
	// maxSpills bounds the routers that one request is offered to.
	maxSpills = 3
	// offerWait bounds the wait for the offer of another router. It has no queue, so it answers at once.
	offerWait = time.Second
	// goWait is the time for which a router keeps the slot of an offer. It covers the journal's wait of the first router.
	goWait = 10 * time.Second
)

// spill forwards a request for which this failure domain has no target to a router of another one. The hold, the journal
// and the bill stay here. It returns refused if no other failure domain takes the request.
func (c *chat) spill(ctx context.Context, refused error) error {
	var ref *caller.Refusal
	if !errors.As(refused, &ref) || ref.Outcome != ident.OutcomeNotRun ||
		ref.Code != caller.CodeOverloaded && ref.Code != caller.CodeUnavailable || c.n.transport == nil || ctx.Err() != nil {
		return refused
	}
	life := ctx
	if c.r.IdempotencyKey != "" {
		life = context.WithoutCancel(ctx) // The request runs on without its caller, so that a retry finds its answer.
	}
	for _, addr := range c.n.spillRouters(c.r.ID, c.r.Model) {
		s, offer, err := c.n.forward(life, addr, c.r)
		if err != nil {
			c.n.log.Debug("request was not forwarded", "request_id", c.r.ID, "addr", addr, "error", err)
			continue
		}
		c.choice = target.Choice{Target: offer.Target, Version: offer.Version}
		err = c.follow(ctx, life, s)
		s.Close()
		return err
	}
	return refused
}

// spillRouters returns the addresses of the routers to offer a request to: of the most promising failure domain first, and
// in it by rendezvous hashing.
func (n *Node) spillRouters(id ident.RequestID, m ident.ModelID) []string {
	r := n.members.roster.Load()
	var out []string
	for _, cand := range n.table.Load().SpillCandidates(target.Key{Model: m, Domain: n.domain}, n.clock.Now()) {
		if cand.Fresh && cand.Free <= 0 {
			continue
		}
		var ids []ident.RouterID
		for _, row := range r.rows {
			if row.Usable() && row.Domain == cand.Domain {
				ids = append(ids, row.ID)
			}
		}
		for i, router := range member.Rank("spill/"+string(id), ids) {
			// A second router of the same failure domain may have slots that the first lacks.
			if i < 2 && len(out) < maxSpills {
				out = append(out, r.addr[router])
			}
		}
	}
	return out
}

// forward offers a request to another router. No target receives the request before ForwardGo.
func (n *Node) forward(ctx context.Context, addr string, r caller.ChatRequest) (*peer.Stream, peer.ForwardOffer, error) {
	s, err := n.transport.OpenStream(ctx, addr, peer.Forward{
		Request: r.ID, Org: r.Caller.Org, Model: r.Model, Body: r.Body, Prefix: r.Prefix, Priority: r.Priority})
	if err != nil {
		return nil, peer.ForwardOffer{}, err
	}
	late := n.clock.AfterFunc(offerWait, s.Close)
	m, err := s.Recv(ctx)
	if !late.Stop() && err == nil {
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

// follow journals the offered target, lets the other router send the request and copies the answer.
func (c *chat) follow(ctx, life context.Context, s *peer.Stream) error {
	if err := c.open(ctx); err != nil {
		return err
	}
	c.row = new(streamRow)
	if err := s.Send(life, peer.ForwardGo{}); err != nil {
		return c.lost(err)
	}
	for {
		m, err := s.Recv(life)
		if err != nil {
			return c.lost(err)
		}
		switch m := m.(type) {
		case peer.ForwardChunk:
			if m.Offset != c.chunks {
				return c.lost(engine.ErrOffset)
			}
			c.chunks++
			if err := c.take(asChunk(m), true); err != nil {
				if c.r.IdempotencyKey == "" {
					return caller.Refuse(caller.CodeIncompleteAnswer, ident.OutcomeRun, "the request ended before its answer was complete")
				}
				c.detached = true
			}
		case peer.ForwardEnd:
			return c.ended(m)
		default:
			return c.lost(peer.ErrMalformed)
		}
	}
}

// asChunk returns a chunk in the form of the engine's client. Only the presence of its text matters here.
func asChunk(m peer.ForwardChunk) engine.Chunk {
	k := engine.Chunk{Offset: m.Offset, Data: m.Data}
	if m.Content {
		k.Content = m.Data
	}
	return k
}

// lost ends a request whose answer stopped coming after another router was told to send it.
func (c *chat) lost(err error) error {
	c.n.log.Warn("forwarded request broke", "request_id", c.r.ID, "target", c.choice.Target, "chunks", c.chunks, "error", err)
	if c.chunks > 0 {
		return caller.Refuse(caller.CodeIncompleteAnswer, ident.OutcomeRun, "the stream of another failure domain ended early")
	}
	return caller.Refuse(caller.CodeOutcomeUnknown, ident.OutcomeUnknown, "the router of another failure domain did not answer").After(time.Second)
}

// ended ends a request as the other router says.
func (c *chat) ended(m peer.ForwardEnd) error {
	if m.Code != "" {
		outcome := m.Outcome
		if outcome == ident.OutcomeNotRun && c.chunks > 0 || outcome == "" {
			outcome = ident.OutcomeUnknown
		}
		return caller.Refuse(caller.Code(m.Code), outcome, "%s", m.Message).After(time.Second)
	}
	if m.Chunks != c.chunks {
		return c.lost(engine.ErrTruncated)
	}
	c.usage, c.hasUsage, c.usageEv = engine.Usage{PromptTokens: m.PromptTokens, OutputTokens: m.OutputTokens}, m.HasUsage, m.Usage
	// The other failure domain has counted the evidence, as its versions and targets are judged there.
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
	return b.n.relay(ctx, from, f, s)
}

// relay runs a request of another failure domain's router at a target of this one. It neither queues nor forwards it.
func (n *Node) relay(ctx context.Context, from peer.Sender, f peer.Forward, s *peer.Stream) error {
	if n.traffic.leaving.Load() {
		return peer.Failure{Code: "leaving"}
	}
	done, err := n.traffic.admit(ctx)
	if err != nil {
		return err
	}
	defer done()
	row, err := n.traffic.streams.reserve(f.Org)
	if err != nil {
		return err
	}
	defer n.traffic.streams.release(row)
	choice, err := n.table.Load().Pool(target.Key{Model: f.Model, Domain: n.domain}).Choose(target.Request{
		Sticky: string(f.Org) + "/" + string(f.Prefix), Prefix: prefixOf(f.Prefix), Retryable: true, Exhaustive: true,
		Now: n.clock.Now(), Rand: n.traffic.random(),
	}, n.accounts)
	if err != nil {
		return err
	}
	if err := awaitGo(ctx, n, s, choice); err != nil {
		choice.Release(target.ResultNeutral)
		return err
	}
	n.log.Debug("request of another failure domain runs here", "request_id", f.Request, "from", from.ID, "target", choice.Target)
	w := &relayWriter{ctx: ctx, s: s}
	c := &chat{
		n: n, r: caller.ChatRequest{ID: f.Request, Caller: caller.Identity{Org: f.Org}, Model: f.Model, Body: f.Body, Priority: f.Priority},
		w: w, start: n.clock.Now(), choice: choice, row: row,
	}
	w.c = c
	err = c.relay(ctx)
	if err == nil {
		return nil
	}
	return s.Send(ctx, endOf(err))
}

// awaitGo offers a slot and waits until the first router has journaled it.
func awaitGo(ctx context.Context, n *Node, s *peer.Stream, choice target.Choice) error {
	if err := s.Send(ctx, peer.ForwardOffer{Target: choice.Target, Version: choice.Version}); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	late := n.clock.AfterFunc(goWait, cancel)
	defer late.Stop()
	m, err := s.Recv(ctx)
	if err != nil {
		return err
	}
	if _, ok := m.(peer.ForwardGo); !ok {
		return peer.ErrMalformed
	}
	return nil
}

// relay sends the request to the chosen target and copies the answer to the first router.
func (c *chat) relay(ctx context.Context) error {
	var err error
	if c.client, err = c.n.pools.engine(c.choice.URL); err != nil {
		c.choice.Release(target.ResultFailed)
		return caller.Refuse(caller.CodeUnavailable, ident.OutcomeNotRun, "the target's address is invalid")
	}
	// The end of the process ends the wait for the target, because a closing transport waits for this stream.
	s, err := c.client.Start(c.n.life, engine.Request{
		ID: c.r.ID, Version: c.choice.Version, Route: chatRoute, Priority: c.r.Priority, Body: c.r.Body})
	if err != nil {
		return c.startFailed(err)
	}
	return c.copy(ctx, s)
}

// endOf returns the end of a request that has failed.
func endOf(err error) peer.ForwardEnd {
	var ref *caller.Refusal
	if !errors.As(err, &ref) {
		return peer.ForwardEnd{Outcome: ident.OutcomeUnknown, Code: string(caller.CodeOutcomeUnknown), Message: "the request failed"}
	}
	return peer.ForwardEnd{Outcome: ref.Outcome, Code: string(ref.Code), Message: ref.Message}
}

// relayWriter sends an answer to the router that has forwarded its request.
type relayWriter struct {
	ctx      context.Context
	s        *peer.Stream
	c        *chat
	offset   int64
	contents int64
}

// Begin implements caller.ChatWriter.
func (w *relayWriter) Begin(ident.RequestID) error { return nil }

// Chunk implements caller.ChatWriter.
func (w *relayWriter) Chunk(data []byte) error {
	m := peer.ForwardChunk{Offset: w.offset, Data: data, Content: w.c.contents > w.contents}
	w.offset++
	w.contents = w.c.contents
	return w.s.Send(w.ctx, m)
}

// Flush implements caller.ChatWriter.
func (w *relayWriter) Flush() error { return nil }

// End implements caller.ChatWriter.
func (w *relayWriter) End(usage []byte, _ caller.Usage) error {
	return w.s.Send(w.ctx, peer.ForwardEnd{
		Chunks: w.offset, Usage: usage, HasUsage: w.c.hasUsage,
		PromptTokens: w.c.usage.PromptTokens, OutputTokens: w.c.usage.OutputTokens, Outcome: ident.OutcomeRun,
	})
}
