package place

import (
	"time"

	"geraniumsaddle/core/ident"
)

// reach is what is known of the way to a failure domain. A cut leaves all targets of a domain unreachable at once, and
// each attempt to reach one costs a request the time of a connection's timeout.
type reach struct {
	// failed holds the targets that could not be reached since the last one that answered.
	failed map[ident.TargetID]bool
	lastAt time.Time
}

// recordReach notes whether a target could be reached.
func (f *Fleet) recordReach(t Target, r Result, now time.Time) {
	switch r {
	case Unreachable:
		d := f.domains[t.Domain]
		if d == nil || now.Sub(d.lastAt) > suspectFor {
			d = &reach{failed: make(map[ident.TargetID]bool)}
			f.domains[t.Domain] = d
		}
		d.failed[t.ID] = true
		d.lastAt = now
	case OK, Full:
		delete(f.domains, t.Domain)
	}
}

// suspect reports whether a failure domain is probably cut off.
func (f *Fleet) suspect(id ident.DomainID, now time.Time) bool {
	d := f.domains[id]
	return d != nil && len(d.failed) >= suspectAfter && now.Sub(d.lastAt) <= suspectFor
}
