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

// lookupTimeout is the time in which other routers must answer a lookup of a request.
const lookupTimeout = 300 * time.Millisecond

// findRequest looks up a request by its idempotency key or ID at this router and, if it is not known here, at all other
// usable routers. It prefers an answer with a settlement.
func (n *Node) findRequest(ctx context.Context, m peer.JournalFind) (peer.JournalFound, bool) {
	if f := n.findLocal(m); f.Hold != nil {
		return f, true
	}
	r := n.members.roster.Load()
	if len(r.addrs) == 0 {
		return peer.JournalFound{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	found := make(chan peer.JournalFound, len(r.addrs))
	for _, addr := range r.addrs {
		n.spawn(func(context.Context) {
			f := peer.JournalFound{}
			if m, err := n.transport.Call(ctx, addr, m); err == nil {
				f, _ = m.(peer.JournalFound)
			}
			found <- f
		})
	}
	var best peer.JournalFound
	for range r.addrs {
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

// keyLocks serialises the chat completions at this router that have the same idempotency key.
type keyLocks struct {
	mu     sync.Mutex
	locked map[claim.ID]chan struct{}
}

// lock waits until no other request at this router holds the key. The caller must call unlock at the end.
func (k *keyLocks) lock(ctx context.Context, id claim.ID) (unlock func(), err error) {
	for {
		k.mu.Lock()
		if k.locked == nil {
			k.locked = make(map[claim.ID]chan struct{})
		}
		running, ok := k.locked[id]
		if !ok {
			done := make(chan struct{})
			k.locked[id] = done
			k.mu.Unlock()
			return func() {
				k.mu.Lock()
				delete(k.locked, id)
				k.mu.Unlock()
				close(done)
			}, nil
		}
		k.mu.Unlock()
		select {
		case <-running:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// chatWithKey runs a chat completion with an idempotency key, or delivers the answer of an earlier attempt.
func (n *Node) chatWithKey(ctx context.Context, c *chat) error {
	c.keyHash = claim.NewID(c.r.Caller.Org, c.r.IdempotencyKey)
	query := peer.JournalFind{Key: c.keyHash}
	if f, ok := n.findRequest(ctx, query); ok && !endedNotRun(f) {
		return c.joinRequest(ctx, f)
	}
	unlock, err := n.keyLocks.lock(ctx, c.keyHash)
	if err != nil {
		return caller.Refuse(caller.CodeOutcomeUnknown, ident.OutcomeUnknown, "an earlier attempt with the same key is still running")
	}
	defer unlock()
	// Another request with the key may have run while this one waited for the lock.
	if f := n.findLocal(query); f.Hold != nil && !endedNotRun(f) {
		return c.joinRequest(ctx, f)
	}
	return c.run(ctx)
}

// endedNotRun reports whether a request ended without reaching a target, so that its key can be used again.
func endedNotRun(f peer.JournalFound) bool {
	return f.Settlement != nil && f.Settlement.Outcome == ident.OutcomeNotRun
}

// bodyHash returns the hash of the request body. A retry with the same key must have the same body.
func (c *chat) bodyHash() record.Hash { return sha256.Sum256(c.r.Body) }

// joinRequest delivers the answer of a running or finished request from the target's stream. The router that runs or
// recovers the request bills it.
func (c *chat) joinRequest(ctx context.Context, f peer.JournalFound) error {
	if f.Hold.Body != c.bodyHash() {
		return caller.Refuse(caller.CodeIdempotencyConflict, ident.OutcomeNotRun, "the idempotency key was used with another request")
	}
	c.joined = true
	c.r.ID = f.Hold.Request
	t, ok := c.n.view.Load().targets[f.Hold.Target]
	if !ok {
		return c.unknownOutcomeRefusal("the target of the request is gone")
	}
	var err error
	if c.client, err = c.n.pools.engineClient(t.URL); err != nil {
		return c.unknownOutcomeRefusal("the target's address is invalid")
	}
	s, err := c.client.Resume(context.WithoutCancel(ctx), c.r.ID, 0)
	if err == nil {
		return c.copyStream(ctx, s)
	}
	var e *engine.Error
	if errors.As(err, &e) && errors.Is(err, engine.ErrRejected) {
		r := caller.Refuse(caller.CodeAlreadyRun, ident.OutcomeRun, "the request has run and its answer is no longer kept")
		r.Request = c.r.ID
		return r
	}
	return c.unknownOutcomeRefusal("the target of the request does not answer")
}

// unknownOutcomeRefusal returns the refusal for a request that may have run.
func (c *chat) unknownOutcomeRefusal(message string) *caller.Refusal {
	r := caller.Refuse(caller.CodeOutcomeUnknown, ident.OutcomeUnknown, "%s", message).After(time.Second)
	r.Request = c.r.ID
	return r
}
