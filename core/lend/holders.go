package lend

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"geraniumsaddle/core/elect"
	"geraniumsaddle/core/ident"
)

// maxAlternatives bounds the holders that a router asks for one request.
const maxAlternatives = 4

// Holders lists the holders of an organisation as one router sees them.
type Holders struct {
	// Asked holds the routers to ask for tokens, in this order: the holder of the own failure domain, then those of
	// other domains, and the router that takes the place of the own domain's holder before the last one.
	Asked []elect.Member
	// Count is the number of holders, one in each failure domain.
	Count int
	// Self says that the router is a holder.
	Self bool
}

// HoldersOf ranks the members by rendezvous hashing, so that all routers agree on the holders of an organisation and a
// member that comes or goes changes few of them.
func HoldersOf(org ident.OrgID, members []elect.Member, self elect.Member) Holders {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b elect.Member) int {
		return cmp.Or(cmp.Compare(weight(org, b.VM), weight(org, a.VM)), cmp.Compare(a.VM, b.VM))
	})
	byDomain := make(map[ident.DomainID][]elect.Member)
	var tops []elect.Member
	for _, m := range ranked {
		if m.Addr == "" {
			continue // it cannot be asked
		}
		if len(byDomain[m.Domain]) == 0 {
			tops = append(tops, m)
		}
		byDomain[m.Domain] = append(byDomain[m.Domain], m)
	}
	own := byDomain[self.Domain]
	h := Holders{Count: len(tops), Self: len(own) > 0 && own[0] == self}
	if len(own) > 0 {
		h.Asked = append(h.Asked, own[0])
	}
	for _, m := range tops {
		if m.Domain != self.Domain && len(h.Asked) < maxAlternatives-1 {
			h.Asked = append(h.Asked, m)
		}
	}
	if len(own) > 1 {
		h.Asked = slices.Insert(h.Asked, min(2, len(h.Asked)), own[1])
	}
	return h
}

func weight(org ident.OrgID, vm ident.VMID) uint64 {
	return xxhash.Sum64String(string(org) + "\x00" + string(vm))
}
