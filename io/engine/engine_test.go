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
	"geraniumsaddle/io/engine/reach"
	fake "geraniumsaddle/io/fakes/engine"
)

// TestMain guards against a goroutine that outlives its stream or stand-in.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var ctx = context.Background()

// start serves an engine on its own clock. The client's timeouts run on the real clock.
func start(t testing.TB, cfg fake.Config) (*fake.Server, *engine.Client, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	e := fake.New(cfg, clock)
	srv := httptest.NewServer(e)
	tr := reach.New(reach.Config{})
	t.Cleanup(srv.Close)
	t.Cleanup(e.Close)
	t.Cleanup(tr.CloseIdle)
	c, err := engine.New(engine.Config{URL: srv.URL, Transport: tr}, clockwork.NewRealClock())
	if err != nil {
		t.Fatal(err)
	}
	return e, c, clock
}

func body(prompt string, minTokens int) []byte {
	content, err := json.Marshal(prompt)
	if err != nil {
		panic(err)
	}
	return fmt.Appendf(nil, `{"model":"m","stream":true,"stream_options":{"include_usage":true},"max_tokens":200,"min_tokens":%d,`+
		`"messages":[{"role":"user","content":%s}]}`, minTokens, content)
}

// answer is what a caller has received of a stream.
type answer struct {
	text   string
	finish string
	usage  engine.Usage
	tokens int
}

// read adds the rest of a stream and returns the error that ended it, or nil at the end mark.
func (a *answer) read(s *engine.Stream) error {
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
		if c.Finish != nil {
			a.finish = string(c.Finish)
		}
		if c.HasUsage {
			a.usage = c.Usage
		}
	}
}

func (a *answer) check(t is.T, b []byte) {
	is := is.New(t)
	want, err := fake.Expect(b)
	is.NoErr(err)
	is.Equal(a.text, want.Text)
	is.Equal(a.finish, want.FinishReason)
	is.Equal(a.tokens, want.OutputTokens)
	is.Equal(a.usage.PromptTokens, int64(want.PromptTokens))
	is.Equal(a.usage.OutputTokens, int64(want.OutputTokens))
}

// TestStartFaults guards against a refusal or a broken stream of the wrong class, and against a broken answer that
// passes as complete.
func TestStartFaults(t *testing.T) {
	bad := func(f fake.Faults) fake.Faults { return fake.Faults{Versions: map[string]fake.Faults{"v2": f}} }
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
		{"error rate of the version", bad(fake.Faults{ErrorRate: 1}), engine.ErrRejected, nil, 500, 0},
		{"route", bad(fake.Faults{FailRoute: "chat"}), engine.ErrRejected, nil, 500, 0},
		{"other route", bad(fake.Faults{FailRoute: "plan"}), nil, nil, 0, 1},
		{"json", fake.Faults{Malformed: fake.MalformedJSON}, engine.ErrUnknown, engine.ErrMalformed, 0, 1},
		{"truncated", fake.Faults{Malformed: fake.MalformedTruncated}, engine.ErrUnknown, engine.ErrTruncated, 0, 1},
		{"oversized", fake.Faults{Malformed: fake.MalformedOversized}, engine.ErrUnknown, engine.ErrOversized, 0, 1},
		{"crossed", fake.Faults{Malformed: fake.MalformedCrossed}, engine.ErrUnknown, engine.ErrCrossed, 0, 1},
		{"offset", bad(fake.Faults{Malformed: fake.MalformedOffset}), engine.ErrUnknown, engine.ErrOffset, 0, 1},
		{"connection cut", fake.Faults{CutAfter: 3}, engine.ErrUnknown, engine.ErrTruncated, 0, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			e, c, _ := start(t, fake.Config{})
			e.SetFaults(tc.faults)
			b := body(tc.name, 0)
			var a answer
			s, err := c.Start(ctx, engine.Request{ID: "r", Version: "v2", Route: "chat", Body: b})
			if err == nil {
				err = a.read(s)
			}
			is.Equal(e.Stats().Runs["r"], tc.runs)
			if tc.class == nil {
				is.NoErr(err)
				a.check(t, b)
				return
			}
			is.True(errors.Is(err, tc.class))
			is.True(tc.cause == nil || errors.Is(err, tc.cause))
			var e2 *engine.Error
			is.True(errors.As(err, &e2))
			is.Equal(e2.Status, tc.status)
		})
	}
}

