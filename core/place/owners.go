package place

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ownerCount is the number of engines that share the requests with a part of a prompt before others do.
	ownerCount = 3
	// maxOwnerEntries bounds the parts whose owners are remembered.
	maxOwnerEntries = 1024
)

// owners are the engines with the highest rendezvous scores for a part, the highest one first. Missing ones are nil.
type owners [ownerCount]*member

// ownerKey identifies a part and whether its first owner is that of all failure domains.
type ownerKey struct {
	part uint64
	wide bool
}

func partHash(part Part) uint64 { return max(xxhash.Sum64String(part.ID), 1) }

// ownersOf returns the owners of a part among the home targets, on which all routers of a failure domain agree. A wide part has
// one engine of any failure domain before them, on which all routers agree.
func (p *pool) ownersOf(key ownerKey) owners {
	if o, ok := p.ownerMap[key]; ok {
		return o
	}
	o := rankOwners(key.part, p.home)
	if first := rankOwners(key.part, p.far)[0]; key.wide && first != nil &&
		(o[0] == nil || rendezvousScore(key.part, first.hash) > rendezvousScore(key.part, o[0].hash)) {
		o = owners{first, o[0], o[1]}
	}
	if len(p.ownerMap) >= maxOwnerEntries {
		clear(p.ownerMap)
	}
	p.ownerMap[key] = o
	return o
}

// rankOwners returns the targets with the highest scores for a part.
func rankOwners(part uint64, targets []*member) owners {
	var o owners
	var scores [ownerCount]uint64
	for _, m := range targets {
		score := rendezvousScore(part, m.hash)
		candidate := m
		for i := range o {
			if o[i] == nil || score > scores[i] {
				o[i], candidate = candidate, o[i]
				scores[i], score = score, scores[i]
			}
			if candidate == nil {
				break
			}
		}
	}
	return o
}

// owns reports whether a target is one of the owners.
func (o owners) owns(m *member) bool { return slices.Contains(o[:], m) }

// caches reports whether an engine probably has the shared part of a request in its cache. The first owner reads it for all
// routers, and in a self-sufficient failure domain each next one once those before it are loaded beyond their bound or cannot be reached. Of other
// engines a router knows only what it has sent there itself. The caller holds Fleet.mu.
func (f *Fleet) caches(p *pool, m *member, d *demand, now time.Time) bool {
	if d.shared == 0 {
		return false
	}
	for _, o := range d.owners {
		if o == m {
			return true
		}
		if o == nil || !p.selfSufficient || f.domainRequestsAt(o) <= p.bound() && !f.suspectUnreachable(o.Domain, now) {
			break
		}
	}
	return p.reads.has(d.shared, m)
}

const (
	// readMemory is the time for which a readLog holds an entry at least, and at most twice as long. Engines need the room of
	// parts that are not used for some seconds.
	readMemory = 5 * time.Second
	// maxReads bounds the entries of a generation.
	maxReads = 1024
)

// readLog remembers which engines have recently read which parts for this router. It keeps two generations, and forgets the
// older one as a whole.
type readLog struct {
	current, previous map[uint64]struct{}
	since             time.Time
}

func readKey(part uint64, m *member) uint64 { return rendezvousScore(part, m.hash) }

func (l *readLog) add(part uint64, m *member, now time.Time) {
	if l.current == nil || len(l.current) >= maxReads || now.Sub(l.since) > readMemory {
		l.current, l.previous = make(map[uint64]struct{}), l.current
		l.since = now
	}
	l.current[readKey(part, m)] = struct{}{}
}

func (l *readLog) has(part uint64, m *member) bool {
	key := readKey(part, m)
	if _, ok := l.current[key]; ok {
		return true
	}
	_, ok := l.previous[key]
	return ok
}
