package place

import "time"

const (
	// maxCopyAge is longer than the store goes back when it returns from an older copy, which lists the targets that were
	// removed since.
	maxCopyAge = 30 * time.Second
	// relistTime is the time in which a target that has ended is removed once more after three missed heartbeats. One that
	// lives is used again afterwards.
	relistTime = 15 * time.Second
)

// removal records that the entry of one start of a target has gone.
type removal struct {
	at time.Time
	// leaving says that the target had said before that it leaves.
	leaving bool
}

// recordRemoval remembers a removal for maxCopyAge. The caller holds f.mu.
func (f *Fleet) recordRemoval(m *member, now time.Time) {
	for key, r := range f.removals {
		if now.Sub(r.at) > maxCopyAge {
			delete(f.removals, key)
		}
	}
	f.removals[m.key()] = removal{at: now, leaving: !m.serving()}
}

// RecordRewind handles a store that has come back from an older copy, whose entries may be older than what this router
// knows. Targets that leave are not taken back by an older entry of the same start. Those whose entries have gone not long
// ago are not used until they would have been removed once more.
func (f *Fleet) RecordRewind(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.targets {
		if m.State == Leaving {
			f.noticeOf(m.Target, now).leaving = true
		}
	}
	for key, r := range f.removals {
		if now.Sub(r.at) > maxCopyAge {
			continue
		}
		n := f.noticeOf(Target{ID: key.id, Born: key.born}, now)
		n.leaving = n.leaving || r.leaving
		if until := now.Add(relistTime); until.After(n.quietUntil) {
			n.quietUntil = until
		}
	}
}
