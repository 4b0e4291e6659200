package target

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"geraniumsaddle/core/ident"
)

const (
	// hintTableSize is the number of words in the hint table. A new prefix overwrites an older one in the same word.
	hintTableSize = 1 << 16
	// maxPendingEvents bounds the events that wait for a missing one.
	maxPendingEvents = 256
	// maxGapWait is how long a missing event may be late before the hints about the target are dropped.
	maxGapWait = 5 * time.Second

	// serialBits is the number of low bits of a hint's word that hold the serial number of the target.
	serialBits = 24
	serialMask = 1<<serialBits - 1
)

// CacheEvent reports that a target has cached or evicted a prefix.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Prefix  uint64 `json:"prefix"`
	Evicted bool   `json:"evicted,omitempty"`
}

// hintTable maps a prefix to the target that last reported it as cached. It is a direct-mapped table. Each word holds
// the upper bits of the mixed prefix and the target's serial number, so readers need no lock.
type hintTable struct {
	words [hintTableSize]atomic.Uint64
}

func hintWord(prefix uint64, serial uint32) uint64 {
	return mix(prefix)&^serialMask | uint64(serial&serialMask)
}

func (h *hintTable) word(prefix uint64) *atomic.Uint64 {
	return &h.words[mix(prefix)&(hintTableSize-1)]
}

func (h *hintTable) put(prefix uint64, serial uint32) {
	h.word(prefix).Store(hintWord(prefix, serial))
}

func (h *hintTable) remove(prefix uint64, serial uint32) {
	h.word(prefix).CompareAndSwap(hintWord(prefix, serial), 0)
}

// find returns the member of the set that last reported the prefix, or nil. A member whose serial number has changed
// since the snapshot has no valid hints.
func (h *hintTable) find(prefix uint64, s *versionSet) *member {
	if h == nil {
		return nil
	}
	w := h.word(prefix).Load()
	serial := uint32(w & serialMask)
	if w == 0 || w != hintWord(prefix, serial) {
		return nil
	}
	m := s.serials[serial]
	if m == nil || m.shared.serial.Load() != serial {
		return nil
	}
	return m
}

// cacheFeed restores the order of the cache events of one target.
type cacheFeed struct {
	next     uint64 // next expected sequence number; zero before the first event
	pending  map[uint64]CacheEvent
	gapSince time.Time // start of the wait for the missing event
}

// accept adds an event and returns the events that are now in order. Repeated events are ignored, and events after a
// gap wait for the missing ones.
func (f *cacheFeed) accept(ev CacheEvent, now time.Time) []CacheEvent {
	if f.next == 0 {
		f.next = ev.Seq
	}
	if ev.Seq < f.next {
		return nil
	}
	if f.pending == nil {
		f.pending = make(map[uint64]CacheEvent)
	}
	if len(f.pending) == 0 {
		f.gapSince = now
	}
	f.pending[ev.Seq] = ev
	ready := f.drain()
	if len(ready) > 0 {
		f.gapSince = now
	}
	return ready
}

func (f *cacheFeed) drain() []CacheEvent {
	var ready []CacheEvent
	for {
		ev, ok := f.pending[f.next]
		if !ok {
			return ready
		}
		delete(f.pending, f.next)
		ready = append(ready, ev)
		f.next++
	}
}

// gapExpired reports whether a missing event is overdue or too many events wait for it.
func (f *cacheFeed) gapExpired(now time.Time) bool {
	return len(f.pending) > maxPendingEvents || len(f.pending) > 0 && now.Sub(f.gapSince) > maxGapWait
}

// skipGap gives up the missing events and returns the pending events after the last gap.
func (f *cacheFeed) skipGap() []CacheEvent {
	seqs := slices.Sorted(maps.Keys(f.pending))
	f.next = seqs[len(seqs)-1]
	for i := len(seqs) - 2; i >= 0 && seqs[i]+1 == f.next; i-- {
		f.next--
	}
	ready := f.drain()
	clear(f.pending)
	return ready
}

// ApplyCacheEvents applies the cache events of a target, which may arrive out of order or repeated. If a missing event
// does not arrive in time, all hints about the target are dropped.
func (r *Registry) ApplyCacheEvents(id ident.TargetID, events []CacheEvent, now time.Time) {
	e := r.entries[id]
	if e == nil || e.obj.Domain != r.cfg.Domain {
		return
	}
	for _, ev := range events {
		r.applyToHints(e, e.feed.accept(ev, now))
		r.resyncFeed(e, now)
	}
}

// ResetCache drops the hints about a target and accepts any next sequence number. It is for a target that has restarted
// and numbers its events from the start again.
func (r *Registry) ResetCache(id ident.TargetID) {
	if e := r.entries[id]; e != nil {
		r.invalidateHints(e)
		e.feed = cacheFeed{}
	}
}

// resyncFeed gives up a missing event of the target that is overdue. It drops the hints about the target and goes on
// with the events after the gap.
func (r *Registry) resyncFeed(e *entry, now time.Time) {
	if e.feed.gapExpired(now) {
		r.invalidateHints(e)
		r.applyToHints(e, e.feed.skipGap())
	}
}

func (r *Registry) applyToHints(e *entry, events []CacheEvent) {
	serial := e.shared.serial.Load()
	for _, ev := range events {
		if ev.Evicted {
			r.hints.remove(ev.Prefix, serial)
		} else {
			r.hints.put(ev.Prefix, serial)
		}
	}
}

// invalidateHints gives the target a new serial number, which invalidates all hints about it at once.
func (r *Registry) invalidateHints(e *entry) {
	r.serial = r.serial%serialMask + 1
	e.shared.serial.Store(r.serial)
	r.dirty = true
}
