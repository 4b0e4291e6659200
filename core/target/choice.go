package target

import (
	"errors"
	"time"

	"geraniumsaddle/core/ident"
)

var (
	// ErrNoTarget means that no target of the pool has the version loaded and may take requests.
	ErrNoTarget = errors.New("no target serves the version")
	// ErrNoCapacity means that every target that may take the request is full.
	ErrNoCapacity = errors.New("no target has a free slot")
)

// Slots reserves capacity at targets. Its methods must be safe for concurrent use.
type Slots interface {
	// TryReserve takes a slot of the target without waiting and reports whether it got one.
	TryReserve(ident.TargetID) bool
	// Release returns a slot.
	Release(ident.TargetID)
}

// Request is what the choice of a target depends on.
type Request struct {
	// Sticky is the conversation or idempotency key. Without it the version is drawn from Rand.
	Sticky string
	// Version pins the version, for example on a retry. Empty means that the shares decide.
	Version ident.VersionID
	// Prefix is the hash of the prompt's beginning; zero means that there is no affinity.
	Prefix uint64
	// Adapter is preferred to be loaded at the target already.
	Adapter  string
	Priority ident.Priority
	// Retryable says that the request may be sent again after a failure. Half-open targets get such
	// requests first.
	Retryable bool
	// Exhaustive tries every target before the pool counts as full. It is for a request that has waited,
	// and takes longer than the bound on other choices.
	Exhaustive bool
	// Exclude lists targets that failed this request before.
	Exclude []ident.TargetID
	Now     time.Time
	// Rand is a uniform random number drawn for this request.
	Rand uint64
}

// Reason says which rule chose a target.
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

// Result is what became of a chosen request, as far as it tells about the target's health.
type Result uint8

// The results of a request.
const (
	// ResultNeutral says nothing about the target, for example when the caller went away.
	ResultNeutral Result = iota
	ResultOK
	ResultFailed
)

// Choice is a target with a reserved slot. The owner calls Release once the request has ended.
type Choice struct {
	Target  ident.TargetID
	URL     string
	Version ident.VersionID
	Reason  Reason

	live  *live
	stat  *stat
	slots Slots
}

// Release returns the slot and records the result. Further calls have no effect.
func (c *Choice) Release(r Result) {
	l := c.live
	if l == nil {
		return
	}
	c.live = nil
	switch r {
	case ResultOK:
		l.streak.Store(0)
		l.oks.Add(1)
	case ResultFailed:
		l.streak.Add(1)
	case ResultNeutral:
		if c.Reason == ReasonTrial {
			l.trial.Store(false)
		}
	}
	l.inflight.Add(-1)
	c.stat.inflight.Add(-1)
	c.slots.Release(c.Target)
}
