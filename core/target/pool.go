package target

import (
	"slices"
	"time"

	"geraniumsaddle/core/ident"
)

// Key names a pool: one model or one service in one failure domain.
type Key struct {
	Model   ident.ModelID
	Service ident.ServiceID
	Domain  ident.DomainID
}

// Pool is an immutable snapshot of the targets of one model or service in one failure domain.
type Pool struct {
	key   Key
	base  time.Time
	sets  map[ident.VersionID]*set
	lines []line
	added []step
	hints *hints
}

// set is the targets of a pool that have one version loaded.
type set struct {
	version  ident.VersionID
	stat     *stat
	steps    []step
	fallback *set
	// active counts the targets that are neither leaving nor gone, ejected ones included.
	active    int
	withdrawn bool
	// usable holds this router's subset, and others the rest.
	usable   []*member
	others   []*member
	trials   []*member
	buckets  []bucket
	adapters map[string][]*member
	serials  map[uint32]*member
}

// member is a target in a snapshot.
type member struct {
	id       ident.TargetID
	url      string
	hash     uint64
	capacity float64
	live     *live
	// anyTrial lets a half-open target try a request that cannot be retried.
	anyTrial bool
}

// bucket is a part of a set. Hashing over buckets first and then inside one keeps rendezvous hashing
// cheap in a large set.
type bucket struct {
	salt    uint64
	members []*member
}

const bucketSize = 32

// index builds the lookups of a set after its members are known.
func (s *set) index(adapters map[ident.TargetID][]string) {
	s.serials = make(map[uint32]*member, len(s.usable))
	count := 1
	for count*bucketSize*3/2 < len(s.usable) {
		count *= 2
	}
	all := make([]bucket, count)
	for i := range all {
		all[i].salt = mix(uint64(i) + 1)
	}
	for _, m := range s.usable {
		s.serials[m.live.serial.Load()] = m
		b := &all[mix(m.hash)&uint64(count-1)]
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

// ranked returns the first and second target for a prefix by rendezvous hashing.
func (s *set) ranked(prefix uint64) (first, second *member) {
	var in []*member
	var high uint64
	for i := range s.buckets {
		b := &s.buckets[i]
		if score := mix(prefix ^ b.salt); in == nil || score > high {
			in, high = b.members, score
		}
	}
	var top, runner uint64
	for _, m := range in {
		score := mix(prefix ^ m.hash)
		switch {
		case first == nil || score > top:
			second, runner = first, top
			first, top = m, score
		case second == nil || score > runner:
			second, runner = m, score
		}
	}
	return first, second
}

// average returns the mean number of requests of other routers at a target of the set.
func (s *set) average() float64 {
	if s.active == 0 {
		return 0
	}
	return float64(s.stat.others.Load()) / float64(s.active)
}
