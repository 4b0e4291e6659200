package queue

import (
	"time"

	"geraniumsaddle/core/ident"
)

// Item is a request that waits for dispatch.
type Item struct {
	ID       ident.RequestID
	Org      ident.OrgID
	Priority ident.Priority
	// Cost is the number of reserved tokens, by which turns are measured. A cost below one counts as one.
	Cost ident.Tokens
	// Bytes is the memory that the request occupies while it waits.
	Bytes ident.Bytes
	// Deadline is the time by which the caller must have its answer; zero means none.
	Deadline time.Time
	// ServiceTime is the estimated time from dispatch to the answer.
	ServiceTime time.Duration
}

// missesDeadline reports whether the item would miss its deadline if it were dispatched after the wait.
func (it *Item) missesDeadline(now time.Time, wait time.Duration) bool {
	return !it.Deadline.IsZero() && now.Add(wait).Add(it.ServiceTime).After(it.Deadline)
}

// Cause says why an item was refused or dropped.
type Cause string

// The causes. With each of them the outcome of the request is not_run.
const (
	CauseDeadline  Cause = "deadline"   // the answer cannot arrive in time
	CauseFull      Cause = "queue_full" // the queue is full and no other organisation occupies a larger part of it
	CauseTooLarge  Cause = "too_large"  // the item alone exceeds Config.MaxBytes
	CauseDuplicate Cause = "duplicate"  // the request is already in the queue
)

// Drop is an item that left the queue without being dispatched.
type Drop struct {
	Item       Item
	Cause      Cause
	RetryAfter time.Duration
}

// PushResult is Queued or Refused.
type PushResult interface{ pushResult() }

// Queued means that the item was accepted. Evicted lists the items that were removed to make room for it.
type Queued struct {
	Wait    time.Duration // estimated
	Evicted []Drop
}

// Refused means that the item was not accepted.
type Refused struct {
	Cause      Cause
	RetryAfter time.Duration
}

func (Queued) pushResult()  {}
func (Refused) pushResult() {}

// PopResult is Next or Empty. Both list the items that Pop dropped because of their deadline.
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
