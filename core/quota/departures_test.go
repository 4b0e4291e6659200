package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
)

// closeDeparted closes the rows of a process by its final report.
func (s *claimSimulation) closeDeparted(l *Ledger, departure Departure) {
	before := l.Closed[claimOrg]
	l.CloseDeparted(departure)
	if l.Closed[claimOrg]-before < s.ended[departure.Router] {
		s.returnedSpent++
	}
}

// departSafeguards are what makes a final report true.
type departSafeguards struct {
	// stopFirst reports only after the process has stopped to reserve tokens, and nothingHeld only when it holds none.
	stopFirst, nothingHeld bool
}

// depart ends a process that cannot write its final report and gives it to some of the other VMs.
func (s *claimSimulation) depart(vm *claimVM, safe departSafeguards) {
	if safe.nothingHeld {
		for _, n := range vm.held {
			vm.accounts.Settle(claimOrg, n, n)
			vm.spent += n
			s.spent += n
		}
		vm.held = nil
	}
	if s.rng.IntN(2) == 0 {
		// A claim that a slow writer serves late.
		s.claim(vm, s.vms[s.rng.IntN(2)], queued, queued, queued)
	}
	departure, ok := vm.accounts.Leave()
	if !ok {
		departure = Departure{Router: vm.accounts.cfg.Self, VM: vm.id, Spent: map[ident.OrgID]ident.Tokens{claimOrg: vm.spent}}
	}
	if !safe.stopFirst {
		vm.accounts.stopped = false
		s.serveRequests(vm)
	}
	for _, other := range s.vms {
		if other != vm && s.rng.IntN(2) == 0 {
			other.departures.Keep(departure, s.now)
		}
	}
	s.crash(vm)
}

func (s *claimSimulation) runDepartures(safe departSafeguards, check bool) {
	const steps = 300
	for step := range steps {
		s.now += time.Duration(s.rng.IntN(400)) * time.Millisecond
		vm := s.vms[s.rng.IntN(len(s.vms))]
		switch s.rng.IntN(20) {
		case 0:
			s.crash(vm)
		case 1, 2:
			s.depart(vm, safe)
		case 3:
			s.applyLate()
		default:
			s.serveRequests(vm)
		}
		s.claim(vm, s.vms[s.rng.IntN(2)], s.randomOutcome(), s.randomOutcome(), s.randomOutcome())
		if check {
			s.checkBounds(step)
		}
	}
}

// TestDeparturesHoldBudget guards against returning tokens that a process had spent, when its successor's rows are
// written by a router that keeps its final report, beside lost, late and refused writes, late claims and crashes.
func TestDeparturesHoldBudget(t *testing.T) {
	t.Parallel()
	const seeds = 100
	for seed := range uint64(seeds) {
		s := newClaimSimulation(t, seed, 400_000, 5)
		s.runDepartures(departSafeguards{true, true}, true)
		if s.returnedSpent > 0 {
			t.Fatalf("seed %d: spent tokens were returned", seed)
		}
	}
}

// TestDepartSafeguardsAreNeeded guards against a model that does not notice a false final report.
func TestDepartSafeguardsAreNeeded(t *testing.T) {
	t.Parallel()
	for _, safe := range []departSafeguards{{false, true}, {true, false}} {
		t.Run(fmt.Sprintf("%+v", safe), func(t *testing.T) {
			is := is.New(t)
			returned := 0
			for seed := range uint64(20) {
				s := newClaimSimulation(t, seed, 400_000, 5)
				s.runDepartures(safe, false)
				returned += s.returnedSpent
			}
			is.True(returned > 0)
		})
	}
}

// TestDeparturesBounded guards against final reports that fill the memory, or are kept for good.
func TestDeparturesBounded(t *testing.T) {
	is := is.New(t)
	d := NewDepartures()
	for i := range maxDepartures {
		is.True(d.Keep(Departure{Router: ident.RouterID(fmt.Sprint("vm.", i))}, 0))
	}
	is.True(!d.Keep(Departure{Router: "late.1"}, 0))
	is.True(d.Keep(Departure{Router: "late.1"}, departureTTL))
	_, kept := d.Of("vm.0")
	is.True(!kept)
	_, kept = d.Of("late.1")
	is.True(kept)
}
