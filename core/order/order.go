package order

import (
	"slices"
	"time"

	"geraniumsaddle/core/ident"
)

// Kind is the aspect of a target's state that an order changes.
type Kind string

// The kinds of orders.
const (
	KindLoad    Kind = "load"    // have the weights of Version
	KindAdapter Kind = "adapter" // have Adapter loaded
	KindVersion Kind = "version" // serve Version
	KindRole    Kind = "role"    // have Role
	KindMove    Kind = "move"    // have the KV cache of Prefix, exported from Source
)

// Order tells a target to assume a state. It is idempotent.
type Order struct {
	ID      string          `json:"order_id"`
	Fence   uint64          `json:"fence"`
	Target  ident.TargetID  `json:"-"`
	Kind    Kind            `json:"kind"`
	Version ident.VersionID `json:"version,omitempty"`
	// Replaces is the version that the target may evict to make room. The target evicts no other version, and fails the
	// order if there is no room, because the state on which the order relies may have changed since it was read.
	Replaces ident.VersionID `json:"replaces,omitempty"`
	Adapter  string          `json:"adapter,omitempty"`
	Role     string          `json:"role,omitempty"`
	// Prefix and Source are set for a move, which is carried out through the KV cache interface of the targets.
	Prefix string         `json:"-"`
	Source ident.TargetID `json:"-"`
}

// DesiredState is the state that a plan specifies for one target.
type DesiredState struct {
	Target ident.TargetID
	// ChecksFence is set for a target that rejects orders with an outdated fencing number.
	ChecksFence bool
	// Loads lists the versions to have loaded. Serve is the version to serve.
	Loads    []ScheduledVersion
	Serve    ident.VersionID
	Adapters []string
	Role     string
	// Moves are done once per plan. It is not an error if a cache no longer exists at its source.
	Moves []Move
}

// ScheduledVersion is a version to load, not before its scheduled start.
type ScheduledVersion struct {
	Version ident.VersionID
	Start   time.Time
}

// Move copies the KV cache of a prefix from another target.
type Move struct {
	Prefix string
	Source ident.TargetID
}

// includes reports whether v is one of the versions to have loaded.
func (d *DesiredState) includes(v ident.VersionID) bool {
	return slices.ContainsFunc(d.Loads, func(l ScheduledVersion) bool { return l.Version == v })
}

// State is the state that a target reports.
type State struct {
	Loaded   []ident.VersionID `json:"loaded"`
	Serving  ident.VersionID   `json:"serving"`
	Adapters []string          `json:"adapters"`
	Role     string            `json:"role"`
}

// nextOrder returns the first order that brings s closer to the desired state, or false if none is due.
func (d *DesiredState) nextOrder(s *State, now time.Time) (Order, bool) {
	for _, l := range d.Loads {
		if !slices.Contains(s.Loaded, l.Version) && !now.Before(l.Start) {
			return Order{Kind: KindLoad, Version: l.Version, Replaces: d.evictionCandidate(s)}, true
		}
	}
	if d.Serve != "" && s.Serving != d.Serve && slices.Contains(s.Loaded, d.Serve) {
		return Order{Kind: KindVersion, Version: d.Serve}, true
	}
	for _, a := range d.Adapters {
		if !slices.Contains(s.Adapters, a) {
			return Order{Kind: KindAdapter, Adapter: a}, true
		}
	}
	if d.Role != "" && s.Role != d.Role {
		return Order{Kind: KindRole, Role: d.Role}, true
	}
	return Order{}, false
}

// evictionCandidate returns a loaded version that is not part of the plan, preferably not the one being served.
func (d *DesiredState) evictionCandidate(s *State) ident.VersionID {
	var candidate ident.VersionID
	for _, v := range s.Loaded {
		if !d.includes(v) && (candidate == "" || candidate == s.Serving) {
			candidate = v
		}
	}
	return candidate
}

// fencingOrder returns an order that changes little or nothing and evicts no version. It delivers a new fencing number
// to a target that checks it, before any order relies on the state read from the target.
func (d *DesiredState) fencingOrder(s *State) (Order, bool) {
	switch {
	case slices.Contains(s.Loaded, d.Serve):
		return Order{Kind: KindVersion, Version: d.Serve}, true
	case s.Serving != "":
		return Order{Kind: KindVersion, Version: s.Serving}, true
	case d.Role != "":
		return Order{Kind: KindRole, Role: d.Role}, true
	}
	return Order{}, false
}
