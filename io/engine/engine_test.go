package engine_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/io/engine"
	"geraniumsaddle/io/engine/send"
	fake "geraniumsaddle/io/fakes/engine"
)

// TestMain guards against goroutines that outlive their stream or fake engine.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var ctx = context.Background()

// startEngine starts a fake engine on a fake clock. The client's timeouts run on the real clock.
func startEngine(t testing.TB, cfg fake.Config) (*fake.Server, *engine.Client, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	e := fake.New(cfg, clock)
	srv := httptest.NewServer(e)
	tr := send.New(send.Config{})
	t.Cleanup(srv.Close)
	t.Cleanup(e.Close)
	t.Cleanup(tr.CloseIdle)
	c, err := engine.New(engine.Config{URL: srv.URL, Transport: tr}, clockwork.NewRealClock())
	if err != nil {
		t.Fatal(err)
	}
	return e, c, clock
}

func chatBody(prompt string, minTokens int) []byte {
	content, err := json.Marshal(prompt)
	if err != nil {
		panic(err)
	}
	return fmt.Appendf(nil, `{"model":"m","stream":true,"stream_options":{"include_usage":true},"max_tokens":200,"min_tokens":%d,`+
		`"messages":[{"role":"user","content":%s}]}`, minTokens, content)
}

// received collects what a caller has received from a stream.
type received struct {
	text   string
	finish string
	usage  engine.Usage
	tokens int
}

// readStream adds the rest of a stream and returns the error that ended it, or nil at the end marker.
func (a *received) readStream(s *engine.Stream) error {
	defer func() { _ = s.Close() }()
	for {
		c, err := s.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if c.Content != nil {
			var text string
			if err := json.Unmarshal([]byte(`"`+string(c.Content)+`"`), &text); err != nil {
				return err
			}
			a.text += text
			a.tokens++
		}
		if c.FinishReason != nil {
			a.finish = string(c.FinishReason)
		}
		if c.HasUsage {
			a.usage = c.Usage
		}
	}
}

func (a *received) checkExpected(t is.T, b []byte) {
	is := is.New(t)
	want, err := fake.Expect(b)
	is.NoErr(err)
	is.Equal(a.text, want.Text)
	is.Equal(a.finish, want.FinishReason)
	is.Equal(a.tokens, want.OutputTokens)
	is.Equal(a.usage.PromptTokens, int64(want.PromptTokens))
	is.Equal(a.usage.OutputTokens, int64(want.OutputTokens))
}

// TestStartFaults guards against the wrong error class for a rejected request or a broken stream, and against a broken
// stream that is taken for complete.
func TestStartFaults(t *testing.T) {
	inV2 := func(f fake.Faults) fake.Faults { return fake.Faults{Versions: map[string]fake.Faults{"v2": f}} }
	cases := []struct {
		name   string
		faults fake.Faults
		class  error
		cause  error
		status int
		runs   int
	}{
		{"none", fake.Faults{}, nil, nil, 0, 1},
		{"other version is bad", fake.Faults{Versions: map[string]fake.Faults{"v1": {ErrorRate: 1}}}, nil, nil, 0, 1},
		{"error rate", fake.Faults{ErrorRate: 1}, engine.ErrRejected, nil, 500, 0},
		{"error rate of the version", inV2(fake.Faults{ErrorRate: 1}), engine.ErrRejected, nil, 500, 0},
		{"route", inV2(fake.Faults{FailRoute: "chat"}), engine.ErrRejected, nil, 500, 0},
		{"other route", inV2(fake.Faults{FailRoute: "plan"}), nil, nil, 0, 1},
		{"json", fake.Faults{Malformed: fake.MalformedJSON}, engine.ErrOutcomeUnknown, engine.ErrMalformed, 0, 1},
		{"truncated", fake.Faults{Malformed: fake.MalformedTruncated}, engine.ErrOutcomeUnknown, engine.ErrTruncated, 0, 1},
		{"oversized", fake.Faults{Malformed: fake.MalformedOversized}, engine.ErrOutcomeUnknown, engine.ErrOversized, 0, 1},
		{"crossed", fake.Faults{Malformed: fake.MalformedCrossed}, engine.ErrOutcomeUnknown, engine.ErrWrongRequest, 0, 1},
		{"offset", inV2(fake.Faults{Malformed: fake.MalformedOffset}), engine.ErrOutcomeUnknown, engine.ErrOffset, 0, 1},
		{"connection cut", fake.Faults{CutAfter: 3}, engine.ErrOutcomeUnknown, engine.ErrTruncated, 0, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			e, c, _ := startEngine(t, fake.Config{})
			e.SetFaults(tc.faults)
			b := chatBody(tc.name, 0)
			var a received
			s, err := c.Start(ctx, engine.Request{ID: "r", Version: "v2", Route: "chat", Body: b})
			if err == nil {
				err = a.readStream(s)
			}
			is.Equal(e.Stats().Runs["r"], tc.runs)
			if tc.class == nil {
				is.NoErr(err)
				a.checkExpected(t, b)
				return
			}
			is.True(errors.Is(err, tc.class))
			is.True(tc.cause == nil || errors.Is(err, tc.cause))
			var engineErr *engine.Error
			is.True(errors.As(err, &engineErr))
			is.Equal(engineErr.Status, tc.status)
		})
	}
}

