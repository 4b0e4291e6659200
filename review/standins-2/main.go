//go:build review

package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(*fleet, bool) (bool, error){
	"drain":    runDrain,
	"drill":    runDrill,
	"early":    runEarly,
	"memory":   runMemory,
	"watchers": runWatchers,
	"poison":   runPoison,
}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) == 4 && os.Args[1] == "engine" {
		return serveEngine(os.Args[2], os.Args[3])
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE RECORD")
		return 2
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	f, err := newFleet(dir, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, trouble: %v, folder %s", os.Args[1], trouble, dir)
	broken, err := cases[os.Args[1]](f, trouble)
	f.stop()
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return 2
	case broken:
		rec.say("the rule was broken")
		return 1
	}
	rec.say("the rule held")
	return 0
}
