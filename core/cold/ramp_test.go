package cold

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRamp guards against a failure domain that gets its whole share at once, that gets nothing at first, or that never
// gets all of it.
func TestRamp(t *testing.T) {
	is := is.New(t)
	const duration = 10 * time.Second
	r := NewRamp(testStart, duration)
	admitted := func(at time.Duration) int {
		n := 0
		for range 100 {
			if r.Admit(testStart.Add(at)) {
				n++
			}
		}
		return n
	}
	is.Equal(admitted(0), 10) // the first share
	half := admitted(duration / 2)
	is.True(half >= 54 && half <= 56)
	is.True(!r.Done(testStart.Add(duration - 1)))
	is.True(r.Done(testStart.Add(duration)))
	is.Equal(admitted(duration), 100)
}
