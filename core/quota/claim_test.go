package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
)

// TestClaimsHoldBudget guards against granting or spending tokens twice and against returning tokens that a crashed
// router had spent, under random claims through two writers with lost, late and refused writes and answers, and
// crashes.
func TestClaimsHoldBudget(t *testing.T) {
	t.Parallel()
	const seeds, steps = 150, 400
	for seed := range uint64(seeds) {
		s := newClaimSimulation(t, seed, 400_000, 5)
		for step := range steps {
			s.now += time.Duration(s.rng.IntN(400)) * time.Millisecond
			vm := s.vms[s.rng.IntN(len(s.vms))]
			switch s.rng.IntN(20) {
			case 0:
				s.crash(vm)
			case 1:
				s.applyLate()
			default:
				s.serveRequests(vm)
			}
			writer := s.vms[s.rng.IntN(2)]
			s.claim(vm, writer, s.randomOutcome(), s.randomOutcome(), s.randomOutcome())
			s.checkBounds(step)
		}
	}
}

// TestClaimServes guards against a router that gets no tokens through a writer, or needs more than one claim for a
// waiting request.
func TestClaimServes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newClaimSimulation(t, 1, 1_000_000, 20)
	vm, writer := s.vms[3], s.vms[0]
	is.Equal(vm.accounts.ClaimUrgency(), StateChanged)
	s.claim(vm, writer, succeeds, succeeds, succeeds)
	is.Equal(vm.accounts.ClaimUrgency(), UpToDate)
	is.Equal(vm.accounts.Hold(claimOrg, 500, s.now).Verdict, Insufficient)
	is.Equal(vm.accounts.ClaimUrgency(), TokensLacking)
	s.claim(vm, writer, succeeds, succeeds, succeeds)
	is.Equal(vm.accounts.Hold(claimOrg, 500, s.now).Verdict, Held)
}

// newBusyClaimant returns a fleet in which one VM has sent claims for its requests for 4 s, that VM, and its writer.
func newBusyClaimant(t *testing.T) (s *claimSimulation, vm, writer *claimVM) {
	s = newClaimSimulation(t, 1, 1_000_000, 20)
	vm, writer = s.vms[3], s.vms[0]
	for range 20 {
		s.now += 200 * time.Millisecond
		vm.accounts.Hold(claimOrg, 500, s.now)
		s.claim(vm, writer, succeeds, succeeds, succeeds)
	}
	return s, vm, writer
}

// TestClaimRefused guards against a router whose bounds shrink while writers refuse its claims.
func TestClaimRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, vm, writer := newBusyClaimant(t)
	before := vm.accounts.Balance(claimOrg)
	age := vm.accounts.Age(s.now)
	for range 20 {
		s.now += 200 * time.Millisecond
		s.claim(vm, writer, refused, succeeds, succeeds)
	}
	is.Equal(vm.accounts.Balance(claimOrg), before)
	is.Equal(vm.accounts.Age(s.now), age+4*time.Second)
}

// TestSurplusReturns guards against tokens that stay granted to a router without demand while requests of another wait.
func TestSurplusReturns(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newClaimSimulation(t, 1, 100_000, 3)
	idle, busy := s.vms[0], s.vms[1]
	for range 40 {
		s.now += 200 * time.Millisecond
		if idle.accounts.Hold(claimOrg, 1000, s.now).Verdict == Held {
			idle.accounts.Settle(claimOrg, 1000, 100)
		}
		s.claim(idle, idle, succeeds, succeeds, succeeds)
	}
	held := false
	for range 20 { // the demand moves to the other router
		s.now += 500 * time.Millisecond
		held = held || busy.accounts.Hold(claimOrg, 30_000, s.now).Verdict == Held
		s.claim(busy, idle, succeeds, succeeds, succeeds)
		s.claim(idle, idle, succeeds, succeeds, succeeds)
	}
	is.True(held)
}

