package admin

import (
	"context"
	"time"

	"geraniumsaddle/core/bill"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/store"
)

// ObjectStore is the part of the platform that the API uses.
type ObjectStore interface {
	Get(ctx context.Context, key object.Key) (store.Object, error)
	PutResolved(ctx context.Context, key object.Key, value []byte, cond store.Condition) (ident.ObjectVersion, error)
	Delete(ctx context.Context, key object.Key, cond store.Condition) (ident.ObjectVersion, error)
	List(ctx context.Context, kind object.Kind, after string, limit int) (store.Page, error)
}

// Fleet tells what the router knows about the fleet.
type Fleet interface {
	// Operator returns the operator with the SHA-256 hash of a token.
	Operator(hash string) (object.Operator, bool)
	// Status returns the routers, their applied versions and the outcomes of releases.
	Status(ctx context.Context) Status
	// CheckRelease returns the reasons for which a release note cannot be met.
	CheckRelease(ctx context.Context, r object.Release) object.Faults
	// Statement returns the bills of an organisation in the month that contains a time.
	Statement(ctx context.Context, org ident.OrgID, at time.Time) (bill.Statement, error)
}

// Status is the state of the fleet as one router sees it.
type Status struct {
	AsOf     time.Time       `json:"as_of"`
	Platform PlatformStatus  `json:"platform"`
	Routers  []RouterStatus  `json:"routers"`
	Targets  []TargetStatus  `json:"targets"`
	Releases []ReleaseStatus `json:"releases"`
}

// PlatformStatus tells whether the platform answers.
type PlatformStatus struct {
	Reachable bool      `json:"reachable"`
	LastReply time.Time `json:"last_reply,omitzero"`
}

// RouterStatus is one router with the highest object version that it has applied of each kind.
type RouterStatus struct {
	ID        ident.RouterID   `json:"id"`
	Domain    ident.DomainID   `json:"domain"`
	Reachable bool             `json:"reachable"`
	State     string           `json:"state"`
	Applied   []AppliedVersion `json:"applied,omitempty"`
}

// AppliedVersion is the highest applied object version of a kind.
type AppliedVersion struct {
	Kind    object.Kind         `json:"kind"`
	Version ident.ObjectVersion `json:"version"`
}

// TargetStatus is one target as this router sees it.
type TargetStatus struct {
	ID     ident.TargetID     `json:"id"`
	Domain ident.DomainID     `json:"domain"`
	State  object.TargetState `json:"state"`
	// FreeSlots is the number of free slots that this router holds.
	FreeSlots ident.Tokens `json:"slots"`
}

// ReleaseStatus is the progress or the outcome of a release.
type ReleaseStatus struct {
	ID      ident.ReleaseID        `json:"id"`
	Domains []object.DomainOutcome `json:"domains"`
	// TrafficShare is the share of this router's failure domain, from 0 to 1.
	TrafficShare float64 `json:"share"`
}
