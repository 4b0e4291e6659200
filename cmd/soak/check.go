package main

import (
	"fmt"
	"net/http"
	"strings"

	"geraniumsaddle/platform/fakes"
)

// checkOutcomes returns the violated guarantees. runCounts has the number of times that targets started to run each
// request, by its id.
func checkOutcomes(outcomes []outcome, runCounts map[string]int, eventsPerResponse, prepaid int) []string {
	var violations []string
	deliveredTokens := 0
	for _, o := range outcomes {
		if o.kind.atMostOnce && runCounts[o.id] > 1 {
			violations = append(violations, fmt.Sprintf("%s ran %d times", o.id, runCounts[o.id]))
		}
		if claimsNotRun(o) && o.kind.atMostOnce && runCounts[o.id] > 0 {
			violations = append(violations, fmt.Sprintf("%s was rejected with status %d, but ran", o.id, o.status))
		}
		if o.status == http.StatusOK {
			violations = append(violations, checkResponse(o, eventsPerResponse)...)
		}
		if tokens := strings.Count(o.body, "data: "); o.status == http.StatusOK && tokens > 0 {
			deliveredTokens += o.kind.inputTokens + tokens
		}
	}
	if deliveredTokens > prepaid {
		violations = append(violations, fmt.Sprintf("%d tokens were delivered, but only %d are prepaid", deliveredTokens, prepaid))
	}
	return violations
}

// checkAnswered returns the requests that ran without a complete answer.
func checkAnswered(outcomes []outcome, runCounts map[string]int) []string {
	var violations []string
	for _, o := range outcomes {
		if runCounts[o.id] > 0 && !o.complete {
			violations = append(violations, fmt.Sprintf("%s ran and got no complete answer (status %d)", o.id, o.status))
		}
	}
	return violations
}

// claimsNotRun reports whether the response claims that the request has not run. That is a 503 or 429 from a router;
// one that a target has signed makes no such claim.
func claimsNotRun(o outcome) bool {
	return !o.signed && (o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests)
}

// checkResponse checks that a response comes from a target, belongs to its request and has its events in order, and
// that no part is missing if it ended as complete. Of an incomplete response of the plain service, only the signature
// is checked.
func checkResponse(o outcome, eventsPerResponse int) []string {
	if !o.signed {
		return []string{o.id + " got status 200 without the signature of a target"}
	}
	if o.kind.inputTokens == 0 {
		if o.complete && !strings.HasSuffix(o.body, " to "+o.id) {
			return []string{fmt.Sprintf("%s got the wrong response %q", o.id, o.body)}
		}
		return nil
	}
	var want strings.Builder
	for n := range eventsPerResponse {
		want.WriteString(fakes.Event(o.id, n))
	}
	if o.complete && o.body != want.String() || !strings.HasPrefix(want.String(), o.body) {
		return []string{fmt.Sprintf("%s got the wrong response %q", o.id, o.body)}
	}
	return nil
}
