package node

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/store"
)

const (
	// flushInterval is the longest time for which settlements remain unwritten while reports arrive.
	flushInterval = 5 * time.Second
	// maxWriteAttempts bounds the conditional updates for one batch.
	maxWriteAttempts = 8
	writeTimeout     = 3 * time.Second
)

// shardWriters applies the reports of this and other routers to the shards on the platform. Two routers may write the
// same shard; conditional updates make that safe. It is safe for concurrent use.
type shardWriters struct {
	n     *Node
	mu    sync.Mutex
	byKey map[object.Key]*shardWriter
}

// shardWriter batches the reports that arrive during a write for the next write.
type shardWriter struct {
	key       object.Key
	value     escrow.Shard
	version   ident.ObjectVersion
	cached    bool
	running   bool
	flushedAt time.Time
	queue     []submission
	// deferred holds the latest reports whose settlements and transfers wait for the next flush. Without them, a flush
	// would write only the reports of its own batch, and routers that report in a fixed order would always miss it.
	deferred map[deferredKey]escrow.Report
}

type deferredKey struct {
	entry  escrow.EntryID
	holder escrow.HolderID
}

type submission struct {
	reports []escrow.Report
	reply   chan writeResult
}

type writeResult struct {
	shard   escrow.Shard
	version ident.ObjectVersion
	err     error
}

func newShardWriters(n *Node) *shardWriters {
	return &shardWriters{n: n, byKey: make(map[object.Key]*shardWriter)}
}

// writer returns the writer of a shard and creates it if there is none. The caller must hold w.mu.
func (w *shardWriters) writer(k object.Key) *shardWriter {
	s := w.byKey[k]
	if s == nil {
		s = &shardWriter{key: k, flushedAt: w.n.clock.Now(), deferred: make(map[deferredKey]escrow.Report)}
		w.byKey[k] = s
	}
	return s
}

// cached returns the newest known value of a shard. The caller must not modify it.
func (w *shardWriters) cached(k object.Key) (escrow.Shard, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.byKey[k]
	if s == nil || !s.cached {
		return escrow.Shard{}, false
	}
	return s.value, true
}

// observe caches a shard that a watch, a read or a write has confirmed, unless the cached one is at least as new.
func (w *shardWriters) observe(k object.Key, value escrow.Shard, version ident.ObjectVersion) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.writer(k)
	if !s.cached || version > s.version {
		s.value, s.version, s.cached = value, version, true
	}
}

// invalidate makes the next access read the shard from the platform.
func (w *shardWriters) invalidate(k object.Key) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writer(k).cached = false
}

// submit applies reports to a shard and returns the confirmed value.
func (w *shardWriters) submit(ctx context.Context, k object.Key, reports []escrow.Report) (escrow.Shard, ident.ObjectVersion, error) {
	reply := make(chan writeResult, 1)
	w.mu.Lock()
	s := w.writer(k)
	s.queue = append(s.queue, submission{reports, reply})
	if !s.running {
		s.running = true
		w.n.spawn(func(ctx context.Context) { w.writeQueued(ctx, s) })
	}
	w.mu.Unlock()
	select {
	case r := <-reply:
		return r.shard, r.version, r.err
	case <-ctx.Done():
		return escrow.Shard{}, 0, ctx.Err()
	}
}

// writeQueued writes batches until the queue is empty.
func (w *shardWriters) writeQueued(ctx context.Context, s *shardWriter) {
	for {
		w.mu.Lock()
		batch := s.queue
		s.queue = nil
		if len(batch) == 0 {
			s.running = false
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		var reports []escrow.Report
		for _, b := range batch {
			reports = append(reports, b.reports...)
		}
		r := w.writeBatch(ctx, s, reports)
		for _, b := range batch {
			b.reply <- r
		}
	}
}

// writeBatch applies one batch and, if a flush is due, the deferred reports.
func (w *shardWriters) writeBatch(ctx context.Context, s *shardWriter, reports []escrow.Report) writeResult {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	now := w.n.clock.Now()
	flush := now.Sub(s.flushedAt) >= flushInterval
	if flush {
		reports = s.withDeferred(reports)
	}
	policy := w.n.accounts.budgetPolicy
	if s.key.Kind == object.KindSlots {
		policy = w.n.accounts.slotPolicy
	}
	apply := func(sh escrow.Shard) (escrow.Shard, bool) {
		sh, resized := w.n.applyCapacities(s.key, sh)
		next, changed := escrow.Writer{Policy: policy}.Apply(sh, escrow.Batch{Reports: reports, Now: now, Flush: flush})
		return next, changed || resized
	}
	r := w.updateShard(ctx, s.key, apply)
	switch {
	case r.err != nil:
	case flush:
		s.flushedAt = now
		clear(s.deferred)
	default:
		s.deferUnwritten(r.shard, reports)
	}
	return r
}

// withDeferred returns the deferred reports, sorted, followed by those of the batch.
func (s *shardWriter) withDeferred(reports []escrow.Report) []escrow.Report {
	out := make([]escrow.Report, 0, len(s.deferred)+len(reports))
	for _, r := range s.deferred {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b escrow.Report) int {
		return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Holder, b.Holder))
	})
	return append(out, reports...)
}

