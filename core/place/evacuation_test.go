package place

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/cold"
	"geraniumsaddle/core/ident"
)

// twoDomains returns a fleet with the targets 1 and 2 in failure domain a, and 3 and 4 in b.
func twoDomains() *Fleet {
	f := newTestFleet("1", "2")
	for _, id := range []string{"3", "4"} {
		t := testEngine(id)
		t.Domain = "b"
		f.Put(t)
	}
	return f
}

// TestEvacuatedDomain guards against a request to a target of an evacuated failure domain: one that is chosen, one that was
// chosen before and is sent later, and one to a target that appears during the evacuation. It guards as well against a
// target that the store lists no more, and that its failure domain's evacuation would keep.
func TestEvacuatedDomain(t *testing.T) {
	is := is.New(t)
	f := twoDomains()
	is.True(f.Usable(f.targets["3"].Target, testStart))
	is.True(f.SetEvacuated("b", true, testStart))
	is.True(!f.SetEvacuated("b", true, testStart)) // known already
	is.True(!f.Usable(f.targets["3"].Target, testStart))
	late := testEngine("5")
	late.Domain = "b"
	f.Put(late)
	for range 50 {
		c, err := f.Choose(testRequest(testPrompt("part")))
		is.NoErr(err)
		is.Equal(c.Target.Domain, ident.DomainID("a"))
	}
	is.True(f.SetEvacuated("a", true, testStart))
	_, err := f.Choose(testRequest(nil))
	is.True(errors.Is(err, ErrNoTarget))
	is.Equal(f.Evacuated(), []ident.DomainID{"a", "b"})
	is.True(f.SetEvacuated("a", false, testStart))
	is.True(f.Usable(f.targets["1"].Target, testStart))
	f.SetStoreUnreachable(true, testStart)
	f.Remove("3", testStart)
	is.True(f.targets["3"] != nil) // it may be running, although nothing is sent to it
}

// TestDomainTakenBack guards against a failure domain whose idle targets get most requests at once when its evacuation ends,
// against one that gets none, and against requests that are refused although its targets are the only ones.
func TestDomainTakenBack(t *testing.T) {
	is := is.New(t)
	f := twoDomains()
	f.SetEvacuated("b", true, testStart)
	f.SetEvacuated("b", false, testStart)
	chosen := func(at time.Duration) int {
		n := 0
		for range 100 {
			c, err := f.Choose(Request{Service: "llm", Now: testStart.Add(at)})
			is.NoErr(err)
			if c.Target.Domain == "b" {
				n++
			}
			c.Done(ResultOK, testStart.Add(at))
		}
		return n
	}
	for range 50 { // both targets of a are busy, those of b are idle
		_, err := f.Choose(Request{Service: "llm", Now: testStart, Exclude: []ident.TargetID{"3", "4"}})
		is.NoErr(err)
	}
	first, middle, last := chosen(0), chosen(rampTime/2), chosen(rampTime)
	is.True(first > 0 && first <= 15)
	is.True(middle > 40 && middle < 70)
	is.Equal(last, 100)
	f.SetEvacuated("b", true, testStart)
	f.SetEvacuated("b", false, testStart)
	f.SetEvacuated("a", true, testStart)
	is.Equal(chosen(0), 100)
}

func coldFleet() *Fleet {
	f := New(Config{Domain: "a", VM: "vm-1", RemovalGrace: 2 * time.Second})
	f.Put(testEngine("1"))
	f.SetColdBounds(cold.Bounds{Overshoot: 1.5, Slack: 5})
	f.SetColdServices(map[ident.ServiceID]cold.Service{"llm": {ColdTime: 10 * time.Second, PerSecond: 4}})
	f.SetRouters([]ident.VMID{"vm-1"}, testStart.Add(-time.Minute))
	return f
}

// TestColdTarget guards against a cold target that gets more requests than the router's share, and against a warm target
// that is held to it.
func TestColdTarget(t *testing.T) {
	is := is.New(t)
	f := coldFleet()
	f.RecordEntry("1", cold.Entry{Version: 1, Remaining: 5 * time.Second, Known: true}, testStart)
	sent := func(at time.Duration) (int, error) {
		for n := 0; ; n++ {
			c, err := f.Choose(Request{Service: "llm", Now: testStart.Add(at)})
			if err != nil || n == 20 {
				return n, err
			}
			c.Done(ResultOK, testStart.Add(at))
		}
	}
	for _, at := range []time.Duration{0, 2 * time.Second} {
		n, err := sent(at)
		is.Equal(n, 4)
		is.True(errors.Is(err, ErrCold))
	}
	f.Put(testEngine("2")) // a warm one takes the rest
	c, err := f.Choose(Request{Service: "llm", Now: testStart.Add(2 * time.Second)})
	is.NoErr(err)
	is.Equal(c.Target.ID, ident.TargetID("2"))
	f.Remove("2", testStart)
	n, err := sent(5 * time.Second)
	is.NoErr(err)
	is.Equal(n, 20)
}

// TestDoubtfulTargetIsCold guards against requests at full rate to a target that may be cold: after the evacuation of its
// failure domain, also if it appears only then, and after a connection to it has failed.
func TestDoubtfulTargetIsCold(t *testing.T) {
	is := is.New(t)
	f := coldFleet()
	limited := func(at time.Duration) bool {
		for range 20 {
			c, err := f.Choose(Request{Service: "llm", Now: testStart.Add(at)})
			if err != nil {
				return errors.Is(err, ErrCold)
			}
			c.Done(ResultOK, testStart.Add(at))
		}
		return false
	}
	is.True(!limited(0))
	f.SetEvacuated("a", true, testStart)
	f.SetEvacuated("a", false, testStart)
	is.True(limited(time.Second))
	f.Remove("1", testStart)
	restarted := testEngine("1")
	restarted.Born = 7
	f.Put(restarted)
	is.True(limited(5 * time.Second))
	is.True(!limited(10 * time.Second))
	c, err := f.Choose(Request{Service: "llm", Now: testStart.Add(10 * time.Second)})
	is.NoErr(err)
	c.Done(ResultUnreachable, testStart.Add(10*time.Second))
	is.True(limited(11 * time.Second))
}
