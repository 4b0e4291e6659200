package node

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/io/caller"
	fakeengine "geraniumsaddle/io/fakes/engine"
)

// TestRetryOutcome guards against the outcome not_run for a request that ran at a target and found no other one for its
// retry.
func TestRetryOutcome(t *testing.T) {
	is := is.New(t)
	p := newDomainPair(t, fakeengine.Config{}, "--queue-wait", "200ms")
	p.waitReady()
	p.engine.SetFaults(fakeengine.Faults{ErrorRate: 1})
	err := p.chat(context.Background(), p.b, "x", new(answerRecorder))
	var refusal *caller.Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Outcome, ident.OutcomeRun)
}

// TestRetryWithoutTarget guards against a retry that waits in the queue although it has failed at every target. With a
// single engine, such waits delayed the evidence against a bad version by 20 s.
func TestRetryWithoutTarget(t *testing.T) {
	is := is.New(t)
	p := newDomainPair(t, fakeengine.Config{}, "--queue-wait", "5m")
	p.waitReady()
	p.engine.SetFaults(fakeengine.Faults{ErrorRate: 1})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var refusal *caller.Refusal
	is.True(errors.As(p.chat(ctx, p.b, "x", new(answerRecorder)), &refusal))
	is.Equal(refusal.Outcome, ident.OutcomeRun)
	is.NoErr(ctx.Err()) // it did not wait until the queue timeout
}
