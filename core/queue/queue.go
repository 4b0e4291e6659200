package queue

import (
	"container/list"
	"time"

	"geraniumsaddle/core/ident"
)

// Config bounds a queue. Zero fields take the defaults.
type Config struct {
	MaxItems int
	MaxBytes ident.Bytes
	// Quantum is the number of tokens that an organisation may dispatch per turn. A request that costs more waits until
	// enough quanta have accumulated.
	Quantum ident.Tokens
}

// The defaults of Config.
const (
	DefaultMaxItems              = 512
	DefaultMaxBytes ident.Bytes  = 8 << 20
	DefaultQuantum  ident.Tokens = 2048
)

// itemOverhead is the memory per item that the queue itself is assumed to use.
const itemOverhead ident.Bytes = 512

// Queue is a bounded queue that is fair between organisations.
type Queue struct {
	cfg   Config
	items map[ident.RequestID]*list.Element // of *entry
	orgs  map[ident.OrgID]*org
	// ring holds the organisations with waiting items in the order of their turns. The front has the current turn.
	ring  list.List
	bytes ident.Bytes
	rate  rateMeter
}

// org is an organisation with waiting items.
type org struct {
	id         ident.OrgID
	byPriority [ident.PriorityCount]list.List
	count      int
	bytes      ident.Bytes
	cost       [ident.PriorityCount]ident.Tokens
	deficit    ident.Tokens
	ringElem   *list.Element
	// quantumAdded reports whether the quantum of the current turn was added to deficit.
	quantumAdded bool
}

// entry is a waiting item and the time at which it was queued.
type entry struct {
	item     Item
	queuedAt time.Time
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	if cfg.MaxItems <= 0 {
		cfg.MaxItems = DefaultMaxItems
	}
	if cfg.MaxBytes <= 0 {
		cfg.MaxBytes = DefaultMaxBytes
	}
	if cfg.Quantum <= 0 {
		cfg.Quantum = DefaultQuantum
	}
	return &Queue{
		cfg:   cfg,
		items: make(map[ident.RequestID]*list.Element),
		orgs:  make(map[ident.OrgID]*org),
	}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.items) }

// Bytes returns the memory of the waiting items, including itemOverhead for each.
func (q *Queue) Bytes() ident.Bytes { return q.bytes }

// Push adds an item unless it is a duplicate, is expected to miss its deadline, or does not fit. A full queue makes
// room by evicting the newest item of the lowest priority of the organisation that occupies the largest part of it.
func (q *Queue) Push(now time.Time, it Item) PushResult {
	it = normalize(it)
	if q.items[it.ID] != nil {
		return Refused{Cause: CauseDuplicate}
	}
	if it.Bytes+itemOverhead > q.cfg.MaxBytes {
		return Refused{Cause: CauseTooLarge}
	}
	wait := q.estimateWait(it)
	if it.missesDeadline(now, wait) {
		return Refused{Cause: CauseDeadline, RetryAfter: retryAfter(wait)}
	}
	evicted, ok := q.makeRoom(it)
	if !ok {
		return Refused{Cause: CauseFull, RetryAfter: retryAfter(wait)}
	}
	q.add(&entry{item: it, queuedAt: now}, false)
	return Queued{Wait: wait, Evicted: evicted}
}

// Requeue puts a popped item back before the other items of its organisation and priority when it could not be
// dispatched, for example because no target of its version had a free slot. The organisation gets back the deficit that
// the item used. Like a new item, it can be refused.
func (q *Queue) Requeue(now time.Time, n Next) PushResult {
	it := n.Item
	if q.items[it.ID] != nil {
		return Refused{Cause: CauseDuplicate}
	}
	if it.missesDeadline(now, 0) {
		return Refused{Cause: CauseDeadline, RetryAfter: retryAfter(q.estimateWait(it))}
	}
	evicted, ok := q.makeRoom(it)
	if !ok {
		return Refused{Cause: CauseFull, RetryAfter: retryAfter(q.estimateWait(it))}
	}
	q.add(&entry{item: it, queuedAt: now.Add(-n.Waited)}, true)
	q.orgs[it.Org].deficit += it.Cost
	return Queued{Evicted: evicted}
}

