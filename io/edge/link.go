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
	retryFirst = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
)

// storeLink knows whether the store can be heard, and logs each change.
type storeLink struct {
	clock   clockwork.Clock
	log     *slog.Logger
	changed func(away bool, now time.Time)

	mu    sync.Mutex
	away  bool
	since time.Time
}

func newStoreLink(clock clockwork.Clock, log *slog.Logger, changed func(bool, time.Time)) *storeLink {
	return &storeLink{clock: clock, log: log, changed: changed}
}

// result takes the result of a call. An answer that refuses the call on its merits shows that the store is there.
func (l *storeLink) result(err error) {
	away := errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknown) || errors.Is(err, store.ErrRateLimited)
	if errors.Is(err, context.Canceled) {
		return
	}
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if away == l.away {
		return
	}
	l.away = away
	l.changed(away, now)
	if away {
		l.since = now
		l.log.Warn("store lost", "error", err)
		return
	}
	l.log.Info("store regained", "away_ms", now.Sub(l.since).Milliseconds())
}

// isAway reports whether the store cannot be heard.
func (l *storeLink) isAway() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.away
}

// pause waits after n failed calls in a row, and reports false at the end of the context.
func (l *storeLink) pause(ctx context.Context, n int) bool {
	d := min(retryFirst<<min(n, 5), retryMost)
	select {
	case <-ctx.Done():
		return false
	case <-l.clock.After(d):
		return true
	}
}
