package node

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/io/caller"
	fakeengine "geraniumsaddle/io/fakes/engine"
)

// TestRetryOutcome guards against the outcome not_run for a request that ran at a target and found no other one for its
// retry.
func TestRetryOutcome(t *testing.T) {
	is := is.New(t)
	p := newPair(t, fakeengine.Config{}, "--queue-wait", "200ms")
	p.ready()
	p.engine.SetFaults(fakeengine.Faults{ErrorRate: 1})
	err := p.chat(context.Background(), p.b, "x", new(collector))
	var ref *caller.Refusal
	is.True(errors.As(err, &ref))
	is.Equal(ref.Outcome, ident.OutcomeRun)
}
