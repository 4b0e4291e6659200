package escrow

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

const (
	// Format is the newest shard format that this program reads and the one it writes.
	Format = 1
	// ShardCount is the number of ledger objects, and of slot objects in each failure domain.
	ShardCount = 64
	// MaxHolders bounds the rows of an entry. With object.MaxTokens it keeps every sum below 2^63.
	MaxHolders = 4096
)

// Shard is the value of one ledger or slots object of the platform.
type Shard struct {
	Format  int     `json:"format"`
	Entries []Entry `json:"entries"` // sorted by ID
}

// ShardNumber returns the shard of an entry.
func ShardNumber(id EntryID) int { return int(xxhash.Sum64String(string(id)) % ShardCount) }

// LedgerKey returns the key of the object that holds the entry of a budget or of a limit.
func LedgerKey(id EntryID) object.Key {
	return object.Key{Kind: object.KindLedger, Name: fmt.Sprintf("%02d", ShardNumber(id))}
}

// SlotsKey returns the key of the object that holds the entry of a target.
func SlotsKey(domain ident.DomainID, id ident.TargetID) object.Key {
	return object.Key{Kind: object.KindSlots, Name: fmt.Sprintf("%s-%02d", domain, ShardNumber(TargetEntryID(id)))}
}

// NewShard returns an empty shard.
func NewShard() Shard { return Shard{Format: Format} }

// Decode reads and validates a shard. It rejects a newer format and counters outside their range.
func Decode(b []byte) (Shard, error) {
	var s Shard
	if err := json.Unmarshal(b, &s); err != nil {
		return Shard{}, trace.BadParameter("shard is not valid JSON: %v", err)
	}
	if err := s.Validate().Err(); err != nil {
		return Shard{}, trace.BadParameter("shard is invalid: %v", err)
	}
	return s, nil
}

// Encode returns the JSON form. Equal shards have equal encodings.
func (s Shard) Encode() ([]byte, error) {
	b, err := json.Marshal(s)
	return b, trace.Wrap(err)
}

// Entry returns an entry of the shard, or nil. The caller must not modify it.
func (s Shard) Entry(id EntryID) *Entry {
	if i, ok := s.findEntry(id); ok {
		return &s.Entries[i]
	}
	return nil
}

// With returns a copy of the shard in which e replaces the entry with the same ID or is added.
func (s Shard) With(e Entry) Shard {
	i, ok := s.findEntry(e.ID)
	s.Entries = slices.Clone(s.Entries)
	if ok {
		s.Entries[i] = e
		return s
	}
	s.Entries = slices.Insert(s.Entries, i, e)
	return s
}

func (s Shard) findEntry(id EntryID) (int, bool) {
	return slices.BinarySearchFunc(s.Entries, id, func(e Entry, id EntryID) int { return cmp.Compare(e.ID, id) })
}

// Validate returns every fault of the shard.
func (s Shard) Validate() object.Faults {
	var f object.Faults
	if s.Format < 1 || s.Format > Format {
		f = append(f, object.Fault{Path: "format", Message: fmt.Sprintf("must be between 1 and %d", Format)})
	}
	for i := range s.Entries {
		p := fmt.Sprintf("entries[%d]", i)
		if i > 0 && s.Entries[i-1].ID >= s.Entries[i].ID {
			f = append(f, object.Fault{Path: p + ".id", Message: "must be sorted and unique"})
		}
		f = append(f, s.Entries[i].validateAt(p)...)
	}
	return f
}
