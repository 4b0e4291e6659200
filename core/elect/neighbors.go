package elect

import "slices"

// Neighborhood says to which routers of its failure domain a router tells its load.
type Neighborhood struct {
	// Index is the place of the router in the order of the routers of its domain, and Routers their number. A router that is
	// not among the members counts as the first one.
	Index, Routers int
	// Neighbors are the routers that it tells. As many others tell it.
	Neighbors []Member
}

// Neighbors returns the neighborhood of self with at most n neighbors. On a ring of the members of the domain they lie at
// equal distances, so that what reaches a router is an even sample of the domain.
func Neighbors(members []Member, self Member, n int) Neighborhood {
	var ring []Member
	for _, m := range members {
		if m.Domain == self.Domain && (m.Addr != "" || m.VM == self.VM) {
			ring = append(ring, m)
		}
	}
	sortByWeight(ring, "load")
	h := Neighborhood{Routers: max(len(ring), 1)}
	h.Index = max(slices.IndexFunc(ring, func(m Member) bool { return m.VM == self.VM }), 0)
	others := len(ring) - 1
	n = min(n, others)
	for i := range n {
		h.Neighbors = append(h.Neighbors, ring[(h.Index+1+i*others/n)%len(ring)])
	}
	return h
}
