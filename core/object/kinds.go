package object

import (
	"time"

	"geraniumsaddle/core/ident"
)

// Format is the newest object format that this program reads and the one it writes.
const Format = 1

// Kind is the collection that an object belongs to on the platform.
type Kind string

// The kinds of objects.
const (
	KindOrganisation Kind = "organisations"
	KindBudget       Kind = "budgets"
	KindLedger       Kind = "ledgers"
	KindSlots        Kind = "slots"
	KindTarget       Kind = "targets"
	KindVersion      Kind = "versions"
	KindService      Kind = "services"
	KindRelease      Kind = "releases"
	KindOutcome      Kind = "outcomes"
	KindClaim        Kind = "claims"
	KindBills        Kind = "bills"
	KindRouter       Kind = "routers"
	KindLease        Kind = "leases"
	KindAudit        Kind = "audit"
	KindOperator     Kind = "operators"
)

// Key identifies an object.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Value is one of the object kinds that this package defines.
type Value interface {
	// Key returns the identity under which the object is stored.
	Key() Key
	// Validate returns every fault of the object.
	Validate() Faults
	value()
}

// Organisation is a customer account with its API keys and its budgets in the order of use.
type Organisation struct {
	Format   int              `json:"format"`
	ID       ident.OrgID      `json:"id"`
	Name     string           `json:"name"`
	Class    ident.Class      `json:"class"`
	Keys     []APIKey         `json:"keys"`
	Budgets  []ident.BudgetID `json:"budgets"`
	Disabled bool             `json:"disabled,omitempty"`
}

// APIKey is a caller's credential. Only the hash of the secret is stored.
type APIKey struct {
	ID     ident.KeyID `json:"id"`
	SHA256 string      `json:"sha256"` // lower-case hexadecimal, 64 digits
	Class  ident.Class `json:"class,omitempty"`
	// LimitTokens bounds the tokens billed to this key; zero means no limit.
	LimitTokens ident.Tokens `json:"limit_tokens,omitempty"`
	Revoked     bool         `json:"revoked,omitempty"`
}

// Budget describes a prepaid budget. Its counters are in the ledger.
type Budget struct {
	Format    int            `json:"format"`
	ID        ident.BudgetID `json:"id"`
	Org       ident.OrgID    `json:"org"`
	Revoked   bool           `json:"revoked,omitempty"`
	ExpiresAt time.Time      `json:"expires_at,omitzero"`
	// ClassLimits bounds the tokens billed to a class of traffic inside the budget.
	ClassLimits []ClassLimit `json:"class_limits,omitempty"`
}

// ClassLimit bounds the tokens of one traffic class.
type ClassLimit struct {
	Class  ident.Class  `json:"class"`
	Tokens ident.Tokens `json:"tokens"`
}

// TargetKind tells a model engine from a plain service.
type TargetKind string

// The kinds of targets.
const (
	TargetEngine  TargetKind = "engine"
	TargetService TargetKind = "service"
)

// TargetState is the operator's or the platform's word on a target.
type TargetState string

// The states of a target.
const (
	TargetActive  TargetState = "active"
	TargetLeaving TargetState = "leaving"
	TargetGone    TargetState = "gone"
)

// Target is a model engine or a plain service instance in one failure domain.
type Target struct {
	Format   int               `json:"format"`
	ID       ident.TargetID    `json:"id"`
	Domain   ident.DomainID    `json:"domain"`
	VM       ident.VMID        `json:"vm"`
	Kind     TargetKind        `json:"kind"`
	URL      string            `json:"url"`
	Service  ident.ServiceID   `json:"service,omitempty"`
	Versions []ident.VersionID `json:"versions"`
	// Capacity is the number of requests that the target may hold at once.
	Capacity int         `json:"capacity"`
	State    TargetState `json:"state"`
	// ChecksFence says that the target refuses an order with an old fencing number.
	ChecksFence bool `json:"checks_fence,omitempty"`
}

// Version is a deployable version of a model or of a service.
type Version struct {
	Format  int             `json:"format"`
	ID      ident.VersionID `json:"id"`
	Model   ident.ModelID   `json:"model,omitempty"`
	Service ident.ServiceID `json:"service,omitempty"`
	// Serving marks a version that takes traffic outside a release.
	Serving   bool `json:"serving"`
	Withdrawn bool `json:"withdrawn,omitempty"`
	// WeightBytes is the size that a target loads from the weight store.
	WeightBytes ident.Bytes `json:"weight_bytes,omitempty"`
}

