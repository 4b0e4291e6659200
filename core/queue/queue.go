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
	// Quantum is what an organisation may dispatch in one turn. Larger requests save up over turns.
	Quantum ident.Tokens
}

// The defaults of Config.
const (
	DefaultMaxItems              = 512
	DefaultMaxBytes ident.Bytes  = 8 << 20
	DefaultQuantum  ident.Tokens = 2048
)

// itemOverhead is added to the bytes of each item for the queue's own records.
const itemOverhead ident.Bytes = 512

// Queue is a bounded queue, fair by organisation.
type Queue struct {
	cfg   Config
	items map[ident.RequestID]*list.Element // of *node
	orgs  map[ident.OrgID]*org
	// ring holds the organisations with waiting items in the order of their turns; its front has the turn.
	ring  list.List
	bytes ident.Bytes
	rate  rate
}

// org is an organisation with waiting items.
type org struct {
	id      ident.OrgID
	classes [ident.PriorityCount]list.List
	count   int
	bytes   ident.Bytes
	cost    [ident.PriorityCount]ident.Tokens
	deficit ident.Tokens
	turn    *list.Element
	// started says that the quantum of the current turn was added.
	started bool
}

type node struct {
	item Item
	at   time.Time
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

// Bytes returns the memory of the waiting items with their records.
func (q *Queue) Bytes() ident.Bytes { return q.bytes }

// Push adds an item, unless it is expected to miss its deadline or there is no room. A full queue makes
// room by evicting the newest item of the lowest priority of the organisation that holds most of it.
func (q *Queue) Push(now time.Time, it Item) PushResult {
	it = normal(it)
	if q.items[it.ID] != nil {
		return Refused{Cause: CauseDuplicate}
	}
	if it.Bytes+itemOverhead > q.cfg.MaxBytes {
		return Refused{Cause: CauseTooLarge}
	}
	wait := q.wait(it)
	if it.late(now, wait) {
		return Refused{Cause: CauseDeadline, RetryAfter: retryAfter(wait)}
	}
	evicted, ok := q.makeRoom(it)
	if !ok {
		return Refused{Cause: CauseFull, RetryAfter: retryAfter(wait)}
	}
	q.add(&node{item: it, at: now}, false)
	return Queued{Wait: wait, Evicted: evicted}
}

// Requeue puts an item back to its place when it could not be dispatched after all, for example because
// no target of its version had a slot. It gives back the tokens of the turn and can be refused like a
// new item.
func (q *Queue) Requeue(now time.Time, n Next) PushResult {
	it := n.Item
	if q.items[it.ID] != nil {
		return Refused{Cause: CauseDuplicate}
	}
	if it.late(now, 0) {
		return Refused{Cause: CauseDeadline, RetryAfter: retryAfter(q.wait(it))}
	}
	evicted, ok := q.makeRoom(it)
	if !ok {
		return Refused{Cause: CauseFull, RetryAfter: retryAfter(q.wait(it))}
	}
	q.add(&node{item: it, at: now.Add(-n.Waited)}, true)
	q.orgs[it.Org].deficit += it.Cost
	return Queued{Evicted: evicted}
}

func normal(it Item) Item {
	it.Cost = max(it.Cost, 1)
	it.Bytes = max(it.Bytes, 0)
	it.Priority = min(it.Priority, ident.PriorityCount-1)
	return it
}

// Pop returns the next item by turn and drops the items before it that cannot meet their deadline.
func (q *Queue) Pop(now time.Time) PopResult {
	var dropped []Drop
	for q.ring.Len() > 0 {
		o := q.front()
		e := o.head()
		n := e.Value.(*node)
		if n.item.late(now, 0) {
			q.remove(e)
			dropped = append(dropped, q.drop(n.item, CauseDeadline))
			continue
		}
		if n.item.Cost > o.deficit {
			q.pass(o)
			continue
		}
		o.deficit -= n.item.Cost
		q.remove(e)
		q.rate.popped(now, n.item.Cost, q.Len() > 0)
		return Next{Item: n.item, Waited: now.Sub(n.at), Dropped: dropped}
	}
	q.rate.idle()
	return Empty{Dropped: dropped}
}

// Expire drops all items that cannot meet their deadline any more.
func (q *Queue) Expire(now time.Time) []Drop {
	var dropped []Drop
	for t := q.ring.Front(); t != nil; {
		o := t.Value.(*org)
		t = t.Next()
		for c := range o.classes {
			for e := o.classes[c].Front(); e != nil; {
				n := e.Value.(*node)
				this := e
				e = e.Next()
				if n.item.late(now, 0) {
					q.remove(this)
					dropped = append(dropped, q.drop(n.item, CauseDeadline))
				}
			}
		}
	}
	return dropped
}

// Cancel removes an item whose caller went away, and reports whether it was waiting.
func (q *Queue) Cancel(id ident.RequestID) bool {
	e := q.items[id]
	if e == nil {
		return false
	}
	q.remove(e)
	return true
}

func (q *Queue) add(n *node, first bool) {
	it := n.item
	o := q.orgs[it.Org]
	if o == nil {
		o = &org{id: it.Org}
		o.turn = q.ring.PushBack(o)
		q.orgs[it.Org] = o
	}
	if first {
		q.items[it.ID] = o.classes[it.Priority].PushFront(n)
	} else {
		q.items[it.ID] = o.classes[it.Priority].PushBack(n)
	}
	o.count++
	o.bytes += it.Bytes + itemOverhead
	o.cost[it.Priority] += it.Cost
	q.bytes += it.Bytes + itemOverhead
}

// remove takes an item out. An organisation without items loses its deficit, so that it cannot save
// turns while it has nothing to send.
func (q *Queue) remove(e *list.Element) {
	it := e.Value.(*node).item
	o := q.orgs[it.Org]
	o.classes[it.Priority].Remove(e)
	delete(q.items, it.ID)
	o.count--
	o.bytes -= it.Bytes + itemOverhead
	o.cost[it.Priority] -= it.Cost
	q.bytes -= it.Bytes + itemOverhead
	if o.count == 0 {
		q.ring.Remove(o.turn)
		delete(q.orgs, it.Org)
	}
}

func (o *org) head() *list.Element {
	for c := range o.classes {
		if e := o.classes[c].Front(); e != nil {
			return e
		}
	}
	return nil
}
