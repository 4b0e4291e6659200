package order_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/order"
)

// TestScheduleLoadsProperty guards against a schedule that exceeds its window or the number of concurrent transfers,
// loads two versions to one target at once or omits a load, and against rejecting loads that fit even one after the
// other.
func TestScheduleLoadsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
		window := time.Duration(rapid.IntRange(1, 400).Draw(t, "window")) * time.Second
		store := order.StoreBandwidth{BytesPerSecond: 1000, Concurrent: rapid.IntRange(1, 4).Draw(t, "concurrent")}
		var loads []order.Load
		var serial time.Duration
		for i := range rapid.IntRange(0, 12).Draw(t, "loads") {
			l := order.Load{
				Target:  ident.TargetID(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "target"))),
				Version: ident.VersionID(fmt.Sprint(i)),
				Bytes:   ident.Bytes(rapid.Int64Range(1, 50000).Draw(t, "bytes")),
			}
			loads = append(loads, l)
			serial += transferTime(l, store)
		}
		finish := start.Add(window)
		switch res := order.ScheduleLoads(loads, store, start, finish).(type) {
		case order.Scheduled:
			checkTransfers(t, res.Transfers, loads, store, start, finish)
		case order.Infeasible:
			if serial <= window || res.Reason == "" {
				t.Fatalf("refused loads of %s for a window of %s: %q", serial, window, res.Reason)
			}
			again, ok := order.ScheduleLoads(loads, store, start, res.Earliest).(order.Scheduled)
			if !ok {
				t.Fatalf("does not fit at the named finish time %s", res.Earliest)
			}
			checkTransfers(t, again.Transfers, loads, store, start, res.Earliest)
		}
	})
}

func transferTime(l order.Load, s order.StoreBandwidth) time.Duration {
	return time.Duration(int64(l.Bytes)*int64(s.Concurrent)*int64(time.Second)/int64(s.BytesPerSecond)) + 1
}

func checkTransfers(t *rapid.T, out []order.Transfer, loads []order.Load, s order.StoreBandwidth, start, finish time.Time) {
	seen := make(map[ident.VersionID]bool)
	for _, a := range out {
		seen[a.Version] = true
		if a.Start.Before(start) || a.End.After(finish) || a.End.Sub(a.Start) < transferTime(a.Load, s) {
			t.Fatalf("transfer outside of the window or too fast: %+v", a)
		}
		running := 0
		for _, b := range out {
			if a.Start.Before(b.Start) || !a.Start.Before(b.End) {
				continue
			}
			running++
			if a.Target == b.Target && a.Version != b.Version {
				t.Fatalf("two transfers to one target: %+v and %+v", a, b)
			}
		}
		if running > s.Concurrent {
			t.Fatalf("%d transfers at once", running)
		}
	}
	if len(seen) != len(loads) || len(out) != len(loads) {
		t.Fatalf("%d of %d loads are scheduled", len(seen), len(loads))
	}
}