// TestUsageFaults guards against a usage that the engine did not report, and against a usage above max_tokens being
// clipped.
func TestUsageFaults(t *testing.T) {
	for name, tc := range map[string]struct {
		faults fake.Faults
		output int64
	}{
		"none":        {fake.Faults{NoUsage: true}, 0},
		"above bound": {fake.Faults{OverBound: 7}, 207},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, c, _ := startEngine(t, fake.Config{})
			e.SetFaults(tc.faults)
			s, err := c.Start(ctx, engine.Request{ID: "r", Body: chatBody("p", 0)})
			is.NoErr(err)
			var a received
			is.NoErr(a.readStream(s))
			is.Equal(a.usage.OutputTokens, tc.output)
			is.True(a.tokens > 0)
		})
	}
}

// TestResumeProperty guards against lost, duplicated or foreign tokens when streams are cut and resumed repeatedly, and
// against an engine that runs more requests than its capacity.
func TestResumeProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		e, c, _ := startEngine(t, fake.Config{Capacity: 2})
		e.SetFaults(fake.Faults{CutAfter: rapid.IntRange(1, 40).Draw(rt, "cut")})
		for i := range rapid.IntRange(1, 4).Draw(rt, "requests") {
			id := ident.RequestID(fmt.Sprint("r", i))
			b := chatBody(rapid.StringN(1, 200, -1).Draw(rt, "prompt"), 0)
			var a received
			s, err := c.Start(ctx, engine.Request{ID: id, Body: b})
			is.NoErr(err)
			for err = a.readStream(s); err != nil; err = a.readStream(s) {
				is.True(errors.Is(err, engine.ErrTruncated))
				s, err = c.Resume(ctx, id, s.Offset())
				is.NoErr(err)
			}
			a.checkExpected(rt, b)
			is.Equal(e.Stats().Runs[string(id)], 1)
		}
		is.True(e.Stats().Peak <= 2)
	})
}

// TestAbandonedStream guards against a request that ends when its client disconnects, and against an abandoned request
// that never frees its slot.
func TestAbandonedStream(t *testing.T) {
	is := is.New(t)
	e, c, clock := startEngine(t, fake.Config{Capacity: 1, StreamRetention: 30 * time.Second})
	e.SetFaults(fake.Faults{Stuck: true})
	s, err := c.Start(ctx, engine.Request{ID: "r", Body: chatBody("p", 0)})
	is.NoErr(err)
	is.NoErr(s.Close())
	is.NoErr(clock.BlockUntilContext(ctx, 1)) // the engine has noticed that the reader disconnected
	_, err = c.Start(ctx, engine.Request{ID: "q", Body: chatBody("p", 0)})
	is.True(errors.Is(err, engine.ErrNotSent)) // the slot is still held
	is.Equal(e.Stats().Breaches, 1)
	st, err := c.Status(ctx, "r")
	is.NoErr(err)
	is.Equal(st.State, engine.RequestRunning)
	clock.Advance(30 * time.Second)
	for e.Stats().Held > 0 {
		continue // The timer function runs in its own goroutine.
	}
	st, err = c.Status(ctx, "r")
	is.NoErr(err)
	is.Equal(st.State, engine.RequestAbsent)
	_, err = c.Resume(ctx, "r", 0)
	is.True(errors.Is(err, engine.ErrRejected))
}

