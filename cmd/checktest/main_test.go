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

// TestReportOfBrokenPackage guards against a package that is accepted although a known test has panicked and the tests
// after it have not run, and against the loss of the errors of a package that does not compile.
func TestReportOfBrokenPackage(t *testing.T) {
	t.Parallel()
	cases := []struct{ name, events, want string }{
		{"panic of a known test", `{"Action":"output","Package":"p","Test":"TestFlaky","Output":"panic: no target\n"}
{"Action":"fail","Package":"p","Test":"TestFlaky"}
{"Action":"fail","Package":"p"}
`, "--- FAIL: p.\nknown failure: p.TestFlaky\npanic: no target\n0 passed, 1 failed\n"},
		{"compile error", `{"ImportPath":"p [p.test]","Action":"build-output","Output":"undefined: x\n"}
{"ImportPath":"p [p.test]","Action":"build-fail"}
{"Action":"fail","Package":"p","FailedBuild":"p [p.test]"}
`, "--- FAIL: p.\nundefined: x\n0 passed, 1 failed\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var out strings.Builder
			readEvents(strings.NewReader(c.events), map[string]bool{"p.TestFlaky": true}).print(&out)
			is.Equal(out.String(), c.want)
		})
	}
}