// Service is a plain service with its routes.
type Service struct {
	Format int             `json:"format"`
	ID     ident.ServiceID `json:"id"`
	Routes []ServiceRoute  `json:"routes"`
}

// ServiceRoute is one method and path pattern of a plain service, as net/http patterns without a host.
type ServiceRoute struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent"`
	// CostTokens is billed for each call that ran.
	CostTokens ident.Tokens `json:"cost_tokens,omitempty"`
}

// Release is a release note: versions added, changed and withdrawn, with a window.
type Release struct {
	Format    int               `json:"format"`
	ID        ident.ReleaseID   `json:"id"`
	Added     []ReleaseChange   `json:"added,omitempty"`
	Changed   []ReleaseChange   `json:"changed,omitempty"`
	Withdrawn []ident.VersionID `json:"withdrawn,omitempty"`
	StartAt   time.Time         `json:"start_at"`
	FinishAt  time.Time         `json:"finish_at"`
	Note      string            `json:"note,omitempty"`
}

// ReleaseChange names a new version and the version that it replaces, if any.
type ReleaseChange struct {
	Version  ident.VersionID `json:"version"`
	Replaces ident.VersionID `json:"replaces,omitempty"`
}

// Verdict is the judgement on a release in one failure domain.
type Verdict string

// The verdicts.
const (
	VerdictRunning   Verdict = "running"
	VerdictCompleted Verdict = "completed"
	VerdictTakenBack Verdict = "taken_back"
)

// Outcome records the verdict on a release in each failure domain.
type Outcome struct {
	Format  int             `json:"format"`
	Release ident.ReleaseID `json:"release"`
	Domains []DomainOutcome `json:"domains"`
	// BadVersions only grows: a bad verdict is final.
	BadVersions []ident.VersionID `json:"bad_versions,omitempty"`
}

// DomainOutcome is the verdict of one failure domain with its reason.
type DomainOutcome struct {
	Domain  ident.DomainID `json:"domain"`
	Verdict Verdict        `json:"verdict"`
	Reason  string         `json:"reason"`
	At      time.Time      `json:"at"`
	// Completed are the versions that were shown good, also where others of the release were taken back.
	Completed []ident.VersionID `json:"completed,omitempty"`
}

// Router is the record of a router incarnation.
type Router struct {
	Format int            `json:"format"`
	ID     ident.RouterID `json:"id"`
	VM     ident.VMID     `json:"vm"`
	Domain ident.DomainID `json:"domain"`
	Peer   string         `json:"peer"` // UDP address of the peer transport
	Admin  string         `json:"admin"`
}

// Claim records the router that alone may run a non-idempotent call.
type Claim struct {
	Format  int             `json:"format"`
	Hash    string          `json:"hash"`
	Holder  ident.RouterID  `json:"holder"`
	Request ident.RequestID `json:"request"`
	At      time.Time       `json:"at"`
}

// Lease is a lease with a fencing number that grows with each new holder.
type Lease struct {
	Format    int            `json:"format"`
	Name      string         `json:"name"`
	Holder    ident.RouterID `json:"holder"`
	Fence     uint64         `json:"fence"`
	ExpiresAt time.Time      `json:"expires_at"`
}

// Role is what an operator may do.
type Role string

// The roles, from least to most.
const (
	RoleViewer   Role = "viewer"
	RoleOperator Role = "operator"
	RoleOwner    Role = "owner"
)

// Operator is an administrator's credential and role.
type Operator struct {
	Format int    `json:"format"`
	ID     string `json:"id"`
	SHA256 string `json:"sha256"`
	Role   Role   `json:"role"`
}

// Audit records one change by an operator.
type Audit struct {
	Format int       `json:"format"`
	ID     string    `json:"id"`
	At     time.Time `json:"at"`
	Who    string    `json:"who"`
	Action string    `json:"action"`
	Object Key       `json:"object"`
	Detail string    `json:"detail,omitempty"`
}
