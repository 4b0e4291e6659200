// Package change keeps the latest changes of the objects of one kind, so that a router that watches the store can pass
// them on to routers that do not.
//
// What it passes on is as old as the watcher's own knowledge, so that a history is dated, and AgeLimits say how old it may
// be. The package does no I/O and reads no clock.
package change

import (
	"time"

	"geraniumsaddle/core/ident"
)

const (
	// maxBytes bounds the values in a history, and so the size of a batch: many routers receive the same batch at once
	// over the link of one VM.
	maxBytes ident.Bytes = 64 << 10
	// maxEvents bounds the changes in a history.
	maxEvents = 2048
)

// Event is one change of an object.
type Event struct {
	Name    string              `cbor:"1,keyasint"`
	Version ident.ObjectVersion `cbor:"2,keyasint"`
	Deleted bool                `cbor:"3,keyasint,omitempty"`
	Value   []byte              `cbor:"4,keyasint,omitempty"`
	Status  []byte              `cbor:"5,keyasint,omitempty"`
}

func (e Event) size() ident.Bytes { return ident.Bytes(len(e.Name) + len(e.Value) + len(e.Status)) }

// Batch holds all changes after one version up to Version, in the order of their versions.
type Batch struct {
	Version ident.ObjectVersion `cbor:"1,keyasint"`
	Events  []Event             `cbor:"2,keyasint,omitempty"`
}

// History holds the latest changes. The zero value is an empty history that covers nothing. It is not safe for
// concurrent use.
type History struct {
	// The events are all changes after base up to version.
	base, version ident.ObjectVersion
	events        []Event
	bytes         ident.Bytes
	// confirmed is the uptime of the VM until which there were no other changes, or zero if that is unknown.
	confirmed time.Duration
}

// Append adds the changes after a version. There were no others until confirmed, an uptime of the VM. If these do not follow the
// history, it begins anew with them. The oldest changes are dropped when the history is full.
func (h *History) Append(from ident.ObjectVersion, b Batch, confirmed time.Duration) {
	if from != h.version || h.base == 0 {
		*h = History{base: from}
	}
	h.version = max(from, b.Version)
	h.confirmed = max(h.confirmed, confirmed)
	for _, e := range b.Events {
		h.events = append(h.events, e)
		h.bytes += e.size()
	}
	drop := 0
	for drop < len(h.events) && h.isFull(drop) {
		h.base = h.events[drop].Version
		h.bytes -= h.events[drop].size()
		drop++
	}
	h.events = append([]Event(nil), h.events[drop:]...)
}

// isFull reports whether the history must drop a change after having dropped some. A change with the version of the one
// dropped before goes with it, because base cannot stand between them.
func (h *History) isFull(dropped int) bool {
	return h.bytes > maxBytes || len(h.events)-dropped > maxEvents || dropped > 0 && h.events[dropped].Version == h.base
}

// Confirmed returns the uptime of the VM until which the history lacks no change, or zero if that is unknown.
func (h *History) Confirmed() time.Duration { return h.confirmed }

// Since returns the changes after a version, and false if the history does not hold all of them. It holds none of those in
// an era of the store that it has not seen.
func (h *History) Since(from ident.ObjectVersion) (Batch, bool) {
	if h.base == 0 || from < h.base || from.Era() > h.version.Era() {
		return Batch{}, false
	}
	b := Batch{Version: max(from, h.version)}
	for i, e := range h.events {
		if e.Version > from {
			b.Events = h.events[i:len(h.events):len(h.events)]
			break
		}
	}
	return b, true
}
