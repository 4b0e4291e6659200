package change_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumsaddle/core/change"
)

// TestAgeLimits guards against knowledge that outlives the time within which a change has to be known, with a watcher that
// falls silent at any moment, and against a watcher in touch with the store whose knowledge counts as too old.
func TestAgeLimits(t *testing.T) {
	const (
		pause   = 400 * time.Millisecond // of a watcher between two watches
		latency = 20 * time.Millisecond
		longest = time.Second
	)
	rapid.Check(t, func(t *rapid.T) {
		bound := time.Duration(rapid.IntRange(2000, 10_000).Draw(t, "bound_ms")) * time.Millisecond
		l := change.NewAgeLimits(bound)
		age := time.Duration(rapid.IntRange(0, int(l.Max/time.Millisecond)).Draw(t, "age_ms")) * time.Millisecond
		wait, timeout := l.CallWait(age, longest)
		if wait > longest || wait >= timeout {
			t.Fatalf("a call waits %v and is given up after %v", wait, timeout)
		}
		// Two watchers may take their time before the store is asked.
		if asked := age + 2*timeout; age > l.Max-100*time.Millisecond && asked >= bound {
			t.Fatalf("the store is asked %v after the last confirmation, bound %v", asked, bound)
		}
		if age < l.Max-longest-300*time.Millisecond && timeout < wait+300*time.Millisecond {
			t.Fatalf("a call at age %v leaves a watcher only %v beyond its wait", age, timeout-wait)
		}
		// The next watch confirms what a watcher knows before it is too old.
		age = pause + time.Duration(rapid.IntRange(0, int((l.Refresh-pause)/time.Millisecond)).Draw(t, "watch_ms"))*time.Millisecond
		if confirmed := age + l.WatchWait(age) + latency; l.TooOld(confirmed) {
			t.Fatalf("a watch ends when the knowledge is %v old, limit %v", confirmed, l.Max)
		}
	})
}

// TestWatchAnswersInTime guards against a call that outlasts the moment at which its sender may not rely on a watcher.
func TestWatchAnswersInTime(t *testing.T) {
	l := change.NewAgeLimits(3 * time.Second)
	for _, age := range []time.Duration{0, time.Second, 2 * time.Second} {
		if _, timeout := l.CallWait(age, time.Second); age+timeout > l.Max {
			t.Errorf("a call at age %v is given up at age %v, limit %v", age, age+timeout, l.Max)
		}
	}
}

// TestConfirmedIsNeverLater guards against an answer that dates what its sender knows later than it was answered, by which a
// router would rely on it for as long as the sender says.
func TestConfirmedIsNeverLater(t *testing.T) {
	for _, c := range []struct{ held, age, want time.Duration }{
		{0, time.Second, 9 * time.Second},
		{time.Second, time.Second, 10 * time.Second},
		{time.Hour, 1, 12*time.Second - 1},
		{time.Hour, -time.Hour, 12 * time.Second},
		{-time.Hour, 0, 10 * time.Second},
	} {
		if got := change.Confirmed(10*time.Second, 12*time.Second, c.held, c.age); got != c.want {
			t.Errorf("held %v, age %v: confirmed at %v, want %v", c.held, c.age, got, c.want)
		}
	}
}
