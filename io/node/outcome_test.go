package node

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/io/caller"
)

// TestAttemptOutcome guards against the outcome not_run for a request that an earlier attempt may have run, whatever
// refuses the last attempt.
func TestAttemptOutcome(t *testing.T) {
	refusal := func(o ident.Outcome) *caller.Refusal { return caller.Refuse(caller.CodeUnavailable, o, "refused") }
	const none = ident.Outcome("")
	cases := []struct {
		name    string
		earlier []ident.Outcome
		last    ident.Outcome
		want    ident.Outcome
	}{
		{"first attempt", nil, ident.OutcomeNotRun, ident.OutcomeNotRun},
		{"target not reached before", []ident.Outcome{ident.OutcomeNotRun}, ident.OutcomeNotRun, ident.OutcomeNotRun},
		{"answer lost before", []ident.Outcome{ident.OutcomeUnknown}, ident.OutcomeNotRun, ident.OutcomeUnknown},
		{"run before", []ident.Outcome{ident.OutcomeRun, ident.OutcomeUnknown}, ident.OutcomeNotRun, ident.OutcomeRun},
		{"last attempt unknown", []ident.Outcome{ident.OutcomeRun}, ident.OutcomeUnknown, ident.OutcomeUnknown},
		{"answered", []ident.Outcome{ident.OutcomeUnknown}, none, none},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var earlier attemptOutcome
			for _, o := range c.earlier {
				earlier.record(&retryableError{refusal(o)})
			}
			var last error
			if c.last != none {
				last = refusal(c.last)
			}
			got := earlier.apply(last)
			var r *caller.Refusal
			if errors.As(got, &r) {
				is.Equal(r.Outcome, c.want)
				return
			}
			is.NoErr(got)
			is.Equal(c.want, none)
		})
	}
}
