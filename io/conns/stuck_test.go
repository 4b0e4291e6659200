package conns

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"geraniumsaddle/core/budget"
)

// TestRequestsThatWaitForEachOther guards against requests that were passed on, fill the memory together and wait for more
// until their deadlines.
func TestRequestsThatWaitForEachOther(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const (
		requests = 16
		part     = 1000 // bytes
	)
	memory := budget.New(requests * part)
	set := New(Config{Clock: clockwork.NewRealClock(), Memory: memory})
	for range requests {
		is.True(memory.Reserve(budget.Answers, part))
	}
	var gaveUp, served atomic.Int32
	var wg sync.WaitGroup
	for range requests {
		wg.Go(func() {
			err := set.Reserve(context.Background(), budget.Answers, part, 0)
			if err == nil {
				served.Add(1)
				set.Release(budget.Answers, 2*part)
				return
			}
			is.True(errors.Is(err, ErrFull))
			gaveUp.Add(1)
			set.Release(budget.Answers, part)
		})
	}
	wg.Wait()
	t.Logf("%d were served, %d gave up", served.Load(), gaveUp.Load())
	is.True(gaveUp.Load() > 0)
	is.True(served.Load() > 0) // Not all of them give up.
	is.True(memory.Total() == 0)
}
