package target

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"geraniumsaddle/core/ident"
)

const (
	// hintSlots bounds the prefixes that are remembered; a newer one overwrites an older one.
	hintSlots = 1 << 16
	// feedPending bounds the events that wait for a missing one.
	feedPending = 256
	// feedPatience is how long a missing event may be late before the hints are dropped.
	feedPatience = 5 * time.Second

	serialBits = 24
	serialMask = 1<<serialBits - 1
)

// CacheEvent says that a target has cached or evicted a prefix.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Prefix  uint64 `json:"prefix"`
	Evicted bool   `json:"evicted,omitempty"`
}

// hints maps prefixes to the target that last reported them. It is a direct-mapped table of words
// that hold the upper bits of the prefix and the target's serial number, so readers need no lock.
type hints struct {
	slots [hintSlots]atomic.Uint64
}

func hintWord(prefix uint64, serial uint32) uint64 {
	return mix(prefix)&^serialMask | uint64(serial&serialMask)
}

func (h *hints) slot(prefix uint64) *atomic.Uint64 {
	return &h.slots[mix(prefix)&(hintSlots-1)]
}

func (h *hints) put(prefix uint64, serial uint32) {
	h.slot(prefix).Store(hintWord(prefix, serial))
}

func (h *hints) remove(prefix uint64, serial uint32) {
	h.slot(prefix).CompareAndSwap(hintWord(prefix, serial), 0)
}

// find returns the member of the set that reported the prefix, or nil. A member whose serial number
// has changed since the snapshot has lost its hints.
func (h *hints) find(prefix uint64, s *set) *member {
	if h == nil {
		return nil
	}
	w := h.slot(prefix).Load()
	serial := uint32(w & serialMask)
	if w == 0 || w != hintWord(prefix, serial) {
		return nil
	}
	m := s.serials[serial]
	if m == nil || m.live.serial.Load() != serial {
		return nil
	}
	return m
}

// feed puts the cache events of one target in order.
type feed struct {
	next    uint64 // zero before the first event
	pending map[uint64]CacheEvent
	since   time.Time // when the oldest gap was seen
}

// accept returns the events that are now in order. Repeated events are ignored and events after a gap
// wait for the missing ones.
func (f *feed) accept(ev CacheEvent, now time.Time) []CacheEvent {
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
		f.since = now
	}
	f.pending[ev.Seq] = ev
	ready := f.drain()
	if len(ready) > 0 {
		f.since = now
	}
	return ready
}

func (f *feed) drain() []CacheEvent {
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

// broken reports whether a missing event has to be given up.
func (f *feed) broken(now time.Time) bool {
	return len(f.pending) > feedPending || len(f.pending) > 0 && now.Sub(f.since) > feedPatience
}

// skip gives up the missing events and returns those after the last gap.
func (f *feed) skip() []CacheEvent {
	seqs := slices.Sorted(maps.Keys(f.pending))
	f.next = seqs[len(seqs)-1]
	for i := len(seqs) - 2; i >= 0 && seqs[i]+1 == f.next; i-- {
		f.next--
	}
	ready := f.drain()
	clear(f.pending)
	return ready
}

// ApplyCacheEvents applies the cache events of a target. Late and repeated events are accepted. When a
// missing event stays away, the hints about the target are dropped.
func (r *Registry) ApplyCacheEvents(id ident.TargetID, events []CacheEvent, now time.Time) {
	e := r.entries[id]
	if e == nil || e.obj.Domain != r.cfg.Domain {
		return
	}
	for _, ev := range events {
		r.apply(e, e.feed.accept(ev, now))
		r.mend(e, now)
	}
}

// ResetCache drops the hints about a target and accepts any sequence number next. It is for a target
// that has restarted and numbers its events anew.
func (r *Registry) ResetCache(id ident.TargetID) {
	if e := r.entries[id]; e != nil {
		r.renumber(e)
		e.feed = feed{}
	}
}

func (r *Registry) mend(e *entry, now time.Time) {
	if e.feed.broken(now) {
		r.renumber(e)
		r.apply(e, e.feed.skip())
	}
}

func (r *Registry) apply(e *entry, events []CacheEvent) {
	serial := e.live.serial.Load()
	for _, ev := range events {
		if ev.Evicted {
			r.hints.remove(ev.Prefix, serial)
		} else {
			r.hints.put(ev.Prefix, serial)
		}
	}
}

// renumber gives the target a new serial number, which invalidates all hints about it at once.
func (r *Registry) renumber(e *entry) {
	r.serial = r.serial%serialMask + 1
	e.live.serial.Store(r.serial)
	r.dirty = true
}
