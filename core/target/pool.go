package target

import (
	"slices"
	"time"

	"geraniumsaddle/core/ident"
)

// Key identifies a pool: one model or service in one failure domain.
type Key struct {
	Model   ident.ModelID
	Service ident.ServiceID
	Domain  ident.DomainID
}

// Pool is an immutable snapshot of the targets of one model or service in one failure domain.
type Pool struct {
	key         Key
	start       time.Time
	sets        map[ident.VersionID]*versionSet
	lines       []line
	addedShifts []shift
	hints       *hintTable
}

// versionSet holds the targets of a pool that have one version loaded.
type versionSet struct {
	version     ident.VersionID
	stats       *versionStats
	shifts      []shift
	predecessor *versionSet
	// activeTargets counts the targets that are neither leaving nor gone, including ejected ones.
	activeTargets int
	withdrawn     bool
	// inSubset holds the healthy targets in this router's subset, and outsideSubset those outside it.
	inSubset      []*member
	outsideSubset []*member
	halfOpen      []*member
	buckets       []bucket
	adapters      map[string][]*member
	serials       map[uint32]*member
}

// member is a target in a snapshot.
type member struct {
	id       ident.TargetID
	url      string
	idHash   uint64
	capacity float64
	shared   *sharedState
	// anyRequest allows a request that cannot be retried as the trial of a half-open target.
	anyRequest bool
}

// bucket is a part of a version set. Rendezvous hashing picks a bucket first and then hashes only its members, which
// keeps it cheap in a large set.
type bucket struct {
	salt    uint64
	members []*member
}

const meanBucketSize = 32

// buildIndexes builds the lookup tables of a set once its members are known.
func (s *versionSet) buildIndexes(adapters map[ident.TargetID][]string) {
	s.serials = make(map[uint32]*member, len(s.inSubset))
	count := 1
	for count*meanBucketSize*3/2 < len(s.inSubset) {
		count *= 2
	}
	all := make([]bucket, count)
	for i := range all {
		all[i].salt = mix(uint64(i) + 1)
	}
	for _, m := range s.inSubset {
		s.serials[m.shared.serial.Load()] = m
		b := &all[mix(m.idHash)&uint64(count-1)]
		b.members = append(b.members, m)
		for _, a := range adapters[m.id] {
			if s.adapters == nil {
				s.adapters = make(map[string][]*member)
			}
			s.adapters[a] = append(s.adapters[a], m)
		}
	}
	s.buckets = slices.DeleteFunc(all, func(b bucket) bool { return len(b.members) == 0 })
}

// rendezvousTopTwo returns the first and second target for a prefix by rendezvous hashing, or nil where there is none.
func (s *versionSet) rendezvousTopTwo(prefix uint64) (first, second *member) {
	var candidates []*member
	var highest uint64
	for i := range s.buckets {
		b := &s.buckets[i]
		if score := mix(prefix ^ b.salt); candidates == nil || score > highest {
			candidates, highest = b.members, score
		}
	}
	var firstScore, secondScore uint64
	for _, m := range candidates {
		score := mix(prefix ^ m.idHash)
		switch {
		case first == nil || score > firstScore:
			second, secondScore = first, firstScore
			first, firstScore = m, score
		case second == nil || score > secondScore:
			second, secondScore = m, score
		}
	}
	return first, second
}

// averageOtherRequests returns the mean number of requests from other routers per active target of the set.
func (s *versionSet) averageOtherRequests() float64 {
	if s.activeTargets == 0 {
		return 0
	}
	return float64(s.stats.otherRequests.Load()) / float64(s.activeTargets)
}
