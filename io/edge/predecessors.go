package edge

import (
	"context"
	"errors"
	"maps"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/quota"
	"geraniumsaddle/io/store"
	"geraniumsaddle/platform"
)

// successor is a router process whose predecessors, the earlier processes of the same VM, have ended.
type successor struct {
	vm ident.VMID
	id ident.RouterID
	// startVersion orders the process among those of its VM.
	startVersion ident.ObjectVersion
	// startedAt is when the process started by the clocks of its own VM, and clocks holds the latest times that the
	// clocks of other VMs can have shown then.
	startedAt quota.Moment
	clocks    []quota.ClockReading
	// clocksComplete says that no more clock readings are awaited.
	clocksComplete bool
}

// selfAsSuccessor returns this router as a successor.
func (lc *ledgerClient) selfAsSuccessor() successor {
	return successor{
		vm: ident.VMID(lc.s.cfg.VM), id: lc.s.self, startVersion: lc.startVersion, startedAt: lc.startedAt,
		clocks:         lc.s.accounts.ClockUpperBounds(lc.startedAt.Uptime),
		clocksComplete: lc.s.deps.VMClock.Now().Uptime-lc.startedAt.Uptime >= clockReportWait,
	}
}

// closePredecessors closes the rows that earlier processes of a router's VM hold in a ledger, and reports whether there
// were no such processes. When the lifetime of such a process can only be derived from clocks, its rows stay open until
// enough other VMs have reported theirs or clockReportWait is over.
func (lc *ledgerClient) closePredecessors(ctx context.Context, ledger *quota.Ledger, succ successor,
	allowancesOf func(context.Context, ident.RouterID) (*quota.Allowances, error),
) (none bool, err error) {
	predecessors := ledger.Predecessors(succ.vm, succ.id, succ.startVersion)
	for _, id := range predecessors {
		if len(ledger.Holders[id].Rows) == 0 {
			ledger.CloseHolder(id, nil, succ.startedAt, nil) // it has returned its unspent tokens
			continue
		}
		if departure, ok := lc.s.writer.departureOf(id); ok {
			ledger.CloseDeparted(departure)
			lc.s.deps.Log.Info("closing the ledger rows of an earlier process of the VM by its final report", "router", id)
			continue
		}
		allowances, err := allowancesOf(ctx, id)
		if err != nil {
			return false, err
		}
		if !succ.clocksComplete && allowances != nil && !allowances.AgeKnown(succ.vm, succ.startedAt, succ.clocks) {
			continue
		}
		closure := ledger.CloseHolder(id, allowances, succ.startedAt, succ.clocks)
		lc.s.deps.Log.Info("closing the ledger rows of an earlier process of the VM", "router", id,
			"age_ms", closure.Age.Milliseconds(), "age_known", closure.AgeKnown, "clocks", len(succ.clocks),
			"tokens_spent", closure.Spent, "tokens_used", closure.Used, "tokens_returned", closure.Returned)
	}
	return len(predecessors) == 0, nil
}

// readAllowances returns the newest allowances of a router, or nil if they are absent or cannot be decoded. In a large
// fleet they may have been written by the router itself or by a writer.
func (lc *ledgerClient) readAllowances(ctx context.Context, id ident.RouterID) (*quota.Allowances, error) {
	direct, err := lc.readDirectAllowances(ctx, id)
	if err != nil || !lc.s.isLargeFleet() {
		return direct, err
	}
	batch, err := lc.readBatch(ctx)
	if err != nil {
		return nil, err
	}
	return quota.Newer(direct, batch.Routers[id]), nil
}

// listAllowances returns the newest allowances of all routers.
func (lc *ledgerClient) listAllowances(ctx context.Context) (map[ident.RouterID]*quota.Allowances, error) {
	batch, err := lc.readBatch(ctx)
	if err != nil {
		return nil, err
	}
	all := make(map[ident.RouterID]*quota.Allowances, len(batch.Routers))
	maps.Copy(all, batch.Routers)
	for after := ""; ; {
		page, err := lc.s.deps.Store.List(ctx, platform.KindAllowance, after)
		if err != nil {
			return nil, err
		}
		for _, o := range page.Objects {
			id := ident.RouterID(o.Key.Name)
			if direct := lc.decodeAllowances(id, o); direct != nil {
				all[id] = quota.Newer(all[id], direct)
			}
		}
		if after = page.Next; after == "" {
			return all, nil
		}
	}
}

// readDirectAllowances returns the allowances that a router has written itself, or nil.
func (lc *ledgerClient) readDirectAllowances(ctx context.Context, id ident.RouterID) (*quota.Allowances, error) {
	o, err := lc.s.deps.Store.Get(ctx, allowancesKey(id))
	if errors.Is(err, store.ErrAbsent) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return lc.decodeAllowances(id, o), nil
}

// decodeAllowances returns nil for allowances that cannot be decoded.
func (lc *ledgerClient) decodeAllowances(id ident.RouterID, o store.Object) *quota.Allowances {
	a, err := quota.DecodeAllowances(o.Value)
	if err != nil {
		lc.s.deps.Log.Warn("allowances of an earlier process cannot be decoded; its whole grant counts as spent",
			"router", id, "error", err)
		return nil
	}
	return a
}

// readBatch reads the batch of allowances that writers have written.
func (lc *ledgerClient) readBatch(ctx context.Context) (*quota.Batch, error) {
	var cached cachedObject
	if err := lc.readObject(ctx, batchKey, &cached); err != nil {
		return nil, err
	}
	return decodeBatch(&cached)
}
