package target

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"geraniumsaddle/core/ident"
)

// spillFresh is the age up to which a load report speaks for a failure domain.
const spillFresh = 10 * time.Second

// poolStat holds the totals of a pool, also of pools in other failure domains.
type poolStat struct {
	active   int
	capacity int64
	others   atomic.Int64
	asOf     atomic.Int64 // time since Config.Start of the newest report
}

// SpillCandidate is a failure domain that may take a request for which the own one has no capacity.
type SpillCandidate struct {
	Domain ident.DomainID
	// Free is the estimated number of free slots; it may be negative.
	Free int64
	// Fresh says that a target of the failure domain has reported its load recently.
	Fresh bool
}

// SpillCandidates lists other failure domains with targets for the model or service of key, the most promising
// first. Whether they can be reached is for the caller to know.
func (t *Table) SpillCandidates(key Key, now time.Time) []SpillCandidate {
	var out []SpillCandidate
	for k, s := range t.domains {
		if k.Model != key.Model || k.Service != key.Service || k.Domain == key.Domain || s.active == 0 {
			continue
		}
		asOf := s.asOf.Load()
		out = append(out, SpillCandidate{
			Domain: k.Domain,
			Free:   s.capacity - s.others.Load(),
			Fresh:  asOf > 0 && now.Sub(t.base)-time.Duration(asOf) <= spillFresh,
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
