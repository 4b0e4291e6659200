package main

import (
	"net/http"
	"time"

	"geraniumsaddle/platform/fakes"
)

const (
	// rewindShare is the share of faults in which the store goes back: one of rewindShare.
	rewindShare = 4
	// maxRewindSeconds is the longest time by which the store goes back.
	maxRewindSeconds = 10
)

// injectRewind takes the store away for a moment and brings it back from an older copy, sometimes twice in a row. The
// operator and the targets then write again what they wrote.
func (env *testEnv) injectRewind() {
	for range 1 + env.rng.IntN(2) {
		env.countFault("rewind")
		env.store.SetFault(func(*http.Request) fakes.Fault { return fakes.Unavailable })
		time.Sleep(time.Duration(env.rng.IntN(500)) * time.Millisecond)
		env.store.Rewind(time.Duration(1+env.rng.IntN(maxRewindSeconds)) * time.Second)
		env.store.SetFault(nil)
		time.Sleep(time.Duration(env.rng.IntN(200)) * time.Millisecond)
		env.store.Put("config", "main", env.config)
		for id, entry := range env.entries {
			env.store.Put("servers", id, entry)
		}
	}
}
