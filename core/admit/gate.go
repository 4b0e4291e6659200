// Package admit decides which requests are sent on while all targets of a service are full.
//
// A Gate is open until every target has refused a request as full. Then requests wait, the more urgent ones first and
// those of one priority in turns of their organisations, and are let through in a growing number once the targets may
// have room again. A request that cannot get its answer in time is refused at once, with a time to come back that spreads
// the callers over the time in which room is expected.
//
// The package does no I/O and reads no clock. It answers a load above what the targets of a service can run for seconds:
// bursts, one organisation that sends a multiple of its usual load, and callers that come back at once.
package admit

import (
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/queue"
)

// Priority is the rank of a request. Zero is the most urgent.
type Priority uint8

// PriorityCount is the number of priorities that are told apart. Requests of a higher one count as the last.
const PriorityCount = 10

const (
	// maxWaiting bounds the requests that wait for one service, and so the memory that they hold.
	maxWaiting = 256
	// yieldAfter is the number of requests of one priority after which one of the next lower priority goes first, so that
	// less urgent requests are not kept out for good.
	yieldAfter = 4
	// minPace is the least number of requests per second that are let through, so that returning room is found.
	minPace = 4
	// growthInterval is the time without a refusal after which the pace grows by growthFactor. A refusal cuts it by
	// cutFactor, at most once in a growthInterval, because the refusals of one moment are one sign.
	growthInterval = 100 * time.Millisecond
	growthFactor   = 1.2
	cutFactor      = 0.85
	// maxOverPace bounds the pace to a multiple of the rate at which targets take requests, and maxCatchUp the time whose
	// requests may follow at once after the targets were left alone.
	maxOverPace = 2
	maxCatchUp  = 100 * time.Millisecond
	// openAfter is the time without a refusal and without a waiting request after which the gate opens.
	openAfter = 300 * time.Millisecond
	// maxGrowth bounds the time over which the pace is updated in one step after a pause of the process.
	maxGrowth = 5 * time.Second
)

// Request describes a request that wants to be sent.
type Request struct {
	ID       ident.RequestID
	Org      ident.OrgID
	Priority Priority
	// Cost is the size of the request by which organisations take turns, in tokens for a model engine. It is at least one.
	Cost ident.Tokens
	// Deadline is the time by which the caller must have its answer, and ServiceTime the expected time from the send to
	// the answer or, of a stream, to its first event.
	Deadline    time.Time
	ServiceTime time.Duration
	// MaxWait is how long the request may wait.
	MaxWait time.Duration
}

// Arrival is Go, Wait or Refuse.
type Arrival interface{ arrival() }

// Go means that the request is sent now.
type Go struct{}

// Wait means that the request waits until Next returns its ID, Cancel removes it, or its MaxWait has passed.
type Wait struct{}

// Refuse means that the request cannot be served in time. RetryAfter is when its caller may come back.
type Refuse struct{ RetryAfter time.Duration }

func (Go) arrival()     {}
func (Wait) arrival()   {}
func (Refuse) arrival() {}

// Gate decides about the requests of one service at one router. It is not safe for concurrent use.
type Gate struct {
	levels [PriorityCount]*queue.Queue
	// turns counts the requests that went ahead of each less urgent priority since that had its last turn.
	turns   [PriorityCount]int
	waiting map[ident.RequestID]Priority
	// closed says that requests wait. The targets are known to be full until closedUntil, and lastFull is when one last said
	// so.
	closed                bool
	closedUntil, lastFull time.Time
	// pace is the number of requests per second that are let through, as of pacedAt, and nextAt the time of the next one.
	pace            float64
	pacedAt, nextAt time.Time
	spread          spread
}

// New returns an open gate.
func New() *Gate { return &Gate{waiting: make(map[ident.RequestID]Priority)} }

// Open reports whether requests pass without waiting.
func (g *Gate) Open() bool { return !g.closed }

// Waiting returns the number of requests that wait.
func (g *Gate) Waiting() int { return len(g.waiting) }

// Arrive decides about a request. A request that was let through by Next doesn't arrive again.
func (g *Gate) Arrive(now time.Time, r Request) Arrival {
	g.update(now)
	if g.Open() {
		return Go{}
	}
	if len(g.waiting) == 0 && g.mayStep(now) {
		g.step()
		return Go{}
	}
	r.Priority = min(r.Priority, PriorityCount-1)
	room := g.room(now)
	if room.After(now.Add(r.MaxWait)) || len(g.waiting) >= maxWaiting && !g.evict(r.Priority) {
		return Refuse{RetryAfter: g.spread.next(now, room)}
	}
	level := g.level(r.Priority)
	item := queue.Item{ID: r.ID, Org: r.Org, Cost: r.Cost, Deadline: r.Deadline, ServiceTime: r.ServiceTime}
	if _, ok := level.Push(room, item).(queue.Queued); !ok {
		return Refuse{RetryAfter: g.spread.next(now, room)}
	}
	g.waiting[r.ID] = r.Priority
	return Wait{}
}

// level returns the queue of a priority.
func (g *Gate) level(p Priority) *queue.Queue {
	if g.levels[p] == nil {
		g.levels[p] = queue.New(queue.Config{MaxItems: maxWaiting})
	}
	return g.levels[p]
}

