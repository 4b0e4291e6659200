package trial

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
)

// fleet plays a release over several routers that read each other's rows from the store.
type fleet struct {
	rnd      *rand.Rand
	evidence *Evidence
	routers  []*Release
	exposed  int
	total    int
}

const window = 12 * time.Second

func newFleet(seed uint64, n int) *fleet {
	f := &fleet{rnd: rand.New(rand.NewPCG(seed, 1)), evidence: NewEvidence("v2")}
	for range n {
		f.routers = append(f.routers, New("v2", window, time.Unix(0, 0)))
	}
	return f
}

// play runs the window with 20 requests a second at each router and returns the outcome that is recorded.
func (f *fleet) play(failRate func(newVersion bool, at time.Duration, share float64) float64) State {
	const tick = 50 * time.Millisecond
	for at := time.Duration(0); at < window; at += tick {
		now := time.Unix(0, 0).Add(at)
		for i, r := range f.routers {
			step := r.Decide(now, true)
			if step.State != Running {
				return step.State
			}
			f.total++
			newVersion := f.rnd.Float64() < step.Share
			if newVersion {
				f.exposed++
			}
			r.Record(newVersion, f.rnd.Float64() < failRate(newVersion, at, step.Share), false)
			if int(at/tick)%20 == 0 {
				f.exchange(i)
			}
		}
	}
	return Running
}

func (f *fleet) exchange(i int) {
	id := ident.NewRouterID("vm", uint64(i))
	f.evidence.Observations[id] = f.routers[i].OwnObservation(true)
	f.routers[i].Merge(id, f.evidence)
}

// TestOutcomes guards against a good version that is taken back and a bad one that is completed or gets more than a
// tenth of the requests.
func TestOutcomes(t *testing.T) {
	const usual = 0.02
	cases := []struct {
		name string
		rate func(newVersion bool, at time.Duration, share float64) float64
		want State
	}{
		{"as good as the old one", func(bool, time.Duration, float64) float64 { return usual }, Completed},
		{"fails half", func(n bool, _ time.Duration, _ float64) float64 {
			if n {
				return 0.5
			}
			return usual
		}, RolledBack},
		{"fails after a while", func(n bool, at time.Duration, _ float64) float64 {
			if n && at > window/2 {
				return 0.5
			}
			return usual
		}, RolledBack},
		{"fails under load", func(n bool, _ time.Duration, share float64) float64 {
			if n && share == 1 {
				return 0.5
			}
			return usual
		}, RolledBack},
		{"both fail in a disturbance", func(bool, time.Duration, float64) float64 { return 0.3 }, Completed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(20) {
				f := newFleet(seed, 7)
				is.Equal(f.play(c.rate), c.want)
				if c.want == RolledBack {
					is.True(float64(f.exposed) <= 0.1*float64(f.total)+50)
				}
			}
		})
	}
}

// TestNoEvidence guards against a completion that rests on nothing.
func TestNoEvidence(t *testing.T) {
	is := is.New(t)
	r := New("v2", window, time.Unix(0, 0))
	var state State
	for at := time.Duration(0); at <= window && state == Running; at += window / 100 {
		state = r.Decide(time.Unix(0, 0).Add(at), true).State
	}
	is.Equal(state, RolledBack)
}

// TestVerdictOfOthers guards against a version that one router has judged bad and another one serves on.
func TestVerdictOfOthers(t *testing.T) {
	is := is.New(t)
	r := New("v2", window, time.Unix(0, 0))
	e := NewEvidence("v2")
	e.Observations["other.1"] = Observation{Bad: true}
	r.Merge("vm.1", e)
	is.Equal(r.Decide(time.Unix(1, 0), true).State, RolledBack)
	r.Merge("vm.1", NewEvidence("v2"))
	is.Equal(r.Decide(time.Unix(2, 0), true).State, RolledBack)
}

// TestCompletionWaits guards against a completion, at which the old targets stop, while a router still uses them.
func TestCompletionWaits(t *testing.T) {
	is := is.New(t)
	r := New("v2", window, time.Unix(0, 0))
	for range least {
		r.Record(true, false, false)
	}
	e := NewEvidence("v2")
	e.Observations["other.1"] = Observation{}
	r.Merge("vm.1", e)
	moved := time.Unix(0, 0).Add(window * 86 / 100)
	is.Equal(r.Decide(moved, true), Decision{Share: 1, Reason: "good"})
	is.Equal(r.Decide(moved, true).State, Running)
	e.Observations["other.1"] = Observation{Drained: true}
	r.Merge("vm.1", e)
	is.Equal(r.Decide(moved, false).State, Running)
	is.Equal(r.Decide(moved, true).State, Completed)
}

// TestDecode guards against evidence of a newer program that is overwritten.
func TestDecode(t *testing.T) {
	is := is.New(t)
	e := NewEvidence("v2")
	e.Observations["a.1"] = Observation{New: Counts{3, 2, 1}, Drained: true}
	got, err := Decode(e.Encode())
	is.NoErr(err)
	is.Equal(got, e)
	for _, bad := range []string{"", "null", `{"format":2}`, `[]`} {
		_, err := Decode([]byte(bad))
		is.True(err != nil)
	}
}
