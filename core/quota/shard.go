package quota

import (
	"github.com/cespare/xxhash/v2"

	"geraniumsaddle/core/ident"
)

// Shards is the number of ledgers that the organisations are spread over. More of them conflict less often, and fewer
// need fewer writes.
const Shards = 4

// Shard numbers a ledger, from 0 to Shards - 1.
type Shard int

// ShardOf returns the ledger that holds an organisation's tokens.
func ShardOf(id ident.OrgID) Shard {
	return Shard(xxhash.Sum64String(string(id)) % Shards)
}
