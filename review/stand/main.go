//go:build review

// Command stand runs the cases of the review: each starts routers, a store and servers as separate processes on loopback
// addresses, plays clients, and checks one rule.
//
// Usage: stand CASE DIR. DIR/record.txt gets what was sent, answered and run. The exit status is 1 if the rule was broken,
// 0 if it held, and 2 if the case could not run. Without the disruption (TROUBLE=0) the rule has to hold.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxLength bounds a case. It ends all processes when its time is over.
const maxLength = 100 * time.Second

// caseFunc plays a case and returns how often the rule was broken.
type caseFunc func(f *fleet, trouble bool) (broken int, err error)

var cases = map[string]caseFunc{
	"cutanswer": playCutAnswer,
	"idleclose": playIdleClose,
}

// standIns are the servers and the store that a case starts as processes of their own.
var standIns = map[string]func(args []string) error{
	"store":      runStore,
	"cutserver":  runCutServer,
	"deskserver": runDeskServer,
}

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE DIR")
		os.Exit(exitNotRun)
	}
	if run, ok := standIns[os.Args[1]]; ok {
		if err := run(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, os.Args[1]+":", err)
			os.Exit(exitNotRun)
		}
		return
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(play, os.Args[2]))
}

// runCase plays a case and returns the exit status.
func runCase(play caseFunc, dir string) int {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = record.Close() }()
	f, err := newFleet(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	trouble := os.Getenv("TROUBLE") != "0"
	f.note("case", "disruption", trouble)
	type result struct {
		broken int
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := play(f, trouble)
		done <- result{broken, err}
	}()
	select {
	case r := <-done:
		if r.err != nil {
			f.note("the case could not run", "error", r.err)
			fmt.Fprintln(os.Stderr, r.err)
			return exitNotRun
		}
		f.note("result", "broken", r.broken)
		if r.broken > 0 {
			fmt.Println("the rule was broken", r.broken, "times")
			return exitBroken
		}
		fmt.Println("the rule held")
		return exitHeld
	case <-time.After(maxLength):
		f.note("the case took too long")
		return exitNotRun
	}
}