// TestBatchScheduling guards against tokens that do not follow the token interval, an admission that ignores priority,
// and a cancelled request that keeps its slot.
func TestBatchScheduling(t *testing.T) {
	is := is.New(t)
	e, c, clock := startEngine(t, fake.Config{Capacity: 3, BatchSize: 1, TokenInterval: 10 * time.Millisecond})
	open := func(id ident.RequestID, priority int) *engine.Stream {
		s, err := c.Start(ctx, engine.Request{ID: id, Priority: priority, Body: chatBody(string(id), 100)})
		is.NoErr(err)
		return s
	}
	first := open("first", 5)
	chunk, err := first.Next()
	is.NoErr(err)
	is.Equal(chunk.Offset, int64(0))
	low, high := open("low", 9), open("high", 1)
	is.NoErr(clock.BlockUntilContext(ctx, 1))
	clock.Advance(10 * time.Millisecond)
	_, err = first.Next()
	is.NoErr(err)
	st, err := c.Status(ctx, "first")
	is.NoErr(err)
	is.Equal(st.OutputTokens, ident.Tokens(2))
	known, err := c.Cancel(ctx, "first")
	is.NoErr(err)
	is.True(known)
	_, err = first.Next()
	is.True(errors.Is(err, engine.ErrTruncated))
	is.NoErr(clock.BlockUntilContext(ctx, 1))
	clock.Advance(10 * time.Millisecond)
	_, err = high.Next()
	is.NoErr(err)
	st, err = c.Status(ctx, "low")
	is.NoErr(err)
	is.Equal(st.OutputTokens, ident.Tokens(0))
	known, err = c.Cancel(ctx, "unheard")
	is.NoErr(err)
	is.True(!known)
	e.Close()
	is.True((&received{}).readStream(low) != nil)
	is.True((&received{}).readStream(high) != nil)
	_ = first.Close()
}

// TestIdleStream guards against a stuck or slow engine that blocks a reader forever.
func TestIdleStream(t *testing.T) {
	for name, f := range map[string]fake.Faults{"stuck": {Stuck: true}, "slow": {SlowMS: 60000}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := fake.New(fake.Config{}, clockwork.NewFakeClock())
			e.SetFaults(f)
			srv := httptest.NewServer(e)
			defer srv.Close()
			defer e.Close()
			clock := clockwork.NewFakeClock()
			c, err := engine.New(engine.Config{URL: srv.URL, IdleTimeout: time.Second}, clock)
			is.NoErr(err)
			s, err := c.Start(ctx, engine.Request{ID: "r", Body: chatBody("p", 100)})
			is.NoErr(err)
			if f.SlowMS > 0 {
				_, err = s.Next()
				is.NoErr(err)
			}
			go func() {
				_ = clock.BlockUntilContext(ctx, 1)
				clock.Advance(time.Second)
			}()
			_, err = s.Next()
			is.True(errors.Is(err, engine.ErrIdle))
			is.True(errors.Is(err, engine.ErrOutcomeUnknown))
			_ = s.Close()
		})
	}
}

// TestCacheEventsAndKVTransfer guards against a gap in the cache events that goes unnoticed, and against blocks that
// cannot be moved between engines.
func TestCacheEventsAndKVTransfer(t *testing.T) {
	is := is.New(t)
	e, c, clock := startEngine(t, fake.Config{CacheLag: time.Second})
	_, other, _ := startEngine(t, fake.Config{})
	b := chatBody(strings.Repeat("abcdefgh", 40), 0)
	run := func(c *engine.Client, id ident.RequestID) engine.Usage {
		s, err := c.Start(ctx, engine.Request{ID: id, Body: b})
		is.NoErr(err)
		var a received
		is.NoErr(a.readStream(s))
		a.checkExpected(t, b)
		return a.usage
	}
	is.Equal(run(c, "r1").CachedTokens, int64(0))
	is.Equal(run(c, "r2").CachedTokens, int64(80))
	early, err := c.CacheEvents(ctx, 0)
	is.NoErr(err)
	is.Equal(early, engine.CacheEvents{Events: []engine.CacheEvent{}})
	clock.Advance(time.Second)
	got, err := c.CacheEvents(ctx, 0)
	is.NoErr(err)
	want, err := fake.Expect(b)
	is.NoErr(err)
	var names []string
	for _, ev := range got.Events {
		names = append(names, ev.Prefix)
	}
	is.Equal(names, engine.PrefixHashes(want.Prompt, 10))
	is.Equal(got.Gap, false)
	kv, err := c.ExportKV(ctx, names[len(names)-1])
	is.NoErr(err)
	is.NoErr(other.ImportKV(ctx, names[len(names)-1], kv))
	is.Equal(run(other, "r3").CachedTokens, int64(80))
	_, err = other.ExportKV(ctx, "0000")
	is.True(errors.Is(err, engine.ErrRejected))
	e.SetFaults(fake.Faults{CacheGap: 1})
	b = chatBody(strings.Repeat("ijklmnop", 40), 0)
	run(c, "r4")
	clock.Advance(time.Second)
	got, err = c.CacheEvents(ctx, got.Next)
	is.NoErr(err)
	is.True(got.Gap)
}