// TestUsageFaults guards against an invented usage and against a usage above the bound being hidden.
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
			e, c, _ := start(t, fake.Config{})
			e.SetFaults(tc.faults)
			s, err := c.Start(ctx, engine.Request{ID: "r", Body: body("p", 0)})
			is.NoErr(err)
			var a answer
			is.NoErr(a.read(s))
			is.Equal(a.usage.OutputTokens, tc.output)
			is.True(a.tokens > 0)
		})
	}
}

// TestResumeProperty guards against a lost, doubled or crossed token when streams are cut again and again, and
// against an engine that holds more requests than its capacity.
func TestResumeProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		e, c, _ := start(t, fake.Config{Capacity: 2})
		e.SetFaults(fake.Faults{CutAfter: rapid.IntRange(1, 40).Draw(rt, "cut")})
		for i := range rapid.IntRange(1, 4).Draw(rt, "requests") {
			id := ident.RequestID(fmt.Sprint("r", i))
			b := body(rapid.StringN(1, 200, -1).Draw(rt, "prompt"), 0)
			var a answer
			s, err := c.Start(ctx, engine.Request{ID: id, Body: b})
			is.NoErr(err)
			for err = a.read(s); err != nil; err = a.read(s) {
				is.True(errors.Is(err, engine.ErrTruncated))
				s, err = c.Resume(ctx, id, s.Offset())
				is.NoErr(err)
			}
			a.check(rt, b)
			is.Equal(e.Stats().Runs[string(id)], 1)
		}
		is.True(e.Stats().Peak <= 2)
	})
}

// TestAbandonedStream guards against a request that ends with its client's connection and against one that holds its
// slot for ever.
func TestAbandonedStream(t *testing.T) {
	is := is.New(t)
	e, c, clock := start(t, fake.Config{Capacity: 1, StreamRetention: 30 * time.Second})
	e.SetFaults(fake.Faults{Stuck: true})
	s, err := c.Start(ctx, engine.Request{ID: "r", Body: body("p", 0)})
	is.NoErr(err)
	is.NoErr(s.Close())
	is.NoErr(clock.BlockUntilContext(ctx, 1)) // the engine has seen that the reader left
	_, err = c.Start(ctx, engine.Request{ID: "q", Body: body("p", 0)})
	is.True(errors.Is(err, engine.ErrNotSent)) // the slot is still held
	is.Equal(e.Stats().Breaches, 1)
	st, err := c.Status(ctx, "r")
	is.NoErr(err)
	is.Equal(st.State, engine.RequestRunning)
	clock.Advance(30 * time.Second)
	for e.Stats().Held > 0 {
		continue // The timer's function runs in its own goroutine.
	}
	st, err = c.Status(ctx, "r")
	is.NoErr(err)
	is.Equal(st.State, engine.RequestAbsent)
	_, err = c.Resume(ctx, "r", 0)
	is.True(errors.Is(err, engine.ErrRejected))
}

