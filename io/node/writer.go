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
	// flushEvery is the longest time for which settlements stay unwritten.
	flushEvery = 5 * time.Second
	// writeAttempts bounds the conditional updates for one batch.
	writeAttempts = 8
	writeTimeout  = 3 * time.Second
)

// writers writes the shards for which other routers or this one send reports. Two routers may write the
// same shard; the conditional update decides.
type writers struct {
	n      *Node
	mu     sync.Mutex
	shards map[object.Key]*shardWriter
}

// shardWriter gathers the reports that arrive while a write runs into the next write.
type shardWriter struct {
	key     object.Key
	value   escrow.Shard
	version ident.ObjectVersion
	known   bool
	running bool
	flushed time.Time
	queue   []waitingReport
	// late are the latest reports whose settlements and transfers wait for the next flush. Without them a flush would
	// write only the reports of its own batch, and routers that report in a fixed order would always miss it.
	late map[lateKey]escrow.Report
}

type lateKey struct {
	entry  escrow.EntryID
	holder escrow.HolderID
}

type waitingReport struct {
	reports []escrow.Report
	reply   chan writeResult
}

type writeResult struct {
	shard   escrow.Shard
	version ident.ObjectVersion
	err     error
}

func newWriters(n *Node) *writers {
	return &writers{n: n, shards: make(map[object.Key]*shardWriter)}
}

func (w *writers) shard(k object.Key) *shardWriter {
	s := w.shards[k]
	if s == nil {
		s = &shardWriter{key: k, flushed: w.n.clock.Now(), late: make(map[lateKey]escrow.Report)}
		w.shards[k] = s
	}
	return s
}

// cached returns the newest known value of a shard. The caller must not modify it.
func (w *writers) cached(k object.Key) (escrow.Shard, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.shards[k]
	if s == nil || !s.known {
		return escrow.Shard{}, false
	}
	return s.value, true
}

// observe takes over a shard that a watch or a write has confirmed, unless a newer one is known.
func (w *writers) observe(k object.Key, value escrow.Shard, version ident.ObjectVersion) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.shard(k)
	if !s.known || version > s.version {
		s.value, s.version, s.known = value, version, true
	}
}

func (w *writers) forget(k object.Key) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shard(k).known = false
}

// submit applies reports to a shard and returns the confirmed value.
func (w *writers) submit(ctx context.Context, k object.Key, reports []escrow.Report) (escrow.Shard, ident.ObjectVersion, error) {
	reply := make(chan writeResult, 1)
	w.mu.Lock()
	s := w.shard(k)
	s.queue = append(s.queue, waitingReport{reports, reply})
	if !s.running {
		s.running = true
		w.n.spawn(func(ctx context.Context) { w.run(ctx, s) })
	}
	w.mu.Unlock()
	select {
	case r := <-reply:
		return r.shard, r.version, r.err
	case <-ctx.Done():
		return escrow.Shard{}, 0, ctx.Err()
	}
}

// run writes batches until no report waits.
func (w *writers) run(ctx context.Context, s *shardWriter) {
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
		r := w.write(ctx, s, reports)
		for _, b := range batch {
			b.reply <- r
		}
	}
}

func (w *writers) write(ctx context.Context, s *shardWriter, reports []escrow.Report) writeResult {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	now := w.n.clock.Now()
	flush := now.Sub(s.flushed) >= flushEvery
	if flush {
		reports = s.withLate(reports)
	}
	policy := w.n.accounts.policy
	if s.key.Kind == object.KindSlots {
		policy = w.n.accounts.slots
	}
	apply := func(sh escrow.Shard) (escrow.Shard, bool) {
		sh, resized := w.n.resize(s.key, sh)
		next, changed := escrow.Writer{Policy: policy}.Apply(sh, escrow.Batch{Reports: reports, Now: now, Flush: flush})
		return next, changed || resized
	}
	r := w.update(ctx, s.key, apply)
	switch {
	case r.err != nil:
	case flush:
		s.flushed = now
		clear(s.late)
	default:
		s.keepLate(r.shard, reports)
	}
	return r
}

// withLate adds the reports that wait for a flush, in front of those of the batch.
func (s *shardWriter) withLate(reports []escrow.Report) []escrow.Report {
	out := make([]escrow.Report, 0, len(s.late)+len(reports))
	for _, r := range s.late {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b escrow.Report) int {
		return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Holder, b.Holder))
	})
	return append(out, reports...)
}

// keepLate remembers the reports of which a write left out counters. Their wants are out of date by the next flush.
func (s *shardWriter) keepLate(sh escrow.Shard, reports []escrow.Report) {
	for _, r := range reports {
		k := lateKey{r.Entry, r.Holder}
		e := sh.Entry(r.Entry)
		if e == nil {
			continue
		}
		h := e.Holder(r.Holder)
		if h == nil || h.RowNumber != r.RowNumber || h.Settled >= r.Settled && h.In >= r.In && h.Out >= r.Out {
			delete(s.late, k)
			continue
		}
		r.Want = 0
		s.late[k] = r
	}
}

// update changes a shard by conditional updates. A conflict or a lost reply leads to another read.
func (w *writers) update(ctx context.Context, k object.Key, apply func(escrow.Shard) (escrow.Shard, bool)) writeResult {
	var last error
	for range writeAttempts {
		cur, version, err := w.load(ctx, k)
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
		v, err := w.n.store.Put(ctx, k, raw, store.Match(version))
		w.n.recordPlatformCall("put_"+string(k.Kind), err)
		if err == nil {
			w.observe(k, next, v)
			return writeResult{shard: next, version: v}
		}
		w.forget(k)
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
			return writeResult{err: err}
		}
		last = err
	}
	return writeResult{err: last}
}

// load returns the cached shard, or reads it.
func (w *writers) load(ctx context.Context, k object.Key) (escrow.Shard, ident.ObjectVersion, error) {
	w.mu.Lock()
	s := w.shard(k)
	value, version, known := s.value, s.version, s.known
	w.mu.Unlock()
	if known {
		return value, version, nil
	}
	o, err := w.n.store.Get(ctx, k)
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

// resize sets the capacity of the targets in a slots shard to the configured one.
func (n *Node) resize(k object.Key, s escrow.Shard) (escrow.Shard, bool) {
	if k.Kind != object.KindSlots {
		return s, false
	}
	changed := false
	for _, t := range n.slotTargets(k) {
		id := slotEntry(t.ID)
		e := escrow.Entry{ID: id}
		known := s.Entry(id)
		if known != nil {
			e = known.Clone()
		}
		moved, err := e.SetCapacity(ident.Tokens(t.Capacity))
		if err == nil && (moved || known == nil) {
			s, changed = s.With(e), true
		}
	}
	return s, changed
}
