// Package quota divides the prepaid tokens of organisations between the routers of a fleet.
//
// The platform's store holds a Ledger for each shard of the organisations, which routers change by conditional writes.
// Each router process is a holder with a row for each organisation, and never spends more than a confirmed write has
// granted to it. The sum of all rows therefore bounds what the fleet can spend, whatever the state of the network.
//
// Beside its rows each holder has Allowances, which are written more often and only on its behalf. It may always spend
// up to Allowance.Limit. A holder that cannot reach the store may spend more as its allowances get older: nothing more
// during the hold-off time, then by Allowance.Growth at an increasing rate, up to its grant. A successor on the same VM
// determines how long its predecessor can have lived after the last write and returns what it cannot have spent. If
// that time is unknown, the whole grant counts as spent.
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

// Format is the version of the stored format that this program reads and writes. Objects of another format are refused,
// so that a ledger of a newer format is never changed.
const Format = 1

// ErrFormat means that a stored object has another format, as written by a newer program.
var ErrFormat = errors.New("unknown format")

// Moment is a point in time as one VM sees it.
type Moment struct {
	// Boot identifies the boot of the VM.
	Boot string `json:"boot,omitempty"`
	// Uptime is the time since that boot, including the time in which the VM was suspended. Uptimes of different boots
	// cannot be compared.
	Uptime time.Duration `json:"uptime_ns"`
	// Wall is the time of day in Unix milliseconds. It may jump.
	Wall int64 `json:"wall_ms"`
}

// Row is a holder's share of the tokens of one organisation. Granted and Spent are totals since the holder's start. It
// is stored as a list of its numbers, because a ledger has many rows and is written often.
type Row struct {
	// Granted is the part of the prepaid tokens that the holder has been granted.
	Granted ident.Tokens
	// Spent is what the holder has billed.
	Spent ident.Tokens
	// Rate is the demand in tokens per second.
	Rate ident.Tokens
	// Want is the number of tokens that waiting requests lack.
	Want ident.Tokens
}

// MarshalJSON encodes the row as [granted, spent, rate, want].
func (r Row) MarshalJSON() ([]byte, error) {
	return json.Marshal([...]ident.Tokens{r.Granted, r.Spent, r.Rate, r.Want})
}

// UnmarshalJSON decodes a row from [granted, spent, rate, want].
func (r *Row) UnmarshalJSON(b []byte) error {
	var n []ident.Tokens
	if err := json.Unmarshal(b, &n); err != nil {
		return err
	}
	if len(n) != 4 {
		return fmt.Errorf("row has %d numbers, not 4", len(n))
	}
	*r = Row{Granted: n[0], Spent: n[1], Rate: n[2], Want: n[3]}
	return nil
}

// Holder is the entry of one router process in the ledger.
type Holder struct {
	VM ident.VMID `json:"vm"`
	// Writes counts the writes of the holder, by which other routers see that it is alive.
	Writes uint64 `json:"writes"`
	// StartVersion orders the processes of one VM. It is the version of the VM's entry in the store that the process wrote
	// first.
	StartVersion ident.ObjectVersion `json:"start,omitempty"`
	// Wall is the VM's time of day at the last write in Unix milliseconds.
	Wall int64               `json:"wall_ms"`
	Rows map[ident.OrgID]Row `json:"rows,omitempty"`
	// Assumed is the part of Row.Spent that is only assumed to be spent, because nobody settled a hold.
	Assumed map[ident.OrgID]ident.Tokens `json:"assumed,omitempty"`
}

// Ledger is the stored object that holds the grants of one shard's organisations.
type Ledger struct {
	Format  int                        `json:"format"`
	Holders map[ident.RouterID]*Holder `json:"holders"`
	// Closed is what is counted as spent by holders that have ended.
	Closed map[ident.OrgID]ident.Tokens `json:"closed,omitempty"`
	// Era is the store's era of the last write, and Seq counts the writes. Both are zero on a platform without eras.
	Era ident.Era `json:"era,omitempty"`
	Seq uint64    `json:"seq,omitempty"`
	// Recovery is the recovery from the latest rewind of the store, or nil.
	Recovery *Recovery `json:"recovery,omitempty"`
	// Presumed is the part of Closed that may not have been spent: what the holders had not reported as spent, or had
	// only assumed to be.
	Presumed map[ident.OrgID]ident.Tokens `json:"presumed,omitempty"`
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		Format:   Format,
		Holders:  make(map[ident.RouterID]*Holder),
		Closed:   make(map[ident.OrgID]ident.Tokens),
		Presumed: make(map[ident.OrgID]ident.Tokens),
	}
}

