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

	"geraniumsaddle/platform/stand"
)

// operationLines are the log lines that docs/OPERATIONS.md relies on, with their fields beside time, level and msg.
var operationLines = map[string]string{
	"router starts":                       "boot domain first_start router uptime_ms vm",
	"router leaves":                       "router running",
	"router stopped":                      "router",
	"configuration in force":              "organisations revision routes version",
	"target entry removed":                "target",
	"send failed":                         "addr error id result target",
	"target refused":                      "id misdirected status target",
	"store lost":                          "error",
	"store regained":                      "away_ms",
	"link is busy; taking no new callers": "bytes_per_s capacity",
	"link is calm":                        "bytes_per_s capacity",
	"tokens not written":                  "error object",
	"tokens lacking":                      "allowance_age_ms elsewhere free granted grows_ms growth held id limit near need organisation spent store_away total verdict",
	"request":                             "busy config cost_ms first_ms home id input organisation output reason route status targets token_wait_ms tokens_held total_ms version",
	"layout of the ledgers known":         "routers shards",
}

// lineBuffer collects log lines of several goroutines.
type lineBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lineBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// about returns the lines that have one of the words.
func (b *lineBuffer) about(words ...string) string {
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

// fields returns the fields of the first line of each message.
func (b *lineBuffer) fields(t *testing.T) map[string]string {
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

// TestOperationLines guards against a line that on-call engineers rely on and that is renamed or loses an input.
func TestOperationLines(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var lines lineBuffer
	w := newWorldSet(t, func(cfg *platform.Settings, d *Deps) {
		cfg.LinkRate = 200_000
		d.Log = slog.New(slog.NewJSONHandler(&lines, nil))
	})
	large := book
	large.body = strings.Repeat("x", 100_000)
	w.ask(large)
	w.ask(large)
	w.await("a busy link", w.server.shed.Busy)
	w.await("a calm link", func() bool { return !w.server.shed.Busy() })
	w.engines["llm-1"].SetMode(stand.Truncate)
	w.ask(chat)
	w.engines["desk-1"].SetMode(stand.Shed)
	w.ask(book)
	poor := chat
	poor.key = "key2"
	w.ask(poor)
	w.store.SetFault(faultAll(stand.Unavailable))
	w.await("the loss", w.server.link.isAway)
	w.await("a failed write", func() bool { return lines.fields(t)["tokens not written"] != "" })
	w.store.SetFault(nil)
	w.await("the return", func() bool { return !w.server.link.isAway() })
	w.store.Delete("servers", "desk-1")
	w.await("the departure", func() bool { return w.server.fleet.ServingCount("desk") == 0 })
	w.stop()
	got := lines.fields(t)
	for msg, want := range operationLines {
		is.Equal(msg+": "+got[msg], msg+": "+want)
	}
}
