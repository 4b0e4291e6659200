package admit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func request(id string, p Priority) Request {
	return Request{ID: ident.RequestID(id), Org: "org", Priority: p, Cost: 1, Deadline: start.Add(time.Hour), MaxWait: time.Second}
}

// drain returns the first n waiting requests in the order in which they are let through, and when the last one was.
func drain(g *Gate, n int) ([]ident.RequestID, time.Time) {
	var order []ident.RequestID
	now := g.WakeAt()
	for len(order) < n {
		if id, ok := g.Next(now); ok {
			order = append(order, id)
		}
		now = g.WakeAt()
	}
	return order, now
}

// TestOrder guards against sending a less urgent request first when room returns, and against keeping it out for good.
func TestOrder(t *testing.T) {
	is := is.New(t)
	g := New()
	g.Full(start, start.Add(100*time.Millisecond))
	for i := range 3 * yieldAfter {
		is.Equal(g.Arrive(start, request(fmt.Sprint("late-", i), 2)), Wait{})
	}
	for i := range 3 * yieldAfter {
		is.Equal(g.Arrive(start, request(fmt.Sprint("urgent-", i), 0)), Wait{})
	}
	_, ok := g.Next(start)
	is.True(!ok)
	order, _ := drain(g, 2*yieldAfter)
	is.Equal(order[:yieldAfter], []ident.RequestID{"urgent-0", "urgent-1", "urgent-2", "urgent-3"})
	is.Equal(order[yieldAfter], ident.RequestID("late-0"))
	is.Equal(order[yieldAfter+1], ident.RequestID("urgent-4"))
}

// TestTurns guards against one organisation with many waiting requests that keeps another one waiting.
func TestTurns(t *testing.T) {
	is := is.New(t)
	g := New()
	g.Full(start, start.Add(time.Millisecond))
	for i := range 100 {
		r := request(fmt.Sprint("hot-", i), 1)
		r.Org, r.Cost = "hot", 2000
		is.Equal(g.Arrive(start, r), Wait{})
	}
	other := request("other", 1)
	other.Org, other.Cost = "other", 2000
	is.Equal(g.Arrive(start, other), Wait{})
	order, _ := drain(g, 10)
	position := slices.Index(order, "other")
	is.True(position >= 0 && position <= 2)
}

// TestPace guards against sending all waiting requests at once to targets that have room for few, and against a pace that
// doesn't follow the room that returns.
func TestPace(t *testing.T) {
	is := is.New(t)
	g := New()
	g.Full(start, start.Add(10*time.Millisecond))
	for i := range 100 {
		is.Equal(g.Arrive(start, request(fmt.Sprint(i), 0)), Wait{})
	}
	_, fifth := drain(g, 5)
	is.True(fifth.Sub(start) > 500*time.Millisecond)
	for range 10 {
		_, now := drain(g, 1)
		g.Full(now, now.Add(50*time.Millisecond))
	}
	_, slow := drain(g, 1)
	_, end := drain(g, 1)
	is.True(end.Sub(slow) >= time.Second/(2*minPace))
	_, end = drain(g, g.Waiting())
	is.True(end.Sub(slow) < 5*time.Second)
}

// TestOpens guards against a gate that stays closed when all waiting callers have left.
func TestOpens(t *testing.T) {
	is := is.New(t)
	g := New()
	g.Full(start, start.Add(100*time.Millisecond))
	is.Equal(g.Arrive(start, request("a", 0)), Wait{})
	is.True(g.Cancel("a"))
	is.True(!g.Cancel("a"))
	is.Equal(g.Arrive(start.Add(openAfter), request("b", 0)), Go{})
	is.True(g.Open())
}

// TestRefusedAtOnce guards against keeping a request that can't have its answer in time, and against an unbounded queue.
func TestRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	g := New()
	g.Full(start, start.Add(300*time.Millisecond))
	late := request("late", 0)
	late.Deadline, late.ServiceTime = start.Add(time.Second), 800*time.Millisecond
	_, refused := g.Arrive(start, late).(Refuse)
	is.True(refused)
	impatient := request("impatient", 0)
	impatient.MaxWait = 200 * time.Millisecond
	_, refused = g.Arrive(start, impatient).(Refuse)
	is.True(refused)
	for i := range 2 * maxWaiting {
		g.Arrive(start, request(fmt.Sprint(i), 3))
	}
	is.Equal(g.Waiting(), maxWaiting)
	is.Equal(g.Arrive(start, request("urgent", 0)), Wait{})
	is.Equal(g.Waiting(), maxWaiting)
}

// TestSpread guards against refused callers that all come back at the same moment.
func TestSpread(t *testing.T) {
	is := is.New(t)
	var s spread
	now := start
	for range 200 {
		s.record(now)
		now = now.Add(20 * time.Millisecond)
	}
	perTenth := make(map[time.Duration]int)
	for range 120 {
		d := s.next(now, now.Add(100*time.Millisecond))
		is.True(d >= minReturn && d <= maxReturn)
		perTenth[d.Truncate(100*time.Millisecond)]++
	}
	for _, n := range perTenth {
		is.True(n <= 6) // 50 requests a second find room
	}
}
