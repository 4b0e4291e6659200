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
		n.metrics.JournalWait(n.clock.Now().Sub(start))
		return nil
	}
	// The journal peer may have the entry, so the request is settled as one that was never sent.
	n.journal.settle(record.Settlement{Request: h.Request, Outcome: ident.OutcomeNotRun, At: n.clock.Now().UTC()})
	n.log.Warn("request refused because its hold is not in the journal", "request_id", h.Request, "error", err)
	return caller.Refuse(caller.CodeJournalUnavailable, ident.OutcomeNotRun, "the journal peer has not acknowledged the request").After(time.Second)
}

// recordSettlement journals the end of a request and adds its bill, unless the request was not run.
func (n *Node) recordSettlement(s record.Settlement, class ident.Class) {
	h, ok := n.holds.remove(s.Request)
	if !ok {
		return // The request was refused before its hold was journaled.
	}
	n.journal.settle(s)
	if s.Outcome == ident.OutcomeNotRun {
		return
	}
	n.bills.add(record.NewBill(n.id, h, s))
	n.metrics.BilledTokens(class, h.Org, s.Billed)
}

// journalAttempt journals the hold of the request, or the new target of a retry, before the request is sent to the
// chosen target.
func (c *chat) journalAttempt(ctx context.Context) error {
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
		Request: c.r.ID, Org: c.r.Caller.Org, Budget: c.res.Budget, AccountNumber: c.res.accountNumber, Key: c.r.Caller.Key, Model: c.r.Model,
		Version: c.choice.Version, Target: c.choice.Target, Tokens: c.holdTokens, IdempotencyKey: c.keyHash, Body: c.bodyHash(), At: c.start.UTC(),
	}
	if err := c.n.journalHold(ctx, h); err != nil {
		return err
	}
	c.journaled = true
	return nil
}

// settle settles the reservation, records the outcome of the request and bills the used tokens.
func (c *chat) settle(err error) {
	u := c.usedTokens(err)
	over, _ := c.res.Settle(u.TotalTokens)
	if over > 0 {
		c.n.log.Warn("target reported more tokens than the request allowed", "request_id", c.r.ID, "target", c.choice.Target, "over_bound", over)
		c.n.metrics.OverBoundTokens(over)
	}
	now := c.n.clock.Now()
	if c.contentChunks > 1 {
		c.n.metrics.StreamLatency(c.r.Caller.Class, c.r.Caller.Org, c.firstChunkAt.Sub(c.start), now.Sub(c.firstChunkAt)/time.Duration(c.contentChunks-1))
	}
	if !c.journaled {
		return
	}
	s := record.Settlement{
		Request: c.r.ID, PromptTokens: u.PromptTokens, OutputTokens: u.CompletionTokens, Billed: min(u.TotalTokens, c.holdTokens),
		OverBound: over, Outcome: ident.OutcomeRun, At: now.UTC(),
	}
	var refusal *caller.Refusal
	if errors.As(err, &refusal) {
		s.Outcome = refusal.Outcome
	}
	c.n.recordSettlement(s, c.r.Caller.Class)
}

// usedTokens returns the usage to bill. A request that failed before its caller received anything is not billed.
func (c *chat) usedTokens(err error) caller.Usage {
	if err != nil && !c.answerBegun {
		return caller.Usage{}
	}
	return c.billedUsage()
}
