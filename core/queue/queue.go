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
	rate  dispatchRate
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
		e := o.head()
		n := e.Value.(*entry)
		if n.item.missesDeadline(now, 0) {
			q.remove(e)
			dropped = append(dropped, q.newDrop(n.item, CauseDeadline))
			continue
		}
		if n.item.Cost > o.deficit {
			q.endTurn(o)
			continue
		}
		o.deficit -= n.item.Cost
		q.remove(e)
		q.rate.recordDispatch(now, n.item.Cost, q.Len() > 0)
		return Next{Item: n.item, Waited: now.Sub(n.queuedAt), Dropped: dropped}
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
		for c := range o.byPriority {
			for e := o.byPriority[c].Front(); e != nil; {
				n := e.Value.(*entry)
				current := e
				e = e.Next()
				if n.item.missesDeadline(now, 0) {
					q.remove(current)
					dropped = append(dropped, q.newDrop(n.item, CauseDeadline))
				}
			}
		}
	}
	return dropped
}

// Cancel removes an item whose caller has gone away, and reports whether it was waiting.
func (q *Queue) Cancel(id ident.RequestID) bool {
	e := q.items[id]
	if e == nil {
		return false
	}
	q.remove(e)
	return true
}

func (q *Queue) add(n *entry, atFront bool) {
	it := n.item
	o := q.orgs[it.Org]
	if o == nil {
		o = &org{id: it.Org}
		o.ringElem = q.ring.PushBack(o)
		q.orgs[it.Org] = o
	}
	if atFront {
		q.items[it.ID] = o.byPriority[it.Priority].PushFront(n)
	} else {
		q.items[it.ID] = o.byPriority[it.Priority].PushBack(n)
	}
	o.count++
	o.bytes += it.Bytes + itemOverhead
	o.cost[it.Priority] += it.Cost
	q.bytes += it.Bytes + itemOverhead
}

// remove removes an item. An organisation without items loses its deficit, so that it cannot accumulate quanta while it
// has nothing to send.
func (q *Queue) remove(e *list.Element) {
	it := e.Value.(*entry).item
	o := q.orgs[it.Org]
	o.byPriority[it.Priority].Remove(e)
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
	for c := range o.byPriority {
		if e := o.byPriority[c].Front(); e != nil {
			return e
		}
	}
	return nil
}
