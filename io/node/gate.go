package node

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/queue"
	"geraniumsaddle/core/target"
	"geraniumsaddle/io/caller"
)

// gates hold the requests that wait for capacity, one queue for each pool.
type gates struct {
	n      *Node
	mu     sync.Mutex
	byKey  map[target.Key]*gate
	budget *queue.RetryBudget
}

// gate is the queue of one pool. A dispatcher goroutine runs while requests wait.
type gate struct {
	n   *Node
	key target.Key

	mu      sync.Mutex
	queue   *queue.Queue
	waiting map[ident.RequestID]*waiter
	running bool
}

// waiter is a request that waits for a target. Its request is not changed, because two goroutines read it.
type waiter struct {
	req  target.Request
	done chan gateResult
}

type gateResult struct {
	choice target.Choice
	err    error
}

func newGates(n *Node) *gates {
	return &gates{n: n, byKey: make(map[target.Key]*gate), budget: queue.NewRetryBudget(queue.RetryConfig{}, n.clock.Now())}
}

func (g *gates) get(k target.Key) *gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	row := g.byKey[k]
	if row == nil {
		row = &gate{n: g.n, key: k, queue: queue.New(queue.Config{}), waiting: make(map[ident.RequestID]*waiter)}
		g.byKey[k] = row
	}
	return row
}

// acquire returns a target with a reserved slot. The request waits in the queue while there is none.
func (g *gate) acquire(ctx context.Context, req target.Request, it queue.Item) (target.Choice, error) {
	g.mu.Lock()
	if g.queue.Len() == 0 {
		c, err := g.choose(req)
		if !errors.Is(err, target.ErrNoCapacity) {
			g.mu.Unlock()
			return c, asTargetRefusal(err)
		}
	}
	if g.exhausted(req) {
		g.mu.Unlock()
		return target.Choice{}, asTargetRefusal(target.ErrNoTarget)
	}
	w := &waiter{req: req, done: make(chan gateResult, 1)}
	switch res := g.queue.Push(g.n.clock.Now(), it).(type) {
	case queue.Refused:
		g.mu.Unlock()
		return target.Choice{}, shed(res.Cause, res.RetryAfter)
	case queue.Queued:
		g.evict(res.Evicted)
	}
	g.waiting[it.ID] = w
	if !g.running {
		g.running = true
		g.n.spawn(func(ctx context.Context) { g.dispatch(ctx) })
	}
	g.mu.Unlock()
	return g.wait(ctx, w, it.ID)
}

// exhausted reports whether a retry has failed at every target of the pool, so that waiting for one is in vain.
func (g *gate) exhausted(req target.Request) bool {
	if len(req.Exclude) == 0 {
		return false
	}
	for _, id := range g.n.poolTargets(g.key) {
		if !slices.Contains(req.Exclude, id) {
			return false
		}
	}
	return true
}

func (g *gate) wait(ctx context.Context, w *waiter, id ident.RequestID) (target.Choice, error) {
	g.n.traffic.waiting.Add(1)
	defer g.n.traffic.waiting.Add(-1)
	undo := g.expect(w.req)
	defer undo()
	select {
	case r := <-w.done:
		return r.choice, r.err
	case <-ctx.Done():
	}
	g.mu.Lock()
	g.queue.Cancel(id)
	delete(g.waiting, id)
	g.mu.Unlock()
	select {
	case r := <-w.done:
		return r.choice, r.err
	default:
		return target.Choice{}, shed(queue.CauseDeadline, 0)
	}
}

// expect registers the demand for a slot, so that the account asks its peers and the platform for one.
func (g *gate) expect(req target.Request) func() {
	ids := g.n.poolTargets(g.key)
	if len(ids) == 0 {
		return func() {}
	}
	acct := g.n.accounts.slot(ids[int(req.Rand%uint64(len(ids)))])
	if acct == nil {
		return func() {}
	}
	return acct.RegisterWaiting(1)
}

func (g *gate) choose(req target.Request) (target.Choice, error) {
	req.Now = g.n.clock.Now()
	return g.n.table.Load().Pool(g.key).Choose(req, g.n.accounts)
}

// retryDispatch bounds the time until the dispatcher looks again without a signal.
const retryDispatch = 20 * time.Millisecond

// dispatch hands out targets until no request waits.
func (g *gate) dispatch(ctx context.Context) {
	for {
		freed := g.n.accounts.freeSlots.Wait()
		if !g.drain() {
			return
		}
		select {
		case <-freed:
		case <-g.n.clock.After(retryDispatch):
		case <-ctx.Done():
			g.abort()
			return
		}
	}
}

// drain dispatches what it can and reports whether requests still wait.
func (g *gate) drain() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for {
		now := g.n.clock.Now()
		next, ok := g.queue.Pop(now).(queue.Next)
		if !ok {
			g.running = false
			return false
		}
		g.evict(next.Dropped)
		w := g.waiting[next.Item.ID]
		if w == nil {
			continue
		}
		req := w.req
		req.Exhaustive = true
		c, err := g.choose(req)
		if errors.Is(err, target.ErrNoCapacity) {
			if res, queued := g.queue.Requeue(now, next).(queue.Queued); queued {
				g.evict(res.Evicted)
				return true
			}
			g.evict([]queue.Drop{{Item: next.Item, Cause: queue.CauseDeadline}})
			continue
		}
		delete(g.waiting, next.Item.ID)
		w.done <- gateResult{c, asTargetRefusal(err)}
	}
}

func (g *gate) evict(drops []queue.Drop) {
	for _, d := range drops {
		if w := g.waiting[d.Item.ID]; w != nil {
			delete(g.waiting, d.Item.ID)
			w.done <- gateResult{err: shed(d.Cause, d.RetryAfter)}
		}
	}
}

func (g *gate) abort() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, w := range g.waiting {
		delete(g.waiting, id)
		w.done <- gateResult{err: shed(queue.CauseDeadline, 0)}
	}
}

// shed returns the refusal of a request that was not dispatched.
func shed(c queue.Cause, after time.Duration) *caller.Refusal {
	return caller.Refuse(caller.CodeOverloaded, ident.OutcomeNotRun, "no target has capacity in time (%s)", c).After(max(after, time.Second))
}

// asTargetRefusal turns an error of the choice into a refusal.
func asTargetRefusal(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, target.ErrNoTarget):
		return caller.Refuse(caller.CodeUnavailable, ident.OutcomeNotRun, "no target in this failure domain serves the request")
	default:
		return caller.Refuse(caller.CodeOverloaded, ident.OutcomeNotRun, "no target has capacity")
	}
}

// first counts the first attempt of a request.
func (g *gates) first() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Attempt()
}

// retry reports whether the retry budget allows another attempt.
func (g *gates) retry(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Allow(now)
}
