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

// poolQueues holds the queues of requests that wait for capacity, one for each pool, and the retry budget.
type poolQueues struct {
	n           *Node
	mu          sync.Mutex
	byKey       map[target.Key]*poolQueue
	retryBudget *queue.RetryBudget
}

// poolQueue is the queue of one pool. A dispatcher goroutine runs while requests wait.
type poolQueue struct {
	n   *Node
	key target.Key

	mu          sync.Mutex
	queue       *queue.Queue
	waiting     map[ident.RequestID]*waiter
	dispatching bool
}

// waiter is a request that waits for a target. req must not be modified, because two goroutines read it.
type waiter struct {
	req    target.Request
	result chan acquireResult
}

type acquireResult struct {
	choice target.Choice
	err    error
}

func newPoolQueues(n *Node) *poolQueues {
	return &poolQueues{n: n, byKey: make(map[target.Key]*poolQueue), retryBudget: queue.NewRetryBudget(queue.RetryConfig{}, n.clock.Now())}
}

func (p *poolQueues) get(k target.Key) *poolQueue {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.byKey[k]
	if q == nil {
		q = &poolQueue{n: p.n, key: k, queue: queue.New(queue.Config{}), waiting: make(map[ident.RequestID]*waiter)}
		p.byKey[k] = q
	}
	return q
}

// acquire returns a target with a reserved slot. The request waits in the queue while there is none.
func (q *poolQueue) acquire(ctx context.Context, req target.Request, item queue.Item) (target.Choice, error) {
	q.mu.Lock()
	if q.queue.Len() == 0 {
		c, err := q.chooseTarget(req)
		if !errors.Is(err, target.ErrNoCapacity) {
			q.mu.Unlock()
			return c, targetRefusal(err)
		}
	}
	if q.allExcluded(req) {
		q.mu.Unlock()
		return target.Choice{}, targetRefusal(target.ErrNoTarget)
	}
	w := &waiter{req: req, result: make(chan acquireResult, 1)}
	switch res := q.queue.Push(q.n.clock.Now(), item).(type) {
	case queue.Refused:
		q.mu.Unlock()
		return target.Choice{}, overloadRefusal(res.Cause, res.RetryAfter)
	case queue.Queued:
		q.refuseDropped(res.Evicted)
	}
	q.waiting[item.ID] = w
	if !q.dispatching {
		q.dispatching = true
		q.n.spawn(func(ctx context.Context) { q.dispatch(ctx) })
	}
	q.mu.Unlock()
	return q.waitForTarget(ctx, w, item.ID)
}

// allExcluded reports whether a retry has failed at every target of the pool, so that waiting for one cannot succeed.
func (q *poolQueue) allExcluded(req target.Request) bool {
	if len(req.Exclude) == 0 {
		return false
	}
	for _, id := range q.n.poolTargets(q.key) {
		if !slices.Contains(req.Exclude, id) {
			return false
		}
	}
	return true
}

// waitForTarget waits until the dispatcher has assigned a target, the queue has dropped the request, or ctx ends.
func (q *poolQueue) waitForTarget(ctx context.Context, w *waiter, id ident.RequestID) (target.Choice, error) {
	q.n.traffic.waiting.Add(1)
	defer q.n.traffic.waiting.Add(-1)
	unregister := q.registerDemand(w.req)
	defer unregister()
	select {
	case r := <-w.result:
		return r.choice, r.err
	case <-ctx.Done():
	}
	q.mu.Lock()
	q.queue.Cancel(id)
	delete(q.waiting, id)
	q.mu.Unlock()
	select {
	case r := <-w.result:
		return r.choice, r.err
	default:
		return target.Choice{}, overloadRefusal(queue.CauseDeadline, 0)
	}
}

// registerDemand registers the demand for a slot at one of the pool's targets, so that the slot account of the target
// requests one from other routers and the platform. It returns the function that ends the demand.
func (q *poolQueue) registerDemand(req target.Request) func() {
	ids := q.n.poolTargets(q.key)
	if len(ids) == 0 {
		return func() {}
	}
	acct := q.n.accounts.slotAccount(ids[int(req.Rand%uint64(len(ids)))])
	if acct == nil {
		return func() {}
	}
	return acct.RegisterWaiting(1)
}

func (q *poolQueue) chooseTarget(req target.Request) (target.Choice, error) {
	req.Now = q.n.clock.Now()
	return q.n.table.Load().Pool(q.key).Choose(req, q.n.accounts)
}

// dispatchInterval bounds the wait of the dispatcher for a freed slot.
const dispatchInterval = 20 * time.Millisecond

// dispatch assigns targets to requests until none waits.
func (q *poolQueue) dispatch(ctx context.Context) {
	for {
		freed := q.n.accounts.slotFreed.Wait()
		if !q.dispatchQueued() {
			return
		}
		select {
		case <-freed:
		case <-q.n.clock.After(dispatchInterval):
		case <-ctx.Done():
			q.refuseAll()
			return
		}
	}
}

// dispatchQueued assigns targets to queued requests while there is capacity and reports whether requests still wait.
func (q *poolQueue) dispatchQueued() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for {
		now := q.n.clock.Now()
		next, ok := q.queue.Pop(now).(queue.Next)
		if !ok {
			q.dispatching = false
			return false
		}
		q.refuseDropped(next.Dropped)
		w := q.waiting[next.Item.ID]
		if w == nil {
			continue
		}
		req := w.req
		req.Exhaustive = true
		c, err := q.chooseTarget(req)
		if errors.Is(err, target.ErrNoCapacity) {
			if res, queued := q.queue.Requeue(now, next).(queue.Queued); queued {
				q.refuseDropped(res.Evicted)
				return true
			}
			q.refuseDropped([]queue.Drop{{Item: next.Item, Cause: queue.CauseDeadline}})
			continue
		}
		delete(q.waiting, next.Item.ID)
		w.result <- acquireResult{c, targetRefusal(err)}
	}
}

// refuseDropped refuses the requests that the queue has dropped. The caller must hold q.mu.
func (q *poolQueue) refuseDropped(drops []queue.Drop) {
	for _, d := range drops {
		if w := q.waiting[d.Item.ID]; w != nil {
			delete(q.waiting, d.Item.ID)
			w.result <- acquireResult{err: overloadRefusal(d.Cause, d.RetryAfter)}
		}
	}
}

// refuseAll refuses all waiting requests.
func (q *poolQueue) refuseAll() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for id, w := range q.waiting {
		delete(q.waiting, id)
		w.result <- acquireResult{err: overloadRefusal(queue.CauseDeadline, 0)}
	}
}

// overloadRefusal returns the refusal of a request that was not dispatched.
func overloadRefusal(c queue.Cause, after time.Duration) *caller.Refusal {
	return caller.Refuse(caller.CodeOverloaded, ident.OutcomeNotRun, "no target has capacity in time (%s)", c).After(max(after, time.Second))
}

// targetRefusal returns the refusal for an error of choosing a target, or nil.
func targetRefusal(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, target.ErrNoTarget):
		return caller.Refuse(caller.CodeUnavailable, ident.OutcomeNotRun, "no target in this failure domain serves the request")
	default:
		return caller.Refuse(caller.CodeOverloaded, ident.OutcomeNotRun, "no target has capacity")
	}
}

// recordAttempt counts the first attempt of a request for the retry budget.
func (p *poolQueues) recordAttempt() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryBudget.RecordAttempt()
}

// allowRetry reports whether the retry budget allows another attempt, and counts it if so.
func (p *poolQueues) allowRetry(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryBudget.Allow(now)
}
