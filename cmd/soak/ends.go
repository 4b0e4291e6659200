package main

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"
)

// checkEnds returns the processes that ended although the soak did not end them, that ended in another way than it asked
// for, or that took more memory than the limit in bytes.
func checkEnds(ends []processEnd, memoryLimit int64) []string {
	var violations []string
	for _, e := range ends {
		if !wasAskedFor(e) {
			violations = append(violations, fmt.Sprintf("%s ended by itself: %s, %v after its start, log %q",
				e.name, e.label(), e.age.Round(time.Millisecond), strings.Join(e.lines, " | ")))
		}
		if e.overdue {
			violations = append(violations, e.name+" did not end in time after SIGTERM")
		}
		if e.peakMemory > memoryLimit {
			violations = append(violations, fmt.Sprintf("%s took %d MB of %d MB", e.name, e.peakMemory>>20, memoryLimit>>20))
		}
	}
	return violations
}

// wasAskedFor reports whether the soak caused the end: a process ends with status 0 after SIGTERM, and by SIGKILL if it
// was killed. A signal that comes before the process can have a handler for it also ends it, whatever the program does.
func wasAskedFor(e processEnd) bool {
	if !e.status.Signaled() {
		return e.terminated && e.status.ExitStatus() == 0
	}
	return e.killed && e.status.Signal() == syscall.SIGKILL || e.endedEarly()
}

// countLost returns the number of requests without a complete answer that ran across the end of a process of their
// router that the soak did not cause.
func countLost(outcomes []outcome, ends []processEnd) int {
	lost := 0
	for _, o := range outcomes {
		if !o.complete && slices.ContainsFunc(ends, func(e processEnd) bool { return !wasAskedFor(e) && o.crosses(e) }) {
			lost++
		}
	}
	return lost
}

// crosses reports whether the request was in progress at the process, which it can reach only after its start, when it
// ended.
func (o outcome) crosses(e processEnd) bool {
	return o.routerAddr == e.callerAddr && o.began.Before(e.at) && !o.began.Before(e.at.Add(-e.age)) && !o.ended.Before(e.at.Add(-endTolerance))
}

// endTolerance is how much earlier than the soak a caller may notice the end of a process.
const endTolerance = 20 * time.Millisecond
