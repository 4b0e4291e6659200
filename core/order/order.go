package order

import (
	"slices"
	"time"

	"geraniumsaddle/core/ident"
)

// Kind is what an order is about.
type Kind string

// The kinds of orders.
const (
	KindLoad    Kind = "load"    // have the weights of Version
	KindAdapter Kind = "adapter" // have Adapter loaded
	KindVersion Kind = "version" // serve Version
	KindRole    Kind = "role"    // have Role
	KindMove    Kind = "move"    // have the KV cache of Prefix, exported from Source
)

// Order asks a target to be in a state. Delivering it again changes nothing.
type Order struct {
	ID      string          `json:"order_id"`
	Fence   uint64          `json:"fence"`
	Target  ident.TargetID  `json:"-"`
	Kind    Kind            `json:"kind"`
	Version ident.VersionID `json:"version,omitempty"`
	// Replaces may be dropped by the target to make room. A target drops nothing else, and fails the
	// order when there is no room: the order may rely on a state that has changed since it was read.
	Replaces ident.VersionID `json:"replaces,omitempty"`
	Adapter  string          `json:"adapter,omitempty"`
	Role     string          `json:"role,omitempty"`
	// Prefix and Source are those of a move, which the issuer carries out with the targets' KV interface.
	Prefix string         `json:"-"`
	Source ident.TargetID `json:"-"`
}

// DesiredState is the state that a plan gives to one target.
type DesiredState struct {
	Target ident.TargetID
	// ChecksFence says that the target refuses orders with an old fencing number.
	ChecksFence bool
	// Loads are the versions to have, and Serve the one to serve.
	Loads    []VersionAt
	Serve    ident.VersionID
	Adapters []string
	Role     string
	// Moves are done once for each plan; a cache that is gone at its source is not an error.
	Moves []Move
}

// VersionAt is a version to load, not before the time that the schedule gives.
type VersionAt struct {
	Version ident.VersionID
	Start   time.Time
}

// Move copies a KV cache.
type Move struct {
	Prefix string
	Source ident.TargetID
}

// keeps reports whether the want names the version.
func (w *DesiredState) keeps(v ident.VersionID) bool {
	return slices.ContainsFunc(w.Loads, func(l VersionAt) bool { return l.Version == v })
}

// State is the state that a target reports.
type State struct {
	Loaded   []ident.VersionID `json:"loaded"`
	Serving  ident.VersionID   `json:"serving"`
	Adapters []string          `json:"adapters"`
	Role     string            `json:"role"`
}

// next returns the first order that brings the state closer to the want, or false if none is due.
func (w *DesiredState) next(s *State, now time.Time) (Order, bool) {
	for _, l := range w.Loads {
		if !slices.Contains(s.Loaded, l.Version) && !now.Before(l.Start) {
			return Order{Kind: KindLoad, Version: l.Version, Replaces: w.spare(s)}, true
		}
	}
	if w.Serve != "" && s.Serving != w.Serve && slices.Contains(s.Loaded, w.Serve) {
		return Order{Kind: KindVersion, Version: w.Serve}, true
	}
	for _, a := range w.Adapters {
		if !slices.Contains(s.Adapters, a) {
			return Order{Kind: KindAdapter, Adapter: a}, true
		}
	}
	if w.Role != "" && s.Role != w.Role {
		return Order{Kind: KindRole, Role: w.Role}, true
	}
	return Order{}, false
}

// spare returns a loaded version that the plan does not keep, preferably not the one being served.
func (w *DesiredState) spare(s *State) ident.VersionID {
	var spare ident.VersionID
	for _, v := range s.Loaded {
		if !w.keeps(v) && (spare == "" || spare == s.Serving) {
			spare = v
		}
	}
	return spare
}

// affirm returns an order that changes little or nothing and drops no version. It carries a new fencing
// number to a target that checks it, before any order relies on what was read from the target.
func (w *DesiredState) affirm(s *State) (Order, bool) {
	switch {
	case slices.Contains(s.Loaded, w.Serve):
		return Order{Kind: KindVersion, Version: w.Serve}, true
	case s.Serving != "":
		return Order{Kind: KindVersion, Version: s.Serving}, true
	case w.Role != "":
		return Order{Kind: KindRole, Role: w.Role}, true
	}
	return Order{}, false
}
