package place

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
)

var testStart = time.Unix(1000, 0)

func engine(id string) Target {
	return Target{ID: ident.TargetID(id), Service: "llm", Addr: "10.0.0.1:" + id, Domain: "a", Slots: 8}
}

func testFleet(ids ...string) *Fleet {
	f := New(Config{Domain: "a", RemovalGrace: 2 * time.Second})
	for _, id := range ids {
		f.Put(engine(id))
	}
	return f
}

func prompt(part string) *Prompt {
	return &Prompt{Input: 9000, MaxOutput: 80, Parts: []Part{{"common", 2500}, {part, 3800}, {"own", 2700}}}
}

func request(p *Prompt) Request {
	return Request{Service: "llm", Prompt: p, Now: testStart}
}

// TestSharedPromptStays guards against a shared prompt that each engine reads again: while there is room, all routers
// send it to the same engine.
func TestSharedPromptStays(t *testing.T) {
	is := is.New(t)
	for i := range 50 {
		part := fmt.Sprint("part", i)
		f, g := testFleet("1", "2", "3", "4"), testFleet("4", "3", "2", "1")
		a, err := f.Choose(request(prompt(part)))
		is.NoErr(err)
		b, err := g.Choose(request(prompt(part)))
		is.NoErr(err)
		is.Equal(a.Target.ID, b.Target.ID)
		is.True(a.PrefixOwner)
	}
}

// TestSharedPromptsSpread guards against a hash that puts most shared prompts on one engine.
func TestSharedPromptsSpread(t *testing.T) {
	is := is.New(t)
	f := testFleet("1", "2", "3", "4")
	n := map[ident.TargetID]int{}
	for i := range 400 {
		c, err := f.Choose(request(prompt(fmt.Sprint("part", i))))
		is.NoErr(err)
		n[c.Target.ID]++
		c.Done(OK, testStart)
	}
	for _, id := range f.IDs() {
		is.True(n[id] > 60)
	}
}

// TestHotPromptSpills guards against one hot prompt that overloads its engine while others are idle.
func TestHotPromptSpills(t *testing.T) {
	is := is.New(t)
	f := testFleet("1", "2", "3", "4")
	n := map[ident.TargetID]int{}
	for range 32 {
		c, err := f.Choose(request(prompt("hot")))
		is.NoErr(err)
		n[c.Target.ID]++
	}
	is.Equal(len(n), 4)
}

// TestLeavingTargetGetsNothing guards against a request to a target that is leaving, also when it was chosen before.
func TestLeavingTargetGetsNothing(t *testing.T) {
	is := is.New(t)
	f := testFleet("1")
	c, err := f.Choose(request(nil))
	is.NoErr(err)
	is.True(f.Usable(c.Target))
	leaving := engine("1")
	leaving.State = Leaving
	f.Put(leaving)
	is.True(!f.Usable(c.Target))
	_, err = f.Choose(request(nil))
	is.True(errors.Is(err, ErrNoTarget))
}

// TestReusedAddress guards against a request to a new start of a target under its old id.
func TestReusedAddress(t *testing.T) {
	is := is.New(t)
	f := testFleet("1")
	c, err := f.Choose(request(nil))
	is.NoErr(err)
	again := engine("1")
	again.Born = 5
	f.Put(again)
	is.True(!f.Usable(c.Target))
	c.Done(Failed, testStart)
	fresh, err := f.Choose(request(nil))
	is.NoErr(err)
	is.Equal(fresh.EstimatedRequests, 0.0)
	is.Equal(fresh.Cost, 0.0)
}

