package drain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumsaddle/core/drain"
)

var start = time.Unix(1000, 0)

func ExamplePlan_Admits() {
	p := drain.NewPlan(start, 8*time.Second)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	fmt.Println(p.Admits(at(2*time.Second), at(20*time.Second)))
	fmt.Println(p.Admits(at(4*time.Second), at(7*time.Second)))
	fmt.Println(p.Admits(at(4*time.Second), at(8*time.Second)))
	// Output:
	// true
	// true
	// false
}

// TestCutRequests guards against cutting off a request that was passed on later than 3 s after the signal, and against
// cutting any request before the last sixth of the grace period.
func TestCutRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		grace := time.Duration(rapid.Int64Range(int64(100*time.Millisecond), int64(time.Minute)).Draw(t, "grace"))
		at := time.Duration(rapid.Int64Range(0, int64(grace)).Draw(t, "passed_on"))
		left := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "deadline"))
		p := drain.NewPlan(start, grace)
		cut := start.Add(at + left).After(p.CutAt)
		if p.Admits(start.Add(at), start.Add(at+left)) && cut {
			is.True(at < 3*time.Second)
		}
		is.True(!p.CutAt.Before(start.Add(grace * 5 / 6)))
		is.True(p.CutAt.Before(p.ExitAt))
		is.True(!p.CloseAt.After(p.CutAt) && !p.FreeUntil.After(p.CutAt))
	})
}
