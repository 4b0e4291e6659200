package place

import (
	"maps"
	"slices"

	"geraniumsaddle/core/ident"
)

// RegionFilter restricts the regions of targets.
type RegionFilter struct {
	// Lists holds the allowed regions of the route and of the organisation. An empty list restricts nothing; if neither is
	// empty, a region has to be in both.
	Lists [2][]ident.RegionID
}

// SetRegions sets the region of each failure domain. The targets of one without a region may get only requests that no
// region restricts.
func (f *Fleet) SetRegions(regions map[ident.DomainID]ident.RegionID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.regions = maps.Clone(regions)
}

// inRegion reports whether a target is in an allowed region. The caller holds f.mu.
func (f *Fleet) inRegion(m *member, filter *RegionFilter) bool {
	for _, allowed := range filter.Lists {
		if len(allowed) == 0 {
			continue
		}
		region, known := f.regions[m.Domain]
		if !known || !slices.Contains(allowed, region) {
			return false
		}
	}
	return true
}
