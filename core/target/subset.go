package target

import (
	"slices"

	"geraniumsaddle/core/ident"
)

// minRoutersPerTarget is the least number of routers that use each target, so that the loss of one router leaves no
// target without traffic.
const minRoutersPerTarget = 2

// routerHashes returns the sorted, distinct hashes of the routers' names. The names leave out the epoch, so that a
// router keeps its subset over a restart.
func routerHashes(routers []ident.RouterID) []uint64 {
	hashes := make([]uint64, 0, len(routers))
	for _, r := range routers {
		hashes = append(hashes, hash("router/"+r.Name()))
	}
	slices.Sort(hashes)
	return slices.Compact(hashes)
}

// splitSubset divides the members into the subset of the router self and the rest. Each target is used by its first
// routers by rendezvous hashing, so every target is in some subset, and a change of one router or target moves few
// others. The mean size of a subset is at least size.
func splitSubset(members []*member, self uint64, routers []uint64, size int) (inSubset, outsideSubset []*member) {
	if len(members) <= size || len(routers) <= minRoutersPerTarget {
		return members, nil
	}
	routersPerTarget := max(minRoutersPerTarget, (size*len(routers)+len(members)-1)/len(members))
	for _, m := range members {
		ownScore := mix(self ^ m.idHash)
		higher := 0
		for _, r := range routers {
			if mix(r^m.idHash) > ownScore {
				higher++
			}
		}
		if higher < routersPerTarget {
			inSubset = append(inSubset, m)
		} else {
			outsideSubset = append(outsideSubset, m)
		}
	}
	return inSubset, outsideSubset
}
