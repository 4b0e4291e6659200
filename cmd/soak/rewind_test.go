package main

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRewinds guards against tokens that are delivered twice, and against requests that run twice, while the store goes back
// to older copies beside kills, pauses and cut connections.
func TestRewinds(t *testing.T) {
	is := is.New(t)
	binary := buildRouter(t)
	for _, claims := range []bool{false, true} {
		result, err := run(config{Binary: binary, Seed: 2, Length: 6 * time.Second, Routers: 3, Callers: 4, Dir: t.TempDir(), Claims: claims, Rewinds: true})
		is.NoErr(err)
		is.Equal(result.Broken, nil)
		is.True(result.Answers["200"] > 0)
		is.True(result.Faults["rewind"] > 0)
	}
}
