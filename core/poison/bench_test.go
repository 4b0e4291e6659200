package poison

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAnswer measures what an answer costs a router, without a loss and with one that accuses the parts of the prompt.
func BenchmarkAnswer(b *testing.B) {
	for _, parts := range []int{3, 18, 3900} {
		for _, lost := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d parts, lost %v", parts, lost), func(b *testing.B) {
				now := time.Unix(1000, 0)
				tracker := New(DefaultPolicy(0))
				p := longPrompt(parts, 0, "first", "own")
				if lost {
					tracker.RecordLoss(Loss{Target: Target{ID: "t"}, Service: service, Prompts: []Prompt{p}}, now)
				}
				b.ReportAllocs()
				for b.Loop() {
					now = now.Add(time.Microsecond)
					tracker.RecordAnswer(service, p, now)
				}
			})
		}
	}
}

// BenchmarkDecide measures a decision on as much evidence as is remembered, which one router makes after each news.
func BenchmarkDecide(b *testing.B) {
	now := time.Unix(1000, 0)
	tracker := New(DefaultPolicy(0))
	for i := range maxLosses {
		l := Loss{Target: Target{Born: int64(i)}, Service: service}
		l.Prompts = append(l.Prompts, longPrompt(maxAccusations/maxLosses, 0, "first", fmt.Sprint("own-", i)))
		tracker.RecordLoss(l, now.Add(time.Duration(i)*time.Millisecond))
	}
	b.ReportAllocs()
	for b.Loop() {
		tracker.mostAccused(now)
	}
}
