package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
)

// TestTopUpOfHolder guards against a holder that claims the tokens of a top-up only when requests lack them: a store that
// is lost meanwhile would keep them from being spent.
func TestTopUpOfHolder(t *testing.T) {
	cases := []struct {
		name   string
		holder bool
		want   Urgency
	}{
		{"holder", true, TokensLow},
		{"another router", false, UpToDate},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newClaimSimulation(t, 1, 1000, 2)
			vm, writer := s.vms[0], s.vms[1]
			vm.accounts.SetHolders(claimOrg, 1, c.holder)
			for range 3 {
				s.claim(vm, writer, succeeds, succeeds, succeeds)
				s.now += time.Second
			}
			is.Equal(vm.accounts.ClaimUrgency(), UpToDate)
			is.Equal(vm.accounts.Unused(), !c.holder)
			vm.accounts.SetTotal(claimOrg, 2000)
			is.Equal(vm.accounts.ClaimUrgency(), c.want)
		})
	}
}

// TestHoldersDivideTokens guards against a holder whose part shrinks with the number of routers that hold nothing.
func TestHoldersDivideTokens(t *testing.T) {
	is := is.New(t)
	const total, routers, holders = 600_000, 60, 3
	s := newClaimSimulation(t, 1, total, routers)
	for round := range 3 {
		for i, vm := range s.vms {
			vm.accounts.SetHolders(claimOrg, holders, i < holders)
			vm.accounts.SetRouterCount(routers)
			if round == 0 || !vm.accounts.Unused() {
				s.claim(vm, s.vms[routers-1], succeeds, succeeds, succeeds)
			}
		}
		s.now += time.Second
	}
	for i, vm := range s.vms {
		granted := vm.accounts.Balance(claimOrg).Granted
		if i < holders {
			is.True(granted > total/20) // enough for the largest requests
		} else {
			is.Equal(granted, ident.Tokens(0))
		}
	}
}

// TestHolderServesFirstRequests guards against a holder whose allowance without demand covers none of the requests that
// arrive together when a fleet starts, which borrow from it and would all wait for a write.
func TestHolderServesFirstRequests(t *testing.T) {
	is := is.New(t)
	const total, holders, requests, size = 600_000, 6, 20, 40
	s := newClaimSimulation(t, 1, total, holders)
	for _, vm := range s.vms {
		vm.accounts.SetHolders(claimOrg, holders, true)
		vm.accounts.SetRouterCount(holders)
	}
	for range 3 {
		for _, vm := range s.vms {
			s.claim(vm, s.vms[0], succeeds, succeeds, succeeds)
		}
		s.now += time.Second
	}
	var limits ident.Tokens
	for _, vm := range s.vms {
		limits += vm.accounts.Balance(claimOrg).Limit
	}
	is.True(limits <= total/50) // what a crash of all holders strands
	for range requests {
		is.Equal(s.vms[1].accounts.TryHold(claimOrg, size, s.now).Verdict, Held)
	}
}

// TestStandInWithoutRequests guards against tokens that stay with a router that is no holder and was asked once in a
// holder's place: few requests ask it again.
func TestStandInWithoutRequests(t *testing.T) {
	is := is.New(t)
	const size = 500
	s := newClaimSimulation(t, 1, 600_000, 3)
	vm, writer := s.vms[0], s.vms[1]
	vm.accounts.SetHolders(claimOrg, 3, false)
	is.Equal(vm.accounts.TryHold(claimOrg, size, s.now).Verdict, Insufficient)
	s.claim(vm, writer, succeeds, succeeds, succeeds)
	is.Equal(vm.accounts.Balance(claimOrg).Granted, ident.Tokens(0))
	// A request that waits for tokens gets them.
	is.Equal(vm.accounts.Hold(claimOrg, size, s.now).Verdict, Insufficient)
	s.claim(vm, writer, succeeds, succeeds, succeeds)
	is.Equal(vm.accounts.Hold(claimOrg, size, s.now).Verdict, Held)
}
