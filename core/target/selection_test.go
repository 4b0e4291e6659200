package target_test

import (
	"encoding/json"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/target"
)

// TestCacheEventGaps guards against hints that survive a gap in the cache events, and against losing late events.
func TestCacheEventGaps(t *testing.T) {
	var cases []struct {
		Name        string   `json:"name"`
		Seqs        []uint64 `json:"seqs"`
		Evict       []uint64 `json:"evict"`
		WaitSeconds int      `json:"wait_seconds"`
		Reset       bool     `json:"reset"`
		Hinted      []bool   `json:"hinted"`
	}
	b, err := os.ReadFile("testdata/feeds.json")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(b, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			r, now := newFleetRegistry(50, 1), testStart.Add(time.Minute)
			const holder = "engine-0007"
			for _, s := range c.Seqs {
				r.ApplyCacheEvents(holder, []target.CacheEvent{{Seq: s, Prefix: s * 1000}}, now)
			}
			next := c.Seqs[len(c.Seqs)-1]
			for _, s := range c.Evict {
				next++
				r.ApplyCacheEvents(holder, []target.CacheEvent{{Seq: next, Prefix: s * 1000, Evicted: true}}, now)
			}
			if c.Reset {
				r.ResetCache(holder)
			}
			now = now.Add(time.Duration(c.WaitSeconds) * time.Second)
			p := r.Build(now).Pool(chatPool)
			for i, s := range c.Seqs {
				got, err := p.Choose(target.Request{Prefix: s * 1000, Now: now}, unlimitedSlots{})
				is.NoErr(err)
				is.Equal(got.Reason == target.ReasonHint, c.Hinted[i])
				is.True(got.Reason != target.ReasonHint || got.Target == holder)
				got.Release(target.ResultOK)
			}
		})
	}
}

// TestAffinityIsBounded guards against a popular prefix that overloads its target, and against a prefix that moves
// between targets at low load.
func TestAffinityIsBounded(t *testing.T) {
	is := is.New(t)
	const engines, requests = 100, 1000
	p := newFleetRegistry(engines, 1).Build(testStart).Pool(chatPool)
	now := testStart.Add(time.Hour) // the load reports are too old, so only their mean of 2.95 counts
	slots := &countingSlots{capacity: requests, held: make(map[ident.TargetID]int)}
	var first ident.TargetID
	for i := range 20 {
		c, err := p.Choose(target.Request{Prefix: 42, Now: now, Rand: uint64(i)}, slots)
		is.NoErr(err)
		if i == 0 {
			first = c.Target
		}
		is.Equal(c.Target, first)
		c.Release(target.ResultOK)
	}
	for i := range requests {
		_, err := p.Choose(target.Request{Prefix: 42, Now: now, Rand: uint64(i)}, slots)
		is.NoErr(err)
	}
	is.True(slots.held[first] >= requests/engines) // the target is used up to the bound
	is.True(slots.held[first] <= 14)               // which is 1.25*(2.95+10), rounded up, less 2.95
	for _, n := range slots.held {
		is.True(n <= 2*requests/engines) // the rest is spread
	}
}

// TestTargetPreferences guards against ignoring loaded adapters, reported load, the headroom kept from low-priority
// requests, and withdrawn versions.
func TestTargetPreferences(t *testing.T) {
	is := is.New(t)
	r := newFleetRegistry(20, 1)
	now := testStart.Add(2 * time.Second)
	r.SetAdapters("engine-0003", []string{"legal"})
	for i := range 18 {
		id := ident.TargetID([]byte("engine-00" + string(rune('0'+(i+2)/10)) + string(rune('0'+(i+2)%10))))
		r.ReportLoad(target.Load{Target: id, Running: 8, AsOf: now})
	}
	r.ReportLoad(target.Load{Target: "engine-0000", AsOf: now})
	r.ReportLoad(target.Load{Target: "engine-0001", AsOf: now})
	p := r.Build(now).Pool(chatPool)
	idle := 0
	for i := range 400 {
		c, err := p.Choose(target.Request{Now: now, Rand: uint64(i)}, unlimitedSlots{})
		is.NoErr(err)
		if c.Target <= "engine-0001" {
			idle++
		}
		c.Release(target.ResultOK)
		c, err = p.Choose(target.Request{Now: now, Rand: uint64(i), Adapter: "legal"}, unlimitedSlots{})
		is.NoErr(err)
		is.Equal(c.Target, ident.TargetID("engine-0003"))
		c.Release(target.ResultOK)
		c, err = p.Choose(target.Request{Now: now, Rand: uint64(i), Priority: ident.PriorityLow, Exhaustive: true}, unlimitedSlots{})
		is.NoErr(err)
		is.True(c.Target <= "engine-0001") // all others are full by their reports
		c.Release(target.ResultOK)
	}
	is.True(idle > 60) // 10% of the targets take over 15%: two draws give 1-(18/20*17/19) = 19%
	r.PutVersion(object.Version{ID: "v1", Model: "chat", Serving: true, Withdrawn: true})
	_, err := r.Build(now).Pool(chatPool).Choose(target.Request{Version: "v1", Now: now}, unlimitedSlots{})
	is.Equal(err, target.ErrNoTarget)
}

// TestSpillCandidates guards against spilling to a failure domain without active targets, and against preferring one
// that is full or has not reported its load recently.
func TestSpillCandidates(t *testing.T) {
	is := is.New(t)
	r := newFleetRegistry(2, 1)
	now := testStart.Add(time.Minute)
	for _, d := range []ident.DomainID{"b", "c", "d", "e"} {
		r.PutTarget(testEngine(ident.TargetID("remote-"+d), d, "v1"))
	}
	r.ReportState("remote-e", object.TargetLeaving)
	r.Build(now)
	r.ReportLoad(target.Load{Target: "remote-b", Running: 7, AsOf: now})
	r.ReportLoad(target.Load{Target: "remote-c", Running: 2, AsOf: now})
	r.ReportLoad(target.Load{Target: "remote-d", Running: 0, AsOf: now.Add(-20 * time.Second)})
	is.Equal(r.Build(now).SpillCandidates(chatPool, now), []target.SpillCandidate{
		{Domain: "c", Free: 6, Fresh: true},
		{Domain: "b", Free: 1, Fresh: true},
		{Domain: "d", Free: 8},
	})
}

// TestTrafficDuringBuild guards against data races between traffic and control goroutines, and against slots that are
// not released. The race detector finds the former.
func TestTrafficDuringBuild(t *testing.T) {
	r := newFleetRegistry(20, 1)
	slots := &countingSlots{capacity: 4, held: make(map[ident.TargetID]int)}
	p := r.Build(testStart).Pool(chatPool)
	var wg sync.WaitGroup
	for g := range 4 {
		wg.Go(func() {
			for i := range 500 {
				c, err := p.Choose(target.Request{Prefix: uint64(i % 5), Rand: uint64(i*4 + g), Now: testStart}, slots)
				if err == nil {
					c.Release(target.Result(i % 3))
				}
			}
		})
	}
	for i := range 50 {
		now := testStart.Add(time.Duration(i) * time.Second)
		r.ReportLoad(target.Load{Target: "engine-0001", Running: i, AsOf: now})
		r.ApplyCacheEvents("engine-0002", []target.CacheEvent{{Seq: uint64(i + 1), Prefix: uint64(i % 5)}}, now)
		r.SetAdapters("engine-0003", []string{string(rune('a' + i%3))})
		r.Build(now)
	}
	wg.Wait()
	for id, n := range slots.held {
		if n != 0 {
			t.Errorf("%s still holds %d slots", id, n)
		}
	}
}
