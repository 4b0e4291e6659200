package admin

import (
	"context"
	"time"

	"geraniumsaddle/core/bill"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/store"
)

// ObjectStore is the part of the platform client that the API uses.
type ObjectStore interface {
	Get(ctx context.Context, key object.Key) (store.Object, error)
	PutResolved(ctx context.Context, key object.Key, value []byte, cond store.Condition) (ident.ObjectVersion, error)
	Delete(ctx context.Context, key object.Key, cond store.Condition) (ident.ObjectVersion, error)
	List(ctx context.Context, kind object.Kind, after string, limit int) (store.Page, error)
}

// Fleet provides the router's view of the fleet.
type Fleet interface {
	// Operator returns the operator whose token has the given SHA-256 hash.
	Operator(hash string) (object.Operator, bool)
	// Status returns the state of the platform connection, routers, targets and releases.
	Status(ctx context.Context) Status
	// CheckRelease returns the reasons why a release cannot be carried out.
	CheckRelease(ctx context.Context, r object.Release) object.Faults
	// Statement returns the billing statement of an organisation for the month that contains the given time.
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

// PlatformStatus is the state of the platform connection.
type PlatformStatus struct {
	Reachable bool      `json:"reachable"`
	LastReply time.Time `json:"last_reply,omitzero"`
}

// RouterStatus is the state of one router, with the highest object version of each kind that it has applied.
type RouterStatus struct {
	ID        ident.RouterID   `json:"id"`
	Domain    ident.DomainID   `json:"domain"`
	Reachable bool             `json:"reachable"`
	State     string           `json:"state"`
	Applied   []AppliedVersion `json:"applied,omitempty"`
}

// AppliedVersion is the highest object version of a kind that a router has applied.
type AppliedVersion struct {
	Kind    object.Kind         `json:"kind"`
	Version ident.ObjectVersion `json:"version"`
}

// TargetStatus is the state of one target as this router sees it.
type TargetStatus struct {
	ID     ident.TargetID     `json:"id"`
	Domain ident.DomainID     `json:"domain"`
	State  object.TargetState `json:"state"`
	// FreeSlots is the number of unused slots of the target that this router holds.
	FreeSlots ident.Tokens `json:"slots"`
}

// ReleaseStatus is the progress or the outcome of a release.
type ReleaseStatus struct {
	ID      ident.ReleaseID        `json:"id"`
	Domains []object.DomainOutcome `json:"domains"`
	// TrafficShare is the largest share of traffic, from 0 to 1, that a version of the release gets in this router's
	// failure domain.
	TrafficShare float64 `json:"share"`
}
