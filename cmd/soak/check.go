package main

import (
	"fmt"
	"net/http"
	"strings"

	"geraniumsaddle/platform/stand"
)

// check returns the broken promises. Runs counts how often targets began to work on each request.
func checkOutcomes(outcomes []outcome, runCounts map[string]int, eventsPerResponse int) []string {
	var violations []string
	deliveredTokens := 0
	for _, o := range outcomes {
		if o.kind.atMostOnce && runCounts[o.id] > 1 {
			violations = append(violations, fmt.Sprintf("%s ran %d times", o.id, runCounts[o.id]))
		}
		if claimsNotRun(o) && o.kind.atMostOnce && runCounts[o.id] > 0 {
			violations = append(violations, fmt.Sprintf("%s was refused with %d and ran", o.id, o.status))
		}
		if o.status == http.StatusOK {
			violations = append(violations, checkResponse(o, eventsPerResponse)...)
		}
		if tokens := strings.Count(o.body, "data: "); o.status == http.StatusOK && tokens > 0 {
			deliveredTokens += o.kind.inputTokens + tokens
		}
	}
	if deliveredTokens > prepaidTokens {
		violations = append(violations, fmt.Sprintf("%d tokens were delivered of %d", deliveredTokens, prepaidTokens))
	}
	return violations
}

// refused reports whether the answer promises that the request has not run.
func claimsNotRun(o outcome) bool {
	return !o.signed && (o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests)
}

// checkAnswer checks that an answer belongs to its request, is in order, and is whole when it says so.
func checkResponse(o outcome, eventsPerResponse int) []string {
	if !o.signed {
		return []string{o.id + " got a success without a target's signature"}
	}
	if o.kind.inputTokens == 0 {
		if o.complete && !strings.HasSuffix(o.body, " to "+o.id) {
			return []string{fmt.Sprintf("%s got %q", o.id, o.body)}
		}
		return nil
	}
	var want strings.Builder
	for n := range eventsPerResponse {
		want.WriteString(stand.Event(o.id, n))
	}
	if o.complete && o.body != want.String() || !strings.HasPrefix(want.String(), o.body) {
		return []string{fmt.Sprintf("%s got %q", o.id, o.body)}
	}
	return nil
}
