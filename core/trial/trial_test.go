package trial

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
)

// simulation runs a release on several routers that exchange their observations through the evidence.
type simulation struct {
	rnd      *rand.Rand
	evidence *Evidence
	routers  []*Release
	exposed  int
	total    int
}

const window = 12 * time.Second

func newSimulation(seed uint64, n int) *simulation {
	s := &simulation{rnd: rand.New(rand.NewPCG(seed, 1)), evidence: NewEvidence("v2")}
	for range n {
		s.routers = append(s.routers, New("v2", window, time.Unix(0, 0)))
	}
	return s
}

// run simulates the time window with 20 requests per second at each router and returns the first final decision.
func (s *simulation) run(failRate func(newVersion bool, at time.Duration, share float64) float64) State {
	const tick = 50 * time.Millisecond
	for at := time.Duration(0); at < window; at += tick {
		now := time.Unix(0, 0).Add(at)
		for i, r := range s.routers {
			decision := r.Decide(now, true)
			if decision.State != Running {
				return decision.State
			}
			s.total++
			newVersion := s.rnd.Float64() < decision.Share
			if newVersion {
				s.exposed++
			}
			r.RecordAnswer(newVersion, s.rnd.Float64() < failRate(newVersion, at, decision.Share), false)
			if int(at/tick)%20 == 0 {
				s.exchange(i)
			}
		}
	}
	return Running
}

func (s *simulation) exchange(i int) {
	id := ident.NewRouterID("vm", uint64(i))
	s.evidence.Observations[id] = s.routers[i].OwnObservation(true)
	s.routers[i].Merge(id, s.evidence)
}

// TestOutcomes guards against rolling back a good version, and against a bad version that is completed or gets more
// than a tenth of the requests.
func TestOutcomes(t *testing.T) {
	const baseRate = 0.02
	cases := []struct {
		name string
		rate func(newVersion bool, at time.Duration, share float64) float64
		want State
	}{
		{"as good as the old one", func(bool, time.Duration, float64) float64 { return baseRate }, Completed},
		{"fails half of the requests", func(newVersion bool, _ time.Duration, _ float64) float64 {
			if newVersion {
				return 0.5
			}
			return baseRate
		}, RolledBack},
		{"fails in the second half", func(newVersion bool, at time.Duration, _ float64) float64 {
			if newVersion && at > window/2 {
				return 0.5
			}
			return baseRate
		}, RolledBack},
		{"fails under load", func(newVersion bool, _ time.Duration, share float64) float64 {
			if newVersion && share == 1 {
				return 0.5
			}
			return baseRate
		}, RolledBack},
		{"both versions fail", func(bool, time.Duration, float64) float64 { return 0.3 }, Completed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(20) {
				s := newSimulation(seed, 7)
				is.Equal(s.run(c.rate), c.want)
				if c.want == RolledBack {
					is.True(float64(s.exposed) <= 0.1*float64(s.total)+50)
				}
			}
		})
	}
}

// TestNoEvidence guards against completing a release without any results.
func TestNoEvidence(t *testing.T) {
	is := is.New(t)
	r := New("v2", window, time.Unix(0, 0))
	var state State
	for at := time.Duration(0); at <= window && state == Running; at += window / 100 {
		state = r.Decide(time.Unix(0, 0).Add(at), true).State
	}
	is.Equal(state, RolledBack)
}

// TestVersionRejectedByOtherRouter guards against a router that keeps serving a version that another router has
// rejected.
func TestVersionRejectedByOtherRouter(t *testing.T) {
	is := is.New(t)
	r := New("v2", window, time.Unix(0, 0))
	e := NewEvidence("v2")
	e.Observations["other.1"] = Observation{Bad: true}
	r.Merge("vm.1", e)
	is.Equal(r.Decide(time.Unix(1, 0), true).State, RolledBack)
	r.Merge("vm.1", NewEvidence("v2"))
	is.Equal(r.Decide(time.Unix(2, 0), true).State, RolledBack)
}

// TestCompletionWaitsForDraining guards against completing a release, which stops the old targets, while a router still
// uses them.
func TestCompletionWaitsForDraining(t *testing.T) {
	is := is.New(t)
	r := New("v2", window, time.Unix(0, 0))
	for range minRequests {
		r.RecordAnswer(true, false, false)
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

// TestDecode guards against evidence that changes when it is stored and read, and against accepting a malformed object
// or one that a newer program has written and that would then be overwritten.
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
