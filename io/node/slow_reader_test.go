package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/spf13/pflag"

	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/admin"
	"geraniumsaddle/io/fakes/engine"
	fakestore "geraniumsaddle/io/fakes/store"
	"geraniumsaddle/io/flags"
	"geraniumsaddle/io/store"
)

// eventually waits until a condition holds.
func eventually(t testing.TB, what string, cond func() bool) {
	t.Helper()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	end := time.After(time.Minute)
	for !cond() {
		select {
		case <-tick.C:
		case <-end:
			t.Fatalf("no %s", what)
		}
	}
}

// startLongAnswerEngine starts an engine whose answers have at least the given number of tokens, which callers of the
// router cannot request.
func startLongAnswerEngine(t testing.TB, tokens int) (*engine.Server, string) {
	t.Helper()
	e := engine.New(engine.Config{}, clockwork.NewRealClock())
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.URL.Path == "/v1/chat/completions" {
			_, _ = io.ReadFull(r.Body, make([]byte, 1))
			r.Body = io.NopCloser(io.MultiReader(strings.NewReader(fmt.Sprintf(`{"min_tokens":%d,`, tokens)), r.Body))
		}
		e.ServeHTTP(w, r)
	}))
	t.Cleanup(srv.Close)
	t.Cleanup(e.Close)
	return e, srv.URL
}

// startNode runs a router that is alone in its failure domain with one engine.
func startNode(t testing.TB, engineURL string, args ...string) *Node {
	t.Helper()
	is := is.New(t)
	clock := clockwork.NewRealClock()
	platform := fakestore.New(fakestore.Config{}, clock)
	srv := httptest.NewServer(platform)
	t.Cleanup(srv.Close)
	t.Cleanup(platform.Close)
	seedPlatform(t, srv.URL, engineURL)
	var cfg flags.Router
	fs := pflag.NewFlagSet("router", pflag.ContinueOnError)
	flags.BindRouter(fs, &cfg)
	is.NoErr(fs.Parse(append([]string{"--name", "r1", "--domain", "d1", "--platform-url", srv.URL, "--caller-addr", "127.0.0.1:0",
		"--admin-addr", "127.0.0.1:0", "--operation-key", "0123456789abcdef", "--budget-wait", "10s"}, args...)))
	n, err := New(cfg, Deps{Clock: clock, Log: slog.New(slog.DiscardHandler), Registry: prometheus.NewRegistry()})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	t.Cleanup(func() {
		n.Kill()
		cancel()
		<-done
	})
	eventually(t, "configuration", func() bool {
		return n.configLoaded.Load() && n.view.Load().hasModel("m") && n.accounts.slotAccount("e1") != nil
	})
	return n
}

func seedPlatform(t testing.TB, platformURL, engineURL string) {
	t.Helper()
	is := is.New(t)
	st, err := store.New(store.Config{URL: platformURL}, clockwork.NewRealClock())
	is.NoErr(err)
	put := func(k object.Key, raw []byte, err error) {
		is.NoErr(err)
		_, err = st.Put(context.Background(), k, raw, store.Any())
		is.NoErr(err)
	}
	for _, o := range []object.Value{
		object.Organisation{Format: 1, ID: "o", Name: "O", Class: "chat", Budgets: []ident.BudgetID{"b"},
			Keys: []object.APIKey{{ID: "k", SHA256: admin.HashSecret("secret")}}},
		object.Budget{Format: 1, ID: "b", Org: "o"},
		object.Version{Format: 1, ID: "v1", Model: "m", Serving: true},
		object.Target{Format: 1, ID: "e1", Domain: "d1", VM: "vm", Kind: object.TargetEngine, URL: engineURL, Capacity: 8,
			Versions: []ident.VersionID{"v1"}, State: object.TargetActive},
	} {
		raw, err := json.Marshal(o)
		put(o.Key(), raw, err)
	}
	entry := escrow.Entry{ID: escrow.BudgetEntryID("b")}
	_, err = entry.ApplyOp(escrow.Op{ID: "seed", Kind: escrow.OpTopUp, Tokens: 1 << 30})
	is.NoErr(err)
	raw, err := escrow.NewShard().With(entry).Encode()
	put(escrow.LedgerKey(entry.ID), raw, err)
}

