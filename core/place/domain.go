package place

import (
	"time"

	"geraniumsaddle/core/ident"
)

// domainFailures records recent failures to connect to the targets of one failure domain. A network partition makes all
// targets of a domain unreachable at once, and each attempt to reach one delays a request by the connection timeout.
type domainFailures struct {
	// targets holds the targets that could not be reached since a target of the domain last answered.
	targets map[ident.TargetID]bool
	lastAt  time.Time
}

// recordReachability updates the failures of the target's failure domain with the result of a request.
func (f *Fleet) recordReachability(t Target, r Result, now time.Time) {
	switch r {
	case ResultUnreachable:
		failures := f.failuresByDomain[t.Domain]
		if failures == nil || now.Sub(failures.lastAt) > suspectDuration {
			failures = &domainFailures{targets: make(map[ident.TargetID]bool)}
			f.failuresByDomain[t.Domain] = failures
		}
		failures.targets[t.ID] = true
		failures.lastAt = now
	case ResultOK, ResultFull, ResultGone:
		delete(f.failuresByDomain, t.Domain)
	}
}

// suspectUnreachable reports whether a failure domain is probably partitioned from this router.
func (f *Fleet) suspectUnreachable(id ident.DomainID, now time.Time) bool {
	failures := f.failuresByDomain[id]
	return failures != nil && len(failures.targets) >= suspectThreshold && now.Sub(failures.lastAt) <= suspectDuration
}
