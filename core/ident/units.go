package ident

// Tokens is a number of model tokens, the unit of budgets, holds and bills.
type Tokens int64

// Bytes is a size in bytes.
type Bytes int64

// Outcome states whether a target ran a request, as reported to the caller.
type Outcome string

const (
	// OutcomeRun means a target received the request and its result is known.
	OutcomeRun Outcome = "run"
	// OutcomeNotRun means no target can have received the request.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means a target may have received the request.
	OutcomeUnknown Outcome = "unknown"
)

// Valid reports whether o is one of the defined outcomes.
func (o Outcome) Valid() bool {
	switch o {
	case OutcomeRun, OutcomeNotRun, OutcomeUnknown:
		return true
	}
	return false
}
