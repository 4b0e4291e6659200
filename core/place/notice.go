package place

import (
	"errors"
	"time"

	"geraniumsaddle/core/ident"
)

const (
	// maxNotices bounds the starts of targets whose notices are remembered, and noticeMemory is how long they are after the
	// entry of the target has gone. A store that lists the target anew must not bring it back.
	maxNotices   = 4096
	noticeMemory = time.Hour
)

// QuietError means that every target that may take the request has asked for no requests for a while.
type QuietError struct {
	// Until is the earliest end of that time.
	Until time.Time
}

// Error says what the targets have asked for.
func (e *QuietError) Error() string { return "every target asks for no requests for a while" }

// AsQuiet returns the QuietError in an error, or nil.
func AsQuiet(err error) *QuietError {
	var quiet *QuietError
	if errors.As(err, &quiet) {
		return quiet
	}
	return nil
}

// startKey identifies one start of a target.
type startKey struct {
	id   ident.TargetID
	born int64
}

// notice is what a target has said about itself in its answers. It holds for one start of the target, whatever the store says.
type notice struct {
	leaving    bool
	quietUntil time.Time
	at         time.Time
}

func (t Target) key() startKey { return startKey{t.ID, t.Born} }

// NoteLeaving records that a target takes no new requests, and reports whether that is new. It ends with another start.
func (f *Fleet) NoteLeaving(t Target, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.noticeOf(t, now)
	isNew := !n.leaving
	n.leaving = true
	return isNew
}

// NoteQuiet records that a target asks for no requests until a time.
func (f *Fleet) NoteQuiet(t Target, until, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.noticeOf(t, now); until.After(n.quietUntil) {
		n.quietUntil = until
	}
}

// noticeOf returns the notice of a target and creates it on first use. The caller holds f.mu.
func (f *Fleet) noticeOf(t Target, now time.Time) *notice {
	n := f.notices[t.key()]
	if n == nil {
		f.forgetNotices(now)
		n = new(notice)
		f.notices[t.key()] = n
	}
	n.at = now
	if m := f.targets[t.ID]; m != nil && m.key() == t.key() {
		m.notice = n
	}
	return n
}

// forgetNotices makes room for a notice: it forgets those of targets whose entries went long ago, and the oldest one if that
// is not enough. The caller holds f.mu.
func (f *Fleet) forgetNotices(now time.Time) {
	if len(f.notices) < maxNotices {
		return
	}
	var oldest startKey
	var oldestAt time.Time
	for key, n := range f.notices {
		if m := f.targets[key.id]; (m == nil || m.key() != key) && now.Sub(n.at) > noticeMemory {
			delete(f.notices, key)
			continue
		}
		if oldestAt.IsZero() || n.at.Before(oldestAt) {
			oldest, oldestAt = key, n.at
		}
	}
	if len(f.notices) >= maxNotices {
		delete(f.notices, oldest)
	}
}

// serving reports whether a target takes new requests by the word of the store and its own. The caller holds f.mu.
func (m *member) serving() bool {
	return m.State == Serving && (m.notice == nil || !m.notice.leaving)
}

// quietUntil returns the end of the time for which a target asks for no requests, or zero. The caller holds f.mu.
func (m *member) quietUntil() time.Time {
	if m.notice == nil {
		return time.Time{}
	}
	return m.notice.quietUntil
}
