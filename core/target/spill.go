package target

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"geraniumsaddle/core/ident"
)

// maxSpillReportAge is the age up to which a load report counts as fresh.
const maxSpillReportAge = 10 * time.Second

// poolStats holds the totals of a pool, in this or another failure domain.
type poolStats struct {
	active        int
	capacity      int64
	otherRequests atomic.Int64
	asOf          atomic.Int64 // time since Config.Start of the newest report
}

// SpillCandidate is another failure domain that may take a request for which the local one has no capacity.
type SpillCandidate struct {
	Domain ident.DomainID
	// Free is the estimated number of free slots. It may be negative.
	Free int64
	// Fresh reports whether a target of the failure domain has recently reported its load.
	Fresh bool
}

// SpillCandidates returns the other failure domains with targets for the model or service of key. Those with a fresh
// report come first, then those with more free slots. The caller has to know whether they are reachable.
func (t *Table) SpillCandidates(key Key, now time.Time) []SpillCandidate {
	var out []SpillCandidate
	for k, s := range t.poolStats {
		if k.Model != key.Model || k.Service != key.Service || k.Domain == key.Domain || s.active == 0 {
			continue
		}
		asOf := s.asOf.Load()
		out = append(out, SpillCandidate{
			Domain: k.Domain,
			Free:   s.capacity - s.otherRequests.Load(),
			Fresh:  asOf > 0 && now.Sub(t.start)-time.Duration(asOf) <= maxSpillReportAge,
		})
	}
	slices.SortFunc(out, func(a, b SpillCandidate) int {
		if a.Fresh != b.Fresh {
			if a.Fresh {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.Free, a.Free), cmp.Compare(a.Domain, b.Domain))
	})
	return out
}
