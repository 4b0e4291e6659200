package poison

import "time"

// Policy says how much evidence quarantines a part, and for how long.
type Policy struct {
	// MinLosses is the number of lost targets that quarantine a part without an answer between them.
	MinLosses int
	// Spread is the time that separates two occasions, and MinOccasions the number of occasions on which the targets must
	// have been lost. Several targets that are lost at once have another cause.
	Spread       time.Duration
	MinOccasions int
	// Settle is the time after a router has learned of the last necessary loss within which answers known to other routers can still arrive.
	Settle time.Duration
	// Memory is how long a loss counts.
	Memory time.Duration
	// Term is how long the first quarantine of a part lasts. It doubles each time up to MaxTerm. A single loss quarantines
	// a part again within ProbationTime after the end.
	Term, MaxTerm, ProbationTime time.Duration
	// TermSpread is the share of the term by which a router extends it, between 0 and 1. Routers use different shares, so
	// that one of them tries the part before the others.
	TermSpread float64
}

// DefaultPolicy returns the policy of a router. termSpread differs between routers.
func DefaultPolicy(termSpread float64) Policy {
	return Policy{
		MinLosses: 3, Spread: 250 * time.Millisecond, MinOccasions: 2,
		Settle: 500 * time.Millisecond, Memory: 2 * time.Minute,
		Term: 5 * time.Minute, MaxTerm: time.Hour, ProbationTime: time.Hour, TermSpread: termSpread,
	}
}

// term returns how long a quarantine with the given number of strikes lasts.
func (p Policy) term(strikes int) time.Duration {
	t := p.Term
	for i := 1; i < strikes && t < p.MaxTerm; i++ {
		t *= 2
	}
	return min(t, p.MaxTerm)
}
