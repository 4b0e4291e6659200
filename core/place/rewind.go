package place

import "time"

// KeepLeaving keeps the targets that leave from being taken back by an older entry of the same start, which a store that has
// come back from an older copy may list.
func (f *Fleet) KeepLeaving(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.targets {
		if m.State == Leaving {
			f.noticeOf(m.Target, now).leaving = true
		}
	}
}
