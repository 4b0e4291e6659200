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
	// allowancesInterval is the time between two writes of this router's allowances, which bounds what its crash strands.
	allowancesInterval = 500 * time.Millisecond
	// maxSizeFactor bounds how much a large fleet stretches the times for which requests wait.
	maxSizeFactor = 2
	// grantsCheck is the time between two looks at whether a ledger has to be written.
	grantsCheck = 300 * time.Millisecond
	// syncPause is the least time between two writes.
	syncPause = 50 * time.Millisecond
	// clockWait is the time that other routers have to show their clocks after a start.
	clockWait = 8 * time.Second
	// slowPart is the part of the time that writes of the ledger may take. A slow store gets fewer of them, because they
	// conflict with those of the other routers.
	slowPart = 0.1
	// maxConflicts bounds the attempts of one write. Each conflict means that another router's write succeeded.
	maxConflicts = 5
	// conflictPause is the longest pause after the first conflict. It grows with each further one, so that the writes of
	// a large fleet come apart.
	conflictPause = 30 * time.Millisecond
)

// stored is an object as this router has last seen it.
type stored struct {
	object store.Object
	known  bool
}

// ledgerTask writes this router's part of the ledgers.
type ledgerTask struct {
	s          *Server
	started    quota.Moment
	start      ident.ObjectVersion
	shards     map[quota.Shard]*shardState
	allowances stored
}

func newLedgerTask(s *Server) *ledgerTask {
	return &ledgerTask{s: s, shards: make(map[quota.Shard]*shardState)}
}

// keep runs a write at an interval and when it is triggered, and wakes the requests that wait for tokens. The write
// reports whether it called the store.
func (s *Server) keep(ctx context.Context, name string, now <-chan struct{}, interval func() time.Duration,
	write func(context.Context) (bool, error)) {
	failures := 0
	for ctx.Err() == nil {
		if s.table.Load() != nil {
			called, err := write(ctx)
			if ctx.Err() != nil {
				return
			}
			if err != nil {
				s.wrote(name, err)
				s.link.pause(ctx, failures)
				failures++
				continue
			}
			failures = 0
			if called {
				s.wrote(name, nil)
				s.freed.send()
			}
		}
		if !s.sleep(ctx, time.Duration(float64(syncPause)*min(s.sizeFactor(), maxSizeFactor))) {
			return
		}
		wait := interval()
		select {
		case <-ctx.Done():
		case <-now:
		case <-s.deps.Clock.After(wait - time.Duration(rand.Int64N(int64(wait/4)))):
		}
	}
}

// wrote notes the result of a write.
func (s *Server) wrote(name string, err error) {
	s.link.result(err)
	s.deps.Metrics.storeCall(name, err)
	if err != nil {
		s.deps.Log.Warn("tokens not written", "object", name, "error", err)
	}
}

func (s *Server) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.deps.Clock.After(d):
		return true
	}
}

// trigger makes a write come at once.
func trigger(now chan<- struct{}) {
	select {
	case now <- struct{}{}:
	default:
	}
}

// sizeFactor is the number of times that the fleet is larger than the one that the intervals are made for, at least 1. A
// larger fleet writes less often, because its writes conflict and each of them is paid for.
func (s *Server) sizeFactor() float64 {
	const usual = 16 // routers
	return max(float64(s.accounts.RouterCount())/usual, 1)
}

func (t *ledgerTask) read(ctx context.Context, key object.Key, o *stored) error {
	got, err := t.s.deps.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		return err
	}
	o.object, o.known = got, true
	return nil
}

// write writes an object under the condition that it is as last seen. After an unknown result it is read again before
// the next write.
func (t *ledgerTask) write(ctx context.Context, key object.Key, o *stored, value []byte) error {
	var got store.Object
	var err error
	if o.object.Version == 0 {
		got, err = t.s.deps.Store.Create(ctx, key, value)
	} else {
		got, err = t.s.deps.Store.Replace(ctx, key, o.object.Version, value)
	}
	switch {
	case err == nil:
		o.object = got
	case errors.Is(err, store.ErrConflict) && got.Version != 0:
		o.object = got
	case !errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrRateLimited):
		o.known = false
	}
	return err
}

func (st *stored) decode() (*quota.Ledger, error) {
	if st.object.Version == 0 {
		return quota.NewLedger(), nil
	}
	return quota.Decode(st.object.Value)
}
