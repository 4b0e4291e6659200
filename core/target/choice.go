package target

import (
	"errors"
	"time"

	"geraniumsaddle/core/ident"
)

var (
	// ErrNoTarget means that the pool has no target that has loaded the version and may take requests.
	ErrNoTarget = errors.New("no target serves the version")
	// ErrNoCapacity means that no eligible target had a free slot.
	ErrNoCapacity = errors.New("no target has a free slot")
)

// Slots reserves slots at targets. Its methods must be safe for concurrent use.
type Slots interface {
	// TryReserve reserves a slot at the target without waiting and reports whether it succeeded.
	TryReserve(ident.TargetID) bool
	// Release returns a slot.
	Release(ident.TargetID)
}

// Request describes a request for which a target is chosen.
type Request struct {
	// Sticky is the conversation or idempotency key, which determines the version. If it is empty, Rand does.
	Sticky string
	// Version pins the version, for example on a retry. If it is empty, the shares decide.
	Version ident.VersionID
	// Prefix is the hash of the prompt's prefix. Zero disables cache affinity.
	Prefix uint64
	// Adapter names an adapter. Targets that have it loaded are preferred.
	Adapter  string
	Priority ident.Priority
	// Retryable says that the request may be sent again after a failure. Such requests are preferred as trials of
	// half-open targets.
	Retryable bool
	// Exhaustive makes Choose try every target before it returns ErrNoCapacity. It is for a request that has waited in
	// a queue, and lifts the bound on the time of a choice.
	Exhaustive bool
	// Exclude lists the targets at which this request has already failed.
	Exclude []ident.TargetID
	Now     time.Time
	// Rand is a uniform random number for this request. It seeds all random choices.
	Rand uint64
}

// Reason names the rule that chose a target.
type Reason string

// The reasons for a choice.
const (
	ReasonTrial    Reason = "trial"
	ReasonHint     Reason = "hint"
	ReasonAffinity Reason = "affinity"
	ReasonAdapter  Reason = "adapter"
	ReasonLoad     Reason = "load"
	ReasonScan     Reason = "scan"
)

// Result is the outcome of a request as far as it concerns the health of the target.
type Result uint8

// The results of a request.
const (
	// ResultNeutral says nothing about the target, for example because the caller disconnected.
	ResultNeutral Result = iota
	ResultOK
	ResultFailed
)

// Choice is a target with a reserved slot. The caller must call Release when the request has ended.
type Choice struct {
	Target  ident.TargetID
	URL     string
	Version ident.VersionID
	Reason  Reason

	shared *sharedState
	stats  *versionStats
	slots  Slots
}

// Release returns the slot and records the result. Further calls have no effect.
func (c *Choice) Release(r Result) {
	shared := c.shared
	if shared == nil {
		return
	}
	c.shared = nil
	switch r {
	case ResultOK:
		shared.failureStreak.Store(0)
		shared.successes.Add(1)
	case ResultFailed:
		shared.failureStreak.Add(1)
	case ResultNeutral:
		if c.Reason == ReasonTrial {
			shared.trialTaken.Store(false)
		}
	}
	shared.inflight.Add(-1)
	c.stats.inflight.Add(-1)
	c.slots.Release(c.Target)
}
