package queue_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/queue"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// model tracks the requests that should be waiting in the queue. pushCount also numbers the requests.
type model struct {
	q         *queue.Queue
	now       time.Time
	waiting   map[ident.RequestID]queue.Item
	popped    []queue.Next
	pushCount int
}

func (m *model) removeWaiting(t *rapid.T, it queue.Item) {
	if _, ok := m.waiting[it.ID]; !ok {
		t.Fatalf("request %s left the queue without waiting in it", it.ID)
	}
	delete(m.waiting, it.ID)
}

func (m *model) checkDropped(t *rapid.T, ds []queue.Drop) {
	for _, d := range ds {
		m.removeWaiting(t, d.Item)
		if d.RetryAfter < time.Second {
			t.Fatalf("drop without a Retry-After hint: %+v", d)
		}
		if d.Cause == queue.CauseDeadline && !m.now.Add(d.Item.ServiceTime).After(d.Item.Deadline) {
			t.Fatalf("dropped a request that could meet its deadline: %+v", d)
		}
	}
}

func (m *model) checkPushed(t *rapid.T, it queue.Item, res queue.PushResult) {
	switch res := res.(type) {
	case queue.Queued:
		m.checkDropped(t, res.Evicted)
		m.waiting[it.ID] = it
	case queue.Refused:
		if res.Cause == queue.CauseDuplicate {
			if _, ok := m.waiting[it.ID]; !ok {
				t.Fatalf("request %s is no duplicate", it.ID)
			}
		} else if res.RetryAfter < time.Second && res.Cause != queue.CauseTooLarge {
			t.Fatalf("refusal without a Retry-After hint: %+v", res)
		}
	}
}

func (m *model) pop(t *rapid.T) {
	switch res := m.q.Pop(m.now).(type) {
	case queue.Next:
		m.checkDropped(t, res.Dropped)
		m.removeWaiting(t, res.Item)
		if !res.Item.Deadline.IsZero() && m.now.Add(res.Item.ServiceTime).After(res.Item.Deadline) {
			t.Fatalf("dispatched a request that misses its deadline: %+v", res.Item)
		}
		for _, it := range m.waiting {
			if it.Org == res.Item.Org && it.Priority < res.Item.Priority {
				t.Fatalf("%s was dispatched before %s of a higher priority", res.Item.ID, it.ID)
			}
		}
		m.popped = append(m.popped, res)
	case queue.Empty:
		m.checkDropped(t, res.Dropped)
		if len(m.waiting) > 0 {
			t.Fatalf("empty with %d requests waiting", len(m.waiting))
		}
	}
}

// TestNothingLostOrDoubledProperty guards against requests that are lost, dispatched twice, or dispatched too late for
// their deadline, and against a queue that exceeds its bounds.
func TestNothingLostOrDoubledProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := queue.Config{MaxItems: 6, MaxBytes: 8192, Quantum: 100}
		m := &model{q: queue.New(cfg), now: start, waiting: make(map[ident.RequestID]queue.Item)}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				m.pushCount++
				it := queue.Item{
					ID:          ident.RequestID(fmt.Sprint(rapid.IntRange(max(0, m.pushCount-4), m.pushCount).Draw(t, "id"))),
					Org:         rapid.SampledFrom([]ident.OrgID{"a", "b", "c"}).Draw(t, "org"),
					Priority:    ident.Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
					Cost:        ident.Tokens(rapid.Int64Range(1, 1000).Draw(t, "cost")),
					Bytes:       ident.Bytes(rapid.Int64Range(0, 9000).Draw(t, "bytes")),
					ServiceTime: time.Duration(rapid.IntRange(0, 3).Draw(t, "service")) * time.Second,
				}
				if rapid.Bool().Draw(t, "has deadline") {
					it.Deadline = m.now.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "deadline")) * time.Second)
				}
				m.checkPushed(t, it, m.q.Push(m.now, it))
			},
			"pop": m.pop,
			"return": func(t *rapid.T) {
				if len(m.popped) == 0 {
					t.Skip("nothing popped")
				}
				n := m.popped[len(m.popped)-1]
				m.popped = m.popped[:len(m.popped)-1]
				m.checkPushed(t, n.Item, m.q.Requeue(m.now, n))
			},
			"cancel": func(t *rapid.T) {
				id := ident.RequestID(fmt.Sprint(rapid.IntRange(0, m.pushCount).Draw(t, "id")))
				_, ok := m.waiting[id]
				if m.q.Cancel(id) != ok {
					t.Fatalf("cancel of %s: want %v", id, ok)
				}
				delete(m.waiting, id)
			},
			"expire": func(t *rapid.T) { m.checkDropped(t, m.q.Expire(m.now)) },
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if m.q.Len() != len(m.waiting) {
					t.Fatalf("%d in the queue, %d should wait", m.q.Len(), len(m.waiting))
				}
				if m.q.Len() > cfg.MaxItems || m.q.Bytes() > cfg.MaxBytes {
					t.Fatalf("over the bounds: %d items, %d bytes", m.q.Len(), m.q.Bytes())
				}
			},
		})
		for len(m.waiting) > 0 {
			m.pop(t)
		}
		if m.q.Len() != 0 || m.q.Bytes() != 0 {
			t.Fatalf("drained queue holds %d items, %d bytes", m.q.Len(), m.q.Bytes())
		}
	})
}

