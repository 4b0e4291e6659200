package lend

import (
	"cmp"
	"slices"

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
	byDomain := make(map[ident.DomainID][]ranked)
	for _, m := range members {
		if m.Addr != "" { // others cannot be asked
			byDomain[m.Domain] = insertRanked(byDomain[m.Domain], ranked{m, elect.Weight(string(org), m.VM)})
		}
	}
	var tops []ranked
	for domain, best := range byDomain {
		if domain != self.Domain {
			tops = append(tops, best[0])
		}
	}
	slices.SortFunc(tops, compareRanks)
	own := byDomain[self.Domain]
	h := Holders{Count: len(byDomain), Self: len(own) > 0 && own[0].Member == self}
	if len(own) > 0 {
		h.Asked = append(h.Asked, own[0].Member)
	}
	for _, m := range tops[:min(len(tops), maxAlternatives-2)] {
		h.Asked = append(h.Asked, m.Member)
	}
	if len(own) > 1 {
		h.Asked = slices.Insert(h.Asked, min(2, len(h.Asked)), own[1].Member)
	}
	return h
}

// ranked is a member with its weight for an organisation. The one with the highest weight comes first.
type ranked struct {
	elect.Member
	weight uint64
}

func compareRanks(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.VM, b.VM))
}

// insertRanked inserts a member into the first two of its failure domain.
func insertRanked(best []ranked, m ranked) []ranked {
	i, _ := slices.BinarySearchFunc(best, m, compareRanks)
	best = slices.Insert(best, i, m)
	return best[:min(len(best), 2)]
}
