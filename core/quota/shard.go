package quota

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"geraniumsaddle/core/ident"
)

const (
	// newFleetShards is the number of ledgers of a new fleet. There are several, so that the writes of one ledger do not
	// delay those of the others. There are few, so that each write shows a router much of the state of the others.
	newFleetShards = 4
	// largeFleetShards is the number of ledgers of a new fleet whose routers write through one of them. Its writes do not
	// conflict, and each of them is one call of the store.
	largeFleetShards = 1
	// maxShards bounds the number of shards in a stored layout.
	maxShards = 4096
)

// Shard is the number of a ledger.
type Shard int

// Layout defines how the organisations are distributed over ledgers. It is stored once, by the first router of a fleet,
// and never changes, because two routers with different layouts would grant the same tokens twice.
type Layout struct {
	Format int `json:"format"`
	Shards int `json:"shards"`
}

// NewLayout returns the layout of a new fleet whose routers write by themselves.
func NewLayout() Layout {
	return Layout{Format: Format, Shards: newFleetShards}
}

// NewLargeLayout returns the layout of a new fleet whose routers write through one of them.
func NewLargeLayout() Layout {
	return Layout{Format: Format, Shards: largeFleetShards}
}

// DecodeLayout decodes a stored layout.
func DecodeLayout(b []byte) (Layout, error) {
	var l Layout
	if err := json.Unmarshal(b, &l); err != nil {
		return Layout{}, fmt.Errorf("decode layout: %w", err)
	}
	if l.Format != Format {
		return Layout{}, fmt.Errorf("decode layout: %w: %d", ErrFormat, l.Format)
	}
	if l.Shards < 1 || l.Shards > maxShards {
		return Layout{}, fmt.Errorf("decode layout: %d shards, not between 1 and %d", l.Shards, maxShards)
	}
	return l, nil
}

// Encode encodes the layout.
func (l Layout) Encode() []byte {
	b, err := json.Marshal(l)
	if err != nil {
		panic(err) // A struct of numbers always encodes.
	}
	return b
}

// ShardOf returns the shard whose ledger holds an organisation's tokens.
func (l Layout) ShardOf(id ident.OrgID) Shard {
	return Shard(xxhash.Sum64String(string(id)) % uint64(l.Shards))
}
