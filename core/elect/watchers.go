package elect

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"geraniumsaddle/core/ident"
)

// Watchers returns the n members of the failure domain of self that watch the store for the others, in the order in
// which self asks them. All routers that know the same members agree on them, and each begins with another one, so that
// their load is equal.
func Watchers(members []Member, self Member, n int) []Member {
	var domain []Member
	for _, m := range members {
		if m.Addr != "" && m.Domain == self.Domain { // others cannot be asked
			domain = append(domain, m)
		}
	}
	sortByWeight(domain, "watcher")
	domain = domain[:min(len(domain), n)]
	sortByWeight(domain, string(self.VM))
	return domain
}

// Keepers returns the n members that write what all know to the store.
func Keepers(members []Member, n int) []Member {
	keepers := slices.Clone(members)
	sortByWeight(keepers, "keeper")
	return keepers[:min(len(keepers), n)]
}

// Weight returns the weight of a VM for a key in rendezvous hashing: a VM that comes or goes leaves the order of the
// others as it is.
func Weight(key string, vm ident.VMID) uint64 { return xxhash.Sum64String(key + "\x00" + string(vm)) }

// sortByWeight orders members by their weight for a key.
func sortByWeight(members []Member, key string) {
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(Weight(key, a.VM), Weight(key, b.VM)), cmp.Compare(a.VM, b.VM))
	})
}
