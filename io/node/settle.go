package node

import (
	"context"
	"errors"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/io/caller"
)

// open journals the hold of the request before it is sent to the chosen target.
func (c *chat) open(context.Context) error { return nil }

// finish settles the reservation and bills what was used.
func (c *chat) finish(err error) {
	used := c.used(err)
	over, _ := c.res.Settle(used)
	if over > 0 {
		c.n.log.Warn("target reported more tokens than the request allowed", "request_id", c.r.ID, "target", c.choice.Target, "over_bound", over)
	}
	now := c.n.clock.Now()
	if c.contents > 1 {
		c.n.metrics.Stream(c.r.Caller.Class, c.r.Caller.Org, c.first.Sub(c.start), now.Sub(c.first)/timeCount(c.contents-1))
	}
	c.n.metrics.Billed(c.r.Caller.Class, c.r.Caller.Org, min(used, c.need))
}

// used returns the tokens to bill. A request that no target received, or that failed before its first chunk, is free.
func (c *chat) used(err error) ident.Tokens {
	var ref *caller.Refusal
	if errors.As(err, &ref) && (ref.Outcome == ident.OutcomeNotRun || !c.begun) {
		return 0
	}
	return c.billedUsage().TotalTokens
}

func (c *chat) evidence(bool)    {}
func (c *chat) evidenceNeutral() {}
