package quota

import (
	"maps"
	"slices"
	"time"

	"geraniumsaddle/core/ident"
)

const (
	// maxDepartures bounds the departures that a router keeps, and so their memory.
	maxDepartures = 256
	// departureTTL is how long a departure is kept. It covers an outage of the store that outlasts the start of the
	// successor.
	departureTTL = 5 * time.Minute
)

// Departures keeps the final reports of routers that stopped while they could not write them to the ledgers. A router that
// closes the rows of such a process takes what it has spent from its report, in place of what its allowances permitted.
// It is not safe for concurrent use.
type Departures struct {
	kept map[ident.RouterID]keptDeparture
}

type keptDeparture struct {
	Departure
	until time.Duration
}

// NewDepartures returns an empty set.
func NewDepartures() *Departures {
	return &Departures{kept: make(map[ident.RouterID]keptDeparture)}
}

// Keep keeps the departure of a router that has stopped spending, and reports whether there was room. now is the uptime.
func (d *Departures) Keep(departure Departure, now time.Duration) bool {
	for id, k := range d.kept {
		if now >= k.until {
			delete(d.kept, id)
		}
	}
	if len(d.kept) >= maxDepartures {
		return false
	}
	d.kept[departure.Router] = keptDeparture{departure, now + departureTTL}
	return true
}

// OfVM returns the kept departures of the processes of a VM.
func (d *Departures) OfVM(vm ident.VMID) []Departure {
	var out []Departure
	for _, id := range slices.Sorted(maps.Keys(d.kept)) {
		if k := d.kept[id]; k.VM == vm {
			out = append(out, k.Departure)
		}
	}
	return out
}

// Of returns the departure of a router, if one is kept.
func (d *Departures) Of(id ident.RouterID) (Departure, bool) {
	k, ok := d.kept[id]
	return k.Departure, ok
}
