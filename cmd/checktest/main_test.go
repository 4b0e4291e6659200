package main

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestReport guards against a new failure that is reported as a known one, and against the loss of the output of a
// known failure, which is needed to trace it.
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
	result := readEvents(strings.NewReader(events), map[string]bool{"p.TestFlaky": true})
	var out strings.Builder
	result.print(&out)
	is.Equal(out.String(), "--- FAIL: p.TestNew\nwrong sum\nknown failure: p.TestFlaky\nrefused: no target\n1 passed, 1 failed\n")
}
