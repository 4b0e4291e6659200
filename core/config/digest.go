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
	// bucketCount divides 31,000 organisations into buckets of about 120. The references of one bucket take about 3 KB
	// and the hashes of all buckets about 2 KB.
	bucketCount = 256
	// maxPushBytes keeps a push, even with one more value, well below the message limit of the transport.
	maxPushBytes = 256 << 10
	maxPushRefs  = 4096
	maxNames     = 1024
	// objectOverhead is an upper bound on the encoded size of an object without its kind, name and value.
	objectOverhead = 48
)

// bucketSteps lists the number of items up to which a kind is compared with fewer buckets than bucketCount.
var bucketSteps = []struct{ items, buckets int }{{32, 1}, {1024, 16}}

func bucketOf(name string) int { return int(xxhash.Sum64String(name) >> 56) }

func itemHash(name string, it item) uint64 {
	var suffix [9]byte
	binary.LittleEndian.PutUint64(suffix[:], uint64(it.version))
	if it.deleted {
		suffix[8] = 1
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(name)
	_, _ = d.Write(suffix[:])
	return d.Sum64()
}

func (t *table) hash() uint64 { return t.foldBuckets(1)[0] }

// foldBuckets combines the bucket hashes into n buckets. n must divide bucketCount.
func (t *table) foldBuckets(n int) []uint64 {
	folded := make([]uint64, n)
	for i, h := range t.buckets {
		folded[i*n/bucketCount] ^= h
	}
	return folded
}

// Digest summarises the store. Its size depends only on the number of kinds.
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

// Diff returns what to request from the sender of a digest. If the sender has a later version, Diff first requests all
// objects above the highest version of this store. At equal highest versions the stores differ in older objects, which
// the bucket hashes locate. The bucket hashes are also sent if the sender has a later complete list, which may lack
// objects of this store. Otherwise the sender is behind and makes a request of its own.
func (s *Store) Diff(remote Digest) Want {
	var w Want
	for _, k := range remote.Kinds {
		if k.Kind == "" || len(k.Kind) > MaxNameBytes {
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
			kw.Buckets = t.foldBuckets(bucketsFor(len(t.items)))
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

// AnswerWant answers a want. The size of the answer is bounded; a later digest reveals what was left out.
func (s *Store) AnswerWant(w Want) Push {
	var p Push
	remaining := maxPushBytes
	for _, kw := range w.Kinds {
		t, ok := s.tables[kw.Kind]
		if !ok {
			continue
		}
		if kw.Newer {
			remaining = t.pushNewer(&p, kw, remaining)
		}
		for _, name := range kw.Names[:min(len(kw.Names), maxNames)] {
			if it, ok := t.items[name]; ok && remaining > 0 {
				remaining = p.add(it.object(kw.Kind, name), remaining)
			}
		}
		if n := len(kw.Buckets); n > 0 && n <= bucketCount && bucketCount%n == 0 {
			if refs := s.differingRefs(kw.Kind, t, kw.Buckets); len(refs.Buckets) > 0 {
				p.Refs = append(p.Refs, refs)
			}
		}
	}
	return p
}

// add appends o and returns the number of bytes that remain. The last object may be larger than what remains, so that a
// single large value can always be sent.
func (p *Push) add(o Object, remaining int) int {
	p.Objects = append(p.Objects, o)
	return remaining - len(o.Kind) - len(o.Name) - len(o.Value) - objectOverhead
}

// pushNewer adds objects in the order of their versions, so that a truncated push has no gap below the highest version
// that it carries.
func (t *table) pushNewer(p *Push, kw KindWant, remaining int) int {
	refs := make([]Ref, 0, 64)
	for name, it := range t.items {
		if it.version > kw.After {
			refs = append(refs, Ref{Name: name, Version: it.version})
		}
	}
	slices.SortFunc(refs, compareRefs)
	for _, r := range refs {
		if remaining <= 0 {
			p.More = append(p.More, kw.Kind)
			break
		}
		remaining = p.add(t.items[r.Name].object(kw.Kind, r.Name), remaining)
	}
	return remaining
}

func compareRefs(a, b Ref) int {
	if c := cmp.Compare(a.Version, b.Version); c != 0 {
		return c
	}
	return cmp.Compare(a.Name, b.Name)
}

// differingRefs returns the references in buckets whose hashes differ from remote. It returns whole buckets, at least
// one, and at most maxPushRefs references unless a single bucket has more. The first bucket changes from call to call,
// so that buckets in which the requesting store is ahead cannot crowd out the others.
func (s *Store) differingRefs(kind object.Kind, t *table, remote []uint64) KindRefs {
	n := len(remote)
	local := t.foldBuckets(n)
	byBucket := make([][]Ref, n)
	for name, it := range t.items {
		b := bucketOf(name) * n / bucketCount
		if local[b] != remote[b] {
			byBucket[b] = append(byBucket[b], Ref{Name: name, Version: it.version, Deleted: it.deleted})
		}
	}
	s.firstBucket++
	kr := KindRefs{Kind: kind, Floor: t.floor, BucketCount: n}
	for i := range n {
		b := (i + s.firstBucket) % n
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

// ApplyPush applies a push. It returns the objects and tombstones that were applied, and what to request next from the
// same peer.
func (s *Store) ApplyPush(p Push) (changed []Object, next Want) {
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
		// Without this check a faulty peer could make both sides exchange the same objects forever.
		return changed, next
	}
	for _, kind := range p.More {
		next.Kinds = append(next.Kinds, KindWant{Kind: kind, After: s.highest(kind), Newer: true})
	}
	return changed, next
}

// receiveRefs applies the deletions that the references imply and requests newer objects by name.
func (s *Store) receiveRefs(kr KindRefs) (changed []Object, kw KindWant) {
	kw.Kind = kr.Kind
	t := s.table(kr.Kind)
	if t == nil || kr.BucketCount < 1 || kr.BucketCount > bucketCount || bucketCount%kr.BucketCount != 0 {
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
		it, exists := t.items[r.Name]
		if r.Version > it.version && (exists || r.Version > t.floor) && len(kw.Names) < maxNames {
			kw.Names = append(kw.Names, r.Name)
		}
	}
	if kr.Floor > 0 {
		changed = append(changed, s.markDeleted(kr.Kind, t, kr.Floor, func(name string) bool {
			return !named[name] && slices.Contains(kr.Buckets, bucketOf(name)*kr.BucketCount/bucketCount)
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
