package config

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

const (
	// bucketCount divides 31,000 organisations into buckets of about 120, whose references take about
	// 3 KB, while the hashes of all buckets take about 2 KB.
	bucketCount = 256
	// maxPushBytes keeps a push well below the transport's message limit together with one more value.
	maxPushBytes = 256 << 10
	maxPushRefs  = 4096
	maxNames     = 1024
	// objectOverhead is an upper estimate of the encoded size of an object without name and value.
	objectOverhead = 48
)

// bucketSteps are the sizes up to which a kind is compared in fewer buckets.
var bucketSteps = []struct{ items, buckets int }{{32, 1}, {1024, 16}}

func bucketOf(name string) int { return int(xxhash.Sum64String(name) >> 56) }

func itemHash(name string, it item) uint64 {
	var tail [9]byte
	binary.LittleEndian.PutUint64(tail[:], uint64(it.version))
	if it.deleted {
		tail[8] = 1
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(name)
	_, _ = d.Write(tail[:])
	return d.Sum64()
}

func (t *table) hash() uint64 { return t.folded(1)[0] }

// folded returns the bucket hashes reduced to n buckets, where n divides bucketCount.
func (t *table) folded(n int) []uint64 {
	out := make([]uint64, n)
	for i, h := range t.buckets {
		out[i*n/bucketCount] ^= h
	}
	return out
}

// Digest summarises the store. Its size depends on the number of kinds only.
func (s *Store) Digest() Digest {
	d := Digest{Kinds: make([]KindDigest, 0, len(s.kinds))}
	for _, kind := range s.kinds {
		t := s.tables[kind]
		if len(t.items) == 0 && t.floor == 0 {
			continue
		}
		d.Kinds = append(d.Kinds, KindDigest{Kind: kind, Highest: t.highest, Hash: t.hash(), Floor: t.floor})
	}
	return d
}

// Diff returns what to ask the sender of a digest for. If the sender holds a later version, everything
// above the own highest version is wanted first. At equal highest versions the stores differ in older
// objects, and the bucket hashes find them; so they do when the sender has a later list, which may lack
// objects that are held here. Otherwise the sender is behind and asks by itself.
func (s *Store) Diff(remote Digest) Want {
	var w Want
	for _, k := range remote.Kinds {
		if k.Kind == "" || len(k.Kind) > MaxName {
			continue
		}
		t := s.table(k.Kind)
		if t == nil {
			continue
		}
		t.announced = max(t.announced, k.Highest)
		kw := KindWant{Kind: k.Kind}
		switch {
		case t.hash() == k.Hash:
			continue
		case k.Highest > t.highest:
			kw.After, kw.Newer = t.highest, true
		case k.Highest == t.highest, k.Floor > t.floor:
			kw.Buckets = t.folded(bucketsFor(len(t.items)))
		default:
			continue
		}
		w.Kinds = append(w.Kinds, kw)
	}
	return w
}

func bucketsFor(items int) int {
	for _, step := range bucketSteps {
		if items <= step.items {
			return step.buckets
		}
	}
	return bucketCount
}

// Push answers a want. The answer is bounded; what is left out is found by a later digest.
func (s *Store) Push(w Want) Push {
	var p Push
	room := maxPushBytes
	for _, kw := range w.Kinds {
		t, ok := s.tables[kw.Kind]
		if !ok {
			continue
		}
		if kw.Newer {
			room = t.pushNewer(&p, kw, room)
		}
		for _, name := range kw.Names[:min(len(kw.Names), maxNames)] {
			if it, ok := t.items[name]; ok && room > 0 {
				room = p.add(it.object(kw.Kind, name), room)
			}
		}
		if n := len(kw.Buckets); n > 0 && n <= bucketCount && bucketCount%n == 0 {
			if refs := s.differing(kw.Kind, t, kw.Buckets); len(refs.Buckets) > 0 {
				p.Refs = append(p.Refs, refs)
			}
		}
	}
	return p
}

// add appends o and returns the room that is left. The last object may exceed the room, so that a
// single large value can always be sent.
func (p *Push) add(o Object, room int) int {
	p.Objects = append(p.Objects, o)
	return room - len(o.Kind) - len(o.Name) - len(o.Value) - objectOverhead
}

// pushNewer adds objects in the order of their versions, so that a bounded push leaves no gap below
// the highest version that it carries.
func (t *table) pushNewer(p *Push, kw KindWant, room int) int {
	refs := make([]Ref, 0, 64)
	for name, it := range t.items {
		if it.version > kw.After {
			refs = append(refs, Ref{Name: name, Version: it.version})
		}
	}
	slices.SortFunc(refs, compareRefs)
	for _, r := range refs {
		if room <= 0 {
			p.More = append(p.More, kw.Kind)
			break
		}
		room = p.add(t.items[r.Name].object(kw.Kind, r.Name), room)
	}
	return room
}

func compareRefs(a, b Ref) int {
	if c := cmp.Compare(a.Version, b.Version); c != 0 {
		return c
	}
	return cmp.Compare(a.Name, b.Name)
}

// differing returns the references of whole buckets that differ from remote, at least one bucket and
// about maxPushRefs at most. The first bucket changes from call to call, so that buckets in which the
// asking store is ahead cannot keep the others out.
func (s *Store) differing(kind object.Kind, t *table, remote []uint64) KindRefs {
	n := len(remote)
	local := t.folded(n)
	byBucket := make([][]Ref, n)
	for name, it := range t.items {
		b := bucketOf(name) * n / bucketCount
		if local[b] != remote[b] {
			byBucket[b] = append(byBucket[b], Ref{Name: name, Version: it.version, Deleted: it.deleted})
		}
	}
	s.turn++
	kr := KindRefs{Kind: kind, Floor: t.floor, Of: n}
	for i := range n {
		b := (i + s.turn) % n
		if local[b] == remote[b] {
			continue
		}
		if len(kr.Refs) > 0 && len(kr.Refs)+len(byBucket[b]) > maxPushRefs {
			break
		}
		slices.SortFunc(byBucket[b], compareRefs)
		kr.Refs = append(kr.Refs, byBucket[b]...)
		kr.Buckets = append(kr.Buckets, b)
	}
	return kr
}

// Receive applies a push. It returns the objects and deletion marks that were newer, and what to ask
// the same peer for next.
func (s *Store) Receive(p Push) (changed []Object, next Want) {
	for _, o := range p.Objects {
		if s.Apply(o) == Applied {
			changed = append(changed, o)
		}
	}
	for _, kr := range p.Refs {
		objs, kw := s.receiveRefs(kr)
		changed = append(changed, objs...)
		if len(kw.Names) > 0 {
			next.Kinds = append(next.Kinds, kw)
		}
	}
	if len(changed) == 0 {
		// Without progress a faulty peer could keep both sides exchanging the same objects.
		return changed, next
	}
	for _, kind := range p.More {
		next.Kinds = append(next.Kinds, KindWant{Kind: kind, After: s.highest(kind), Newer: true})
	}
	return changed, next
}

// receiveRefs applies the deletions that references tell, and returns the names of newer objects.
func (s *Store) receiveRefs(kr KindRefs) (changed []Object, kw KindWant) {
	kw.Kind = kr.Kind
	t := s.table(kr.Kind)
	if t == nil || kr.Of < 1 || kr.Of > bucketCount || bucketCount%kr.Of != 0 {
		return nil, kw
	}
	named := make(map[string]bool, len(kr.Refs))
	for _, r := range kr.Refs {
		named[r.Name] = true
		if r.Deleted {
			o := Object{Kind: kr.Kind, Name: r.Name, Version: r.Version, Deleted: true}
			if s.Apply(o) == Applied {
				changed = append(changed, o)
			}
			continue
		}
		it, had := t.items[r.Name]
		if r.Version > it.version && (had || r.Version > t.floor) && len(kw.Names) < maxNames {
			kw.Names = append(kw.Names, r.Name)
		}
	}
	if kr.Floor > 0 {
		changed = append(changed, s.markAbsent(kr.Kind, t, kr.Floor, func(name string) bool {
			return !named[name] && slices.Contains(kr.Buckets, bucketOf(name)*kr.Of/bucketCount)
		})...)
	}
	return changed, kw
}

func (s *Store) highest(kind object.Kind) ident.ObjectVersion {
	if t, ok := s.tables[kind]; ok {
		return t.highest
	}
	return 0
}
