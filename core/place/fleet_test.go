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

func testEngine(id string) Target {
	return Target{ID: ident.TargetID(id), Service: "llm", Addr: "10.0.0.1:" + id, Domain: "a", Slots: 8}
}

func newTestFleet(ids ...string) *Fleet {
	f := New(Config{Domain: "a", RemovalGrace: 2 * time.Second})
	for _, id := range ids {
		f.Put(testEngine(id))
	}
	return f
}

func testPrompt(part string) *Prompt {
	return &Prompt{Input: 9000, MaxOutput: 80, Parts: NewParts(Part{"common", 2500}, Part{part, 3800}, Part{"own", 2700})}
}

func testRequest(p *Prompt) Request {
	return Request{Service: "llm", Prompt: p, Now: testStart}
}

// TestSharedPromptKeepsTarget guards against a shared prompt that each engine prefills again: while the engine has
// capacity, all routers must send the prompt to it, whatever the order in which they learned of the engines.
func TestSharedPromptKeepsTarget(t *testing.T) {
	is := is.New(t)
	for i := range 50 {
		part := fmt.Sprint("part", i)
		first, second := newTestFleet("1", "2", "3", "4"), newTestFleet("4", "3", "2", "1")
		a, err := first.Choose(testRequest(testPrompt(part)))
		is.NoErr(err)
		b, err := second.Choose(testRequest(testPrompt(part)))
		is.NoErr(err)
		is.Equal(a.Target.ID, b.Target.ID)
		is.True(a.PrefixOwner)
	}
}

// TestSharedPromptsSpread guards against a hash that puts most shared prompts on one engine.
func TestSharedPromptsSpread(t *testing.T) {
	is := is.New(t)
	f := newTestFleet("1", "2", "3", "4")
	n := map[ident.TargetID]int{}
	for i := range 400 {
		c, err := f.Choose(testRequest(testPrompt(fmt.Sprint("part", i))))
		is.NoErr(err)
		n[c.Target.ID]++
		c.Done(ResultOK, testStart)
	}
	for _, id := range f.IDs() {
		is.True(n[id] > 60)
	}
}

// TestHotPromptSpills guards against one hot prompt that overloads its engine while others are idle.
func TestHotPromptSpills(t *testing.T) {
	is := is.New(t)
	f := newTestFleet("1", "2", "3", "4")
	n := map[ident.TargetID]int{}
	for range 32 {
		c, err := f.Choose(testRequest(testPrompt("hot")))
		is.NoErr(err)
		n[c.Target.ID]++
	}
	is.Equal(len(n), 4)
}

// TestLeavingTargetGetsNoRequests guards against a request to a leaving target, also if it was chosen before it left.
func TestLeavingTargetGetsNoRequests(t *testing.T) {
	is := is.New(t)
	f := newTestFleet("1")
	c, err := f.Choose(testRequest(nil))
	is.NoErr(err)
	is.True(f.Usable(c.Target, testStart))
	leaving := testEngine("1")
	leaving.State = Leaving
	f.Put(leaving)
	is.True(!f.Usable(c.Target, testStart))
	_, err = f.Choose(testRequest(nil))
	is.True(errors.Is(err, ErrNoTarget))
}

// TestRestartedTarget guards against sending a request to a target that has restarted under the same ID since it was
// chosen, and against results of the old process that count for the new one.
func TestRestartedTarget(t *testing.T) {
	is := is.New(t)
	f := newTestFleet("1")
	c, err := f.Choose(testRequest(nil))
	is.NoErr(err)
	restarted := testEngine("1")
	restarted.Born = 5
	f.Put(restarted)
	is.True(!f.Usable(c.Target, testStart))
	c.Done(ResultFailed, testStart)
	next, err := f.Choose(testRequest(nil))
	is.NoErr(err)
	is.Equal(next.EstimatedRequests, 0.0)
	is.Equal(next.Cost, 0.0)
}

