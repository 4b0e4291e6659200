package edge

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/quota"
	"geraniumsaddle/io/store"
)

// flush is one write of the collected claims, first into the ledgers and then into the batch.
type flush struct {
	w     *claimWriter
	items []*waitingClaim
	// allowances holds the allowances to write for each claim, bounded by what was granted to it.
	allowances []*quota.Allowances

	mu sync.Mutex
	// grants holds the confirmed grants of each claim, and errs the error of the last failed ledger write for it.
	grants []map[ident.OrgID]quota.Grant
	errs   []error
	// newestAllowances holds the newest allowances of all routers. It is loaded when those of a process that has ended
	// are first needed, because many processes often end together.
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

// resultOf returns the answer to the i-th claim. The claim of a router that leaves fails if any of its ledgers was not
// written.
func (f *flush) resultOf(i int, outcome *quota.Outcome) claimResult {
	if f.items[i].claim.Leaves && f.errs[i] != nil {
		return claimResult{err: f.errs[i]}
	}
	return claimResult{outcome: outcome}
}

// writeLedgers writes all ledgers that the claims touch, concurrently.
func (f *flush) writeLedgers(ctx context.Context) {
	accounts := f.w.s.accounts
	var wg sync.WaitGroup
	for _, shard := range accounts.Shards() {
		var claimIndexes []int
		for i, item := range f.items {
			if accounts.ClaimChangesShard(shard, item.claim) {
				claimIndexes = append(claimIndexes, i)
			}
		}
		if len(claimIndexes) == 0 {
			continue
		}
		st := f.w.ledgers.stateOf(shard)
		wg.Go(func() {
			f.w.s.runTask("ledger", func() { f.writeLedger(ctx, shard, st, claimIndexes) })
		})
	}
	wg.Wait()
}

// writeLedger writes the claims with the given indexes into one ledger by a conditional write, and retries it on
// conflicts.
func (f *flush) writeLedger(ctx context.Context, shard quota.Shard, st *shardState, claimIndexes []int) {
	for attempt := range maxWriteAttempts {
		if attempt > 0 && !f.w.s.sleep(ctx, rand.N(time.Duration(attempt)*conflictBackoff)) {
			break
		}
		grants, err := f.tryWriteLedger(ctx, shard, st, claimIndexes)
		f.w.s.deps.Metrics.countStoreCall("ledger", err)
		if errors.Is(err, store.ErrConflict) {
			continue
		}
		f.recordLedgerResult(claimIndexes, grants, err)
		return
	}
	f.recordLedgerResult(claimIndexes, nil, store.ErrConflict)
}

// recordLedgerResult records the grants or the error of a ledger write for the claims in it.
func (f *flush) recordLedgerResult(claimIndexes []int, grants []map[ident.OrgID]quota.Grant, err error) {
	if err != nil {
		f.w.s.recordSync("ledger", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for k, i := range claimIndexes {
		if err != nil {
			f.errs[i] = err
			continue
		}
		for id, g := range grants[k] {
			f.grants[i][id] = g
		}
	}
}

// tryWriteLedger makes one attempt to write claims into a ledger, and returns the grants of each claim.
func (f *flush) tryWriteLedger(ctx context.Context, shard quota.Shard, st *shardState, claimIndexes []int) (
	[]map[ident.OrgID]quota.Grant, error,
) {
	lc := f.w.ledgers
	if !st.known {
		if err := lc.readObject(ctx, ledgerKey(shard), &st.cachedObject); err != nil {
			return nil, err
		}
	}
	ledger, err := st.takeLatest()
	if err != nil {
		return nil, err
	}
	era := lc.ledgerEra(&st.cachedObject)
	if _, recovering, err := f.w.s.rewinds.report(shard, ledger, era); err != nil || recovering {
		st.known = false
		return nil, cmp.Or(err, errRecovering)
	}
	now := f.w.s.deps.VMClock.Now().Uptime
	f.w.s.accounts.ObserveLedger(shard, ledger, now)
	holdersByVM := ledger.HoldersByVM()
	for _, i := range claimIndexes {
		if claim := f.items[i].claim; isSoleHolder(holdersByVM[claim.VM], claim.Router) {
			continue
		}
		if _, err := lc.closePredecessors(ctx, ledger, f.successor(f.items[i]), f.newestAllowancesOf); err != nil {
			return nil, err
		}
	}
	grants := make([]map[ident.OrgID]quota.Grant, len(claimIndexes))
	division := f.w.s.accounts.Divide(ledger, now)
	for k, i := range claimIndexes {
		grants[k], _ = f.w.s.accounts.ServeClaim(shard, division, f.items[i].claim)
	}
	ledger.Stamp(era)
	value := ledger.Encode()
	if err := lc.writeObject(ctx, ledgerKey(shard), &st.cachedObject, value); err != nil {
		return nil, err
	}
	f.w.s.rewinds.remember(shard, ledger, value, era)
	st.cacheLedger(ledger)
	return grants, nil
}

// isSoleHolder reports whether the holders of a VM include no router other than the given one.
func isSoleHolder(holders []ident.RouterID, self ident.RouterID) bool {
	return len(holders) == 0 || len(holders) == 1 && holders[0] == self
}

// successor returns the sender of a claim as the successor of earlier processes of its VM. Its start is converted to
// this VM's uptime and is never earlier than it really was, so that those processes are not taken to have ended too
// early.
func (f *flush) successor(item *waitingClaim) successor {
	claim := item.claim
	age := claim.Allowances.Sent.Uptime - claim.Started.Uptime
	return successor{
		vm: claim.VM, id: claim.Router, startVersion: claim.StartVersion, startedAt: claim.Started,
		clocks:         f.w.s.accounts.ClockUpperBounds(item.receivedAt - age),
		clocksComplete: age >= clockReportWait,
	}
}

// newestAllowancesOf returns the newest stored allowances of a router that has ended, or nil if there are none.
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

// writeBatch writes the allowances of all claims by a conditional write, and retries it on conflicts.
func (f *flush) writeBatch(ctx context.Context) error {
	for i, item := range f.items {
		f.allowances[i] = item.claim.BoundedAllowances(f.grants[i])
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

// tryWriteBatch makes one attempt to write the batch.
func (f *flush) tryWriteBatch(ctx context.Context) error {
	lc, cached := f.w.ledgers, &f.w.batchObject
	if !cached.known {
		if err := lc.readObject(ctx, batchKey, cached); err != nil {
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
	if err := lc.writeObject(ctx, batchKey, cached, batch.Encode()); err != nil {
		return err
	}
	f.w.cachedBatch, f.w.cachedVersion = batch, cached.object.Version
	return nil
}

// decodeBatch returns the stored batch, or an empty one if none is stored.
func decodeBatch(cached *cachedObject) (*quota.Batch, error) {
	if cached.object.Version == 0 {
		return quota.NewBatch(), nil
	}
	return quota.DecodeBatch(cached.object.Value)
}
