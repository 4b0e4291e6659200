package queue

import (
	"container/list"
	"time"

	"geraniumsaddle/core/ident"
)

// fits reports whether the item can be added without an eviction.
func (q *Queue) fits(it Item) bool {
	return len(q.items) < q.cfg.MaxItems && q.bytes+it.Bytes+itemOverhead <= q.cfg.MaxBytes
}

// occupancy returns the fraction of the queue's bounds that a number of items and bytes uses, the larger of the two
// fractions.
func (q *Queue) occupancy(count int, bytes ident.Bytes) float64 {
	return max(float64(count)/float64(q.cfg.MaxItems), float64(bytes)/float64(q.cfg.MaxBytes))
}

// largestOrg returns the organisation that occupies the largest part of the queue. It returns nil if no other
// organisation occupies a larger part than the item's own would after the item is added.
func (q *Queue) largestOrg(it Item) *org {
	count, bytes := 1, it.Bytes+itemOverhead
	if o := q.orgs[it.Org]; o != nil {
		count, bytes = count+o.count, bytes+o.bytes
	}
	var largest *org
	highest := q.occupancy(count, bytes)
	for t := q.ring.Front(); t != nil; t = t.Next() {
		o := t.Value.(*org)
		if occupancy := q.occupancy(o.count, o.bytes); o.id != it.Org && occupancy > highest {
			largest, highest = o, occupancy
		}
	}
	return largest
}

// makeRoom evicts items until the item fits. If that is impossible, it puts the evicted items back and returns false.
func (q *Queue) makeRoom(it Item) (evicted []Drop, ok bool) {
	var removed []*entry
	for !q.fits(it) {
		o := q.largestOrg(it)
		if o == nil {
			for i := len(removed) - 1; i >= 0; i-- {
				q.add(removed[i], false)
			}
			return nil, false
		}
		removed = append(removed, q.evictFrom(o))
	}
	for _, e := range removed {
		evicted = append(evicted, q.newDrop(e.item, CauseFull))
	}
	return evicted, true
}

// evictFrom removes the newest item of the lowest priority of an organisation.
func (q *Queue) evictFrom(o *org) *entry {
	var elem *list.Element
	for p := len(o.byPriority) - 1; elem == nil; p-- {
		elem = o.byPriority[p].Back()
	}
	q.remove(elem)
	return elem.Value.(*entry)
}

func (q *Queue) newDrop(it Item, c Cause) Drop {
	return Drop{Item: it, Cause: c, RetryAfter: retryAfter(q.estimateWait(it))}
}

const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// retryAfter rounds an estimated wait up to whole seconds, as the HTTP header Retry-After requires, within bounds.
func retryAfter(wait time.Duration) time.Duration {
	d := (wait + time.Second - 1).Truncate(time.Second)
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// estimateWait estimates how long a new item waits. Under deficit round robin, each other organisation dispatches at
// most one quantum more than the item's organisation in that time.
func (q *Queue) estimateWait(it Item) time.Duration {
	perSecond := q.rate.perSecond
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
