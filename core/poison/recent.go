package poison

import (
	"hash/maphash"
	"time"
)

// maxRecent bounds each of the two generations of recent answers: two prompts of 4,000 parts.
const maxRecent = 8 << 10

// recentAnswers remembers when parts were last answered. It forgets the parts that were not answered for longest. Parts are
// hashed with a key of this process, so that an entry keeps no request's head in memory and nobody can choose a part that
// counts as another one.
type recentAnswers struct {
	seed         maphash.Seed
	newer, older map[uint64]time.Time
}

func newRecentAnswers() recentAnswers {
	return recentAnswers{seed: maphash.MakeSeed(), newer: make(map[uint64]time.Time), older: make(map[uint64]time.Time)}
}

func (r *recentAnswers) key(p Part) uint64 { return maphash.Comparable(r.seed, p) }

func (r *recentAnswers) record(p Part, now time.Time) {
	key := r.key(p)
	if _, known := r.newer[key]; !known && len(r.newer) >= maxRecent {
		r.older, r.newer = r.newer, make(map[uint64]time.Time)
	}
	r.newer[key] = now
}

// lastOf returns when a part was last answered, or zero if that is not remembered.
func (r *recentAnswers) lastOf(p Part) time.Time {
	key := r.key(p)
	if at, ok := r.newer[key]; ok {
		return at
	}
	return r.older[key]
}
