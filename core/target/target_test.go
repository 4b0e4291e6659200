package target_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/target"
)

var chatPool = target.Key{Model: "chat", Domain: "a"}

// countingSlots gives each target the same capacity and counts the slots held at each.
type countingSlots struct {
	mu       sync.Mutex
	capacity int
	held     map[ident.TargetID]int
}

func (s *countingSlots) TryReserve(id ident.TargetID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held[id] >= s.capacity {
		return false
	}
	s.held[id]++
	return true
}

func (s *countingSlots) Release(id ident.TargetID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[id]--
}

// referenceModel holds the states that the property test expects, beside the registry under test.
type referenceModel struct {
	r        *target.Registry
	now      time.Time
	slots    *countingSlots
	state    map[ident.TargetID]object.TargetState
	inFlight []target.Choice
	seed     uint64
}

var ids = []ident.TargetID{"t0", "t1", "t2", "t3", "t4", "t5", "t6"}

func moreFinal(a, b object.TargetState) object.TargetState {
	order := map[object.TargetState]int{"": 0, object.TargetActive: 1, object.TargetLeaving: 2, object.TargetGone: 3}
	if order[b] > order[a] {
		return b
	}
	return a
}

// choose makes one choice and checks that its target is active and not excluded. The slots ensure that it had a free
// one.
func (m *referenceModel) choose(t *rapid.T, req target.Request) (target.Choice, error) {
	m.seed++
	req.Now, req.Rand, req.Exhaustive = m.now, m.seed*0x9e3779b97f4a7c15, true
	c, err := m.r.Build(m.now).Pool(chatPool).Choose(req, m.slots)
	if err != nil {
		return c, err
	}
	if m.state[c.Target] != object.TargetActive {
		t.Fatalf("chose %s, which is %q", c.Target, m.state[c.Target])
	}
	for _, x := range req.Exclude {
		if x == c.Target {
			t.Fatalf("chose the excluded target %s", x)
		}
	}
	return c, nil
}

// usable returns the number of targets that can be chosen now other than as a trial. It excludes each choice in turn.
func (m *referenceModel) usable(t *rapid.T) int {
	n := 0
	var seen []ident.TargetID
	for {
		c, err := m.choose(t, target.Request{Version: "v1", Exclude: seen})
		if err != nil {
			return n
		}
		if c.Reason != target.ReasonTrial {
			n++
		}
		seen = append(seen, c.Target)
		c.Release(target.ResultNeutral)
	}
}

