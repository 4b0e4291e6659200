package cmds

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/io/life"
)

const (
	traceFirst  = `vm-2 {"time":"2026-12-04T06:00:01Z","msg":"send failed","id":"r1","target":"t1"}`
	traceSecond = `{"time":"2026-12-04T06:00:02Z","msg":"request","id":"r1","status":502}`
	traceOther  = `{"time":"2026-12-04T06:00:00Z","msg":"request","id":"r2","reason":"like r1"}`
)

// TestTrace guards against lines of other requests, a wrong order and failures on lines without JSON.
func TestTrace(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	a, b := filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")
	is.NoErr(os.WriteFile(a, []byte(traceSecond+"\n"+traceOther+"\nnot json r1 {\n"), 0o600))
	is.NoErr(os.WriteFile(b, []byte(traceFirst+"\n"), 0o600))
	var out, errOut bytes.Buffer
	is.Equal(execute(context.Background(), newRoot(), []string{"trace", "r1", a, b}, &out, &errOut), life.ExitOK)
	is.Equal(out.String(), traceFirst+"\n"+traceSecond+"\n")
	is.Equal(execute(context.Background(), newRoot(), []string{"trace", "r9", a, b}, &out, &errOut), life.ExitFailure)
	is.True(strings.Contains(errOut.String(), "no log line names request r9"))
}

// TestTraceQuarantine guards against a refusal for a quarantined part whose reason trace doesn't show, and against lines about
// other parts.
func TestTraceQuarantine(t *testing.T) {
	is := is.New(t)
	refused := `{"time":"2026-12-05T06:00:02Z","msg":"request","id":"r1","status":503,"quarantined_part":"p1"}`
	reason := `{"time":"2026-12-05T06:00:01Z","msg":"part of prompts quarantined","part":"p1"}`
	other := `{"time":"2026-12-05T06:00:00Z","msg":"part of prompts quarantined","part":"p2"}`
	var out bytes.Buffer
	is.NoErr(traceFiles(&out, strings.NewReader(reason+"\n"+other+"\n"+refused+"\n"), "r1", nil))
	is.Equal(out.String(), reason+"\n"+refused+"\n")
}
