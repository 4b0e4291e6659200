package node

import (
	"errors"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/io/caller"
)

// attemptOutcome is the outcome of a request's failed attempts that may have reached a target, or empty.
type attemptOutcome ident.Outcome

// record records the outcome of a failed attempt.
func (o *attemptOutcome) record(err error) {
	var r *retryableError
	if !errors.As(err, &r) || r.refusal.Outcome == ident.OutcomeNotRun || ident.Outcome(*o) == ident.OutcomeRun {
		return
	}
	*o = attemptOutcome(r.refusal.Outcome)
}

// apply replaces the outcome not_run of the last attempt when an earlier one may have reached a target.
func (o attemptOutcome) apply(err error) error {
	var refusal *caller.Refusal
	if o == "" || !errors.As(err, &refusal) || refusal.Outcome != ident.OutcomeNotRun {
		return err
	}
	out := *refusal
	out.Outcome = ident.Outcome(o)
	return &out
}
