package queue_test

import (
	"fmt"
	"time"

	"geraniumsaddle/core/queue"
)

func ExampleQueue() {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	q := queue.New(queue.Config{Quantum: 1000})
	q.Push(now, queue.Item{ID: "r1", Org: "large", Cost: 1000})
	q.Push(now, queue.Item{ID: "r2", Org: "large", Cost: 1000})
	q.Push(now, queue.Item{ID: "r3", Org: "small", Cost: 500})
	q.Push(now, queue.Item{ID: "r4", Org: "late", ServiceTime: 2 * time.Second, Deadline: now.Add(3 * time.Second)})
	now = now.Add(1500 * time.Millisecond)
	for q.Len() > 0 {
		switch res := q.Pop(now).(type) {
		case queue.Next:
			for _, d := range res.Dropped {
				fmt.Println("dropped", d.Item.ID, d.Cause, d.RetryAfter)
			}
			fmt.Println("dispatch", res.Item.ID)
		case queue.Empty:
		}
	}
	// Output:
	// dispatch r1
	// dispatch r3
	// dropped r4 deadline 1s
	// dispatch r2
}
