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
	w     *writer
	items []*waitingClaim
	// bounded are the allowances that are written for each claim.
	bounded []*quota.Allowances

	mu sync.Mutex
	// grants holds what is confirmed for each claim, and errs what failed for it in a ledger.
	grants []map[ident.OrgID]quota.Grant
	errs   []error
	// ended holds the allowances of all routers once those of one that has ended are needed. Many end together.
	ended map[ident.RouterID]*quota.Allowances
}

func newFlush(w *writer, items []*waitingClaim) *flush {
	f := &flush{w: w, items: items, bounded: make([]*quota.Allowances, len(items)),
		grants: make([]map[ident.OrgID]quota.Grant, len(items)), errs: make([]error, len(items))}
	for i := range f.grants {
		f.grants[i] = make(map[ident.OrgID]quota.Grant)
	}
	return f
}

// result returns the answer to a claim. A claim to leave counts only whole.
func (f *flush) result(i int, out *quota.Outcome) claimResult {
	if f.items[i].claim.Leaves && f.errs[i] != nil {
		return claimResult{err: f.errs[i]}
	}
	return claimResult{out: out}
}

// writeLedgers writes the ledgers that claims touch, all at once.
func (f *flush) writeLedgers(ctx context.Context) {
	accounts := f.w.s.accounts
	var wg sync.WaitGroup
	for _, n := range accounts.Shards() {
		var touching []int
		for i, item := range f.items {
			if accounts.Touches(n, item.claim) {
				touching = append(touching, i)
			}
		}
		if len(touching) == 0 {
			continue
		}
		st := f.w.tasks.shard(n)
		wg.Go(func() { f.writeLedger(ctx, n, st, touching) })
	}
	wg.Wait()
}

// writeLedger writes claims into one ledger under the condition that nobody else wrote meanwhile.
func (f *flush) writeLedger(ctx context.Context, n quota.Shard, st *shardState, touching []int) {
	for attempt := range maxConflicts {
		if attempt > 0 && !f.w.s.sleep(ctx, rand.N(time.Duration(attempt)*conflictPause)) {
			break
		}
		grants, err := f.tryLedger(ctx, n, st, touching)
		f.w.s.deps.Metrics.storeCall("ledger", err)
		if errors.Is(err, store.ErrConflict) {
			continue
		}
		f.settle(touching, grants, err)
		return
	}
	f.settle(touching, nil, store.ErrConflict)
}

func (f *flush) settle(touching []int, grants []map[ident.OrgID]quota.Grant, err error) {
	if err != nil {
		f.w.s.wrote("ledger", err)
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

func (f *flush) tryLedger(ctx context.Context, n quota.Shard, st *shardState, touching []int) ([]map[ident.OrgID]quota.Grant, error) {
	t := f.w.tasks
	if !st.known {
		if err := t.read(ctx, ledgerKey(n), &st.stored); err != nil {
			return nil, err
		}
	}
	l, err := st.latest()
	if err != nil {
		return nil, err
	}
	now := f.w.s.deps.VM.Now().Uptime
	f.w.s.accounts.Observe(n, l, now)
	vms := l.PerVM()
	for _, i := range touching {
		if c := f.items[i].claim; onlySelf(vms[c.VM], c.Router) {
			continue
		}
		if _, err := t.endRows(ctx, l, f.claimant(f.items[i]), f.allowancesOf); err != nil {
			return nil, err
		}
	}
	grants := make([]map[ident.OrgID]quota.Grant, len(touching))
	d := f.w.s.accounts.Divide(l, now)
	for k, i := range touching {
		grants[k], _ = f.w.s.accounts.Serve(n, d, f.items[i].claim)
	}
	if err := t.write(ctx, ledgerKey(n), &st.stored, l.Encode()); err != nil {
		return nil, err
	}
	st.cache(l)
	return grants, nil
}

// onlySelf reports whether a router is the only holder of its VM, or has none.
func onlySelf(holders []ident.RouterID, self ident.RouterID) bool {
	return len(holders) == 0 || len(holders) == 1 && holders[0] == self
}

// claimant is the sender of a claim as one whose earlier processes have ended. Its start is dated by this VM's uptime: no
// earlier than it was, so that those processes count as having lived long enough.
func (f *flush) claimant(item *waitingClaim) claimant {
	c := item.claim
	age := c.Allowances.Sent.Uptime - c.Started.Uptime
	return claimant{
		vm: c.VM, id: c.Router, start: c.Start, started: c.Started, clocks: f.w.s.accounts.ClockUpperBounds(item.came - age),
		last: age >= clockWait,
	}
}

// allowancesOf returns the allowances of a router that has ended, or nil.
func (f *flush) allowancesOf(ctx context.Context, id ident.RouterID) (*quota.Allowances, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended == nil {
		ended, err := f.w.tasks.listAllowances(ctx)
		if err != nil {
			return nil, err
		}
		f.ended = ended
	}
	return f.ended[id], nil
}

// writeBatch writes the allowances of all claims under the condition that nobody else wrote meanwhile.
func (f *flush) writeBatch(ctx context.Context) error {
	for i, item := range f.items {
		f.bounded[i] = item.claim.Bounded(f.grants[i])
	}
	for attempt := range maxConflicts {
		if attempt > 0 && !f.w.s.sleep(ctx, rand.N(time.Duration(attempt)*conflictPause)) {
			break
		}
		err := f.tryBatch(ctx)
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return store.ErrConflict
}

func (f *flush) tryBatch(ctx context.Context) error {
	t, o := f.w.tasks, &f.w.batch
	if !o.known {
		if err := t.read(ctx, batchKey, o); err != nil {
			return err
		}
	}
	b := f.w.written
	f.w.written = nil
	if b == nil || f.w.writtenAs != o.object.Version {
		var err error
		if b, err = decodeBatch(o); err != nil {
			return err
		}
	}
	for i, item := range f.items {
		if c := item.claim; c.Leaves {
			b.Drop(c.Router)
		} else {
			b.Put(c.Router, f.bounded[i])
		}
	}
	if err := t.write(ctx, batchKey, o, b.Encode()); err != nil {
		return err
	}
	f.w.written, f.w.writtenAs = b, o.object.Version
	return nil
}

func decodeBatch(o *stored) (*quota.Batch, error) {
	if o.object.Version == 0 {
		return quota.NewBatch(), nil
	}
	return quota.DecodeBatch(o.object.Value)
}
