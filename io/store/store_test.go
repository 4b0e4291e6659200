package store_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	fake "geraniumsaddle/io/fakes/store"
	"geraniumsaddle/io/store"
)

var ctx = context.Background()

// startPlatform serves a fake platform on a fake clock. The client's timeouts use the real clock.
func startPlatform(t testing.TB, cfg fake.Config) (*fake.Server, *store.Client, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	platform := fake.New(cfg, clock)
	srv := httptest.NewServer(platform)
	t.Cleanup(srv.Close)
	t.Cleanup(platform.Close)
	c, err := store.New(store.Config{URL: srv.URL}, clockwork.NewRealClock())
	if err != nil {
		t.Fatal(err)
	}
	return platform, c, clock
}

func key(name string) object.Key { return object.Key{Kind: object.KindLedger, Name: name} }

// TestErrorKinds guards against wrong kinds of errors, above all against a kind that means "no effect" for a write that
// took effect.
func TestErrorKinds(t *testing.T) {
	put := func(cond store.Condition) func(*store.Client) error {
		return func(c *store.Client) error {
			_, err := c.Put(ctx, key("a"), []byte(`{"n":2}`), cond)
			return err
		}
	}
	get := func(c *store.Client) error {
		_, err := c.Get(ctx, key("a"))
		return err
	}
	huge := append(append([]byte(`"`), bytes.Repeat([]byte("x"), store.MaxValue)...), '"')
	cases := []struct {
		name    string
		faults  fake.Faults
		call    func(*store.Client) error
		want    error
		version uint64 // version of the object after the call; 1 before
	}{
		{"absent condition on a present object", fake.Faults{}, put(store.Absent()), store.ErrConflict, 1},
		{"stale version", fake.Faults{}, put(store.Match(7)), store.ErrConflict, 1},
		{"outage of a write", fake.Faults{Outage: true}, put(store.Any()), store.ErrUnavailable, 1},
		{"outage of a read", fake.Faults{Outage: true}, get, store.ErrUnavailable, 1},
		{"error of a write", fake.Faults{ErrorRate: 1}, put(store.Any()), store.ErrUnknown, 1},
		{"error of a read", fake.Faults{ErrorRate: 1}, get, store.ErrUnavailable, 1},
		{"lost reply", fake.Faults{LoseReply: 1}, put(store.Match(1)), store.ErrUnknown, 2},
		{"invalid value", fake.Faults{}, func(c *store.Client) error {
			_, err := c.Put(ctx, key("a"), []byte(`{`), store.Any())
			return err
		}, store.ErrInvalid, 1},
		{"too large value", fake.Faults{}, func(c *store.Client) error {
			_, err := c.Put(ctx, key("a"), huge, store.Any())
			return err
		}, store.ErrTooLarge, 1},
		{"absent object", fake.Faults{}, func(c *store.Client) error {
			_, err := c.Delete(ctx, key("b"), store.Any())
			return err
		}, store.ErrAbsent, 1},
		{"compacted history", fake.Faults{}, func(c *store.Client) error {
			_, err := c.Watch(ctx, object.KindLedger, 0, func(store.Event) error { return nil })
			return err
		}, store.ErrCompacted, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			platform, c, _ := startPlatform(t, fake.Config{})
			_, err := c.Put(ctx, key("a"), []byte(`{"n":1}`), store.Absent())
			is.NoErr(err)
			platform.Compact()
			platform.SetFaults(tc.faults)
			err = tc.call(c)
			is.True(errors.Is(err, tc.want))
			platform.SetFaults(fake.Faults{})
			o, err := c.Get(ctx, key("a"))
			is.NoErr(err)
			is.Equal(uint64(o.Version), tc.version)
		})
	}
}

// TestRateLimits guards against accepting a call over the rate limit, and against a refusal without a retry time.
func TestRateLimits(t *testing.T) {
	is := is.New(t)
	platform, c, clock := startPlatform(t, fake.Config{WritesPerSecond: 2, WeightsPerSecond: 0.25})
	write := func() error {
		_, err := c.Put(ctx, key("a"), []byte(`1`), store.Any())
		return err
	}
	is.NoErr(write())
	is.NoErr(write())
	is.True(errors.Is(write(), store.ErrRateLimited))
	is.NoErr(c.TakeWeightSlot(ctx, "v1"))
	err := c.TakeWeightSlot(ctx, "v1")
	var e *store.Error
	is.True(errors.As(err, &e))
	is.Equal(e.RetryAfter, 4*time.Second)
	clock.Advance(4 * time.Second)
	is.NoErr(write())
	is.NoErr(c.TakeWeightSlot(ctx, "v1"))
	is.Equal(platform.Calls(), map[string]int{"put": 4, "weights": 3, "limited": 1})
}

// TestWriteAfterClientTimeout guards against reporting "no effect" for a write that the client has stopped waiting for
// and that takes effect later.
func TestWriteAfterClientTimeout(t *testing.T) {
	is := is.New(t)
	platform, c, clock := startPlatform(t, fake.Config{})
	applied := make(chan ident.ObjectVersion, 1)
	go func() {
		_, _ = c.Watch(ctx, object.KindLedger, 0, func(e store.Event) error {
			applied <- e.Object.Version
			return errors.New("seen")
		})
	}()
	for platform.Calls()["watch"] == 0 {
		runtime.Gosched() // the watch must start before calls are delayed
	}
	platform.SetFaults(fake.Faults{DelayMS: 60000})
	short, cancel := context.WithCancel(ctx)
	go func() {
		_ = clock.BlockUntilContext(ctx, 1)
		cancel()
	}()
	_, err := c.Put(short, key("a"), []byte(`1`), store.Any())
	is.True(errors.Is(err, store.ErrUnknown))
	clock.Advance(time.Minute)
	is.Equal(<-applied, ident.ObjectVersion(1))
}

