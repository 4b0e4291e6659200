package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/quota"
	"geraniumsaddle/io/store"
)

// flush is one write of claims.
type flush struct {
	w     *claimWriter
	items []*waitingClaim
	// bounded are the allowances that are written for each claim.
	allowances []*quota.Allowances

	mu sync.Mutex
	// grants holds what is confirmed for each claim, and errs what failed for it in a ledger.
	grants []map[ident.OrgID]quota.Grant
	errs   []error
	// ended holds the allowances of all routers once those of one that has ended are needed. Many end together.
	newestAllowances map[ident.RouterID]*quota.Allowances
}

func newFlush(w *claimWriter, items []*waitingClaim) *flush {
	f := &flush{w: w, items: items, allowances: make([]*quota.Allowances, len(items)),
		grants: make([]map[ident.OrgID]quota.Grant, len(items)), errs: make([]error, len(items))}
	for i := range f.grants {
		f.grants[i] = make(map[ident.OrgID]quota.Grant)
	}
	return f
}

// result returns the answer to a claim. A claim to leave counts only whole.
func (f *flush) result(i int, outcome *quota.Outcome) claimResult {
	if f.items[i].claim.Leaves && f.errs[i] != nil {
		return claimResult{err: f.errs[i]}
	}
	return claimResult{outcome: outcome}
}

// writeLedgers writes the ledgers that claims touch, all at once.
func (f *flush) writeLedgers(ctx context.Context) {
	accounts := f.w.s.accounts
	var wg sync.WaitGroup
	for _, shard := range accounts.Shards() {
		var touching []int
		for i, item := range f.items {
			if accounts.Touches(shard, item.claim) {
				touching = append(touching, i)
			}
		}
		if len(touching) == 0 {
			continue
		}
		st := f.w.ledgers.shard(shard)
		wg.Go(func() { f.writeLedger(ctx, shard, st, touching) })
	}
	wg.Wait()
}

// writeLedger writes claims into one ledger under the condition that nobody else wrote meanwhile.
func (f *flush) writeLedger(ctx context.Context, shard quota.Shard, st *shardState, touching []int) {
	for attempt := range maxWriteAttempts {
		if attempt > 0 && !f.w.s.sleep(ctx, rand.N(time.Duration(attempt)*conflictBackoff)) {
			break
		}
		grants, err := f.tryWriteLedger(ctx, shard, st, touching)
		f.w.s.deps.Metrics.storeCall("ledger", err)
		if errors.Is(err, store.ErrConflict) {
			continue
		}
		f.recordLedgerResult(touching, grants, err)
		return
	}
	f.recordLedgerResult(touching, nil, store.ErrConflict)
}

func (f *flush) recordLedgerResult(touching []int, grants []map[ident.OrgID]quota.Grant, err error) {
	if err != nil {
		f.w.s.recordWrite("ledger", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for k, i := range touching {
		if err != nil {
			f.errs[i] = err
			continue
		}
		for id, g := range grants[k] {
			f.grants[i][id] = g
		}
	}
}

func (f *flush) tryWriteLedger(ctx context.Context, shard quota.Shard, st *shardState, touching []int) ([]map[ident.OrgID]quota.Grant, error) {
	lc := f.w.ledgers
	if !st.known {
		if err := lc.read(ctx, ledgerKey(shard), &st.cachedObject); err != nil {
			return nil, err
		}
	}
	ledger, err := st.takeLatest()
	if err != nil {
		return nil, err
	}
	now := f.w.s.deps.VM.Now().Uptime
	f.w.s.accounts.Observe(shard, ledger, now)
	holdersByVM := ledger.PerVM()
	for _, i := range touching {
		if claim := f.items[i].claim; isSoleHolder(holdersByVM[claim.VM], claim.Router) {
			continue
		}
		if _, err := lc.closePredecessors(ctx, ledger, f.successor(f.items[i]), f.newestAllowancesOf); err != nil {
			return nil, err
		}
	}
	grants := make([]map[ident.OrgID]quota.Grant, len(touching))
	division := f.w.s.accounts.Divide(ledger, now)
	for k, i := range touching {
		grants[k], _ = f.w.s.accounts.Serve(shard, division, f.items[i].claim)
	}
	if err := lc.write(ctx, ledgerKey(shard), &st.cachedObject, ledger.Encode()); err != nil {
		return nil, err
	}
	st.cache(ledger)
	return grants, nil
}

// onlySelf reports whether a router is the only holder of its VM, or has none.
func isSoleHolder(holders []ident.RouterID, self ident.RouterID) bool {
	return len(holders) == 0 || len(holders) == 1 && holders[0] == self
}

// claimant is the sender of a claim as one whose earlier processes have ended. Its start is dated by this VM's uptime: no
// earlier than it was, so that those processes count as having lived long enough.
func (f *flush) successor(item *waitingClaim) successor {
	claim := item.claim
	age := claim.Allowances.Sent.Uptime - claim.Started.Uptime
	return successor{
		vm: claim.VM, id: claim.Router, start: claim.Start, started: claim.Started, clocks: f.w.s.accounts.ClockUpperBounds(item.receivedAt - age),
		clocksComplete: age >= clockReportWait,
	}
}

// allowancesOf returns the allowances of a router that has ended, or nil.
func (f *flush) newestAllowancesOf(ctx context.Context, id ident.RouterID) (*quota.Allowances, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.newestAllowances == nil {
		newest, err := f.w.ledgers.listAllowances(ctx)
		if err != nil {
			return nil, err
		}
		f.newestAllowances = newest
	}
	return f.newestAllowances[id], nil
}

// writeBatch writes the allowances of all claims under the condition that nobody else wrote meanwhile.
func (f *flush) writeBatch(ctx context.Context) error {
	for i, item := range f.items {
		f.allowances[i] = item.claim.Bounded(f.grants[i])
	}
	for attempt := range maxWriteAttempts {
		if attempt > 0 && !f.w.s.sleep(ctx, rand.N(time.Duration(attempt)*conflictBackoff)) {
			break
		}
		err := f.tryWriteBatch(ctx)
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return store.ErrConflict
}

func (f *flush) tryWriteBatch(ctx context.Context) error {
	lc, cached := f.w.ledgers, &f.w.batchObject
	if !cached.known {
		if err := lc.read(ctx, batchKey, cached); err != nil {
			return err
		}
	}
	batch := f.w.cachedBatch
	f.w.cachedBatch = nil
	if batch == nil || f.w.cachedVersion != cached.object.Version {
		var err error
		if batch, err = decodeBatch(cached); err != nil {
			return err
		}
	}
	for i, item := range f.items {
		if claim := item.claim; claim.Leaves {
			batch.Drop(claim.Router)
		} else {
			batch.Put(claim.Router, f.allowances[i])
		}
	}
	if err := lc.write(ctx, batchKey, cached, batch.Encode()); err != nil {
		return err
	}
	f.w.cachedBatch, f.w.cachedVersion = batch, cached.object.Version
	return nil
}

func decodeBatch(cached *cachedObject) (*quota.Batch, error) {
	if cached.object.Version == 0 {
		return quota.NewBatch(), nil
	}
	return quota.DecodeBatch(cached.object.Value)
}
