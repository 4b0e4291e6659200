package quota

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"geraniumsaddle/core/ident"
)

const (
	// smallFleet is the number of routers up to which few ledgers are best: each write then shows a router much of
	// the others' state. In a larger fleet the writes of many routers to one ledger conflict.
	smallFleet = 16
	fewShards  = 4
	manyShards = 64
	// maxShards bounds what a stored layout may say.
	maxShards = 4096
)

// Shard numbers a ledger.
type Shard int

// Layout says how the organisations are spread over ledgers. It is stored once, by the first router of a fleet, and
// never changes, because two routers with different layouts would grant the same tokens twice.
type Layout struct {
	Format int `json:"format"`
	Shards int `json:"shards"`
}

// LayoutFor returns the layout for a fleet that starts with a number of routers.
func LayoutFor(routers int) Layout {
	if routers <= smallFleet {
		return Layout{Format: Format, Shards: fewShards}
	}
	return Layout{Format: Format, Shards: manyShards}
}

// DecodeLayout decodes a stored layout.
func DecodeLayout(b []byte) (Layout, error) {
	var l Layout
	if err := json.Unmarshal(b, &l); err != nil {
		return Layout{}, fmt.Errorf("decode layout: %w", err)
	}
	if l.Format != Format {
		return Layout{}, fmt.Errorf("%w: %d", ErrFormat, l.Format)
	}
	if l.Shards < 1 || l.Shards > maxShards {
		return Layout{}, fmt.Errorf("decode layout: %d shards", l.Shards)
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

// Of returns the ledger that holds an organisation's tokens.
func (l Layout) Of(id ident.OrgID) Shard {
	return Shard(xxhash.Sum64String(string(id)) % uint64(l.Shards))
}