// TestChoiceOverEventsProperty guards against requests to leaving, gone or excluded targets, the ejection of more than
// half a pool, slots that leak or are released twice, and a pool that refuses while a usable target has a free slot.
func TestChoiceOverEventsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &referenceModel{
			r:     target.New(target.Config{Domain: "a", Router: "r.1", Start: testStart}, rand.New(rand.NewPCG(1, 1))),
			now:   testStart.Add(time.Hour),
			slots: &countingSlots{capacity: 2, held: make(map[ident.TargetID]int)},
			state: make(map[ident.TargetID]object.TargetState),
		}
		m.r.PutVersion(object.Version{ID: "v1", Model: "chat", Serving: true})
		for _, id := range ids {
			m.r.PutTarget(testEngine(id, "a", "v1"))
			m.state[id] = object.TargetActive
		}
		pick := rapid.SampledFrom(ids)
		states := rapid.SampledFrom([]object.TargetState{object.TargetActive, object.TargetLeaving, object.TargetGone})
		t.Repeat(map[string]func(*rapid.T){
			"state": func(t *rapid.T) {
				id, s := pick.Draw(t, "id"), states.Draw(t, "state")
				if rapid.Bool().Draw(t, "vm") {
					m.r.SetVMState("vm-"+ident.VMID(id), s)
				} else {
					m.r.ReportState(id, s)
				}
				m.state[id] = moreFinal(m.state[id], s)
			},
			"replace": func(t *rapid.T) {
				id := pick.Draw(t, "id")
				m.r.DeleteTarget(id)
				m.r.ForgetVM("vm-" + ident.VMID(id))
				m.r.PutTarget(testEngine(id, "a", "v1"))
				m.state[id] = object.TargetActive
			},
			"choose": func(t *rapid.T) {
				c, err := m.choose(t, target.Request{
					Prefix:    rapid.Uint64Max(3).Draw(t, "prefix"),
					Retryable: rapid.Bool().Draw(t, "retryable"),
					Exclude:   []ident.TargetID{pick.Draw(t, "exclude")},
				})
				if err == nil {
					m.inFlight = append(m.inFlight, c)
				}
			},
			"release": func(t *rapid.T) {
				if len(m.inFlight) == 0 {
					t.Skip("nothing in flight")
				}
				i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "i")
				res := rapid.SampledFrom([]target.Result{target.ResultOK, target.ResultFailed, target.ResultFailed, target.ResultNeutral})
				m.inFlight[i].Release(res.Draw(t, "result"))
				m.inFlight[i].Release(target.ResultFailed)
				m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
			},
			"report": func(t *rapid.T) {
				m.r.ReportLoad(target.Load{Target: pick.Draw(t, "id"), Running: rapid.IntRange(0, 9).Draw(t, "n"), AsOf: m.now})
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "s")) * time.Second)
			},
			"": func(t *rapid.T) { m.check(t) },
		})
	})
}

func (m *referenceModel) check(t *rapid.T) {
	held := 0
	for id, n := range m.slots.held {
		if n < 0 || n > m.slots.capacity {
			t.Fatalf("%s holds %d slots", id, n)
		}
		held += n
	}
	if held != len(m.inFlight) {
		t.Fatalf("%d slots held for %d requests", held, len(m.inFlight))
	}
	active := 0
	for _, s := range m.state {
		if s == object.TargetActive {
			active++
		}
	}
	saved := m.slots
	m.slots = &countingSlots{capacity: 1, held: make(map[ident.TargetID]int)}
	if n := m.usable(t); 2*n < active {
		t.Fatalf("only %d of %d active targets are in use", n, active)
	}
	m.slots = saved
}

// TestEjectionBackoff guards against a failing target that returns at a fixed or unbounded interval, and against more
// than one request at a half-open target.
func TestEjectionBackoff(t *testing.T) {
	is := is.New(t)
	r := newFleetRegistry(2, 1)
	now := testStart
	slots := &countingSlots{capacity: 8, held: make(map[ident.TargetID]int)}
	bad := ident.TargetID("engine-0001")
	choose := func(not ident.TargetID) (target.Choice, error) {
		return r.Build(now).Pool(chatPool).Choose(target.Request{Now: now, Retryable: true, Exclude: []ident.TargetID{not}}, slots)
	}
	for range 3 {
		c, err := choose("engine-0000")
		is.NoErr(err)
		c.Release(target.ResultFailed)
	}
	low, high := 3750*time.Millisecond, 5*time.Second
	for range 9 {
		_, err := choose("engine-0000")
		is.True(errors.Is(err, target.ErrNoCapacity)) // ejected
		now = now.Add(low - time.Millisecond)
		_, err = choose("engine-0000")
		is.True(errors.Is(err, target.ErrNoCapacity)) // still ejected
		now = now.Add(high - low + time.Millisecond)
		c, err := choose("engine-0000")
		is.NoErr(err)
		is.Equal(c.Target, bad)
		is.Equal(c.Reason, target.ReasonTrial)
		_, err = choose("engine-0000")
		is.True(errors.Is(err, target.ErrNoCapacity)) // the trial is taken
		c.Release(target.ResultFailed)
		low, high = min(2*low, 225*time.Second), min(2*high, 5*time.Minute)
	}
	r.Build(now)
	now = now.Add(5 * time.Minute)
	c, err := choose("engine-0000")
	is.NoErr(err)
	c.Release(target.ResultOK)
	c, err = choose("engine-0000")
	is.NoErr(err)
	is.True(c.Reason != target.ReasonTrial) // healthy again
}

