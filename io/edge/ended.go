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

// claimant is a router whose earlier processes on the same VM have ended.
type claimant struct {
	vm ident.VMID
	id ident.RouterID
	// start orders it among the processes of its VM.
	start ident.ObjectVersion
	// started is when it started, by its own VM, and clocks what other VMs showed then at most.
	started quota.Moment
	clocks  []quota.ClockReading
	// last says that no more clocks will show.
	last bool
}

// self is this router.
func (t *ledgerTask) self() claimant {
	return claimant{
		vm: ident.VMID(t.s.cfg.VM), id: t.s.self, start: t.start, started: t.started, clocks: t.s.accounts.ClockUpperBounds(t.started.Uptime),
		last: t.s.deps.VM.Now().Uptime-t.started.Uptime >= clockWait,
	}
}

// endRows closes the rows of earlier processes of a router's VM, and reports whether the ledger had none. When only clocks
// can tell how long such a process has lived, its rows stay until enough other routers have shown theirs.
func (t *ledgerTask) endRows(ctx context.Context, l *quota.Ledger, c claimant,
	allowancesOf func(context.Context, ident.RouterID) (*quota.Allowances, error)) (none bool, err error) {
	earlier := l.Predecessors(c.vm, c.id, c.start)
	for _, id := range earlier {
		if len(l.Holders[id].Rows) == 0 {
			l.CloseHolder(id, nil, c.started, nil) // it has handed everything back
			continue
		}
		allowances, err := allowancesOf(ctx, id)
		if err != nil {
			return false, err
		}
		if !c.last && allowances != nil && !allowances.AgeKnown(c.vm, c.started, c.clocks) {
			continue
		}
		e := l.CloseHolder(id, allowances, c.started, c.clocks)
		t.s.deps.Log.Info("ledger rows of an earlier process close", "router", id, "age_ms", e.Age.Milliseconds(),
			"age_known", e.Known, "clocks", len(c.clocks), "tokens_spent", e.Spent, "tokens_used", e.Used,
			"tokens_returned", e.Returned)
	}
	return len(earlier) == 0, nil
}

// readAllowances returns the newest allowances of a router, which it or a writer has written, or nil if they are absent
// or cannot be read.
func (t *ledgerTask) readAllowances(ctx context.Context, id ident.RouterID) (*quota.Allowances, error) {
	own, err := t.ownAllowances(ctx, id)
	if err != nil || !t.s.isLargeFleet() {
		return own, err
	}
	b, err := t.readBatch(ctx)
	if err != nil {
		return nil, err
	}
	return quota.Newer(own, b.Routers[id]), nil
}

// listAllowances returns the newest allowances of all routers.
func (t *ledgerTask) listAllowances(ctx context.Context) (map[ident.RouterID]*quota.Allowances, error) {
	b, err := t.readBatch(ctx)
	if err != nil {
		return nil, err
	}
	all := make(map[ident.RouterID]*quota.Allowances, len(b.Routers))
	maps.Copy(all, b.Routers)
	for after := ""; ; {
		p, err := t.s.deps.Store.List(ctx, platform.KindAllowance, after)
		if err != nil {
			return nil, err
		}
		for _, o := range p.Objects {
			id := ident.RouterID(o.Key.Name)
			if own := t.decodeAllowances(id, o); own != nil {
				all[id] = quota.Newer(all[id], own)
			}
		}
		if after = p.Next; after == "" {
			return all, nil
		}
	}
}

func (t *ledgerTask) ownAllowances(ctx context.Context, id ident.RouterID) (*quota.Allowances, error) {
	o, err := t.s.deps.Store.Get(ctx, allowancesKey(id))
	if errors.Is(err, store.ErrAbsent) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return t.decodeAllowances(id, o), nil
}

// decodeAllowances returns nil for allowances that cannot be read.
func (t *ledgerTask) decodeAllowances(id ident.RouterID, o store.Object) *quota.Allowances {
	a, err := quota.DecodeAllowances(o.Value)
	if err != nil {
		t.s.deps.Log.Warn("allowances of an earlier process cannot be read; its whole grant counts as spent", "router", id,
			"error", err)
		return nil
	}
	return a
}

// readBatch returns the allowances that writers have written.
func (t *ledgerTask) readBatch(ctx context.Context) (*quota.Batch, error) {
	var o stored
	if err := t.read(ctx, batchKey, &o); err != nil {
		return nil, err
	}
	return decodeBatch(&o)
}
