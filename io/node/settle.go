package node

import (
	"context"
	"errors"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/record"
	"geraniumsaddle/io/caller"
)

// journalHold journals a hold and waits, within the queue wait, until the request may be dispatched.
func (n *Node) journalHold(ctx context.Context, h record.Hold) error {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.QueueWait)
	defer cancel()
	start := n.clock.Now()
	err := n.journal.open(ctx, h)
	if err == nil {
		n.holds.add(h)
		n.metrics.Journal(n.clock.Now().Sub(start))
		return nil
	}
	// The entry may be in the journal of the peer. It ends there as a request that was never sent.
	n.journal.settle(record.Settlement{Request: h.Request, Outcome: ident.OutcomeNotRun, At: n.clock.Now().UTC()})
	n.log.Warn("request refused because its hold is not in the journal", "request_id", h.Request, "error", err)
	return caller.Refuse(caller.CodeJournalUnavailable, ident.OutcomeNotRun, "the journal peer has not acknowledged the request").After(time.Second)
}

// settled journals the end of a request and writes its bill.
func (n *Node) settled(s record.Settlement, class ident.Class) {
	h, ok := n.holds.take(s.Request)
	if !ok {
		return // The request was refused before its hold was journaled.
	}
	n.journal.settle(s)
	if s.Outcome == ident.OutcomeNotRun {
		return
	}
	n.bills.add(record.NewBill(n.id, h, s))
	n.metrics.Billed(class, h.Org, s.Billed)
}

// open journals the hold of the request before it is sent to the chosen target.
func (c *chat) open(ctx context.Context) error {
	if c.journaled {
		ctx, cancel := context.WithTimeout(ctx, c.n.cfg.QueueWait)
		defer cancel()
		c.n.holds.retarget(c.r.ID, c.choice.Target, c.choice.Version)
		if err := c.n.journal.retarget(ctx, c.r.ID, c.choice.Target); err != nil {
			return caller.Refuse(caller.CodeJournalUnavailable, ident.OutcomeUnknown, "the journal peer has not acknowledged the request").After(time.Second)
		}
		return nil
	}
	h := record.Hold{
		Request: c.r.ID, Org: c.r.Caller.Org, Budget: c.res.Budget, AccountNumber: c.res.nth, Key: c.r.Caller.Key, Model: c.r.Model,
		Version: c.choice.Version, Target: c.choice.Target, Tokens: c.need, IdempotencyKey: c.keyHash, Body: c.bodyHash(), At: c.start.UTC(),
	}
	if err := c.n.journalHold(ctx, h); err != nil {
		return err
	}
	c.journaled = true
	return nil
}

// finish settles the reservation and bills what was used.
func (c *chat) finish(err error) {
	u := c.usedTokens(err)
	over, _ := c.res.Settle(u.TotalTokens)
	if over > 0 {
		c.n.log.Warn("target reported more tokens than the request allowed", "request_id", c.r.ID, "target", c.choice.Target, "over_bound", over)
		c.n.metrics.OverBound(over)
	}
	now := c.n.clock.Now()
	if c.contents > 1 {
		c.n.metrics.Stream(c.r.Caller.Class, c.r.Caller.Org, c.first.Sub(c.start), now.Sub(c.first)/time.Duration(c.contents-1))
	}
	if !c.journaled {
		return
	}
	s := record.Settlement{
		Request: c.r.ID, PromptTokens: u.PromptTokens, OutputTokens: u.CompletionTokens, Billed: min(u.TotalTokens, c.need),
		OverBound: over, Outcome: ident.OutcomeRun, At: now.UTC(),
	}
	var ref *caller.Refusal
	if errors.As(err, &ref) {
		s.Outcome = ref.Outcome
	}
	c.n.settled(s, c.r.Caller.Class)
}

// usedTokens returns the usage to bill. A request whose caller received nothing because it failed is free.
func (c *chat) usedTokens(err error) caller.Usage {
	if err != nil && !c.begun {
		return caller.Usage{}
	}
	return c.billedUsage()
}
