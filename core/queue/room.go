package queue

import (
	"container/list"
	"time"

	"geraniumsaddle/core/ident"
)

func (q *Queue) fits(it Item) bool {
	return len(q.items) < q.cfg.MaxItems && q.bytes+it.Bytes+itemOverhead <= q.cfg.MaxBytes
}

// part is the part of the queue that an amount of items and bytes takes up.
func (q *Queue) part(count int, bytes ident.Bytes) float64 {
	return max(float64(count)/float64(q.cfg.MaxItems), float64(bytes)/float64(q.cfg.MaxBytes))
}

// largest returns the organisation that holds the largest part of the queue, or nil when the
// organisation of the item would hold as much with it.
func (q *Queue) largest(it Item) *org {
	count, bytes := 1, it.Bytes+itemOverhead
	if o := q.orgs[it.Org]; o != nil {
		count, bytes = count+o.count, bytes+o.bytes
	}
	var found *org
	most := q.part(count, bytes)
	for t := q.ring.Front(); t != nil; t = t.Next() {
		o := t.Value.(*org)
		if p := q.part(o.count, o.bytes); o.id != it.Org && p > most {
			found, most = o, p
		}
	}
	return found
}

// makeRoom evicts items until the item fits. Without success it puts the evicted items back.
func (q *Queue) makeRoom(it Item) (evicted []Drop, ok bool) {
	var out []*node
	for !q.fits(it) {
		o := q.largest(it)
		if o == nil {
			for i := len(out) - 1; i >= 0; i-- {
				q.add(out[i], false)
			}
			return nil, false
		}
		out = append(out, q.evict(o))
	}
	for _, n := range out {
		evicted = append(evicted, q.drop(n.item, CauseFull))
	}
	return evicted, true
}

// evict takes out the newest item of the lowest priority of an organisation.
func (q *Queue) evict(o *org) *node {
	var e *list.Element
	for c := len(o.classes) - 1; e == nil; c-- {
		e = o.classes[c].Back()
	}
	q.remove(e)
	return e.Value.(*node)
}

func (q *Queue) drop(it Item, c Cause) Drop {
	return Drop{Item: it, Cause: c, RetryAfter: retryAfter(q.wait(it))}
}

const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// retryAfter turns an estimated wait into a hint in whole seconds, as the HTTP header has.
func retryAfter(wait time.Duration) time.Duration {
	d := (wait + time.Second - 1).Truncate(time.Second)
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// wait estimates how long a new item of the organisation waits. Under fair turns each other
// organisation dispatches at most as much as this one, plus a quantum.
func (q *Queue) wait(it Item) time.Duration {
	perSecond := q.rate.tokens
	if perSecond <= 0 {
		return 0
	}
	ahead := it.Cost
	if o := q.orgs[it.Org]; o != nil {
		for c := ident.Priority(0); c <= it.Priority; c++ {
			ahead += o.cost[c]
		}
	}
	total := ahead - it.Cost
	for t := q.ring.Front(); t != nil; t = t.Next() {
		o := t.Value.(*org)
		if o.id == it.Org {
			continue
		}
		var waiting ident.Tokens
		for _, c := range o.cost {
			waiting += c
		}
		total += min(waiting, ahead+q.cfg.Quantum)
	}
	return time.Duration(float64(total) / perSecond * float64(time.Second))
}