// TestBatch guards against tokens that come off the clock, an admission against priority and a cancellation that
// keeps its slot.
func TestBatch(t *testing.T) {
	is := is.New(t)
	e, c, clock := start(t, fake.Config{Capacity: 3, BatchSize: 1, TokenInterval: 10 * time.Millisecond})
	open := func(id ident.RequestID, priority int) *engine.Stream {
		s, err := c.Start(ctx, engine.Request{ID: id, Priority: priority, Body: body(string(id), 100)})
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
	is.True((&answer{}).read(low) != nil)
	is.True((&answer{}).read(high) != nil)
	_ = first.Close()
}

// TestIdleStream guards against a stuck or paused engine holding a reader for ever.
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
			s, err := c.Start(ctx, engine.Request{ID: "r", Body: body("p", 100)})
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
			is.True(errors.Is(err, engine.ErrUnknown))
			_ = s.Close()
		})
	}
}

// TestCache guards against a cache that a gap leaves trusted, and against blocks that do not move between engines.
func TestCache(t *testing.T) {
	is := is.New(t)
	e, c, clock := start(t, fake.Config{CacheLag: time.Second})
	_, other, _ := start(t, fake.Config{})
	b := body(strings.Repeat("abcdefgh", 40), 0)
	run := func(c *engine.Client, id ident.RequestID) engine.Usage {
		s, err := c.Start(ctx, engine.Request{ID: id, Body: b})
		is.NoErr(err)
		var a answer
		is.NoErr(a.read(s))
		a.check(t, b)
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
	is.Equal(names, engine.Prefixes(want.Prompt, 10))
	is.Equal(got.Gap, false)
	kv, err := c.ExportKV(ctx, names[len(names)-1])
	is.NoErr(err)
	is.NoErr(other.ImportKV(ctx, names[len(names)-1], kv))
	is.Equal(run(other, "r3").CachedTokens, int64(80))
	_, err = other.ExportKV(ctx, "0000")
	is.True(errors.Is(err, engine.ErrRejected))
	e.SetFaults(fake.Faults{CacheGap: 1})
	b = body(strings.Repeat("ijklmnop", 40), 0)
	run(c, "r4")
	clock.Advance(time.Second)
	got, err = c.CacheEvents(ctx, got.Next)
	is.NoErr(err)
	is.True(got.Gap)
}

// TestOrders guards against an old fencing number that is accepted where it is checked, and against a second effect
// of a repeated order.
func TestOrders(t *testing.T) {
	load := func(id string, fence uint64, v ident.VersionID) engine.Order {
		return engine.Order{ID: id, Fence: fence, Kind: engine.OrderLoad, Version: v}
	}
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprint("checks ", checks), func(t *testing.T) {
			is := is.New(t)
			e, c, _ := start(t, fake.Config{Versions: []string{"v1"}, ChecksFence: checks})
			_, err := c.Order(ctx, load("a", 5, "v2"))
			is.NoErr(err)
			e.SetFaults(fake.Faults{LoseReply: 1})
			_, err = c.Order(ctx, engine.Order{ID: "b", Fence: 5, Kind: engine.OrderVersion, Version: "v2"})
			is.True(errors.Is(err, engine.ErrUnknown))
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
			_, err = c.Start(ctx, engine.Request{ID: "r", Version: "v9", Body: body("p", 0)})
			is.True(errors.Is(err, engine.ErrRejected))
		})
	}
}

// TestLoadLags guards against a load report that is newer than its lag or that never changes.
func TestLoadLags(t *testing.T) {
	is := is.New(t)
	e, c, clock := start(t, fake.Config{Capacity: 4, LoadLag: time.Second})
	e.SetFaults(fake.Faults{Stuck: true, FailUnderLoad: 1})
	clock.Advance(time.Minute)
	s, err := c.Start(ctx, engine.Request{ID: "r", Body: body("p", 0)})
	is.NoErr(err)
	defer func() { _ = s.Close() }()
	_, err = c.Start(ctx, engine.Request{ID: "q", Body: body("p", 0)})
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

// TestOrderReplaces guards against a load that drops a version which its order does not name, or exceeds the room.
func TestOrderReplaces(t *testing.T) {
	is := is.New(t)
	_, c, _ := start(t, fake.Config{Versions: []string{"v1", "v2"}, MaxVersions: 2})
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
