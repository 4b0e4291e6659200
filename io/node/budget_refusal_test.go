package node

import (
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/io/caller"
)

// TestBudgetNotLoaded guards against a refusal for want of a budget, which callers take as final, while the router has
// not loaded its whole configuration.
func TestBudgetNotLoaded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	n := &Node{}
	none := &escrow.Refusal{Need: 100}
	r := n.budgetRefusal(none, 100)
	is.Equal(r.Code, caller.CodeUnavailable)
	is.Equal(r.Outcome, ident.OutcomeNotRun)
	is.True(r.RetryAfter > 0)
	n.configLoaded.Store(true)
	is.Equal(n.budgetRefusal(none, 100).Code, caller.CodeBudgetExhausted)
}