// TestLeaveThroughWriter guards against unspent tokens that stay granted to a router that has stopped.
func TestLeaveThroughWriter(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newClaimSimulation(t, 1, 1_000_000, 20)
	vm, writer := s.vms[3], s.vms[0]
	vm.accounts.Hold(claimOrg, 500, s.now)
	s.claim(vm, writer, succeeds, succeeds, succeeds)
	is.Equal(vm.accounts.Hold(claimOrg, 500, s.now).Verdict, Held)
	vm.accounts.Settle(claimOrg, 500, 300)
	late := vm.accounts.PlanClaim(vm.started, s.moment())
	left, ok := vm.accounts.Leave()
	is.True(ok)
	c := PlanLeave(left, vm.started, s.moment())
	_, served := writer.accounts.ServeClaim(0, writer.accounts.Divide(s.ledger, s.now), c)
	is.True(served)
	is.Equal(s.ledger.Granted(claimOrg), ident.Tokens(300))
	// A claim that another writer serves late does not restore the rows.
	_, served = s.vms[1].accounts.ServeClaim(0, writer.accounts.Divide(s.ledger, s.now), late)
	is.True(!served)
	is.Equal(s.ledger.Granted(claimOrg), ident.Tokens(300))
	// The next process of the VM removes its predecessor's tombstone.
	s.start(vm)
	s.claim(vm, writer, succeeds, succeeds, succeeds)
	is.Equal(len(s.ledger.Holders), 1)
}

// TestBatch guards against an older write that replaces newer allowances, and against a batch that grows with each
// restart.
func TestBatch(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := NewBatch()
	at := func(s int) *Allowances {
		return &Allowances{Format: Format, Sent: Moment{Uptime: time.Duration(s) * time.Second, Wall: int64(s) * 1000}}
	}
	is.True(b.Put("vm.1", at(5)))
	is.True(!b.Put("vm.1", at(4)))
	is.Equal(b.Routers["vm.1"].Sent.Uptime, 5*time.Second)
	for i := range 10 {
		is.True(b.Put(ident.NewRouterID("vm", uint64(i+2)), at(10+i)))
	}
	is.True(b.Put("other.1", at(1)))
	is.Equal(len(b.Routers), maxProcessesPerVM+1)
	is.True(b.Routers["vm.11"] != nil)
	got, err := DecodeBatch(b.Encode())
	is.NoErr(err)
	is.Equal(got, b)
	for _, bad := range []string{"", `{"format":2}`, `{"format":1,"routers":{"a.1":null}}`} {
		_, err := DecodeBatch([]byte(bad))
		is.True(err != nil)
	}
}

// TestUnsentAllowances guards against a router whose allowances shrink with each claim whose writer cannot reach the
// store.
func TestUnsentAllowances(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, vm, writer := newBusyClaimant(t)
	before := vm.accounts.Balance(claimOrg)
	age := vm.accounts.Age(s.now)
	for range 20 {
		s.now += 200 * time.Millisecond
		s.claim(vm, writer, delayed, refused, succeeds)
	}
	after := vm.accounts.Balance(claimOrg)
	is.Equal(after.Limit, before.Limit)
	is.Equal(after.Growth, before.Growth)
	is.Equal(vm.accounts.Age(s.now), age+4*time.Second)
}

// TestIdleOfLargeFleet guards against a large fleet that grants so many tokens without demand that a router with demand
// has too few to last through an outage.
func TestIdleOfLargeFleet(t *testing.T) {
	t.Parallel()
	const total = 1_000_000
	for _, c := range []struct {
		routers int
		most    float64 // fraction of the total that all routers together may be granted
	}{{7, 0.41}, {24, 0.41}, {61, 0.16}, {300, 0.04}} {
		t.Run(fmt.Sprint(c.routers), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newClaimSimulation(t, 1, total, c.routers)
			for _, vm := range s.vms {
				s.claim(vm, s.vms[0], succeeds, succeeds, succeeds)
			}
			is.True(float64(s.ledger.Granted(claimOrg)) <= c.most*total)
		})
	}
}

