package escrow

import (
	"time"

	"geraniumsaddle/core/ident"
)

// Demand is an account's estimate of the load on it.
type Demand struct {
	// TokensPerSecond is the rate of tokens billed and refused.
	TokensPerSecond float64
	// Held is the number of tokens in running requests, and PeakHeld its recent maximum.
	Held, PeakHeld ident.Tokens
	// Pending is the number of tokens that waiting requests need.
	Pending ident.Tokens
	// EqualShare is what the entry has left, divided equally between its holders.
	EqualShare ident.Tokens
}

// Policy sizes allotments. It is one of EqualSplit, Cover, Recall and SlotCover.
type Policy interface {
	// targetFree returns the free tokens that a holder should have to serve its demand.
	targetFree(d Demand) ident.Tokens
	// minFree returns the number of free tokens below which a holder reports a need, for which others return tokens.
	minFree(d Demand) ident.Tokens
	// grant returns how much of want the entry gives to the row at index i.
	grant(e *Entry, i int, want ident.Tokens) ident.Tokens
	// recall returns how much of the free tokens a holder returns when nothing is unallotted and others have an unmet
	// need.
	recall(d Demand, free, unmet ident.Tokens) ident.Tokens
	// allowsTransfers reports whether holders send tokens to each other.
	allowsTransfers() bool
}

// EqualSplit gives each of a fixed number of holders the same part of the paid tokens. It is the baseline that the
// other policies are measured against.
type EqualSplit struct {
	Holders int
}

func (EqualSplit) targetFree(Demand) ident.Tokens { return 1 << 40 }

func (p EqualSplit) grant(e *Entry, i int, want ident.Tokens) ident.Tokens {
	h := &e.Holders[i]
	share := (e.Paid - e.Refunded) / ident.Tokens(max(1, p.Holders))
	return max(0, min(want, share-(h.Granted-h.Returned), e.Unallotted()))
}

func (EqualSplit) minFree(Demand) ident.Tokens { return 0 }

func (EqualSplit) recall(Demand, ident.Tokens, ident.Tokens) ident.Tokens { return 0 }

func (EqualSplit) allowsTransfers() bool { return false }

// Cover gives each holder enough for its own demand during a partition of the given length, and at
// least a part of its equal share.
type Cover struct {
	Partition time.Duration
	// Min is the least number of free tokens that a holder aims for. The limit on a single grant is not below it.
	Min ident.Tokens
	// ShareFraction is the fraction of its equal share that a holder aims for whatever its demand. It covers
	// demand that moves to a failure domain after the domain is cut off.
	ShareFraction float64
}

// DefaultCover sizes token budgets. A failure domain may be cut off for an hour, so a holder keeps an hour of its own
// demand.
var DefaultCover = Cover{Partition: time.Hour, Min: 4096, ShareFraction: 0.75}

func (p Cover) targetFree(d Demand) ident.Tokens {
	partitionDemand := ident.Tokens(d.TokensPerSecond * p.Partition.Seconds())
	return max(p.Min, partitionDemand, ident.Tokens(p.ShareFraction*float64(d.EqualShare))) + d.Pending
}

func (p Cover) grant(e *Entry, _ int, want ident.Tokens) ident.Tokens {
	free := e.Unallotted()
	share := free / ident.Tokens(2*max(1, len(e.Holders)))
	// Without Min, grants would shrink with the unallotted tokens until the last ones cost a platform call each.
	return max(0, min(want, max(share, p.Min), free))
}

func (Cover) minFree(d Demand) ident.Tokens { return d.Pending }

func (Cover) recall(Demand, ident.Tokens, ident.Tokens) ident.Tokens { return 0 }

func (Cover) allowsTransfers() bool { return true }

// Recall is Cover, except that a holder also returns idle tokens when another holder lacks them. A holder reports a
// need when it has less than its own demand during ReserveTime, and returns half of what it has above twice that
// demand. The gap keeps two holders from sending the same tokens back and forth.
type Recall struct {
	Cover       Cover
	ReserveTime time.Duration
}

// DefaultRecall is the policy for token budgets.
var DefaultRecall = Recall{Cover: DefaultCover, ReserveTime: time.Minute}

func (p Recall) targetFree(d Demand) ident.Tokens { return p.Cover.targetFree(d) }

func (p Recall) grant(e *Entry, i int, want ident.Tokens) ident.Tokens {
	return p.Cover.grant(e, i, want)
}

func (p Recall) minFree(d Demand) ident.Tokens {
	return ident.Tokens(d.TokensPerSecond*p.ReserveTime.Seconds()) + d.Pending
}

func (p Recall) recall(d Demand, free, unmet ident.Tokens) ident.Tokens {
	return halfOfIdle(free-d.Pending-ident.Tokens(2*d.TokensPerSecond*p.ReserveTime.Seconds()), unmet)
}

func (Recall) allowsTransfers() bool { return true }

// SlotCover allots the capacity slots of a target by the number of requests in progress.
type SlotCover struct{}

func (SlotCover) targetFree(d Demand) ident.Tokens { return max(1, d.PeakHeld/4) + d.Pending }

func (SlotCover) grant(e *Entry, _ int, want ident.Tokens) ident.Tokens {
	free := e.Unallotted()
	return max(0, min(want, max(free/ident.Tokens(2*max(1, len(e.Holders))), 1), free))
}

func (SlotCover) minFree(d Demand) ident.Tokens { return d.Pending }

func (SlotCover) recall(d Demand, free, unmet ident.Tokens) ident.Tokens {
	return halfOfIdle(free-d.Pending, unmet)
}

func (SlotCover) allowsTransfers() bool { return true }

// halfOfIdle returns half of idle, rounded up, or unmet if that is less.
func halfOfIdle(idle, unmet ident.Tokens) ident.Tokens { return max(0, min((idle+1)/2, unmet)) }