// evict makes room for a request of the given priority at the cost of one that is less urgent. The evicted request is no
// longer waiting, so that its own wait ends with a refusal.
func (g *Gate) evict(p Priority) bool {
	for lower := Priority(PriorityCount - 1); lower > p; lower-- {
		for id, of := range g.waiting {
			if of == lower {
				g.Cancel(id)
				return true
			}
		}
	}
	return false
}

// Full records that a request found every target full, and until when they are left alone.
func (g *Gate) Full(now, until time.Time) {
	g.update(now)
	switch {
	case !g.closed:
		g.closed = true
		g.pace = max(g.spread.rateAt(now), minPace)
	case now.Sub(g.lastFull) >= growthInterval:
		g.pace = max(g.pace*cutFactor, minPace)
	}
	g.lastFull, g.pacedAt = now, now
	if until.After(g.closedUntil) {
		g.closedUntil = until
	}
	if g.nextAt.Before(now) {
		g.nextAt = now
	}
}

// Taken records that a target has taken a request.
func (g *Gate) Taken(now time.Time) { g.spread.record(now) }

// update lets the pace grow with the time since the last refusal, and opens the gate if nobody needs it.
func (g *Gate) update(now time.Time) {
	if !g.closed {
		return
	}
	for now.Sub(g.pacedAt) >= growthInterval {
		g.pacedAt = g.pacedAt.Add(growthInterval)
		g.pace = min(g.pace*growthFactor, max(maxOverPace*g.spread.rateAt(now), minPace))
		if g.pacedAt.Sub(g.lastFull) > maxGrowth {
			g.pacedAt = now
		}
	}
	if len(g.waiting) == 0 && now.Sub(g.lastFull) >= openAfter && !now.Before(g.closedUntil) {
		g.closed = false
	}
}

// mayStep reports whether the pace lets a request through. Requests that were due while the targets were left alone follow
// at once, because the targets have had time to make room.
func (g *Gate) mayStep(now time.Time) bool {
	if earliest := now.Add(-maxCatchUp); g.nextAt.Before(earliest) {
		g.nextAt = earliest
	}
	return !now.Before(g.nextAt) && !now.Before(g.closedUntil)
}

// step counts a request that is let through.
func (g *Gate) step() { g.nextAt = g.nextAt.Add(time.Duration(float64(time.Second) / g.pace)) }

// Next returns the next waiting request that is let through now, or false if there is none. It is called again once that
// request has found a target or none, because the answer may close the gate for those behind it.
func (g *Gate) Next(now time.Time) (ident.RequestID, bool) {
	g.update(now)
	if len(g.waiting) == 0 || !g.mayStep(now) {
		return "", false
	}
	id, ok := g.pop(now)
	if ok {
		g.step()
	}
	return id, ok
}

// room returns when the next request may be let through.
func (g *Gate) room(now time.Time) time.Time {
	room := g.closedUntil
	if g.nextAt.After(room) {
		room = g.nextAt
	}
	if now.After(room) {
		room = now
	}
	return room
}

// pop removes the next waiting request. Requests that can no longer be served in time are dropped on the way; their own
// waits end by MaxWait.
func (g *Gate) pop(now time.Time) (ident.RequestID, bool) {
	for _, p := range g.order() {
		switch res := g.levels[p].Pop(now).(type) {
		case queue.Next:
			g.forget(res.Dropped)
			delete(g.waiting, res.Item.ID)
			g.countTurn(p)
			return res.Item.ID, true
		case queue.Empty:
			g.forget(res.Dropped)
		}
	}
	return "", false
}

// order returns the priorities with waiting requests in the order in which they are served now: one whose turn is due,
// then the others by urgency.
func (g *Gate) order() []Priority {
	var due, rest []Priority
	for p, level := range g.levels {
		switch {
		case level == nil || level.Len() == 0:
		case g.turns[p] >= yieldAfter && len(due) == 0:
			due = append(due, Priority(p))
		default:
			rest = append(rest, Priority(p))
		}
	}
	return append(due, rest...)
}

// countTurn counts a request of a priority against the less urgent ones that wait.
func (g *Gate) countTurn(p Priority) {
	g.turns[p] = 0
	for lower := int(p) + 1; lower < PriorityCount; lower++ {
		if level := g.levels[lower]; level != nil && level.Len() > 0 {
			g.turns[lower]++
		}
	}
}

func (g *Gate) forget(dropped []queue.Drop) {
	for _, d := range dropped {
		delete(g.waiting, d.Item.ID)
	}
}

// Cancel removes a request that waits no longer, and reports whether it was waiting.
func (g *Gate) Cancel(id ident.RequestID) bool {
	p, ok := g.waiting[id]
	if !ok {
		return false
	}
	delete(g.waiting, id)
	return g.levels[p].Cancel(id)
}

// RetryAfter returns when a caller that waited in vain may come back.
func (g *Gate) RetryAfter(now time.Time) time.Duration { return g.spread.next(now, g.room(now)) }

// WakeAt returns the time at which Next lets a request through, or zero if none waits.
func (g *Gate) WakeAt() time.Time {
	if len(g.waiting) == 0 {
		return time.Time{}
	}
	if g.nextAt.Before(g.closedUntil) {
		return g.closedUntil
	}
	return g.nextAt
}