// openStream sends a streamed request and reads the response header.
func openStream(t *testing.T, addr, prompt string, tokens int) (net.Conn, *http.Response) {
	t.Helper()
	is := is.New(t)
	c, err := net.Dial("tcp", addr)
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	body := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":true}`, prompt, tokens)
	_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer secret\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	if resp.StatusCode != http.StatusOK {
		refusal, err := io.ReadAll(resp.Body)
		t.Logf("refused with %d: %s %v", resp.StatusCode, refusal, err)
	}
	return c, resp
}

// TestSlowReaderGetsWholeAnswer guards against a suspended stream that loses, repeats or never delivers chunks, against
// a slot that is free while the target still holds the suspended request, and against a slot or memory that stays held
// after its end.
func TestSlowReaderGetsWholeAnswer(t *testing.T) {
	is := is.New(t)
	// The answer is larger than all socket buffers on its way.
	const tokens = 60000
	e, url := startLongAnswerEngine(t, tokens)
	n := startNode(t, url, "--slow-reader-after", "100ms")
	prompt := "stall and read on"
	_, resp := openStream(t, n.CallerAddr(), prompt, tokens)
	is.Equal(resp.StatusCode, http.StatusOK)
	eventually(t, "suspension", func() bool { return n.traffic.streams.suspensions.Load() > 0 })
	is.Equal(n.accounts.slotAccount("e1").Held(), ident.Tokens(1))
	is.Equal(n.traffic.streams.limiter.Used(), callerSideBytes)

	var got strings.Builder
	done := false
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if done = data == "[DONE]"; done {
			break
		}
		var ev struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		is.NoErr(json.Unmarshal([]byte(data), &ev))
		for _, ch := range ev.Choices {
			got.WriteString(ch.Delta.Content)
		}
	}
	is.True(done)
	want, err := engine.Expect(fmt.Appendf(nil, `{"messages":[{"role":"user","content":%q}],"max_tokens":%d,"min_tokens":%d}`, prompt, tokens, tokens))
	is.NoErr(err)
	is.True(got.String() == want.Text)
	eventually(t, "free slot", func() bool { return n.accounts.slotAccount("e1").Held() == 0 })
	eventually(t, "free memory", func() bool { return n.traffic.streams.limiter.Used() == 0 })
	is.Equal(len(e.Stats().Runs), 1)
}

// TestStalledReaderEnds guards against a caller that never reads and holds its tokens and its slot for ever.
func TestStalledReaderEnds(t *testing.T) {
	is := is.New(t)
	const tokens = 60000
	_, url := startLongAnswerEngine(t, tokens)
	n := startNode(t, url, "--slow-reader-after", "100ms", "--request-timeout", "3s")
	_, resp := openStream(t, n.CallerAddr(), "never read", tokens)
	is.Equal(resp.StatusCode, http.StatusOK)
	eventually(t, "end of the request", func() bool { return n.traffic.inFlight.Load() == 0 })
	eventually(t, "free slot", func() bool { return n.accounts.slotAccount("e1").Held() == 0 })
}

// BenchmarkStreamed streams answers of 347 tokens through a router, in one process with the fakes. It is meant for
// profiles; loadtest measures the router alone.
func BenchmarkStreamed(b *testing.B) {
	const tokens = 347
	_, url := startLongAnswerEngine(b, tokens)
	n := startNode(b, url)
	body := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":"profile"}],"max_tokens":%d,"stream":true}`, tokens)
	client := &http.Client{Transport: &http.Transport{}}
	b.Cleanup(client.CloseIdleConnections)
	b.ReportAllocs()
	for b.Loop() {
		req, err := http.NewRequest(http.MethodPost, "http://"+n.CallerAddr()+"/v1/chat/completions", strings.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer secret")
		resp, err := client.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
			b.Fatal(resp.Status, err)
		}
		_ = resp.Body.Close()
	}
}
