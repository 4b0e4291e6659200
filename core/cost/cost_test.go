package cost

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestQuantileFollowsSamples guards against an estimate that doesn't reach the quantile of its samples.
func TestQuantileFollowsSamples(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	for q, want := range map[float64]float64{0.25: 25, 0.5: 50} {
		e := NewQuantile(q, 0.04, 1, 0.1, 1000)
		for range 3000 {
			e.Add(100 * rng.Float64())
		}
		is.True(math.Abs(e.Value()-want) < 10) // the quantile of a uniform distribution from 0 to 100
	}
}

// TestWildSamples guards against one answer that moves an estimate without bound, and against samples that are no numbers.
func TestWildSamples(t *testing.T) {
	is := is.New(t)
	e := NewQuantile(0.5, 0.04, 10, 1, 100)
	e.Add(1e30)
	is.True(e.Value() <= 10*1.04)
	before := e.Value()
	for _, sample := range []float64{0, -5, math.NaN(), math.Inf(1)} {
		e.Add(sample)
	}
	is.Equal(e.Value(), before)
	for range 10_000 {
		e.Add(1e30)
	}
	is.Equal(e.Value(), 100.0) // the upper limit
}

// TestRatesFromAnswers guards against a service whose requests are priced by the start value for ever.
func TestRatesFromAnswers(t *testing.T) {
	is := is.New(t)
	r := NewRates()
	for range 500 {
		r.AddFirst(4000, 200*time.Millisecond)
		r.AddFirst(10, time.Second) // too small to tell anything
		r.AddOutput(100, 2*time.Second)
		r.AddHold(3 * time.Second)
	}
	is.True(math.Abs(r.Prefill(4000)-200) < 20)
	is.True(math.Abs(r.Output()-20) < 2)
	is.True(math.Abs(r.Hold()-3000) < 300)
}

// TestExpectedOutput guards against a hint that is believed although the requests of the route produce something else, and
// against more output than the request allows.
func TestExpectedOutput(t *testing.T) {
	is := is.New(t)
	l := NewLengths()
	is.Equal(int(l.Expect("r", 40, 300)), 40)   // nothing is known but the hint
	is.Equal(int(l.Expect("r", 0, 300)), 150)   // nothing at all is known
	is.Equal(int(l.Expect("r", 900, 300)), 300) // the limit
	for range 200 {
		l.Add("r", 50, 200)
	}
	got := l.Expect("r", 50, 1000)
	is.True(got > 150 && got < 250) // the hint is corrected
	got = l.Expect("r", 2, 1000)
	is.True(got > 20) // a hint that is far off counts half
	is.Equal(int(l.Expect("r", 0, 100)), 100)
}