// TestAgeAfterPowerLoss guards against a wrong age of allowances after a loss of power. An age that is too long by the
// interval of claims counts tokens as spent while the router was down; one that is too short lets tokens be spent
// twice.
func TestAgeAfterPowerLoss(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newClaimSimulation(t, 1, 1_000_000, 6)
	writer := s.vms[0]
	round := func() {
		for _, vm := range s.vms[1:] {
			s.now += 200 * time.Millisecond
			s.claim(vm, writer, succeeds, succeeds, succeeds)
		}
	}
	for range 10 {
		round()
	}
	lost := s.vms[5]
	sent := s.now
	const down = 1500 * time.Millisecond
	s.now += down
	started := Moment{Boot: "another boot", Uptime: 7 * time.Hour, Wall: s.now.Milliseconds()}
	start := s.now
	for range 2 {
		for _, vm := range s.vms[1:5] {
			s.now += 200 * time.Millisecond
			s.claim(vm, writer, succeeds, succeeds, succeeds)
		}
	}
	allowances := s.batch.Routers[lost.accounts.cfg.Self]
	age, ok := allowances.age(lost.id, started, writer.accounts.ClockUpperBounds(start))
	is.True(ok)
	is.True(age >= start-sent)
	is.True(age <= start-sent+100*time.Millisecond)
}

// TestNextWriteMayCoverIsFresh guards against refusing a request on outdated knowledge when others may have returned
// tokens, and against letting one wait although a write has just shown that nothing is unallotted.
func TestNextWriteMayCoverIsFresh(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newClaimSimulation(t, 1, 100_000, 20)
	s.ledger.Holders["other.1"] = &Holder{VM: "other", Writes: 1, Rows: map[ident.OrgID]Row{claimOrg: {Granted: 99_990}}}
	vm, writer := s.vms[3], s.vms[0]
	is.True(vm.accounts.Hold(claimOrg, 500, s.now).NextWriteMayCover) // nothing is known yet
	s.claim(vm, writer, succeeds, succeeds, succeeds)
	is.True(!vm.accounts.Hold(claimOrg, 500, s.now+unallottedFreshness).NextWriteMayCover)
	is.True(vm.accounts.Hold(claimOrg, 500, s.now+unallottedFreshness+1).NextWriteMayCover)
}

// TestAgeAfterChangeOfWriter guards against the clocks of a router that writes for others for the first time: it knows
// some only from rows that were old when it first read the ledger, which makes allowances look older than they are.
func TestAgeAfterChangeOfWriter(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newClaimSimulation(t, 1, 1_000_000, 12)
	for _, vm := range s.vms {
		s.claim(vm, s.vms[0], succeeds, succeeds, succeeds)
	}
	s.now += 12 * time.Second // the store is away
	writer := s.vms[11]
	for range 3 {
		for _, vm := range s.vms[8:] {
			s.now += 200 * time.Millisecond
			s.claim(vm, writer, succeeds, succeeds, succeeds)
		}
	}
	lost, sent := s.vms[10], s.now-200*time.Millisecond
	s.now += 1500 * time.Millisecond
	start := s.now
	started := Moment{Boot: "another boot", Uptime: 7 * time.Hour, Wall: s.now.Milliseconds()}
	for range 2 {
		for _, vm := range s.vms[:10] {
			s.now += 50 * time.Millisecond
			s.claim(vm, writer, succeeds, succeeds, succeeds)
		}
	}
	age, ok := s.batch.Routers[lost.accounts.cfg.Self].age(lost.id, started, writer.accounts.ClockUpperBounds(start))
	is.True(ok)
	is.True(age >= start-sent)
	is.True(age <= start-sent+2*time.Second)
}