// normalize brings the cost, bytes and priority of an item into their valid ranges.
func normalize(it Item) Item {
	it.Cost = max(it.Cost, 1)
	it.Bytes = max(it.Bytes, 0)
	it.Priority = min(it.Priority, ident.PriorityCount-1)
	return it
}

// Pop returns the next item in deficit round robin order and drops the items before it that cannot meet their deadline.
func (q *Queue) Pop(now time.Time) PopResult {
	var dropped []Drop
	for q.ring.Len() > 0 {
		o := q.currentOrg()
		elem := o.head()
		e := elem.Value.(*entry)
		if e.item.missesDeadline(now, 0) {
			q.remove(elem)
			dropped = append(dropped, q.newDrop(e.item, CauseDeadline))
			continue
		}
		if e.item.Cost > o.deficit {
			q.endTurn(o)
			continue
		}
		o.deficit -= e.item.Cost
		q.remove(elem)
		q.rate.recordDispatch(now, e.item.Cost, q.Len() > 0)
		return Next{Item: e.item, Waited: now.Sub(e.queuedAt), Dropped: dropped}
	}
	q.rate.reset()
	return Empty{Dropped: dropped}
}

// Expire drops all items that can no longer meet their deadline.
func (q *Queue) Expire(now time.Time) []Drop {
	var dropped []Drop
	for t := q.ring.Front(); t != nil; {
		o := t.Value.(*org)
		t = t.Next()
		for p := range o.byPriority {
			for elem := o.byPriority[p].Front(); elem != nil; {
				e := elem.Value.(*entry)
				current := elem
				elem = elem.Next()
				if e.item.missesDeadline(now, 0) {
					q.remove(current)
					dropped = append(dropped, q.newDrop(e.item, CauseDeadline))
				}
			}
		}
	}
	return dropped
}

// Cancel removes an item whose caller has gone away, and reports whether it was waiting.
func (q *Queue) Cancel(id ident.RequestID) bool {
	elem := q.items[id]
	if elem == nil {
		return false
	}
	q.remove(elem)
	return true
}

func (q *Queue) add(e *entry, atFront bool) {
	it := e.item
	o := q.orgs[it.Org]
	if o == nil {
		o = &org{id: it.Org}
		o.ringElem = q.ring.PushBack(o)
		q.orgs[it.Org] = o
	}
	if atFront {
		q.items[it.ID] = o.byPriority[it.Priority].PushFront(e)
	} else {
		q.items[it.ID] = o.byPriority[it.Priority].PushBack(e)
	}
	o.count++
	o.bytes += it.Bytes + itemOverhead
	o.cost[it.Priority] += it.Cost
	q.bytes += it.Bytes + itemOverhead
}

// remove removes an item. An organisation without items loses its deficit, so that it cannot accumulate quanta while it
// has nothing to send.
func (q *Queue) remove(elem *list.Element) {
	it := elem.Value.(*entry).item
	o := q.orgs[it.Org]
	o.byPriority[it.Priority].Remove(elem)
	delete(q.items, it.ID)
	o.count--
	o.bytes -= it.Bytes + itemOverhead
	o.cost[it.Priority] -= it.Cost
	q.bytes -= it.Bytes + itemOverhead
	if o.count == 0 {
		q.ring.Remove(o.ringElem)
		delete(q.orgs, it.Org)
	}
}

// head returns the first item of the highest priority.
func (o *org) head() *list.Element {
	for p := range o.byPriority {
		if elem := o.byPriority[p].Front(); elem != nil {
			return elem
		}
	}
	return nil
}
