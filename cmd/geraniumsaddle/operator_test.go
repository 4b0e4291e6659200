package main_test

import (
	"encoding/json"
	"fmt"
	"os/exec"
	"regexp"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// volatileAdminParts are the parts of the admin command's output that differ between runs, with their replacements.
var volatileAdminParts = []struct {
	re *regexp.Regexp
	to string
}{
	{regexp.MustCompile(`"version": \d+`), `"version": N`},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z`), "TIME"},
	{regexp.MustCompile(`(r\d)\.\d{13}`), "$1.EPOCH"},
	{regexp.MustCompile(`(\w)=\d+`), "$1=N"},
	{regexp.MustCompile(`req-[0-9a-f]{32}`), "req-ID"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDR"},
	{regexp.MustCompile(`(version is|current version|version) \d+`), "$1 N"},
	{regexp.MustCompile(` {2,}`), "  "},
}

var versionField = regexp.MustCompile(`"version": (\d+)`)

// cmdAdmin runs the admin command and prints its stdout and stderr, with the volatile parts replaced. It sets the
// variable "version" to the first version in JSON output. With -retry it repeats the command until it succeeds:
// admin [-retry] ADMIN_ADDR TOKEN ARG...
func cmdAdmin(ts *testscript.TestScript, neg bool, args []string) {
	retry := args[0] == "-retry"
	if retry {
		args = args[1:]
	}
	deadline := time.Now().Add(pollTimeout)
	for {
		out, err := runAdmin(ts, args)
		if retry && err != nil && time.Now().Before(deadline) {
			time.Sleep(pollInterval)
			continue
		}
		if m := versionField.FindStringSubmatch(out); m != nil {
			ts.Setenv("version", m[1])
		}
		out = normalizeAdminOutput(out)
		if (err == nil) == neg {
			ts.Fatalf("admin %v: %v: %s", args[2:], err, out)
		}
		_, _ = fmt.Fprint(ts.Stdout(), out)
		return
	}
}

// runAdmin runs the admin command with an admin address, a token and further arguments, and returns its combined
// output.
func runAdmin(ts *testscript.TestScript, args []string) (string, error) {
	path, err := programPath(ts)
	ts.Check(err)
	cmd := exec.Command(path, append([]string{"admin"}, args[2:]...)...)
	cmd.Dir = ts.MkAbs(".")
	cmd.Env = []string{"GERANIUMSADDLE_ADMIN_URL=http://" + args[0], "GERANIUMSADDLE_OPERATOR_TOKEN=" + args[1]}
	var out strings.Builder
	cmd.Stdout, cmd.Stderr = &out, &out
	err = cmd.Run()
	return out.String(), err
}

// cmdCreateKey creates an API key and stores its secret in a variable:
// createkey VAR ADMIN_ADDR TOKEN ORGANISATION KEY.
func cmdCreateKey(ts *testscript.TestScript, _ bool, args []string) {
	out, err := runAdmin(ts, []string{args[1], args[2], "--output", "json", "key", "create", args[3], args[4]})
	ts.Check(err)
	var created struct {
		Secret string `json:"secret"`
	}
	ts.Check(json.Unmarshal([]byte(out), &created))
	ts.Setenv(args[0], created.Secret)
}

// cmdRace replaces the same version of an object with two concurrent admin commands. It checks that exactly one
// succeeds and prints its output, then that of the other: race COLLECTION ADMIN_ADDR TOKEN FILE FILE VERSION.
func cmdRace(ts *testscript.TestScript, _ bool, args []string) {
	var outs [2]string
	var errs [2]error
	var wg sync.WaitGroup
	for i, file := range args[3:5] {
		wg.Go(func() {
			outs[i], errs[i] = runAdmin(ts, []string{args[1], args[2], "put", args[0], "--file", file, "--if-match", args[5]})
		})
	}
	wg.Wait()
	if (errs[0] == nil) == (errs[1] == nil) {
		ts.Fatalf("race: not exactly one command succeeded: %v, %v: %s%s", errs[0], errs[1], outs[0], outs[1])
	}
	out := outs[0] + outs[1]
	if errs[0] != nil {
		out = outs[1] + outs[0]
	}
	_, _ = fmt.Fprint(ts.Stdout(), normalizeAdminOutput(out))
}

// versionCell matches the first two columns of a table of objects, ID and version.
var versionCell = regexp.MustCompile(`(?m)^(\S+)  \d+  `)

// slotsCell matches the last two columns of the targets in a status. The number of slots varies with demand.
var slotsCell = regexp.MustCompile(`(?m)  (active|ejected)  \d+$`)

// normalizeAdminOutput replaces the parts of the admin command's output that differ between runs.
func normalizeAdminOutput(out string) string {
	for _, v := range volatileAdminParts {
		out = v.re.ReplaceAllString(out, v.to)
	}
	if strings.HasPrefix(out, "ID  VERSION") {
		out = versionCell.ReplaceAllString(out, "$1  N  ")
	}
	return slotsCell.ReplaceAllString(out, "  $1  N")
}
