package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
)

// lossSimulation plays routers that write their own rows and all lose power together, some times.
type lossSimulation struct {
	now    time.Duration
	boots  int
	total  ident.Tokens
	ledger *Ledger
	stored map[ident.RouterID]*Allowances
	vms    []*claimVM
	// spent is what all processes have spent.
	spent            ident.Tokens
	requests, served int
}

func newLossSimulation(routers int, total ident.Tokens) *lossSimulation {
	s := &lossSimulation{now: time.Minute, total: total, ledger: NewLedger(), stored: make(map[ident.RouterID]*Allowances)}
	for i := range routers {
		s.vms = append(s.vms, &claimVM{id: ident.VMID(fmt.Sprint("vm", i))})
	}
	s.boot()
	return s
}

func (s *lossSimulation) moment() Moment {
	return Moment{Boot: fmt.Sprint(s.boots), Uptime: s.now, Wall: s.now.Milliseconds()}
}

// boot starts all VMs and their processes.
func (s *lossSimulation) boot() {
	s.boots++
	for _, vm := range s.vms {
		vm.starts++
		vm.started = s.moment()
		vm.accounts = NewAccounts(Config{Self: ident.NewRouterID(string(vm.id), vm.starts), VM: vm.id,
			HoldOff: 1300 * time.Millisecond, SpareHorizon: 800 * time.Millisecond, GrantHorizon: 25 * time.Second,
			LowHorizon: 10 * time.Second, IdleShare: 0.4, LivenessTimeout: 15 * time.Second})
		vm.accounts.SetTotal(claimOrg, s.total)
		vm.accounts.SetRouterCount(len(s.vms))
		vm.accounts.SetStartVersion(ident.ObjectVersion(vm.starts))
	}
}

// sync writes the rows and the allowances of a router.
func (s *lossSimulation) sync(vm *claimVM) {
	a := vm.accounts
	a.ObserveLedger(0, s.ledger, s.now)
	clocks := a.ClockUpperBounds(vm.started.Uptime)
	for _, id := range s.ledger.Predecessors(vm.id, a.cfg.Self, ident.ObjectVersion(vm.starts)) {
		if stored := s.stored[id]; stored.AgeKnown(vm.id, vm.started, clocks) {
			s.ledger.CloseHolder(id, stored, vm.started, clocks)
		}
	}
	a.PlanGrants(0, s.ledger, s.moment())
	a.CommitGrants(0)
	s.stored[a.cfg.Self] = a.PlanAllowances(s.moment())
	a.CommitAllowances()
}

// serve plays requests of some tokens each at all routers, with a write of each router in each half second.
func (s *lossSimulation) serve(d time.Duration, size ident.Tokens, every time.Duration) {
	const step = 50 * time.Millisecond
	for end := s.now + d; s.now < end; s.now += step {
		for i, vm := range s.vms {
			if (s.now/step+time.Duration(i))%10 == 0 {
				s.sync(vm)
			}
			if (s.now/step+time.Duration(i))%(every/step) == 0 {
				s.request(vm, size)
			}
		}
	}
}

// request plays a request, which waits for a write if it finds too few tokens.
func (s *lossSimulation) request(vm *claimVM, size ident.Tokens) {
	s.requests++
	for range 3 {
		if vm.accounts.Hold(claimOrg, size, s.now).Verdict == Held {
			vm.accounts.Settle(claimOrg, size, size)
			s.spent += size
			s.served++
			return
		}
		s.sync(vm)
	}
}

// TestPowerLosses guards against losses of power that make a large part of an organisation's tokens unusable: what
// crashed routers may have spent counts as spent, so that the allowances have to shrink when that is much.
func TestPowerLosses(t *testing.T) {
	is := is.New(t)
	const routers, losses, total, size = 9, 6, 2_000_000, 500
	s := newLossSimulation(routers, total)
	for range losses {
		s.serve(8*time.Second, size, 250*time.Millisecond)
		s.now += 1200 * time.Millisecond
		s.boot()
	}
	s.serve(8*time.Second, size, 250*time.Millisecond)
	lost := s.ledger.Closed[claimOrg]
	for _, h := range s.ledger.Holders {
		lost += h.Rows[claimOrg].Spent
	}
	lost -= s.spent
	t.Logf("lost %d of %d tokens, %d spent; %d of %d requests served", lost, total, s.spent, s.served, s.requests)
	is.True(s.spent <= total)
	// The first loss may cost spareShare, and each further one minSpareFactor of that.
	is.True(float64(lost) <= spareShare*(1+(losses-1)*minSpareFactor)*total)
}
