package canary_test

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/core/object"
)

type scenario struct {
	plan
	Want        object.Verdict `json:"want"`
	Reason      string         `json:"reason"`
	Bad         bool           `json:"bad"`
	MaxExposure float64        `json:"max_exposure"`
}

func (s *scenario) defaults() {
	if s.Rate == 0 {
		s.Rate = 150
	}
	if s.Old.Median == 0 {
		s.Old = quality{Errors: 0.002, Median: 300, Sigma: 0.4}
	}
	if s.New.Median == 0 {
		s.New = s.Old
	}
	s.Window, s.Routers, s.Lag = 1800, 3, max(s.Lag, 1)
}

// TestScenarios guards against a wrong verdict or reason, a share that rises after it fell, and a bad
// version that serves more than the stated part of a route's traffic.
func TestScenarios(t *testing.T) {
	b, err := os.ReadFile("testdata/scenarios.json")
	is.New(t).NoErr(err)
	var all []scenario
	is.New(t).NoErr(json.Unmarshal(b, &all))
	for _, s := range all {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s.defaults()
			sim := newSimulation(s.plan, 7)
			sim.run()
			is.Equal(sim.verdict(), s.Want)
			is.True(strings.Contains(sim.outcome.Domains[0].Reason, s.Reason)) // reason of the outcome
			is.Equal(len(sim.outcome.BadVersions) > 0, s.Bad)
			is.Equal(sim.violation, "")
			if s.MaxExposure > 0 {
				is.True(sim.exposure() <= s.MaxExposure) // part of the traffic that the bad version served
			}
			for _, n := range sim.routers {
				is.True(!s.Bad || n.share == 0)
			}
			t.Log(sim.outcome.Domains[0], sim.exposure())
		})
	}
}
