package object

import (
	"time"

	"geraniumsaddle/core/ident"
)

// Format is the object format that this program writes, and the newest that it reads.
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
	// Validate returns all invalid fields of the object.
	Validate() Faults
	value()
}

// Organisation is a customer account. Its budgets are in the order in which they are used.
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
	// LimitTokens limits the tokens billed to this key; zero means no limit.
	LimitTokens ident.Tokens `json:"limit_tokens,omitempty"`
	Revoked     bool         `json:"revoked,omitempty"`
}

// Budget describes a prepaid budget. The ledger holds its counters.
type Budget struct {
	Format    int            `json:"format"`
	ID        ident.BudgetID `json:"id"`
	Org       ident.OrgID    `json:"org"`
	Revoked   bool           `json:"revoked,omitempty"`
	ExpiresAt time.Time      `json:"expires_at,omitzero"`
	// ClassLimits limits the tokens of this budget that are billed to a traffic class.
	ClassLimits []ClassLimit `json:"class_limits,omitempty"`
}

// ClassLimit limits the tokens of one traffic class.
type ClassLimit struct {
	Class  ident.Class  `json:"class"`
	Tokens ident.Tokens `json:"tokens"`
}

// TargetKind distinguishes model engines from plain services.
type TargetKind string

// The kinds of targets.
const (
	TargetEngine  TargetKind = "engine"
	TargetService TargetKind = "service"
)

// TargetState is the lifecycle state that the operator or the platform assigns to a target.
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
	// ChecksFence is set for a target that rejects orders with an outdated fencing number.
	ChecksFence bool `json:"checks_fence,omitempty"`
}

// Version is a deployable version of a model or of a service.
type Version struct {
	Format  int             `json:"format"`
	ID      ident.VersionID `json:"id"`
	Model   ident.ModelID   `json:"model,omitempty"`
	Service ident.ServiceID `json:"service,omitempty"`
	// Serving is set for a version that receives traffic without being part of a release.
	Serving   bool `json:"serving"`
	Withdrawn bool `json:"withdrawn,omitempty"`
	// WeightBytes is the size of the weights that a target loads from the weight store.
	WeightBytes ident.Bytes `json:"weight_bytes,omitempty"`
}

// Service is a plain service, which runs without a model engine, and its routes.
type Service struct {
	Format int             `json:"format"`
	ID     ident.ServiceID `json:"id"`
	Routes []ServiceRoute  `json:"routes"`
}

// ServiceRoute is a method and a path of a plain service, in the form of a net/http pattern without a host.
type ServiceRoute struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent"`
	// CostTokens is billed for each call that was run.
	CostTokens ident.Tokens `json:"cost_tokens,omitempty"`
}

// Release lists the versions that a release adds, changes and withdraws, and its time window.
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

// Verdict is the result of a release in one failure domain.
type Verdict string

// The verdicts.
const (
	VerdictRunning   Verdict = "running"
	VerdictCompleted Verdict = "completed"
	VerdictTakenBack Verdict = "taken_back" // rolled back
)

// ReleaseOutcome records the verdict on a release in each failure domain.
type ReleaseOutcome struct {
	Format  int             `json:"format"`
	Release ident.ReleaseID `json:"release"`
	Domains []DomainOutcome `json:"domains"`
	// BadVersions lists the versions that failed. None is ever removed, because a bad verdict is final.
	BadVersions []ident.VersionID `json:"bad_versions,omitempty"`
}

// DomainOutcome is the verdict in one failure domain and the reason for it.
type DomainOutcome struct {
	Domain  ident.DomainID `json:"domain"`
	Verdict Verdict        `json:"verdict"`
	Reason  string         `json:"reason"`
	At      time.Time      `json:"at"`
	// Completed lists the versions that passed, even if other versions of the release were rolled back.
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

// Claim records which router has the exclusive right to run a non-idempotent call.
type Claim struct {
	Format  int             `json:"format"`
	Hash    string          `json:"hash"`
	Holder  ident.RouterID  `json:"holder"`
	Request ident.RequestID `json:"request"`
	At      time.Time       `json:"at"`
}

// Lease is an exclusive right that expires. Its fencing number increases with each new holder.
type Lease struct {
	Format    int            `json:"format"`
	Name      string         `json:"name"`
	Holder    ident.RouterID `json:"holder"`
	Fence     uint64         `json:"fence"`
	ExpiresAt time.Time      `json:"expires_at"`
}

// Role determines which actions an operator may take.
type Role string

// The roles, from the fewest to the most permissions.
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

// Audit records one change made by an operator.
type Audit struct {
	Format int       `json:"format"`
	ID     string    `json:"id"`
	At     time.Time `json:"at"`
	Who    string    `json:"who"`
	Action string    `json:"action"`
	Object Key       `json:"object"`
	Detail string    `json:"detail,omitempty"`
}
