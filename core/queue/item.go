package queue

import (
	"time"

	"geraniumsaddle/core/ident"
)

// Item is a waiting request.
type Item struct {
	ID       ident.RequestID
	Org      ident.OrgID
	Priority ident.Priority
	// Cost is the reserved tokens, by which turns are measured. At least one is counted.
	Cost ident.Tokens
	// Bytes is the memory that the request keeps while it waits.
	Bytes ident.Bytes
	// Deadline is when the caller must have its answer; zero means none.
	Deadline time.Time
	// Service is the estimated time from dispatch to the answer.
	Service time.Duration
}

// late reports whether the item misses its deadline when it is dispatched after the wait.
func (it *Item) late(now time.Time, wait time.Duration) bool {
	return !it.Deadline.IsZero() && now.Add(wait).Add(it.Service).After(it.Deadline)
}

// Cause says why an item was refused or dropped.
type Cause string

// The causes. The outcome is not_run with each of them.
const (
	CauseDeadline  Cause = "deadline"   // the answer cannot be there in time
	CauseFull      Cause = "queue_full" // the organisation holds the largest part of a full queue
	CauseTooLarge  Cause = "too_large"  // the item alone is over the bound on bytes
	CauseDuplicate Cause = "duplicate"  // the request is in the queue already
)

// Drop is an item that left the queue without being dispatched.
type Drop struct {
	Item       Item
	Cause      Cause
	RetryAfter time.Duration
}

// PushResult is Queued or Refused.
type PushResult interface{ pushResult() }

// Queued means that the item waits. Evicted items made room for it.
type Queued struct {
	Wait    time.Duration // estimated
	Evicted []Drop
}

// Refused means that the item was not taken.
type Refused struct {
	Cause      Cause
	RetryAfter time.Duration
}

func (Queued) pushResult()  {}
func (Refused) pushResult() {}

// PopResult is Next or Empty. Both list the items that were dropped on the way.
type PopResult interface{ popResult() }

// Next is the item to dispatch.
type Next struct {
	Item    Item
	Waited  time.Duration
	Dropped []Drop
}

// Empty means that no item waits.
type Empty struct{ Dropped []Drop }

func (Next) popResult()  {}
func (Empty) popResult() {}
