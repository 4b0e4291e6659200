// Command checktest runs "go test" with the given arguments and accepts only the failures that KNOWN-RED.txt lists.
// It prints the output of all failed tests, marks the known failures, and ends with a summary of the form
// "N passed, N failed".
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
)

// knownFailuresFile lists the accepted failures. It is read from the working directory and may be missing.
const knownFailuresFile = "KNOWN-RED.txt"

// testEvent is an event of "go test -json". Test is empty for an event of a whole package. ImportPath names the build of
// a build event, and FailedBuild the build that failed a package.
type testEvent struct {
	Action      string
	Package     string
	Test        string
	Output      string
	ImportPath  string
	FailedBuild string
}

// summary collects the results of a run. Names have the form "package.Test".
type summary struct {
	passed         int
	knownFailures  []string
	failedTests    []string
	output         map[string][]string // by name, except of passed tests
	failedPackages []string            // packages that failed without a failed test
}

func main() {
	known, err := readKnown(knownFailuresFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	cmd := exec.Command("go", append([]string{"test", "-json"}, os.Args[1:]...)...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if err := cmd.Start(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	result := readEvents(out, known)
	runErr := cmd.Wait()
	result.print(os.Stdout)
	if len(result.failedTests) > 0 || len(result.failedPackages) > 0 {
		os.Exit(1)
	}
	if runErr != nil && len(result.knownFailures) == 0 {
		fmt.Fprintln(os.Stderr, runErr)
		os.Exit(1)
	}
}

// readKnown returns the test names, of the form "package.Test", in the file of known failures. A name is the first word
// of a line; a line that starts with # is a comment.
func readKnown(name string) (map[string]bool, error) {
	known := make(map[string]bool)
	f, err := os.Open(name)
	if os.IsNotExist(err) {
		return known, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close() //nolint:errcheck // read-only file
	s := bufio.NewScanner(f)
	for s.Scan() {
		field, _, _ := strings.Cut(strings.TrimSpace(s.Text()), " ")
		if field != "" && !strings.HasPrefix(field, "#") {
			known[field] = true
		}
	}
	return known, s.Err()
}

// readEvents reads the output of "go test -json" until it ends or cannot be decoded.
func readEvents(r io.Reader, known map[string]bool) *summary {
	result := &summary{output: make(map[string][]string)}
	hasFailedTest := make(map[string]bool)
	panicked := make(map[string]bool)
	dec := json.NewDecoder(r)
	for {
		var e testEvent
		if err := dec.Decode(&e); err != nil {
			return result
		}
		name := e.Package + "." + e.Test
		if e.Action == "output" && strings.HasPrefix(e.Output, "panic: ") {
			panicked[e.Package] = true
		}
		switch {
		case e.Action == "build-output":
			result.output[e.ImportPath] = append(result.output[e.ImportPath], e.Output)
		case e.Action == "output":
			result.output[name] = append(result.output[name], e.Output)
		case e.Action == "pass" && e.Test != "":
			result.passed++
			delete(result.output, name)
		case e.Action == "fail" && e.Test != "":
			hasFailedTest[e.Package] = true
			result.recordFailure(name, known)
		case e.Action == "fail" && (!hasFailedTest[e.Package] || panicked[e.Package]):
			// A panic ends the process, so that some tests of the package have not run.
			result.output[name] = append(result.output[name], result.output[e.FailedBuild]...)
			result.failedPackages = append(result.failedPackages, name)
		}
	}
}

// recordFailure records a failed test. A known test also covers its subtests whose names start with "Test".
func (s *summary) recordFailure(name string, known map[string]bool) {
	top, _, _ := strings.Cut(name, "/Test")
	if known[name] || known[top] {
		s.knownFailures = append(s.knownFailures, name)
		return
	}
	s.failedTests = append(s.failedTests, name)
}

func (s *summary) print(w io.Writer) {
	for _, name := range append(s.failedTests, s.failedPackages...) {
		fmt.Fprintf(w, "--- FAIL: %s\n%s", name, strings.Join(s.output[name], "")) //nolint:errcheck // report
	}
	for _, name := range s.knownFailures {
		// The output is needed to trace a known failure that occurs rarely.
		fmt.Fprintf(w, "known failure: %s\n%s", name, strings.Join(s.output[name], "")) //nolint:errcheck // report
	}
	fmt.Fprintf(w, "%d passed, %d failed\n", s.passed, len(s.failedTests)+len(s.failedPackages)) //nolint:errcheck // report
}
