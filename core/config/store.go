package config

import (
	"slices"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// The limits on what a store accepts. A peer or a platform that exceeds them is faulty.
const (
	MaxKinds                  = 64
	MaxNameBytes              = 256 // of a name and of a kind
	MaxValueBytes ident.Bytes = 1 << 20
)

// ApplyResult is the result of Apply.
type ApplyResult uint8

// The results of Apply.
const (
	Applied ApplyResult = iota + 1
	// Older means that the store holds a later version, or that the latest complete list lacks the object.
	Older
	// Known means that the store already holds this version.
	Known
	// Invalid means that the object lacks a kind, name or version, or exceeds a limit.
	Invalid
)

// Store holds the newest known version of each object. It is not safe for concurrent use.
type Store struct {
	tables      map[object.Kind]*table
	kinds       []object.Kind // sorted
	firstBucket int           // first bucket of the next references, see differingRefs
}

// table holds the objects of one kind.
type table struct {
	items     map[string]item
	liveCount int
	highest   ident.ObjectVersion
	// announced is the highest version that the platform or a peer has mentioned.
	announced ident.ObjectVersion
	// floor is the version of the latest complete list. An object up to this version that the list does not contain
	// was deleted, even if this store has never seen it and a peer still holds it.
	floor   ident.ObjectVersion
	buckets [bucketCount]uint64
}

type item struct {
	version ident.ObjectVersion
	deleted bool
	value   []byte
}

// New returns an empty store.
func New() *Store { return &Store{tables: make(map[object.Kind]*table)} }

// Apply stores o if it is newer than the version in the store. The value must not be modified afterwards.
//
// At equal versions a tombstone wins: the tombstones of a list have the version of the list, and an object of exactly
// that version can be missing from the list only if it was deleted later.
func (s *Store) Apply(o Object) ApplyResult {
	if o.Kind == "" || len(o.Kind) > MaxNameBytes || o.Name == "" || len(o.Name) > MaxNameBytes || o.Version == 0 ||
		ident.Bytes(len(o.Value)) > MaxValueBytes {
		return Invalid
	}
	t := s.table(o.Kind)
	if t == nil {
		return Invalid
	}
	old, exists := t.items[o.Name]
	switch {
	case o.Version < old.version, !exists && !o.Deleted && o.Version <= t.floor:
		return Older
	case o.Version == old.version && (old.deleted || !o.Deleted):
		return Known
	}
	it := item{version: o.Version, deleted: o.Deleted, value: o.Value}
	if o.Deleted {
		it.value = nil
	}
	t.put(o.Name, old, exists, it)
	return Applied
}

func (s *Store) table(kind object.Kind) *table {
	t, ok := s.tables[kind]
	if !ok {
		if len(s.tables) >= MaxKinds {
			return nil
		}
		t = &table{items: make(map[string]item)}
		s.tables[kind] = t
		i, _ := slices.BinarySearch(s.kinds, kind)
		s.kinds = slices.Insert(s.kinds, i, kind)
	}
	return t
}

func (t *table) put(name string, old item, exists bool, it item) {
	b := bucketOf(name)
	if exists {
		t.buckets[b] ^= itemHash(name, old)
		if !old.deleted {
			t.liveCount--
		}
	}
	t.buckets[b] ^= itemHash(name, it)
	if !it.deleted {
		t.liveCount++
	}
	t.items[name] = it
	t.highest = max(t.highest, it.version)
	t.announced = max(t.announced, t.highest)
}

// Get returns an object, or false if it is absent or deleted.
func (s *Store) Get(key object.Key) (Object, bool) {
	t, ok := s.tables[key.Kind]
	if !ok {
		return Object{}, false
	}
	it, ok := t.items[key.Name]
	if !ok || it.deleted {
		return Object{}, false
	}
	return it.object(key.Kind, key.Name), true
}

func (it item) object(kind object.Kind, name string) Object {
	return Object{Kind: kind, Name: name, Version: it.version, Deleted: it.deleted, Value: it.value}
}

// Version returns the version of an object or of its tombstone, or zero if the store has neither.
func (s *Store) Version(key object.Key) ident.ObjectVersion {
	t, ok := s.tables[key.Kind]
	if !ok {
		return 0
	}
	return t.items[key.Name].version
}

// All returns all objects of a kind without the tombstones, sorted by name.
func (s *Store) All(kind object.Kind) []Object {
	t, ok := s.tables[kind]
	if !ok {
		return nil
	}
	objs := make([]Object, 0, t.liveCount)
	for _, name := range t.names() {
		if it := t.items[name]; !it.deleted {
			objs = append(objs, it.object(kind, name))
		}
	}
	return objs
}

func (t *table) names() []string {
	names := make([]string, 0, len(t.items))
	for name := range t.items {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// DeleteUnlisted deletes all objects of a kind that a complete list at the given version does not contain. It keeps
// objects with a later version. It returns the new tombstones.
func (s *Store) DeleteUnlisted(kind object.Kind, listed map[string]bool, at ident.ObjectVersion) []Object {
	t := s.table(kind)
	if t == nil {
		return nil
	}
	t.announced = max(t.announced, at)
	t.floor = max(t.floor, at)
	return s.markDeleted(kind, t, at, func(name string) bool { return !listed[name] })
}

// markDeleted replaces every live object with a version up to at for which isAbsent returns true by a tombstone.
// It returns the new tombstones.
func (s *Store) markDeleted(kind object.Kind, t *table, at ident.ObjectVersion, isAbsent func(string) bool) []Object {
	var tombstones []Object
	for _, name := range t.names() {
		it := t.items[name]
		if it.deleted || it.version > at || !isAbsent(name) {
			continue
		}
		o := Object{Kind: kind, Name: name, Version: at, Deleted: true}
		if s.Apply(o) == Applied {
			tombstones = append(tombstones, o)
		}
	}
	return tombstones
}

// KindStatus describes what the store holds of one kind.
type KindStatus struct {
	Kind    object.Kind         `json:"kind"`
	Highest ident.ObjectVersion `json:"highest"`
	// Announced is the highest version that the platform or a peer has mentioned. The store is behind while Announced
	// exceeds Highest.
	Announced ident.ObjectVersion `json:"announced"`
	Objects   int                 `json:"objects"`
	Deleted   int                 `json:"deleted"`
}

// Behind reports whether a later version is known to exist than those in the store.
func (k KindStatus) Behind() bool { return k.Announced > k.Highest }

// Status returns the status of each kind, sorted by kind.
func (s *Store) Status() []KindStatus {
	rows := make([]KindStatus, 0, len(s.kinds))
	for _, kind := range s.kinds {
		t := s.tables[kind]
		rows = append(rows, KindStatus{
			Kind: kind, Highest: t.highest, Announced: t.announced, Objects: t.liveCount, Deleted: len(t.items) - t.liveCount,
		})
	}
	return rows
}