// TestFloodKeepsFairShareProperty guards against an organisation that floods the queue, with new requests or retries of
// refused ones, and so delays or evicts the requests of others.
func TestFloodKeepsFairShareProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxCost, quantum, orgs = 5000, 500, 4
		q := queue.New(queue.Config{MaxItems: 64, Quantum: quantum})
		cost := rapid.Int64Range(1, maxCost)
		flood := rapid.IntRange(5, 40).Draw(t, "flood")
		served := make(map[ident.OrgID]ident.Tokens)
		now, n := start, 0
		push := func(org ident.OrgID, p ident.Priority) queue.PushResult {
			n++
			c := ident.Tokens(cost.Draw(t, "cost"))
			return q.Push(now, queue.Item{ID: ident.RequestID(fmt.Sprint(n)), Org: org, Cost: c, Priority: p, ServiceTime: time.Second})
		}
		pushSmall := func(org ident.OrgID) {
			queued, ok := push(org, ident.PriorityLow).(queue.Queued)
			if !ok {
				t.Fatalf("refused a request of a small organisation")
			}
			for _, d := range queued.Evicted {
				if d.Item.Org != "flood" {
					t.Fatalf("evicted a request of %s for one of %s", d.Item.Org, org)
				}
			}
		}
		// Each small organisation always has three requests waiting, far less than its fair share of the queue.
		for i := range 3 * orgs {
			pushSmall(ident.OrgID(fmt.Sprint("org", i%orgs)))
		}
		for range 60 {
			for range flood {
				push("flood", ident.PriorityHigh)
			}
			for range orgs + 1 {
				res := q.Pop(now).(queue.Next)
				served[res.Item.Org] += res.Item.Cost
				if res.Item.Org != "flood" {
					pushSmall(res.Item.Org)
				}
			}
			now = now.Add(100 * time.Millisecond)
			// Deficit round robin keeps organisations that always wait within a constant of each other.
			least, most := served["flood"], served["flood"]
			for i := range orgs {
				got := served[ident.OrgID(fmt.Sprint("org", i))]
				least, most = min(least, got), max(most, got)
			}
			if most-least > 2*(maxCost+quantum) {
				t.Fatalf("unequal shares: %v", served)
			}
		}
	})
}

// TestRetryBudgetProperty guards against more retries than the share of the traffic, the constant rate and the burst
// allow.
func TestRetryBudgetProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := queue.RetryConfig{Share: 0.1, PerSecond: 2, Burst: 5}
		now := start
		b := queue.NewRetryBudget(cfg, now)
		attempts, retries := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"attempt": func(*rapid.T) { b.RecordAttempt(); attempts++ },
			"retry": func(*rapid.T) {
				if b.Allow(now) {
					retries++
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				limit := cfg.Burst + cfg.Share*float64(attempts) + cfg.PerSecond*now.Sub(start).Seconds()
				if float64(retries) > limit+1e-6 {
					t.Fatalf("%d retries, at most %.2f are allowed", retries, limit)
				}
			},
		})
	})
}