// TestOrders guards against an engine that checks fencing numbers accepting an old one, and against a repeated order
// that takes effect twice.
func TestOrders(t *testing.T) {
	load := func(id string, fence uint64, v ident.VersionID) engine.Order {
		return engine.Order{ID: id, Fence: fence, Kind: engine.OrderLoad, Version: v}
	}
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprint("checks ", checks), func(t *testing.T) {
			is := is.New(t)
			e, c, _ := startEngine(t, fake.Config{Versions: []string{"v1"}, ChecksFence: checks})
			_, err := c.Order(ctx, load("a", 5, "v2"))
			is.NoErr(err)
			e.SetFaults(fake.Faults{LoseReply: 1})
			_, err = c.Order(ctx, engine.Order{ID: "b", Fence: 5, Kind: engine.OrderVersion, Version: "v2"})
			is.True(errors.Is(err, engine.ErrOutcomeUnknown))
			_, err = c.Order(ctx, engine.Order{ID: "b", Fence: 5, Kind: engine.OrderVersion, Version: "v2"})
			is.NoErr(err)
			_, err = c.Order(ctx, load("c", 4, "v3"))
			var rejected *engine.Error
			is.Equal(errors.As(err, &rejected) && rejected.Status == 409, checks)
			st, err := c.State(ctx)
			is.NoErr(err)
			want := engine.State{
				Fence: 5, Loaded: []ident.VersionID{"v1", "v2"}, Serving: "v2", Role: "mixed", Orders: []string{"a", "b"},
			}
			if !checks {
				want.Loaded = append(want.Loaded, "v3")
				want.Orders = append(want.Orders, "c")
			}
			is.Equal(st, want)
			_, err = c.Start(ctx, engine.Request{ID: "r", Version: "v9", Body: chatBody("p", 0)})
			is.True(errors.Is(err, engine.ErrRejected))
		})
	}
}

// TestLoadReportLag guards against a load report that is newer than its configured lag or never changes.
func TestLoadReportLag(t *testing.T) {
	is := is.New(t)
	e, c, clock := startEngine(t, fake.Config{Capacity: 4, LoadLag: time.Second})
	e.SetFaults(fake.Faults{Stuck: true, FailUnderLoad: 1})
	clock.Advance(time.Minute)
	s, err := c.Start(ctx, engine.Request{ID: "r", Body: chatBody("p", 0)})
	is.NoErr(err)
	defer func() { _ = s.Close() }()
	_, err = c.Start(ctx, engine.Request{ID: "q", Body: chatBody("p", 0)})
	is.True(errors.Is(err, engine.ErrRejected)) // it fails under load
	l, err := c.Load(ctx)
	is.NoErr(err)
	is.Equal(l.Running+l.Queued, 0)
	clock.Advance(time.Second)
	l, err = c.Load(ctx)
	is.NoErr(err)
	is.Equal(l.Running+l.Queued, 1)
	is.Equal(l.Capacity, 4)
}

// TestOrderReplaces guards against a load that unloads a version which its order does not name, or that loads more
// versions than the engine has room for.
func TestOrderReplaces(t *testing.T) {
	is := is.New(t)
	_, c, _ := startEngine(t, fake.Config{Versions: []string{"v1", "v2"}, MaxVersions: 2})
	for _, tc := range []struct {
		load, replaces ident.VersionID
		ok             bool
		loaded         []ident.VersionID
		serving        ident.VersionID
	}{
		{"v3", "", false, []ident.VersionID{"v1", "v2"}, "v1"},
		{"v3", "v9", false, []ident.VersionID{"v1", "v2"}, "v1"},
		{"v2", "v1", true, []ident.VersionID{"v1", "v2"}, "v1"},
		{"v3", "v1", true, []ident.VersionID{"v2", "v3"}, "v3"},
	} {
		_, err := c.Order(ctx, engine.Order{ID: "order-" + string(tc.load+tc.replaces), Kind: engine.OrderLoad, Version: tc.load, Replaces: tc.replaces})
		is.Equal(err == nil, tc.ok)
		st, err := c.State(ctx)
		is.NoErr(err)
		is.Equal(st.Loaded, tc.loaded)
		is.Equal(st.Serving, tc.serving)
	}
}
