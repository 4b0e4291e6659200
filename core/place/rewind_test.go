package place

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOlderEntryOfLeavingTarget guards against requests to a target that leaves, after the store has come back from a copy
// in which it does not, and against one that is left aside after it has started again.
func TestOlderEntryOfLeavingTarget(t *testing.T) {
	is := is.New(t)
	f := New(Config{})
	target := Target{ID: "t", Service: "s", Addr: "10.0.0.1:1", Born: 1}
	put := func(born int64, state State) int {
		target.Born, target.State = born, state
		f.Put(target)
		return f.ServingCount("s")
	}
	is.Equal(put(1, Serving), 1)
	is.Equal(put(1, Leaving), 0)
	f.KeepLeaving(time.Unix(1, 0))
	is.Equal(put(1, Serving), 0) // the older entry
	is.Equal(put(2, Serving), 1)
}
