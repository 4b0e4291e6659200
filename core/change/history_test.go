package change

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumsaddle/core/ident"
)

// TestSince guards against a batch that lacks a change, repeats one, or claims to be complete although changes before it
// were dropped.
func TestSince(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h History
		var all []Event
		version := ident.ObjectVersion(rapid.IntRange(1, 5).Draw(t, "first"))
		known := version // the oldest version from which the history has seen every change
		for range rapid.IntRange(1, 40).Draw(t, "appends") {
			from := version
			if rapid.IntRange(0, 9).Draw(t, "gap") == 0 {
				from += 3
				known, all = from, nil
			}
			b := Batch{Version: from}
			for range rapid.IntRange(0, 4).Draw(t, "events") {
				b.Version += ident.ObjectVersion(rapid.IntRange(0, 2).Draw(t, "step"))
				b.Version = max(b.Version, from+1)
				value := make([]byte, rapid.IntRange(0, int(maxBytes)/3).Draw(t, "size"))
				b.Events = append(b.Events, Event{Name: fmt.Sprint(len(all)), Version: b.Version, Value: value})
			}
			all = append(all, b.Events...)
			h.Append(from, b, 0)
			version = b.Version
			if h.bytes > maxBytes || len(h.events) > maxEvents {
				t.Fatalf("%d bytes in %d events", h.bytes, len(h.events))
			}
			asked := ident.ObjectVersion(rapid.IntRange(0, int(version)+2).Draw(t, "asked"))
			got, ok := h.Since(asked)
			if !ok {
				continue
			}
			if asked < known {
				t.Fatalf("since %d is covered, but changes before %d were never seen", asked, known)
			}
			var want []string
			for _, e := range all {
				if e.Version > asked {
					want = append(want, e.Name)
				}
			}
			var names []string
			for _, e := range got.Events {
				names = append(names, e.Name)
			}
			if fmt.Sprint(names) != fmt.Sprint(want) || got.Version != max(asked, version) {
				t.Fatalf("since %d: got %v up to %d, want %v up to %d", asked, names, got.Version, want, version)
			}
		}
	})
}

// TestSinceAcrossEras guards against a watcher that has nothing to tell to a router that has seen that the store came back
// from an older copy, and against changes from before that are passed on with those after it.
func TestSinceAcrossEras(t *testing.T) {
	is := is.New(t)
	version := func(era ident.Era, revision uint64) ident.ObjectVersion {
		v, err := ident.NewObjectVersion(era, revision)
		is.NoErr(err)
		return v
	}
	var h History
	h.Append(version(1, 7), Batch{Version: version(1, 9), Events: []Event{{Name: "lost", Version: version(1, 9)}}}, 0)
	_, ok := h.Since(version(2, 3))
	is.True(!ok) // the watcher does not know of the later era
	h.Append(version(2, 3), Batch{Version: version(2, 5), Events: []Event{{Name: "a", Version: version(2, 5)}}}, 0)
	_, ok = h.Since(version(1, 7))
	is.True(!ok) // the follower does not know of it
	b, ok := h.Since(version(2, 3))
	is.True(ok)
	is.Equal(b.Events, []Event{{Name: "a", Version: version(2, 5)}})
}

// TestHistoryLimits guards against a history that covers nothing after small changes, and against one that keeps a
// change that is too large to pass on.
func TestHistoryLimits(t *testing.T) {
	is := is.New(t)
	var h History
	_, ok := h.Since(0)
	is.True(!ok) // nothing is known
	h.Append(7, Batch{Version: 9, Events: []Event{{Name: "a", Version: 8}, {Name: "b", Version: 9}}}, 0)
	b, ok := h.Since(8)
	is.True(ok)
	is.Equal(b, Batch{Version: 9, Events: []Event{{Name: "b", Version: 9}}})
	h.Append(9, Batch{Version: 10, Events: []Event{{Name: "large", Version: 10, Value: make([]byte, maxBytes+1)}}}, 0)
	_, ok = h.Since(9)
	is.True(!ok) // the change cannot be passed on
	b, ok = h.Since(10)
	is.True(ok)
	is.Equal(b, Batch{Version: 10})
}
