package edge

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/platform"

	"geraniumsaddle/platform/fakes"
)

// operatorLogLines holds the log messages that docs/OPERATIONS.md refers to, with their fields other than time, level
// and msg.
var operatorLogLines = map[string]string{
	"router starts":                                  "boot domain first_start router uptime_ms vm",
	"router is shutting down":                        "close_ms cut_ms free_ms router running",
	"router stopped":                                 "router",
	"configuration in force":                         "organisations revision routes version",
	"target entry removed":                           "target",
	"send to target failed":                          "addr error events id prompt_parts result target",
	"target refused the request":                     "id misdirected status target",
	"store is unreachable":                           "error",
	"store is reachable again":                       "away_ms",
	"link is busy; taking no new callers":            "bytes_per_s capacity",
	"link is no longer busy":                         "bytes_per_s capacity",
	"prepaid tokens not synchronized with the store": "error object",
	"request refused for lack of prepaid tokens":     "allowance_age_ms elsewhere free granted grows_ms growth held id limit near need organisation presumed spent store_away total verdict",
	"request":                     "busy config cost_ms first_ms home id input lender organisation output prompt_parts quarantined_part reason route status targets token_wait_ms tokens_held total_ms version",
	"router joined the fleet":     "routers shards",
	"target is leaving":           "born id service source target",
	"target asks for no requests": "id retry_after_ms service target",
}

// logBuffer collects log lines. It is safe for concurrent use.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// linesContaining returns the lines that contain any of the words.
func (b *logBuffer) linesContaining(words ...string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found strings.Builder
	for line := range strings.Lines(b.buf.String()) {
		if slices.ContainsFunc(words, func(w string) bool { return strings.Contains(line, w) }) {
			found.WriteString(line)
		}
	}
	return found.String()
}

// fieldsByMessage returns the fields of the first line of each message.
func (b *logBuffer) fieldsByMessage(t *testing.T) map[string]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := make(map[string]string)
	for line := range strings.Lines(b.buf.String()) {
		var values map[string]any
		if err := json.Unmarshal([]byte(line), &values); err != nil {
			t.Fatal(err)
		}
		msg := values["msg"].(string)
		for _, k := range []string{"time", "level", "msg"} {
			delete(values, k)
		}
		if _, ok := found[msg]; !ok {
			found[msg] = strings.Join(slices.Sorted(maps.Keys(values)), " ")
		}
	}
	return found
}

// TestOperatorLogLines guards against changed messages or fields of the log lines that on-call engineers rely on.
func TestOperatorLogLines(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var lines logBuffer
	env := newTestEnvWith(t, func(cfg *platform.Settings, d *Deps) {
		cfg.LinkRate = 200_000
		d.Log = slog.New(slog.NewJSONHandler(&lines, nil))
	})
	large := book
	large.body = strings.Repeat("x", 100_000)
	env.do(large)
	env.do(large)
	env.waitFor("a busy link", env.server.shedder.Busy)
	env.waitFor("a calm link", func() bool { return !env.server.shedder.Busy() })
	env.targets["llm-1"].SetMode(fakes.Truncate)
	env.targets["llm-1"].AnnounceLeaving()
	env.do(chat)
	env.targets["desk-1"].SetMode(fakes.Shed)
	env.targets["desk-1"].AskForQuiet(0.1)
	env.do(book)
	unpaid := chat
	unpaid.key = "key2"
	env.do(unpaid)
	env.store.SetFault(faultAll(fakes.Unavailable))
	env.waitFor("the store to be unreachable", env.server.storeMonitor.isUnreachable)
	env.waitFor("a failed write", func() bool {
		return lines.fieldsByMessage(t)["prepaid tokens not synchronized with the store"] != ""
	})
	env.store.SetFault(nil)
	env.waitFor("the store to be reachable", func() bool { return !env.server.storeMonitor.isUnreachable() })
	env.store.Delete("servers", "desk-1")
	env.waitFor("the removal of the target", func() bool { return env.server.targets.ServingCount("desk") == 0 })
	env.stop()
	got := lines.fieldsByMessage(t)
	for msg, want := range operatorLogLines {
		is.Equal(msg+": "+got[msg], msg+": "+want)
	}
}
