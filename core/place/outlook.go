package place

import (
	"time"

	"geraniumsaddle/core/ident"
)

// Outlook is what a router believes of the room at the targets of a service. It is an estimate, not a promise.
type Outlook struct {
	// Slots is the number of requests that the serving targets run at once, and Busy the number that run or wait there.
	Slots, Busy int
	// EndsPerSecond is the expected number of requests that end per second, over all routers.
	EndsPerSecond float64
	// RoomAt is the earliest time at which a target is expected to have room. It is not after now if one has room.
	RoomAt time.Time
}

// Outlook returns what this router believes of a service. A service without a serving target has no slots and a zero RoomAt.
func (f *Fleet) Outlook(s ident.ServiceID, now time.Time) Outlook {
	f.mu.Lock()
	defer f.mu.Unlock()
	var o Outlook
	for _, m := range f.pools[s] {
		if !m.serving() {
			continue
		}
		o.Slots += m.Slots
		o.Busy += int(m.estimatedRequests(now))
		if at := m.roomAt(now); o.RoomAt.IsZero() || at.Before(o.RoomAt) {
			o.RoomAt = at
		}
	}
	return o
}

// roomAt returns the earliest time at which a target is expected to take a request. The caller holds Fleet.mu.
func (m *member) roomAt(now time.Time) time.Time {
	at := now
	for _, until := range []time.Time{m.fullUntil, m.backoffUntil, m.quietUntil()} {
		if until.After(at) {
			at = until
		}
	}
	return at
}