// deferUnwritten keeps the reports whose counters the write left out. It clears their wants, which are out of date by
// the next flush.
func (s *shardWriter) deferUnwritten(sh escrow.Shard, reports []escrow.Report) {
	for _, r := range reports {
		k := deferredKey{r.Entry, r.Holder}
		e := sh.Entry(r.Entry)
		if e == nil {
			continue
		}
		h := e.Holder(r.Holder)
		if h == nil || h.RowNumber != r.RowNumber || h.Settled >= r.Settled && h.In >= r.In && h.Out >= r.Out {
			delete(s.deferred, k)
			continue
		}
		r.Want = 0
		s.deferred[k] = r
	}
}

// updateShard changes a shard by conditional updates. After a conflict or a lost reply it reads the shard again and
// retries.
func (w *shardWriters) updateShard(ctx context.Context, k object.Key, apply func(escrow.Shard) (escrow.Shard, bool)) writeResult {
	var last error
	for range maxWriteAttempts {
		cur, version, err := w.readShard(ctx, k)
		if err != nil {
			return writeResult{err: err}
		}
		next, changed := apply(cur)
		if !changed {
			return writeResult{shard: cur, version: version}
		}
		raw, err := next.Encode()
		if err != nil {
			return writeResult{err: err}
		}
		v, err := w.n.platform.Put(ctx, k, raw, store.Match(version))
		w.n.recordPlatformCall("put_"+string(k.Kind), err)
		if err == nil {
			w.observe(k, next, v)
			return writeResult{shard: next, version: v}
		}
		w.invalidate(k)
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
			return writeResult{err: err}
		}
		last = err
	}
	return writeResult{err: last}
}

// readShard returns the cached shard, or reads it from the platform.
func (w *shardWriters) readShard(ctx context.Context, k object.Key) (escrow.Shard, ident.ObjectVersion, error) {
	w.mu.Lock()
	s := w.writer(k)
	value, version, known := s.value, s.version, s.cached
	w.mu.Unlock()
	if known {
		return value, version, nil
	}
	o, err := w.n.platform.Get(ctx, k)
	w.n.recordPlatformCall("get_"+string(k.Kind), err)
	if errors.Is(err, store.ErrAbsent) {
		w.observe(k, escrow.NewShard(), 0)
		return escrow.NewShard(), 0, nil
	}
	if err != nil {
		return escrow.Shard{}, 0, err
	}
	value, err = escrow.Decode(o.Value)
	if err != nil {
		return escrow.Shard{}, 0, err
	}
	w.observe(k, value, o.Version)
	return value, o.Version, nil
}

// applyCapacities sets the entries of a slots shard to the configured capacities of their targets and adds missing
// entries. It leaves ledger shards as they are.
func (n *Node) applyCapacities(k object.Key, s escrow.Shard) (escrow.Shard, bool) {
	if k.Kind != object.KindSlots {
		return s, false
	}
	changed := false
	for _, t := range n.slotTargets(k) {
		id := slotEntry(t.ID)
		e := escrow.Entry{ID: id}
		existing := s.Entry(id)
		if existing != nil {
			e = existing.Clone()
		}
		resized, err := e.SetCapacity(ident.Tokens(t.Capacity))
		if err == nil && (resized || existing == nil) {
			s, changed = s.With(e), true
		}
	}
	return s, changed
}
