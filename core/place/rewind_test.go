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
	f.RecordRewind(time.Unix(1, 0))
	is.Equal(put(1, Serving), 0) // the older entry
	is.Equal(put(2, Serving), 1)
}

// TestOlderEntryOfRemovedTarget guards against requests to a target whose entry has gone, after the store has come back
// from a copy that lists it, and against one that is left aside for good although it lives.
func TestOlderEntryOfRemovedTarget(t *testing.T) {
	is := is.New(t)
	f := New(Config{})
	removed := time.Unix(1000, 0)
	target := Target{ID: "t", Service: "s", Addr: "10.0.0.1:1", Born: 1}
	f.Put(target)
	f.Remove("t", removed)
	rewound := removed.Add(5 * time.Second)
	f.RecordRewind(rewound)
	f.Put(target)
	choose := func(at time.Time) error {
		_, err := f.Choose(Request{Service: "s", Now: at})
		return err
	}
	is.True(AsQuiet(choose(rewound.Add(time.Second))) != nil)
	is.NoErr(choose(rewound.Add(relistTime)))

	// A removal before the copy was made says nothing about an entry in it.
	f.Remove("t", rewound)
	f.RecordRewind(rewound.Add(maxCopyAge + time.Second))
	f.Put(target)
	is.NoErr(choose(rewound.Add(maxCopyAge + 2*time.Second)))
}
