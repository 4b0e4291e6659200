package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/quota"
	"geraniumsaddle/io/store"
	"geraniumsaddle/platform"
)

// grantIntervals are the intervals between writes of a ledger by urgency. The longest bounds how stale this router's
// row is for the others.
var grantIntervals = map[quota.Urgency]time.Duration{
	quota.UpToDate:      5 * time.Second,
	quota.StateChanged:  3 * time.Second,
	quota.TokensLow:     time.Second,
	quota.TokensLacking: 300 * time.Millisecond,
}

// ledgerKey returns the key of the ledger of a shard.
func ledgerKey(shard quota.Shard) object.Key {
	return object.Key{Kind: platform.KindLedger, Name: strconv.Itoa(int(shard))}
}

// shardState is what this router caches of the ledger of one shard.
type shardState struct {
	cachedObject
	// predecessorsClosed is set when the ledger as last read had no holder of an earlier process of this VM.
	predecessorsClosed bool
	// writtenAt is when the last write of the ledger ended, and writeDuration how long it took.
	writtenAt     time.Time
	writeDuration time.Duration
	// cachedLedger is the ledger as last written, and cachedVersion its version. It saves decoding the ledger, which
	// takes a writer of a large fleet much of its time.
	cachedLedger  *quota.Ledger
	cachedVersion ident.ObjectVersion
}

// takeLatest returns the latest known ledger for the caller to change, and empties the cache. The cached ledger serves
// if no other router has written since.
func (st *shardState) takeLatest() (*quota.Ledger, error) {
	ledger := st.cachedLedger
	st.cachedLedger = nil
	if ledger != nil && st.cachedVersion == st.object.Version {
		return ledger, nil
	}
	return st.decodeLedger()
}

// cacheLedger keeps a decoded ledger that was just written.
func (st *shardState) cacheLedger(ledger *quota.Ledger) {
	st.cachedLedger, st.cachedVersion = ledger, st.object.Version
}

// stateOf returns the cached state of the ledger of a shard.
func (lc *ledgerClient) stateOf(shard quota.Shard) *shardState {
	st := lc.shards[shard]
	if st == nil {
		st = &shardState{}
		lc.shards[shard] = st
	}
	return st
}

// runLedgerWrites writes this router's rows of the ledgers periodically until the context ends.
func (s *Server) runLedgerWrites(ctx context.Context, lc *ledgerClient) {
	s.runPeriodicWrites(ctx, "ledger", s.grantsNow, func() time.Duration { return grantsCheckInterval }, lc.syncGrants)
}

// syncGrants writes this router's rows of the ledgers that are due, and reports whether it called the store.
func (lc *ledgerClient) syncGrants(ctx context.Context) (called bool, err error) {
	awaiting, err := lc.reportAll(ctx)
	if err != nil {
		return true, err
	}
	for _, shard := range lc.s.accounts.Shards() {
		if slices.Contains(awaiting, shard) || !lc.grantsDue(shard) {
			continue
		}
		lacking := lc.s.accounts.GrantUrgency(shard) == quota.TokensLacking
		if err := lc.writeGrants(ctx, shard); err != nil {
			return true, err
		}
		called = true
		if lacking {
			trigger(lc.s.allowancesNow)
		}
	}
	return called, nil
}

// grantsDue reports whether the ledger of a shard is due for a write by this router.
func (lc *ledgerClient) grantsDue(shard quota.Shard) bool {
	st := lc.stateOf(shard)
	urgency := lc.s.accounts.GrantUrgency(shard)
	if !st.known || !st.predecessorsClosed {
		return true
	}
	minInterval := time.Duration(float64(st.writeDuration) / maxWriteShare)
	interval := grantIntervals[urgency]
	factor := lc.s.intervalFactor()
	if urgency == quota.TokensLacking {
		factor = min(factor, maxIntervalFactor)
	}
	interval = time.Duration(float64(interval) * factor)
	return lc.s.deps.Clock.Since(st.writtenAt) >= max(interval, minInterval)
}

// writeGrants writes this router's rows of a ledger by a conditional write, and retries it on conflicts.
func (lc *ledgerClient) writeGrants(ctx context.Context, shard quota.Shard) error {
	st := lc.stateOf(shard)
	if !st.known {
		if err := lc.readObject(ctx, ledgerKey(shard), &st.cachedObject); err != nil {
			return err
		}
	}
	for attempt := range maxWriteAttempts {
		if attempt > 0 && !lc.s.sleep(ctx, rand.N(time.Duration(attempt)*conflictBackoff)) {
			return ctx.Err()
		}
		if !st.known { // The version was of an earlier era.
			return nil
		}
		ledger, err := st.decodeLedger()
		if err != nil {
			return err
		}
		era := lc.ledgerEra(&st.cachedObject)
		if next, needed, err := lc.planReport(shard, ledger, era); err != nil || needed {
			return lc.writeReport(ctx, shard, st, next, era, err)
		}
		st.predecessorsClosed, err = lc.closePredecessors(ctx, ledger, lc.selfAsSuccessor(), lc.readAllowances)
		if err != nil {
			return err
		}
		lc.s.accounts.PlanGrants(shard, ledger, lc.s.deps.VMClock.Now())
		startedAt := lc.s.deps.Clock.Now()
		ledger.Stamp(era)
		value := ledger.Encode()
		err = lc.writeObject(ctx, ledgerKey(shard), &st.cachedObject, value)
		st.writtenAt = lc.s.deps.Clock.Now()
		st.writeDuration = st.writtenAt.Sub(startedAt)
		if err == nil {
			lc.s.accounts.CommitGrants(shard)
			lc.s.rewinds.remember(shard, ledger, value, era)
			return nil
		}
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	// Other routers' writes succeeded; this router tries again in the next round.
	return nil
}
