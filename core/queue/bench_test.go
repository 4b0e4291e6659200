package queue_test

import (
	"fmt"
	"testing"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/queue"
)

// BenchmarkPushPop measures one push and one pop with 400 requests waiting.
func BenchmarkPushPop(b *testing.B) {
	for _, orgs := range []int{1, 10, 400} {
		b.Run(fmt.Sprintf("orgs=%d", orgs), func(b *testing.B) {
			q := queue.New(queue.Config{})
			push := func(i int) {
				q.Push(start.Add(time.Duration(i)*time.Millisecond), queue.Item{ID: ident.RequestID(fmt.Sprint(i)), Org: ident.OrgID(fmt.Sprint(i % orgs)), Cost: 3000})
			}
			for i := range 400 {
				push(i)
			}
			b.ReportAllocs()
			for i := 400; b.Loop(); i++ {
				push(i)
				q.Pop(start.Add(time.Duration(i) * time.Millisecond))
			}
		})
	}
}