// DecodeLedger decodes a stored ledger.
func DecodeLedger(b []byte) (*Ledger, error) {
	l := &Ledger{}
	if err := json.Unmarshal(b, l); err != nil {
		return nil, fmt.Errorf("decode ledger: %w", err)
	}
	if l.Format != Format {
		return nil, fmt.Errorf("decode ledger: %w: %d", ErrFormat, l.Format)
	}
	if l.Holders == nil {
		l.Holders = make(map[ident.RouterID]*Holder)
	}
	if l.Closed == nil {
		l.Closed = make(map[ident.OrgID]ident.Tokens)
	}
	if l.Presumed == nil {
		l.Presumed = make(map[ident.OrgID]ident.Tokens)
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

// Granted returns what is granted to open holders, reserved, and counted as spent by closed ones of an organisation's
// tokens.
func (l *Ledger) Granted(org ident.OrgID) ident.Tokens {
	n := l.Closed[org] + l.Reserved(org)
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

// Predecessors returns the sorted holders of a VM other than self that started no later than the given start.
func (l *Ledger) Predecessors(vm ident.VMID, self ident.RouterID, start ident.ObjectVersion) []ident.RouterID {
	var ids []ident.RouterID
	for _, id := range slices.Sorted(maps.Keys(l.Holders)) {
		if h := l.Holders[id]; h.VM == vm && id != self && h.StartVersion <= start {
			ids = append(ids, id)
		}
	}
	return ids
}

// HoldersByVM returns the holders of each VM.
func (l *Ledger) HoldersByVM() map[ident.VMID][]ident.RouterID {
	vms := make(map[ident.VMID][]ident.RouterID, len(l.Holders))
	for id, h := range l.Holders {
		vms[h.VM] = append(vms[h.VM], id)
	}
	return vms
}

// HolderClosure reports how the tokens of a holder that has ended were accounted for.
type HolderClosure struct {
	// Age is the longest time that the holder can have lived after its last write, if AgeKnown is set.
	Age      time.Duration
	AgeKnown bool
	// Spent is what the holder has reported as spent, Used what is counted as spent, and Returned the remainder of the
	// grant, each summed over all organisations.
	Spent, Used, Returned ident.Tokens
}

// CloseHolder closes the rows of a holder that had ended when its successor on the same VM started. allowances are the
// last ones of the holder, or nil if unknown.
func (l *Ledger) CloseHolder(id ident.RouterID, allowances *Allowances, started Moment, clocks []ClockReading) HolderClosure {
	var closure HolderClosure
	if l.trusts(id, allowances) {
		closure.Age, closure.AgeKnown = allowances.age(l.Holders[id].VM, started, clocks)
	}
	for org, row := range l.Holders[id].Rows {
		used := row.Granted
		if closure.AgeKnown {
			used = min(used, allowances.Rows[org].bound(closure.Age, allowances.HoldOff))
		}
		used = max(used, row.Spent)
		closure.Spent += row.Spent
		closure.Used += used
		closure.Returned += row.Granted - used
		if used > 0 {
			l.Closed[org] += used
		}
		l.presume(org, used-row.Spent+l.Holders[id].Assumed[org])
	}
	delete(l.Holders, id)
	return closure
}

// presume records that n of the tokens that count as closed may not have been spent.
func (l *Ledger) presume(org ident.OrgID, n ident.Tokens) {
	if n > 0 {
		l.Presumed[org] += n
	}
}

// CloseDeparted removes the holder of a process that stops with no requests running. For each of its rows it counts
// what the process has spent as closed and returns the rest of the grant. A holder that was not heard after a rewind of the
// store returns nothing.
func (l *Ledger) CloseDeparted(departure Departure) {
	if h := l.Holders[departure.Router]; h != nil {
		for org, row := range h.Rows {
			n := departure.Spent[org]
			if l.isUnheard(departure.Router) {
				n = max(n, row.Granted)
			}
			if n > 0 {
				l.Closed[org] += n
				l.presume(org, n-departure.Spent[org]+departure.Assumed[org])
			}
		}
	}
	delete(l.Holders, departure.Router)
}

// PutTombstone stores a holder without rows for a process that has left. It stays until the next process of the VM and
// prevents a claim that arrives late from restoring the rows.
func (l *Ledger) PutTombstone(departure Departure) {
	l.Holders[departure.Router] = &Holder{VM: departure.VM, StartVersion: departure.StartVersion, Writes: departure.Writes}
}

// Departure is the final report of a process that stops. Writes is greater than the number of any of its claims.
type Departure struct {
	Router       ident.RouterID               `cbor:"1,keyasint"`
	VM           ident.VMID                   `cbor:"2,keyasint"`
	StartVersion ident.ObjectVersion          `cbor:"3,keyasint"`
	Writes       uint64                       `cbor:"4,keyasint"`
	Spent        map[ident.OrgID]ident.Tokens `cbor:"5,keyasint,omitempty"`
	// Assumed is the part of Spent that is only assumed to be spent.
	Assumed map[ident.OrgID]ident.Tokens `cbor:"6,keyasint,omitempty"`
}