// TestRemovalDuringStoreOutage guards against dropping live targets whose entries expired during an outage of the
// store, and against keeping targets that did not renew their entries after it.
func TestRemovalDuringStoreOutage(t *testing.T) {
	second := func(n int) time.Time { return testStart.Add(time.Duration(n) * time.Second) }
	cases := []struct {
		name  string
		apply func(*Fleet)
		want  int
	}{
		{"store reachable", func(f *Fleet) { f.Remove("1", second(0)) }, 0},
		{"store unreachable", func(f *Fleet) {
			f.SetStoreUnreachable(true, second(0))
			f.Remove("1", second(1))
			f.Expire(second(60))
		}, 1},
		{"within the grace period", func(f *Fleet) {
			f.SetStoreUnreachable(true, second(0))
			f.SetStoreUnreachable(false, second(5))
			f.Remove("1", second(5))
			f.Expire(second(6))
		}, 1},
		{"entry not renewed", func(f *Fleet) {
			f.SetStoreUnreachable(true, second(0))
			f.SetStoreUnreachable(false, second(5))
			f.Remove("1", second(5))
			f.Expire(second(7))
		}, 0},
		{"entry renewed", func(f *Fleet) {
			f.SetStoreUnreachable(true, second(0))
			f.SetStoreUnreachable(false, second(5))
			f.Remove("1", second(5))
			f.Put(testEngine("1"))
			f.Expire(second(60))
		}, 1},
		{"leaving during the outage", func(f *Fleet) {
			leaving := testEngine("1")
			leaving.State = Leaving
			f.Put(leaving)
			f.SetStoreUnreachable(true, second(0))
			f.Remove("1", second(1))
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet("1")
			c.apply(f)
			is.Equal(len(f.IDs()), c.want)
		})
	}
}

// TestFailingTargetIsAvoided guards against a failing target that gets as many requests as the others, and against one
// that is never tried again after its failures.
func TestFailingTargetIsAvoided(t *testing.T) {
	is := is.New(t)
	f := newTestFleet("1", "2")
	for range 3 {
		c, err := f.Choose(Request{Service: "llm", Exclude: []ident.TargetID{"2"}, Now: testStart})
		is.NoErr(err)
		c.Done(ResultFailed, testStart)
	}
	for range 20 {
		c, err := f.Choose(testRequest(nil))
		is.NoErr(err)
		is.Equal(c.Target.ID, ident.TargetID("2"))
		c.Done(ResultOK, testStart)
	}
	later := testStart.Add(30 * time.Second)
	c, err := f.Choose(Request{Service: "llm", Now: later})
	is.NoErr(err)
	d, err := f.Choose(Request{Service: "llm", Now: later})
	is.NoErr(err)
	is.True(c.Target.ID != d.Target.ID)
}

// TestFullTargetIsRetried guards against choosing a target that has just refused a request as full, and against one
// that is never tried again.
func TestFullTargetIsRetried(t *testing.T) {
	is := is.New(t)
	f := newTestFleet("1")
	c, err := f.Choose(testRequest(nil))
	is.NoErr(err)
	c.Done(ResultFull, testStart)
	_, err = f.Choose(testRequest(nil))
	is.True(errors.Is(err, ErrFull))
	_, err = f.Choose(Request{Service: "llm", Now: testStart.Add(fullBackoff)})
	is.NoErr(err)
}

// TestGoneTarget guards against sends to a target whose address another one has got, again and again until its entry expires,
// and against one that stays away after it has started anew.
func TestGoneTarget(t *testing.T) {
	is := is.New(t)
	f := newTestFleet("1")
	c, err := f.Choose(testRequest(nil))
	is.NoErr(err)
	c.Done(ResultGone, testStart)
	_, err = f.Choose(Request{Service: "llm", Now: testStart.Add(goneBackoff - 1)})
	is.True(errors.Is(err, ErrFull))
	restarted := testEngine("1")
	restarted.Born = 5
	f.Put(restarted)
	_, err = f.Choose(Request{Service: "llm", Now: testStart.Add(time.Millisecond)})
	is.NoErr(err)
}

// TestUnreachableDomain guards against requests that try one target after another in an unreachable failure domain, and
// against a domain that stays suspect after one of its targets has answered.
func TestUnreachableDomain(t *testing.T) {
	is := is.New(t)
	f := New(Config{Domain: "a", RemovalGrace: time.Second})
	for i := range 6 {
		target := testEngine(fmt.Sprint(i))
		if i >= 2 {
			target.Domain = "b"
		}
		f.Put(target)
	}
	chooseRemote := func(exclude ...ident.TargetID) *Choice {
		c, err := f.Choose(Request{Service: "llm", Now: testStart, Exclude: append(exclude, "0", "1")})
		is.NoErr(err)
		return c
	}
	first := chooseRemote()
	first.Done(ResultUnreachable, testStart)
	second := chooseRemote(first.Target.ID)
	second.Done(ResultUnreachable, testStart)
	for range 50 {
		c, err := f.Choose(testRequest(nil))
		is.NoErr(err)
		is.Equal(c.Target.Domain, ident.DomainID("a"))
	}
	c := chooseRemote(first.Target.ID, second.Target.ID)
	c.Done(ResultOK, testStart)
	is.True(!f.suspectUnreachable("b", testStart))
}
