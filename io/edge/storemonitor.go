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
	// retryFirst and retryMost bound the pause after a failed call of the store.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// storeLink knows whether the store can be heard, and logs each change.
type storeMonitor struct {
	clock    clockwork.Clock
	log      *slog.Logger
	onChange func(away bool, now time.Time)

	mu               sync.Mutex
	unreachable      bool
	unreachableSince time.Time
}

func newStoreMonitor(clock clockwork.Clock, log *slog.Logger, onChange func(bool, time.Time)) *storeMonitor {
	return &storeMonitor{clock: clock, log: log, onChange: onChange}
}

// result takes the result of a call. An answer that refuses the call on its merits shows that the store is there.
func (l *storeMonitor) observe(err error) {
	unreachable := errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknown) || errors.Is(err, store.ErrLimited)
	if errors.Is(err, context.Canceled) {
		return
	}
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if unreachable == l.unreachable {
		return
	}
	l.unreachable = unreachable
	l.onChange(unreachable, now)
	if unreachable {
		l.unreachableSince = now
		l.log.Warn("store lost", "error", err)
		return
	}
	l.log.Info("store regained", "away_ms", now.Sub(l.unreachableSince).Milliseconds())
}

// isAway reports whether the store cannot be heard.
func (l *storeMonitor) isUnreachable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unreachable
}

// pause waits after n failed calls in a row, and reports false at the end of the context.
func (l *storeMonitor) backOff(ctx context.Context, failures int) bool {
	d := min(minBackoff<<min(failures, 5), maxBackoff)
	select {
	case <-ctx.Done():
		return false
	case <-l.clock.After(d):
		return true
	}
}