// TestShareGrowthIsStickyProperty guards against a conversation that returns to the old version while the share of the
// new one grows, and against shares that do not match the traffic.
func TestShareGrowthIsStickyProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := target.New(target.Config{Domain: "a", Router: "r.1", Start: testStart}, rand.New(rand.NewPCG(1, 1)))
		for _, v := range []ident.VersionID{"a1", "a2", "b1"} {
			r.PutVersion(object.Version{ID: v, Model: "chat"})
			r.PutTarget(testEngine("t-"+ident.TargetID(v), "a", v))
		}
		salt := rapid.String().Draw(t, "salt")
		const n = 1000
		last := make([]ident.VersionID, n)
		lines := []target.Line{{Version: "a1", Weight: 3}, {Version: "b1", Weight: 1}}
		for _, share := range []float64{0, 0.01, 0.05, 0.2, 0.5, 1, 2} {
			if share == 2 { // the release is complete
				lines[0] = target.Line{Version: "a2", HashKey: "a1", Weight: 3}
			}
			r.SetShares(chatPool, target.Shares{Lines: lines, Shifts: []target.TrafficShift{{Version: "a2", Replaces: "a1", Share: share}}})
			p := r.Build(testStart).Pool(chatPool)
			count := 0
			for i := range last {
				c, err := p.Choose(target.Request{Sticky: fmt.Sprint(salt, i), Now: testStart}, unlimitedSlots{})
				if err != nil {
					t.Fatal(err)
				}
				if last[i] != "" && last[i] != c.Version && (last[i] != "a1" || c.Version != "a2") {
					t.Fatalf("share %v moved a conversation from %s to %s", share, last[i], c.Version)
				}
				last[i] = c.Version
				if c.Version == "a2" {
					count++
				}
				c.Release(target.ResultOK)
			}
			want := 0.75 * min(share, 1) * n
			if f := float64(count); f < want-90 || f > want+90 {
				t.Fatalf("share %v gave %d of %d, want about %.0f", share, count, n, want)
			}
		}
	})
}

// TestSubsetsCoverPool guards against targets that no router uses, and against a subset that loses targets when a
// router leaves.
func TestSubsetsCoverPool(t *testing.T) {
	is := is.New(t)
	const n = 300
	subset := func(self int, routers int) map[ident.TargetID]bool {
		r := target.New(target.Config{Domain: "a", Router: ident.NewRouterID(fmt.Sprint("r", self), 1), Start: testStart}, rand.New(rand.NewPCG(1, 1)))
		r.PutVersion(object.Version{ID: "v1", Model: "chat", Serving: true})
		for i := range n {
			r.PutTarget(testEngine(ident.TargetID(fmt.Sprint("t", i)), "a", "v1"))
		}
		var all []ident.RouterID
		for i := range routers {
			all = append(all, ident.NewRouterID(fmt.Sprint("r", i), 5))
		}
		r.SetRouters(all)
		p := r.Build(testStart).Pool(chatPool)
		used := make(map[ident.TargetID]bool)
		for i := range 20 * n {
			c, err := p.Choose(target.Request{Now: testStart, Rand: uint64(i)}, unlimitedSlots{})
			is.NoErr(err)
			used[c.Target] = true
		}
		return used
	}
	total := make(map[ident.TargetID]bool)
	for i := range 9 {
		before, after := subset(i, 9), subset(i, 8+i/8)
		is.True(len(before) > 40 && len(before) < 110) // mean 2*300/9
		for id := range before {
			total[id] = true
			is.True(after[id]) // the loss of a router only adds targets
		}
	}
	is.Equal(len(total), n)
}
