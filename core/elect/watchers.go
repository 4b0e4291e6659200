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
	sortByHash(domain, "watcher")
	domain = domain[:min(len(domain), n)]
	sortByHash(domain, string(self.VM))
	return domain
}

// sortByHash orders members by a hash of their VM and a key.
func sortByHash(members []Member, key string) {
	weight := func(vm ident.VMID) uint64 { return xxhash.Sum64String(key + "\x00" + string(vm)) }
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(weight(a.VM), weight(b.VM)), cmp.Compare(a.VM, b.VM))
	})
}
