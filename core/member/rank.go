package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"geraniumsaddle/core/ident"
)

// Rank returns the members in the order of their rendezvous hashing weight for a key, highest first. It does not
// depend on the order of members, and the removal of one member does not change the order of the rest.
// The weight uses the router name, so that a restart does not move work.
func Rank(key string, members []ident.RouterID) []ident.RouterID {
	type weighted struct {
		id     ident.RouterID
		weight uint64
	}
	ws := make([]weighted, 0, len(members))
	for _, id := range members {
		var d xxhash.Digest
		d.Reset()
		_, _ = d.WriteString(key)
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(id.Name())
		ws = append(ws, weighted{id, d.Sum64()})
	}
	slices.SortFunc(ws, func(a, b weighted) int {
		if c := cmp.Compare(b.weight, a.weight); c != 0 {
			return c
		}
		return cmp.Compare(a.id, b.id)
	})
	ids := make([]ident.RouterID, 0, len(ws))
	for _, w := range ws {
		ids = append(ids, w.id)
	}
	return ids
}
