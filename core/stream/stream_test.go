package stream

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
)

// TestLimiterConcurrent guards against concurrent reservations that exceed a limit, and against reservations that are
// not fully released.
func TestLimiterConcurrent(t *testing.T) {
	is := is.New(t)
	l := NewLimiter(100, 250)
	var wg sync.WaitGroup
	for worker := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			org := ident.OrgID(fmt.Sprint("org", worker%4))
			for range 2000 {
				if l.Reserve(org, 30) != nil {
					continue
				}
				if l.UsedBy(org) > 100 {
					t.Error("organisation is above its limit")
				}
				l.Release(org, 30)
			}
		}()
	}
	wg.Wait()
	is.Equal(l.Used(), ident.Bytes(0))
	is.NoErr(l.Reserve("a", 100))
	is.NoErr(l.Reserve("b", 100))
	var limitErr *LimitError
	is.True(errors.As(l.Reserve("a", 1), &limitErr))
	is.Equal(limitErr.Org, ident.OrgID("a"))
	is.True(errors.As(l.Reserve("c", 51), &limitErr))
	is.Equal(limitErr.Org, ident.OrgID(""))
	is.True(l.Reserve("c", -1) != nil)
}

func BenchmarkLimiter(b *testing.B) {
	for _, orgs := range []int64{1, 64} {
		b.Run(fmt.Sprintf("orgs=%d", orgs), func(b *testing.B) {
			l := NewLimiter(1<<40, 1<<40)
			var n atomic.Int64
			b.RunParallel(func(pb *testing.PB) {
				org := ident.OrgID(fmt.Sprint("org", n.Add(1)%orgs))
				for pb.Next() {
					if err := l.Reserve(org, 200); err != nil {
						b.Error(err)
					}
					l.Release(org, 200)
				}
			})
		})
	}
}
