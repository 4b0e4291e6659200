package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/quota"
	"geraniumsaddle/io/store"
)

const (
	// allowancesInterval is the interval between writes of this router's allowances, which bounds what its crash
	// strands.
	allowancesInterval = 500 * time.Millisecond
	// maxIntervalFactor bounds how much a large fleet stretches the intervals that requests wait for.
	maxIntervalFactor = 2
	// grantsCheckInterval is how often a router checks whether a ledger is due for a write.
	grantsCheckInterval = 300 * time.Millisecond
	// minWritePause is the minimum pause between two writes.
	minWritePause = 50 * time.Millisecond
	// clockReportWait is how long after its start a router waits for clock readings of others.
	clockReportWait = 8 * time.Second
	// maxWriteShare is the maximum share of the time that writes of a ledger may take. A slow store gets fewer writes,
	// because long writes conflict with those of other routers.
	maxWriteShare = 0.1
	// maxWriteAttempts bounds the attempts of one conditional write. Each conflict means that another router's write
	// succeeded.
	maxWriteAttempts = 5
	// conflictBackoff is the maximum pause after the first conflict. It grows linearly with further conflicts, to
	// spread out the writes of a large fleet.
	conflictBackoff = 30 * time.Millisecond
)

// cachedObject is an object of the store as this router last saw it.
type cachedObject struct {
	object store.Object
	// known is false before the first read and after a write whose effect is unknown.
	known bool
}

// ledgerClient reads and conditionally writes ledgers and other shared objects, and caches what it last saw of them.
type ledgerClient struct {
	s *Server
	// startedAt is when this process started, and startVersion orders it among the processes of its VM.
	startedAt    quota.Moment
	startVersion ident.ObjectVersion
	shards       map[quota.Shard]*shardState
	allowances   cachedObject
	// reportedAt is when the last round of reports after a rewind of the store ended.
	reportedAt time.Time
}

func newLedgerClient(s *Server) *ledgerClient {
	return &ledgerClient{s: s, shards: make(map[quota.Shard]*shardState)}
}

// runPeriodicWrites calls write at an interval and when triggered, once a configuration is known. After a successful
// write it wakes the requests that wait for tokens. write reports whether it called the store.
func (s *Server) runPeriodicWrites(
	ctx context.Context, name string, triggered <-chan struct{}, interval func() time.Duration,
	write func(context.Context) (bool, error),
) {
	failures := 0
	for ctx.Err() == nil {
		if s.table.Load() != nil {
			called, err := write(ctx)
			if ctx.Err() != nil {
				return
			}
			if err != nil {
				s.recordSync(name, err)
				s.storeMonitor.backOff(ctx, failures)
				failures++
				continue
			}
			failures = 0
			if called {
				s.recordSync(name, nil)
				s.tokensChanged.wakeAll()
			}
		}
		if !s.sleep(ctx, time.Duration(float64(minWritePause)*min(s.intervalFactor(), maxIntervalFactor))) {
			return
		}
		wait := interval()
		select {
		case <-ctx.Done():
		case <-triggered:
		case <-s.deps.Clock.After(wait - time.Duration(rand.Int64N(int64(wait/4)))):
		}
	}
}

// recordSync reports the result of a step of the token synchronization to the store monitor and the metrics, and logs a
// failure.
func (s *Server) recordSync(name string, err error) {
	s.storeMonitor.observe(err)
	s.deps.Metrics.countStoreCall(name, err)
	if err != nil {
		s.deps.Log.Warn("prepaid tokens not synchronized with the store", "object", name, "error", err)
	}
}

// sleep waits for a time, and returns false if the context ends first.
func (s *Server) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.deps.Clock.After(d):
		return true
	}
}

// trigger signals a channel with a buffer of one, and does nothing if a signal is pending.
func trigger(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// intervalFactor returns the size of the fleet relative to the one that the intervals are designed for, or 1 if it is
// smaller. Each router of a larger fleet writes less often, because writes conflict and each of them is paid for.
func (s *Server) intervalFactor() float64 {
	const baselineRouters = 16
	return max(float64(s.accounts.RouterCount())/baselineRouters, 1)
}

// readObject reads an object into the cache. An absent object has version 0.
func (lc *ledgerClient) readObject(ctx context.Context, key object.Key, cached *cachedObject) error {
	got, err := lc.s.deps.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		return err
	}
	cached.object, cached.known = got, true
	return nil
}

// writeObject stores an object under the condition that it has not changed since it was last seen. On a conflict the
// cache takes the stored object. If the effect is unknown, the object has to be read again before the next write.
func (lc *ledgerClient) writeObject(ctx context.Context, key object.Key, cached *cachedObject, value []byte) error {
	var got store.Object
	var err error
	if cached.object.Version == 0 {
		got, err = lc.s.deps.Store.Create(ctx, key, value)
	} else {
		got, err = lc.s.deps.Store.Replace(ctx, key, cached.object.Version, value)
	}
	switch {
	case err == nil:
		cached.object = got
	case errors.Is(err, store.ErrConflict) && got.Version != 0:
		cached.object = got
	case !errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrRateLimited):
		cached.known = false
	}
	return err
}

// decodeLedger decodes the object as a ledger, which is empty if the object does not exist.
func (o *cachedObject) decodeLedger() (*quota.Ledger, error) {
	if o.object.Version == 0 {
		return quota.NewLedger(), nil
	}
	return quota.DecodeLedger(o.object.Value)
}
