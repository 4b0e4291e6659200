package place

import (
	"time"

	"geraniumsaddle/core/ident"
)

// outlookAge is the age up to which an outlook is used again.
const outlookAge = 20 * time.Millisecond

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
	p := f.pools[s]
	if p == nil {
		return Outlook{}
	}
	if age := now.Sub(p.outlookAt); age < 0 || age >= outlookAge {
		p.outlook, p.outlookAt = f.outlookOf(p, now), now
	}
	return p.outlook
}

// outlookOf counts over all targets of a pool. The caller holds f.mu.
func (f *Fleet) outlookOf(p *pool, now time.Time) Outlook {
	f.refresh(p, now)
	var o Outlook
	busy := 0.0
	hold := p.rates.Hold()
	for _, m := range p.members {
		if !m.available() {
			continue
		}
		n := f.requestsAt(m, now)
		if !m.home {
			n = max(n, p.meanRequests())
		}
		busy += n
		o.Slots += m.Slots
		if at := m.roomAt(n, hold, now); o.RoomAt.IsZero() || at.Before(o.RoomAt) {
			o.RoomAt = at
		}
	}
	o.Busy = int(busy)
	o.EndsPerSecond = min(busy, float64(o.Slots)) * float64(time.Second/time.Millisecond) / hold
	return o
}

// roomAt returns the earliest time at which a target that holds n requests, each for a time in milliseconds, is expected to
// take one more. The caller holds Fleet.mu.
func (m *member) roomAt(n, hold float64, now time.Time) time.Time {
	at := now
	for _, until := range []time.Time{m.fullUntil, m.backoffUntil, m.quietUntil()} {
		if until.After(at) {
			at = until
		}
	}
	if slots := float64(m.Slots); slots > 0 && n >= slots {
		wait := time.Duration(hold * (n - slots + 1) / slots * float64(time.Millisecond))
		if end := now.Add(wait); end.After(at) {
			at = end
		}
	}
	return at
}
