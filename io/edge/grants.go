package edge

import (
	"context"
	"errors"
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
var grantIntervals = map[quota.Urgency]time.Duration{
	quota.UpToDate: 5 * time.Second,
	quota.Changed:  3 * time.Second,
	quota.Low:      time.Second,
	quota.Lacking:  300 * time.Millisecond,
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
		lacking := t.s.accounts.GrantUrgency(n) == quota.Lacking
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
	due := t.s.accounts.GrantUrgency(n)
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
