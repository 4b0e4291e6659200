package main

import (
	"fmt"
	"net/http"
	"strings"

	"geraniumsaddle/platform/stand"
)

// check returns the broken promises. Runs counts how often targets began to work on each request.
func check(outcomes []outcome, runs map[string]int, events int) []string {
	var broken []string
	used := 0
	for _, o := range outcomes {
		if o.kind.once && runs[o.id] > 1 {
			broken = append(broken, fmt.Sprintf("%s ran %d times", o.id, runs[o.id]))
		}
		if refused(o) && o.kind.once && runs[o.id] > 0 {
			broken = append(broken, fmt.Sprintf("%s was refused with %d and ran", o.id, o.status))
		}
		if o.status == http.StatusOK {
			broken = append(broken, checkAnswer(o, events)...)
		}
		if n := strings.Count(o.body, "data: "); o.status == http.StatusOK && n > 0 {
			used += o.kind.in + n
		}
	}
	if used > prepaid {
		broken = append(broken, fmt.Sprintf("%d tokens were delivered of %d", used, prepaid))
	}
	return broken
}

// refused reports whether the answer promises that the request has not run.
func refused(o outcome) bool {
	return !o.signed && (o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests)
}

// checkAnswer checks that an answer belongs to its request, is in order, and is whole when it says so.
func checkAnswer(o outcome, events int) []string {
	if !o.signed {
		return []string{o.id + " got a success without a target's signature"}
	}
	if o.kind.in == 0 {
		if o.whole && !strings.HasSuffix(o.body, " to "+o.id) {
			return []string{fmt.Sprintf("%s got %q", o.id, o.body)}
		}
		return nil
	}
	var want strings.Builder
	for n := range events {
		want.WriteString(stand.Event(o.id, n))
	}
	if o.whole && o.body != want.String() || !strings.HasPrefix(want.String(), o.body) {
		return []string{fmt.Sprintf("%s got %q", o.id, o.body)}
	}
	return nil
}