// TestVMListLag guards against a VM list that shows a change before its lag has passed.
func TestVMListLag(t *testing.T) {
	is := is.New(t)
	_, c, clock := startPlatform(t, fake.Config{VMs: []fake.VM{{Name: "a", Domain: "d1", State: "live"}}, VMLag: 10 * time.Second})
	is.NoErr(c.PutVM(ctx, store.VM{Name: "a", Domain: "d1", State: store.VMGone}))
	is.NoErr(c.PutVM(ctx, store.VM{Name: "b", Domain: "d2", State: store.VMLive}))
	vms, err := c.VMs(ctx)
	is.NoErr(err)
	is.Equal(vms, []store.VM{{Name: "a", Domain: "d1", State: store.VMLive}})
	clock.Advance(10 * time.Second)
	vms, err = c.VMs(ctx)
	is.NoErr(err)
	is.Equal(vms, []store.VM{{Name: "a", Domain: "d1", State: store.VMGone}, {Name: "b", Domain: "d2", State: store.VMLive}})
}

// TestListAndWatch guards against a list or a watch that misses, repeats or reorders a change. The watch is interrupted
// by an error of its callback and resumed from the last version.
func TestListAndWatch(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		platform, c, _ := startPlatform(t, fake.Config{})
		want := map[string]string{}
		seen := map[string]string{}
		var writes, events int
		for range rapid.IntRange(1, 25).Draw(rt, "n") {
			name := rapid.StringMatching(`[a-e]`).Draw(rt, "name")
			writes++
			if _, ok := want[name]; ok && rapid.Bool().Draw(rt, "delete") {
				_, err := c.Delete(ctx, key(name), store.Any())
				is.NoErr(err)
				delete(want, name)
				continue
			}
			want[name] = fmt.Sprint(writes)
			_, err := c.Put(ctx, key(name), []byte(want[name]), store.Any())
			is.NoErr(err)
		}
		listed := map[string]string{}
		after := ""
		for more := true; more; more = after != "" {
			page, err := c.List(ctx, object.KindLedger, after, 2)
			is.NoErr(err)
			is.True(len(page.Objects) <= 2)
			for _, o := range page.Objects {
				listed[o.Key.Name] = string(o.Value)
			}
			after = page.Next
		}
		is.Equal(listed, want)
		errStop := errors.New("stop")
		from, err := c.Watch(ctx, object.KindLedger, 0, func(e store.Event) error {
			if events == writes/2 {
				return errStop
			}
			applyEvent(seen, &events, e)
			return nil
		})
		is.Equal(err, errStop)
		_, err = c.Watch(ctx, object.KindLedger, from, func(e store.Event) error {
			if applyEvent(seen, &events, e); events == writes {
				platform.SetFaults(fake.Faults{Outage: true})
			}
			return nil
		})
		is.True(errors.Is(err, store.ErrUnavailable))
		is.Equal(events, writes)
		is.Equal(seen, want)
	})
}

func applyEvent(seen map[string]string, events *int, e store.Event) {
	*events++
	if e.Deleted {
		delete(seen, e.Object.Key.Name)
		return
	}
	seen[e.Object.Key.Name] = string(e.Object.Value)
}

// TestPutResolved guards against a lost reply that causes a lost or a duplicate update. Each round appends an element
// to one object, under the condition of its version, while replies are lost. A second write with the same, now stale
// version must conflict. In the end each element that was reported as written must be there once.
func TestPutResolved(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		platform, c, _ := startPlatform(t, fake.Config{})
		var want []string
		for i := range rapid.IntRange(1, 12).Draw(rt, "n") {
			base, err := c.Get(ctx, key("a"))
			is.True(err == nil || errors.Is(err, store.ErrAbsent))
			list := append(slices.Clone(want), fmt.Sprintf("%q", fmt.Sprint("<", i, ">")))
			platform.SetFaults(fake.Faults{LoseReply: rapid.IntRange(0, 3).Draw(rt, "lose")})
			_, err = c.PutResolved(ctx, key("a"), jsonArray(list), store.Match(base.Version))
			is.NoErr(err)
			want = list
			platform.SetFaults(fake.Faults{})
			_, err = c.PutResolved(ctx, key("a"), jsonArray(append(slices.Clone(list), "0")), store.Match(base.Version))
			is.True(errors.Is(err, store.ErrConflict)) // the second writer's version is stale
		}
		o, err := c.Get(ctx, key("a"))
		is.NoErr(err)
		is.Equal(len(want), bytes.Count(o.Value, []byte(","))+1)
	})
}

// TestPutResolvedUnreadable guards against reporting a definite effect if the object cannot be read back.
func TestPutResolvedUnreadable(t *testing.T) {
	is := is.New(t)
	platform, c, _ := startPlatform(t, fake.Config{})
	platform.SetFaults(fake.Faults{ErrorRate: 1})
	_, err := c.PutResolved(ctx, key("a"), []byte(`1`), store.Absent())
	is.True(errors.Is(err, store.ErrUnknown))
}

func jsonArray(items []string) []byte {
	var b bytes.Buffer
	b.WriteByte('[')
	for i, s := range items {
		if i > 0 {
			b.WriteString(", ")
		}
		b.WriteString(s)
	}
	b.WriteByte(']')
	return b.Bytes()
}
