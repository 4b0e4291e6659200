package config

import (
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// Object is one version of a platform object, or a tombstone: the record that it is absent as of that version.
type Object struct {
	Kind    object.Kind         `cbor:"1,keyasint"`
	Name    string              `cbor:"2,keyasint"`
	Version ident.ObjectVersion `cbor:"3,keyasint"`
	Deleted bool                `cbor:"4,keyasint,omitempty"`
	// Value is the JSON form. It must not be modified after Apply.
	Value []byte `cbor:"5,keyasint,omitempty"`
}

// Key returns the identity of the object.
func (o Object) Key() object.Key { return object.Key{Kind: o.Kind, Name: o.Name} }

// Ref identifies one version of an object or of its tombstone.
type Ref struct {
	Name    string              `cbor:"1,keyasint"`
	Version ident.ObjectVersion `cbor:"2,keyasint"`
	Deleted bool                `cbor:"3,keyasint,omitempty"`
}

// KindDigest summarises all objects and tombstones of one kind.
type KindDigest struct {
	Kind object.Kind `cbor:"1,keyasint"`
	// Highest is the highest version that the store holds.
	Highest ident.ObjectVersion `cbor:"2,keyasint"`
	// Hash covers all objects and tombstones, regardless of the order in which they were applied.
	Hash uint64 `cbor:"3,keyasint"`
	// Floor is the version of the latest complete list. An object that the sender does not hold and whose version is
	// not above the floor has been deleted.
	Floor ident.ObjectVersion `cbor:"4,keyasint,omitempty"`
}

// Digest summarises a store.
type Digest struct {
	Kinds []KindDigest `cbor:"1,keyasint"`
}

// KindWant asks a peer for objects of one kind that the sender lacks.
type KindWant struct {
	Kind object.Kind `cbor:"1,keyasint"`
	// If Newer is set, the peer returns all objects with a version higher than After.
	After ident.ObjectVersion `cbor:"2,keyasint,omitempty"`
	Newer bool                `cbor:"3,keyasint,omitempty"`
	// Buckets holds the sender's bucket hashes, of which there are 1, 16 or 256. The receiver answers with the
	// references in the buckets that differ.
	Buckets []uint64 `cbor:"4,keyasint,omitempty"`
	// Names asks for objects by name.
	Names []string `cbor:"5,keyasint,omitempty"`
}

// Want asks a peer for objects or for references.
type Want struct {
	Kinds []KindWant `cbor:"1,keyasint"`
}

// Empty reports whether w asks for nothing.
func (w Want) Empty() bool { return len(w.Kinds) == 0 }

// KindRefs lists all references in some of the buckets of one kind.
type KindRefs struct {
	Kind object.Kind `cbor:"1,keyasint"`
	Refs []Ref       `cbor:"2,keyasint"`
	// Floor has the meaning of KindDigest.Floor, for the objects in Buckets.
	Floor ident.ObjectVersion `cbor:"3,keyasint,omitempty"`
	// BucketCount is the number of buckets into which the kind is divided, and Buckets the indexes of those included.
	BucketCount int   `cbor:"4,keyasint"`
	Buckets     []int `cbor:"5,keyasint"`
}

// Push carries objects and references to a peer.
type Push struct {
	Objects []Object   `cbor:"1,keyasint,omitempty"`
	Refs    []KindRefs `cbor:"2,keyasint,omitempty"`
	// More lists the kinds of which the sender has further newer objects that did not fit into the push.
	More []object.Kind `cbor:"3,keyasint,omitempty"`
}

// Empty reports whether p carries no objects and no references.
func (p Push) Empty() bool { return len(p.Objects) == 0 && len(p.Refs) == 0 }
