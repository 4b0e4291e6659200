package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var testConfig = Config{Window: 10 * time.Second, Ratio: 0.2, Allowance: 54, NoRecentRetries: true}

// TestFleetBound guards against routers that together exceed the fleet's retry bound in some window.
func TestFleetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "routers")
		start := time.Unix(1000, 0)
		now := start
		budgets := make([]*Budget, n)
		for i := range budgets {
			budgets[i] = New(testConfig, now)
		}
		var requests, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, n-1).Draw(t, "router")]
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest(now)
				requests = append(requests, now)
				continue
			}
			if b.Allow(now, n) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			from := end.Add(-testConfig.Window)
			limit := testConfig.Ratio*float64(countWithin(requests, from, end)) + testConfig.Allowance
			if got := countWithin(retries, from, end); float64(got) > limit {
				t.Fatalf("%d retries in a window, limit %.1f", got, limit)
			}
		}
	})
}

// countWithin returns how many of the times are after from and not after to.
func countWithin(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}

// TestRestartHasNoAllowance guards against a router that crashes repeatedly and uses its whole allowance after each
// start.
func TestRestartHasNoAllowance(t *testing.T) {
	is := is.New(t)
	cfg := testConfig
	cfg.NoRecentRetries = false
	now := time.Unix(1000, 0)
	b := New(cfg, now)
	is.True(!b.Allow(now, 1))
	for range 10 {
		b.RecordRequest(now)
	}
	now = now.Add(time.Second)
	is.True(b.Allow(now, 1))
	is.True(b.Allow(now, 1))
	is.True(!b.Allow(now, 1))
	is.True(b.Allow(now.Add(cfg.Window), 1))
}
