package config

import (
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// Object is one version of a platform object, or the mark that it is absent as of that version.
type Object struct {
	Kind    object.Kind         `cbor:"1,keyasint"`
	Name    string              `cbor:"2,keyasint"`
	Version ident.ObjectVersion `cbor:"3,keyasint"`
	Deleted bool                `cbor:"4,keyasint,omitempty"`
	// Value is the JSON form. It must not be changed after Apply.
	Value []byte `cbor:"5,keyasint,omitempty"`
}

// Key returns the identity of the object.
func (o Object) Key() object.Key { return object.Key{Kind: o.Kind, Name: o.Name} }

// Ref names one version of an object.
type Ref struct {
	Name    string              `cbor:"1,keyasint"`
	Version ident.ObjectVersion `cbor:"2,keyasint"`
	Deleted bool                `cbor:"3,keyasint,omitempty"`
}

// KindDigest summarises all objects and deletion marks of one kind.
type KindDigest struct {
	Kind object.Kind `cbor:"1,keyasint"`
	// Highest is the highest version held.
	Highest ident.ObjectVersion `cbor:"2,keyasint"`
	// Hash does not depend on the order in which the objects were applied.
	Hash uint64 `cbor:"3,keyasint"`
	// Floor is the version of the latest complete list. An object that the sender does not hold and
	// whose version is not above the floor is deleted.
	Floor ident.ObjectVersion `cbor:"4,keyasint,omitempty"`
}

// Digest summarises a store.
type Digest struct {
	Kinds []KindDigest `cbor:"1,keyasint"`
}

// KindWant asks for what the receiver holds of one kind and the sender lacks.
type KindWant struct {
	Kind object.Kind `cbor:"1,keyasint"`
	// After asks for all objects with a higher version, when Newer is set.
	After ident.ObjectVersion `cbor:"2,keyasint,omitempty"`
	Newer bool                `cbor:"3,keyasint,omitempty"`
	// Buckets holds the sender's hashes. Their number is 1, 16 or 256. The receiver answers with the
	// references of the buckets that differ.
	Buckets []uint64 `cbor:"4,keyasint,omitempty"`
	// Names asks for objects by name.
	Names []string `cbor:"5,keyasint,omitempty"`
}

// Want asks a peer for objects or for references.
type Want struct {
	Kinds []KindWant `cbor:"1,keyasint"`
}

// Empty reports whether the want asks for nothing.
func (w Want) Empty() bool { return len(w.Kinds) == 0 }

// KindRefs lists all references of some buckets of one kind.
type KindRefs struct {
	Kind object.Kind `cbor:"1,keyasint"`
	Refs []Ref       `cbor:"2,keyasint"`
	// Floor is as in KindDigest and holds for the named buckets.
	Floor ident.ObjectVersion `cbor:"3,keyasint,omitempty"`
	// Of is the number of buckets into which the kind is divided.
	Of      int   `cbor:"4,keyasint"`
	Buckets []int `cbor:"5,keyasint"`
}

// Push carries objects and references to a peer.
type Push struct {
	Objects []Object   `cbor:"1,keyasint,omitempty"`
	Refs    []KindRefs `cbor:"2,keyasint,omitempty"`
	// More names the kinds of which the sender holds newer objects that did not fit.
	More []object.Kind `cbor:"3,keyasint,omitempty"`
}

// Empty reports whether the push carries nothing.
func (p Push) Empty() bool { return len(p.Objects) == 0 && len(p.Refs) == 0 }