// TestRemoval guards against targets that are dropped because their entries lapsed while the store was away, and
// against targets that stay although their entries did not come back.
func TestRemoval(t *testing.T) {
	second := func(n int) time.Time { return testStart.Add(time.Duration(n) * time.Second) }
	cases := []struct {
		name string
		play func(*Fleet)
		want int
	}{
		{"calm store", func(f *Fleet) { f.Remove("1", second(0)) }, 0},
		{"store away", func(f *Fleet) {
			f.SetStoreUnreachable(true, second(0))
			f.Remove("1", second(1))
			f.Expire(second(60))
		}, 1},
		{"just back", func(f *Fleet) {
			f.SetStoreUnreachable(true, second(0))
			f.SetStoreUnreachable(false, second(5))
			f.Remove("1", second(5))
			f.Expire(second(6))
		}, 1},
		{"not back in time", func(f *Fleet) {
			f.SetStoreUnreachable(true, second(0))
			f.SetStoreUnreachable(false, second(5))
			f.Remove("1", second(5))
			f.Expire(second(7))
		}, 0},
		{"back in time", func(f *Fleet) {
			f.SetStoreUnreachable(true, second(0))
			f.SetStoreUnreachable(false, second(5))
			f.Remove("1", second(5))
			f.Put(engine("1"))
			f.Expire(second(60))
		}, 1},
		{"leaving while the store was away", func(f *Fleet) {
			leaving := engine("1")
			leaving.State = Leaving
			f.Put(leaving)
			f.SetStoreUnreachable(true, second(0))
			f.Remove("1", second(1))
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := testFleet("1")
			c.play(f)
			is.Equal(len(f.IDs()), c.want)
		})
	}
}

// TestFailingTargetIsLeft guards against a target that fails part of its requests and gets as many as the others, and
// against one that is never tried again.
func TestFailingTargetIsLeft(t *testing.T) {
	is := is.New(t)
	f := testFleet("1", "2")
	for range 3 {
		c, err := f.Choose(Request{Service: "llm", Exclude: []ident.TargetID{"2"}, Now: testStart})
		is.NoErr(err)
		c.Done(Failed, testStart)
	}
	for range 20 {
		c, err := f.Choose(request(nil))
		is.NoErr(err)
		is.Equal(c.Target.ID, ident.TargetID("2"))
		c.Done(OK, testStart)
	}
	later := testStart.Add(30 * time.Second)
	c, err := f.Choose(Request{Service: "llm", Now: later})
	is.NoErr(err)
	d, err := f.Choose(Request{Service: "llm", Now: later})
	is.NoErr(err)
	is.True(c.Target.ID != d.Target.ID)
}

// TestFull guards against a wait for targets that all refuse, and against a target that is left for good.
func TestFull(t *testing.T) {
	is := is.New(t)
	f := testFleet("1")
	c, err := f.Choose(request(nil))
	is.NoErr(err)
	c.Done(Full, testStart)
	_, err = f.Choose(request(nil))
	is.True(errors.Is(err, ErrFull))
	_, err = f.Choose(Request{Service: "llm", Now: testStart.Add(fullPause)})
	is.NoErr(err)
}

// TestCutDomain guards against requests that try one target after the other of a failure domain that is cut off, and
// against a domain that is left for good.
func TestCutDomain(t *testing.T) {
	is := is.New(t)
	f := New(Config{Domain: "a", RemovalGrace: time.Second})
	for i := range 6 {
		target := engine(fmt.Sprint(i))
		if i >= 2 {
			target.Domain = "b"
		}
		f.Put(target)
	}
	others := func(skip ...ident.TargetID) *Choice {
		c, err := f.Choose(Request{Service: "llm", Now: testStart, Exclude: append(skip, "0", "1")})
		is.NoErr(err)
		return c
	}
	first := others()
	first.Done(Unreachable, testStart)
	second := others(first.Target.ID)
	second.Done(Unreachable, testStart)
	for range 50 {
		c, err := f.Choose(request(nil))
		is.NoErr(err)
		is.Equal(c.Target.Domain, ident.DomainID("a"))
	}
	c := others(first.Target.ID, second.Target.ID)
	c.Done(OK, testStart)
	is.True(!f.suspect("b", testStart))
}
