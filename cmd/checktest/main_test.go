package main

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestReport guards against a failure that is taken for a known one, and against a known one whose output is lost, so that
// it cannot be traced.
func TestReport(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	events := `{"Action":"output","Package":"p","Test":"TestFlaky","Output":"refused: no target\n"}
{"Action":"fail","Package":"p","Test":"TestFlaky"}
{"Action":"output","Package":"p","Test":"TestNew","Output":"wrong sum\n"}
{"Action":"fail","Package":"p","Test":"TestNew"}
{"Action":"output","Package":"p","Test":"TestGood","Output":"fine\n"}
{"Action":"pass","Package":"p","Test":"TestGood"}
{"Action":"fail","Package":"p"}
`
	tally := read(strings.NewReader(events), map[string]bool{"p.TestFlaky": true})
	var out strings.Builder
	tally.print(&out)
	is.Equal(out.String(), "--- FAIL: p.TestNew\nwrong sum\nknown failure: p.TestFlaky\nrefused: no target\n1 passed, 1 failed\n")
}
