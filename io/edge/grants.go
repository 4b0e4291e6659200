package edge

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"strconv"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/quota"
	"geraniumsaddle/io/store"
	"geraniumsaddle/platform"
)

// grantIntervals are the times between two writes of a ledger, by how much they matter. The longest bounds how old the
// others' knowledge of this router is.
var grantIntervals = map[quota.Due]time.Duration{
	quota.Settled: 5 * time.Second,
	quota.Changed: 3 * time.Second,
	quota.Low:     time.Second,
	quota.Lacking: 300 * time.Millisecond,
}

// ledgerKey is the object that divides the prepaid tokens of a shard.
func ledgerKey(n quota.Shard) object.Key {
	return object.Key{Kind: platform.KindLedger, Name: strconv.Itoa(int(n))}
}

// shardState is one ledger as this router knows it.
type shardState struct {
	stored
	// earlierEnded says that the ledger as last read has no holder of an earlier process of this VM.
	earlierEnded bool
	// writtenAt is when the ledger was last written, and slow how long that took.
	writtenAt time.Time
	slow      time.Duration
	// written is the ledger as last written, at a version. Decoding it takes a writer of a large fleet much of its time.
	written   *quota.Ledger
	writtenAs ident.ObjectVersion
}

// latest returns the ledger to change it: the one last written, if nobody has written since.
func (st *shardState) latest() (*quota.Ledger, error) {
	l := st.written
	st.written = nil
	if l != nil && st.writtenAs == st.object.Version {
		return l, nil
	}
	return st.decode()
}

// cache keeps a ledger that was just written.
func (st *shardState) cache(l *quota.Ledger) {
	st.written, st.writtenAs = l, st.object.Version
}

// shard returns the state of a ledger.
func (t *ledgerTask) shard(n quota.Shard) *shardState {
	st := t.shards[n]
	if st == nil {
		st = &shardState{}
		t.shards[n] = st
	}
	return st
}

// keepLedger writes this router's rows of the ledgers until the context ends.
func (s *Server) keepLedger(ctx context.Context, t *ledgerTask) {
	s.keep(ctx, "ledger", s.grantsNow, func() time.Duration { return grantsCheck }, t.syncGrants)
}

// syncGrants writes the ledgers that are due.
func (t *ledgerTask) syncGrants(ctx context.Context) (called bool, err error) {
	for _, n := range t.s.accounts.Shards() {
		if !t.grantsDue(n) {
			continue
		}
		lacking := t.s.accounts.GrantsDue(n) == quota.Lacking
		if err := t.writeGrants(ctx, n); err != nil {
			return true, err
		}
		called = true
		if lacking {
			trigger(t.s.allowancesNow)
		}
	}
	return called, nil
}

func (t *ledgerTask) grantsDue(n quota.Shard) bool {
	st := t.shard(n)
	due := t.s.accounts.GrantsDue(n)
	if !st.known || !st.earlierEnded {
		return true
	}
	least := time.Duration(float64(st.slow) / slowPart)
	interval := grantIntervals[due]
	stretch := t.s.sizeFactor()
	if due == quota.Lacking {
		stretch = min(stretch, maxSizeFactor)
	}
	interval = time.Duration(float64(interval) * stretch)
	return t.s.deps.Clock.Since(st.writtenAt) >= max(interval, least)
}

// writeGrants writes this router's rows of a ledger under the condition that nobody else wrote meanwhile.
func (t *ledgerTask) writeGrants(ctx context.Context, shard quota.Shard) error {
	st := t.shard(shard)
	if !st.known {
		if err := t.read(ctx, ledgerKey(shard), &st.stored); err != nil {
			return err
		}
	}
	for n := range maxConflicts {
		if n > 0 && !t.s.sleep(ctx, rand.N(time.Duration(n)*conflictPause)) {
			return ctx.Err()
		}
		l, err := st.decode()
		if err != nil {
			return err
		}
		if st.earlierEnded, err = t.endRows(ctx, l, t.self(), t.readAllowances); err != nil {
			return err
		}
		t.s.accounts.PlanGrants(shard, l, t.s.deps.VM.Now())
		from := t.s.deps.Clock.Now()
		err = t.write(ctx, ledgerKey(shard), &st.stored, l.Encode())
		st.writtenAt = t.s.deps.Clock.Now()
		st.slow = st.writtenAt.Sub(from)
		if err == nil {
			t.s.accounts.CommitGrants(shard)
			return nil
		}
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	// The others' writes succeed; this router's turn comes with the next one.
	return nil
}

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
		vm: ident.VMID(t.s.cfg.VM), id: t.s.self, start: t.start, started: t.started, clocks: t.s.accounts.Clocks(t.started.Uptime),
		last: t.s.deps.VM.Now().Uptime-t.started.Uptime >= clockWait,
	}
}

// endRows closes the rows of earlier processes of a router's VM, and reports whether the ledger had none. When only clocks
// can tell how long such a process has lived, its rows stay until enough other routers have shown theirs.
func (t *ledgerTask) endRows(ctx context.Context, l *quota.Ledger, c claimant,
	allowancesOf func(context.Context, ident.RouterID) (*quota.Allowances, error)) (none bool, err error) {
	earlier := l.Earlier(c.vm, c.id, c.start)
	for _, id := range earlier {
		if len(l.Holders[id].Rows) == 0 {
			l.End(id, nil, c.started, nil) // it has handed everything back
			continue
		}
		allowances, err := allowancesOf(ctx, id)
		if err != nil {
			return false, err
		}
		if !c.last && allowances != nil && !allowances.Dated(c.vm, c.started, c.clocks) {
			continue
		}
		e := l.End(id, allowances, c.started, c.clocks)
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
	if err != nil || !t.s.large() {
		return own, err
	}
	var o stored
	if err := t.read(ctx, batchKey, &o); err != nil {
		return nil, err
	}
	b, err := decodeBatch(&o)
	if err != nil {
		return nil, err
	}
	return quota.Newer(own, b.Routers[id]), nil
}

// listAllowances returns the newest allowances of all routers.
func (t *ledgerTask) listAllowances(ctx context.Context) (map[ident.RouterID]*quota.Allowances, error) {
	var o stored
	if err := t.read(ctx, batchKey, &o); err != nil {
		return nil, err
	}
	b, err := decodeBatch(&o)
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
