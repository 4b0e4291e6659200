package node

import (
	"context"
	"crypto/sha256"
	"errors"
	"sync"
	"time"

	"geraniumsaddle/core/claim"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/record"
	"geraniumsaddle/io/caller"
	"geraniumsaddle/io/engine"
	"geraniumsaddle/io/peer"
)

// lookupWait bounds the time in which other routers may answer for an idempotency key.
const lookupWait = 300 * time.Millisecond

// lookup finds a request by its key or id, here or at any router in reach.
func (n *Node) lookup(ctx context.Context, m peer.JournalFind) (peer.JournalFound, bool) {
	if f := n.find(m); f.Hold != nil {
		return f, true
	}
	r := n.members.roster.Load()
	if len(r.addr) == 0 {
		return peer.JournalFound{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, lookupWait)
	defer cancel()
	found := make(chan peer.JournalFound, len(r.addr))
	for _, addr := range r.addr {
		n.spawn(func(context.Context) {
			f := peer.JournalFound{}
			if m, err := n.transport.Call(ctx, addr, m); err == nil {
				f, _ = m.(peer.JournalFound)
			}
			found <- f
		})
	}
	var best peer.JournalFound
	for range r.addr {
		f := <-found
		if f.Hold != nil && (best.Hold == nil || f.Settlement != nil) {
			best = f
		}
		if best.Settlement != nil {
			break
		}
	}
	return best, best.Hold != nil
}

// keyed is the set of idempotency keys of chat completions that are looked up or run here.
type keyed struct {
	mu   sync.Mutex
	rows map[claim.ID]chan struct{}
}

// enter waits until no other request here has the key. The result must be called at the end.
func (k *keyed) enter(ctx context.Context, id claim.ID) (leave func(), err error) {
	for {
		k.mu.Lock()
		if k.rows == nil {
			k.rows = make(map[claim.ID]chan struct{})
		}
		busy, ok := k.rows[id]
		if !ok {
			done := make(chan struct{})
			k.rows[id] = done
			k.mu.Unlock()
			return func() {
				k.mu.Lock()
				delete(k.rows, id)
				k.mu.Unlock()
				close(done)
			}, nil
		}
		k.mu.Unlock()
		select {
		case <-busy:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// chatKeyed runs a chat completion with an idempotency key, or delivers the answer of an earlier attempt.
func (n *Node) chatKeyed(ctx context.Context, c *chat) error {
	c.keyHash = claim.NewID(c.r.Caller.Org, c.r.IdempotencyKey)
	m := peer.JournalFind{Key: c.keyHash}
	if f, ok := n.lookup(ctx, m); ok && !notRun(f) {
		return c.rejoin(ctx, f)
	}
	leave, err := n.keyed.enter(ctx, c.keyHash)
	if err != nil {
		return caller.Refuse(caller.CodeOutcomeUnknown, ident.OutcomeUnknown, "an earlier attempt with the same key is still running")
	}
	defer leave()
	// Another request may have run while this one waited.
	if f := n.find(m); f.Hold != nil && !notRun(f) {
		return c.rejoin(ctx, f)
	}
	return c.run(ctx)
}

// notRun reports whether a request ended without reaching a target, so that its key is free again.
func notRun(f peer.JournalFound) bool {
	return f.Settlement != nil && f.Settlement.Outcome == ident.OutcomeNotRun
}

// bodyHash identifies the body of the request.
func (c *chat) bodyHash() record.Hash { return sha256.Sum256(c.r.Body) }

// rejoin delivers the answer of a request that runs or ran, from the target's stream. The router that runs the request,
// or the one that recovers it, bills it.
func (c *chat) rejoin(ctx context.Context, f peer.JournalFound) error {
	if f.Hold.Body != c.bodyHash() {
		return caller.Refuse(caller.CodeIdempotencyConflict, ident.OutcomeNotRun, "the idempotency key was used with another request")
	}
	c.joined = true
	c.r.ID = f.Hold.Request
	t, ok := c.n.view.Load().targets[f.Hold.Target]
	if !ok {
		return c.unknown("the target of the request is gone")
	}
	var err error
	if c.client, err = c.n.pools.engine(t.URL); err != nil {
		return c.unknown("the target's address is invalid")
	}
	s, err := c.client.Resume(context.WithoutCancel(ctx), c.r.ID, 0)
	if err == nil {
		return c.copy(ctx, s)
	}
	var e *engine.Error
	if errors.As(err, &e) && errors.Is(err, engine.ErrRejected) {
		r := caller.Refuse(caller.CodeAlreadyRun, ident.OutcomeRun, "the request has run and its answer is no longer kept")
		r.Request = c.r.ID
		return r
	}
	return c.unknown("the target of the request does not answer")
}

func (c *chat) unknown(message string) *caller.Refusal {
	r := caller.Refuse(caller.CodeOutcomeUnknown, ident.OutcomeUnknown, "%s", message).After(time.Second)
	r.Request = c.r.ID
	return r
}
