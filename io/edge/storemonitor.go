package edge

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"geraniumsaddle/io/store"
)

const (
	// minBackoff and maxBackoff limit the delay after a failed call of the store.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// storeMonitor tracks whether the store is reachable, and logs each change and passes it to onChange.
type storeMonitor struct {
	clock    clockwork.Clock
	log      *slog.Logger
	onChange func(unreachable bool, now time.Time)

	mu               sync.Mutex
	unreachable      bool
	unreachableSince time.Time
}

func newStoreMonitor(clock clockwork.Clock, log *slog.Logger, onChange func(bool, time.Time)) *storeMonitor {
	return &storeMonitor{clock: clock, log: log, onChange: onChange}
}

// observe records the result of a call. An answer that refuses the call for another reason than a rate limit shows that
// the store is reachable. A canceled call shows nothing.
func (m *storeMonitor) observe(err error) {
	unreachable := meansUnreachable(err)
	if errors.Is(err, context.Canceled) {
		return
	}
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if unreachable == m.unreachable {
		return
	}
	m.unreachable = unreachable
	m.onChange(unreachable, now)
	if unreachable {
		m.unreachableSince = now
		m.log.Warn("store is unreachable", "error", err)
		return
	}
	m.log.Info("store is reachable again", "away_ms", now.Sub(m.unreachableSince).Milliseconds())
}

// meansUnreachable reports whether a call that ended with the error got no answer of the store, or only that it is busy.
func meansUnreachable(err error) bool {
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknown) || errors.Is(err, store.ErrRateLimited)
}

// isUnreachable reports whether the last conclusive call showed that the store is unreachable.
func (m *storeMonitor) isUnreachable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unreachable
}

// backOff waits after consecutive failures and returns false if the context ends. The delay doubles with each failure
// up to maxBackoff.
func (m *storeMonitor) backOff(ctx context.Context, failures int) bool {
	d := min(minBackoff<<min(failures, 5), maxBackoff)
	select {
	case <-ctx.Done():
		return false
	case <-m.clock.After(d):
		return true
	}
}
