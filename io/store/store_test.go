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

// start serves a platform on its own clock. The client's timeouts run on the real clock.
func start(t testing.TB, cfg fake.Config) (*fake.Server, *store.Client, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	p := fake.New(cfg, clock)
	srv := httptest.NewServer(p)
	t.Cleanup(srv.Close)
	t.Cleanup(p.Close)
	c, err := store.New(store.Config{URL: srv.URL}, clockwork.NewRealClock())
	if err != nil {
		t.Fatal(err)
	}
	return p, c, clock
}

func key(name string) object.Key { return object.Key{Kind: object.KindLedger, Name: name} }

// TestErrors guards against a wrong kind of error, most of all against "no effect" for a write that took effect.
func TestErrors(t *testing.T) {
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
		version uint64 // of the object afterwards; it was 1
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
			p, c, _ := start(t, fake.Config{})
			_, err := c.Put(ctx, key("a"), []byte(`{"n":1}`), store.Absent())
			is.NoErr(err)
			p.Compact()
			p.SetFaults(tc.faults)
			err = tc.call(c)
			is.True(errors.Is(err, tc.want))
			p.SetFaults(fake.Faults{})
			o, err := c.Get(ctx, key("a"))
			is.NoErr(err)
			is.Equal(uint64(o.Version), tc.version)
		})
	}
}

// TestRates guards against a call over the rate being accepted or lacking the time to wait.
func TestRates(t *testing.T) {
	is := is.New(t)
	p, c, clock := start(t, fake.Config{WritesPerSecond: 2, WeightsPerSecond: 0.25})
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
	is.Equal(p.Calls(), map[string]int{"put": 4, "weights": 3, "limited": 1})
}

// TestLateWrite guards against a write whose client gave up being reported as one without effect: it lands later.
func TestLateWrite(t *testing.T) {
	is := is.New(t)
	p, c, clock := start(t, fake.Config{})
	landed := make(chan ident.ObjectVersion, 1)
	go func() {
		_, _ = c.Watch(ctx, object.KindLedger, 0, func(e store.Event) error {
			landed <- e.Object.Version
			return errors.New("seen")
		})
	}()
	for p.Calls()["watch"] == 0 {
		runtime.Gosched() // The watch is to start before the delay does.
	}
	p.SetFaults(fake.Faults{DelayMS: 60000})
	short, cancel := context.WithCancel(ctx)
	go func() {
		_ = clock.BlockUntilContext(ctx, 1)
		cancel()
	}()
	_, err := c.Put(short, key("a"), []byte(`1`), store.Any())
	is.True(errors.Is(err, store.ErrUnknown))
	clock.Advance(time.Minute)
	is.Equal(<-landed, ident.ObjectVersion(1))
}

// TestVMsLag guards against a VM list that shows a change before its lag has passed.
func TestVMsLag(t *testing.T) {
	is := is.New(t)
	_, c, clock := start(t, fake.Config{VMs: []fake.VM{{Name: "a", Domain: "d1", State: "live"}}, VMLag: 10 * time.Second})
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

// TestListAndWatch guards against a list or a watch that misses, repeats or reorders a change. The watch is cut by
// outages and continues from its last version.
func TestListAndWatch(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		p, c, _ := start(t, fake.Config{})
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
		cut := errors.New("cut")
		from, err := c.Watch(ctx, object.KindLedger, 0, func(e store.Event) error {
			if events == writes/2 {
				return cut
			}
			apply(seen, &events, e)
			return nil
		})
		is.Equal(err, cut)
		_, err = c.Watch(ctx, object.KindLedger, from, func(e store.Event) error {
			if apply(seen, &events, e); events == writes {
				p.SetFaults(fake.Faults{Outage: true})
			}
			return nil
		})
		is.True(errors.Is(err, store.ErrUnavailable))
		is.Equal(events, writes)
		is.Equal(seen, want)
	})
}

func apply(seen map[string]string, events *int, e store.Event) {
	*events++
	if e.Deleted {
		delete(seen, e.Object.Key.Name)
		return
	}
	seen[e.Object.Key.Name] = string(e.Object.Value)
}

// TestPutResolved guards against a lost reply turning into a lost or a doubled update. Two writers append their own
// marks to one object under the condition of its version; each mark must be there once, and only if its writer was
// told so.
func TestPutResolved(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		p, c, _ := start(t, fake.Config{})
		var want []string
		for i := range rapid.IntRange(1, 12).Draw(rt, "n") {
			base, err := c.Get(ctx, key("a"))
			is.True(err == nil || errors.Is(err, store.ErrAbsent))
			list := append(slices.Clone(want), fmt.Sprintf("%q", fmt.Sprint("<", i, ">")))
			p.SetFaults(fake.Faults{LoseReply: rapid.IntRange(0, 3).Draw(rt, "lose")})
			_, err = c.PutResolved(ctx, key("a"), array(list), store.Match(base.Version))
			is.NoErr(err)
			want = list
			p.SetFaults(fake.Faults{})
			_, err = c.PutResolved(ctx, key("a"), array(append(slices.Clone(list), "0")), store.Match(base.Version))
			is.True(errors.Is(err, store.ErrConflict)) // the second writer's version is stale
		}
		o, err := c.Get(ctx, key("a"))
		is.NoErr(err)
		is.Equal(len(want), bytes.Count(o.Value, []byte(","))+1)
	})
}

// TestPutResolvedUnreadable guards against a guess about an effect that cannot be read back.
func TestPutResolvedUnreadable(t *testing.T) {
	is := is.New(t)
	p, c, _ := start(t, fake.Config{})
	p.SetFaults(fake.Faults{ErrorRate: 1})
	_, err := c.PutResolved(ctx, key("a"), []byte(`1`), store.Absent())
	is.True(errors.Is(err, store.ErrUnknown))
}

func array(items []string) []byte {
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
