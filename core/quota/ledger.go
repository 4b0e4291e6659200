// Package quota divides the prepaid tokens of organisations between the routers of a fleet.
//
// The platform's store holds one Ledger, which routers change by conditional writes. Each router incarnation is a
// holder with a row for each organisation. It spends only what a confirmed write has granted to it, so the sum of all
// rows bounds what the fleet can spend, in any state of the network.
//
// A grant has two bounds. Up to the armed bound a holder may always spend. Up to the granted bound it may spend only
// when its last write is older than the Lease, which happens when it cannot reach the store. A holder that died within
// the Lease after its last write has therefore spent at most the armed bound, and its successor on the same VM returns
// the rest. A holder that died later counts as having spent all that was granted.
//
// The package does no I/O and reads no clock.
package quota

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"geraniumsaddle/core/ident"
)

// Format is the format of the ledger that this program reads and writes. A ledger of a newer format is not changed.
const Format = 1

// ErrFormat means that a newer program has written the ledger.
var ErrFormat = errors.New("ledger has an unknown format")

// Uptime is the time since a VM was booted, which goes on while the VM is suspended. Times of two boots cannot be
// compared.
type Uptime struct {
	Boot string        `json:"boot"`
	Time time.Duration `json:"time_ns"`
}

// Row is a holder's part of the tokens of one organisation. All but Rate and Want are totals since the holder's
// start.
type Row struct {
	// Granted is taken out of the prepaid tokens. Armed is the part that the holder may spend within the Lease.
	Granted ident.Tokens `json:"granted"`
	Armed   ident.Tokens `json:"armed"`
	// Spent is what the holder has billed.
	Spent ident.Tokens `json:"spent"`
	// Rate is the demand in tokens per second.
	Rate ident.Tokens `json:"rate,omitempty"`
	// Want is what waiting requests lack.
	Want ident.Tokens `json:"want,omitempty"`
}

// Holder is one incarnation of a router.
type Holder struct {
	VM ident.VMID `json:"vm"`
	// Sent is the uptime of the VM when the holder sent its last write.
	Sent Uptime `json:"sent"`
	// Writes counts the writes of the holder, so that others see that it lives.
	Writes uint64              `json:"writes"`
	Rows   map[ident.OrgID]Row `json:"rows,omitempty"`
}

// Ledger is the stored object.
type Ledger struct {
	Format  int                        `json:"format"`
	Holders map[ident.RouterID]*Holder `json:"holders"`
	// Closed is what holders that have ended count as having spent.
	Closed map[ident.OrgID]ident.Tokens `json:"closed,omitempty"`
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		Format:  Format,
		Holders: make(map[ident.RouterID]*Holder),
		Closed:  make(map[ident.OrgID]ident.Tokens),
	}
}

// Decode decodes a stored ledger.
func Decode(b []byte) (*Ledger, error) {
	l := NewLedger()
	if err := json.Unmarshal(b, l); err != nil {
		return nil, fmt.Errorf("decode ledger: %w", err)
	}
	if l.Format != Format {
		return nil, fmt.Errorf("%w: %d", ErrFormat, l.Format)
	}
	if l.Holders == nil {
		l.Holders = make(map[ident.RouterID]*Holder)
	}
	if l.Closed == nil {
		l.Closed = make(map[ident.OrgID]ident.Tokens)
	}
	for id, h := range l.Holders {
		if h == nil {
			return nil, fmt.Errorf("decode ledger: holder %q is null", id)
		}
	}
	return l, nil
}

// Encode encodes the ledger. Equal ledgers have equal encodings.
func (l *Ledger) Encode() []byte {
	b, err := json.Marshal(l)
	if err != nil {
		panic(err) // A struct of numbers and strings always encodes.
	}
	return b
}

// Granted returns what all holders and closed holders have taken of an organisation's tokens.
func (l *Ledger) Granted(org ident.OrgID) ident.Tokens {
	n := l.Closed[org]
	for _, h := range l.Holders {
		n += h.Rows[org].Granted
	}
	return n
}

// Spent returns what is known to be spent of an organisation's tokens.
func (l *Ledger) Spent(org ident.OrgID) ident.Tokens {
	n := l.Closed[org]
	for _, h := range l.Holders {
		n += h.Rows[org].Spent
	}
	return n
}

// CloseEarlier ends the holders of earlier processes of a VM and returns them. Started is the uptime at which the
// present process started, by which the earlier ones had ended.
func (l *Ledger) CloseEarlier(vm ident.VMID, self ident.RouterID, started Uptime, lease time.Duration) []ident.RouterID {
	var closed []ident.RouterID
	for _, id := range slices.Sorted(maps.Keys(l.Holders)) {
		h := l.Holders[id]
		if h.VM != vm || id == self {
			continue
		}
		l.close(id, h.endedWithin(started, lease))
		closed = append(closed, id)
	}
	return closed
}

// endedWithin reports whether the holder ended within the lease after its last write.
func (h *Holder) endedWithin(by Uptime, lease time.Duration) bool {
	age := by.Time - h.Sent.Time
	return h.Sent.Boot != "" && h.Sent.Boot == by.Boot && age >= 0 && age < lease
}

func (l *Ledger) close(id ident.RouterID, armedOnly bool) {
	for org, row := range l.Holders[id].Rows {
		used := row.Granted
		if armedOnly {
			used = row.Armed
		}
		if used > 0 {
			l.Closed[org] += used
		}
	}
	delete(l.Holders, id)
}

// Leave ends the holder of a process that stops with nothing running: only what it has spent stays taken.
func (l *Ledger) Leave(id ident.RouterID, spent map[ident.OrgID]ident.Tokens) {
	for org, n := range spent {
		if n > 0 {
			l.Closed[org] += n
		}
	}
	delete(l.Holders, id)
}
