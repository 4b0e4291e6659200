package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"geraniumsaddle/core/ident"
)

// claimSimulation simulates a fleet whose routers write through one another to a store that loses and delays writes.
// All VMs share one uptime.
type claimSimulation struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Duration
	total   ident.Tokens
	ledger  *Ledger
	batch   *Batch
	vms     []*claimVM
	vmCount int
	// late holds unanswered writes that may still take effect if the ledger has not changed.
	late []pendingWrite
	// queued holds claims that a slow writer has accepted and may still write.
	queued []func()
	// ended holds what each ended process had spent and reserved.
	ended map[ident.RouterID]ident.Tokens
	// spent is what all processes, including ended ones, have actually spent.
	spent ident.Tokens
	// returnedSpent counts the closed holders of which tokens were returned that they had spent.
	returnedSpent int
}

// pendingWrite is a write that takes effect only if the ledger still has the encoding base.
type pendingWrite struct {
	base  string
	apply func()
}

type claimVM struct {
	id       ident.VMID
	starts   uint64
	accounts *Accounts
	started  Moment
	held     []ident.Tokens
	spent    ident.Tokens
	answered map[ident.RouterID]time.Duration
	// departures are what this process keeps of others.
	departures *Departures
}

const claimOrg ident.OrgID = "org"

func newClaimSimulation(t *testing.T, seed uint64, total ident.Tokens, vms int) *claimSimulation {
	s := &claimSimulation{t: t, rng: rand.New(rand.NewPCG(seed, 1)), total: total, now: time.Minute, ledger: NewLedger(), batch: NewBatch(),
		ended: make(map[ident.RouterID]ident.Tokens), vmCount: vms}
	for i := range vms {
		vm := &claimVM{id: ident.VMID(fmt.Sprintf("vm%d", i))}
		s.vms = append(s.vms, vm)
		s.start(vm)
	}
	return s
}

func (s *claimSimulation) moment() Moment {
	return Moment{Boot: "boot", Uptime: s.now, Wall: s.now.Milliseconds()}
}

// start starts a new process of a VM.
func (s *claimSimulation) start(vm *claimVM) {
	vm.starts++
	vm.started = s.moment()
	vm.held, vm.spent = nil, 0
	vm.answered = make(map[ident.RouterID]time.Duration)
	vm.departures = NewDepartures()
	vm.accounts = NewAccounts(Config{
		Self: ident.NewRouterID(string(vm.id), vm.starts), VM: vm.id, HoldOff: 1300 * time.Millisecond,
		SpareHorizon: 800 * time.Millisecond, GrantHorizon: 25 * time.Second, LowHorizon: 10 * time.Second, IdleShare: 0.4, LivenessTimeout: 15 * time.Second,
	})
	vm.accounts.SetTotal(claimOrg, s.total)
	vm.accounts.SetRouterCount(s.vmCount)
	vm.accounts.SetStartVersion(ident.ObjectVersion(vm.starts))
}

// writeOutcome is the result of a simulated write or answer.
type writeOutcome int

const (
	succeeds writeOutcome = iota
	refused
	replyLost // applied, but without an answer
	delayed   // may be applied later unless the ledger has changed
	queued    // held by a slow writer
)

// claim sends a claim of one VM through another, its writer.
func (s *claimSimulation) claim(vm, writer *claimVM, ledgerOutcome, batchOutcome, answerOutcome writeOutcome) {
	a := vm.accounts
	c := a.PlanClaim(vm.started, s.moment())
	if ledgerOutcome == refused {
		a.AbortClaim()
		return
	}
	if at := writer.answered[c.Router]; at > 0 {
		c.SinceAnswer = s.now - at
	}
	writer.accounts.ObserveClaim(c, writer.answered[c.Router], s.now)
	if ledgerOutcome == queued {
		s.queued = append(s.queued, func() {
			l, grants := s.serve(c, writer)
			s.ledger = l
			s.batch.Put(c.Router, c.BoundedAllowances(grants))
		})
		return
	}
	l, grants := s.serve(c, writer)
	out := &Outcome{Grants: s.writeLedger(l, grants, ledgerOutcome), Clocks: writer.accounts.ClockLowerBounds(s.moment())}
	bounded := c.BoundedAllowances(out.Grants)
	out.AllowancesUnsent = batchOutcome == refused
	s.writeBatch(c.Router, bounded, batchOutcome)
	if batchOutcome == succeeds {
		out.AllowancesStored, out.Allowances = true, bounded.Rows
	}
	if answerOutcome == succeeds {
		writer.answered[c.Router] = s.now
		a.CommitClaim(c, out, s.now)
	}
}

// serve processes a claim as a writer does, without writing the ledger.
func (s *claimSimulation) serve(c *Claim, writer *claimVM) (*Ledger, map[ident.OrgID]Grant) {
	l := s.clone()
	writer.accounts.ObserveLedger(0, l, s.now)
	for _, id := range l.Predecessors(c.VM, c.Router, c.StartVersion) {
		if departure, ok := writer.departures.Of(id); ok {
			s.closeDeparted(l, departure)
			continue
		}
		e := l.CloseHolder(id, s.batch.Routers[id], c.Started, writer.accounts.ClockUpperBounds(c.Started.Uptime))
		if spent, ended := s.ended[id]; ended && e.Used < spent {
			s.t.Fatalf("%d tokens of %s are counted as spent, but it spent %d", e.Used, id, spent)
		}
	}
	grants, _ := writer.accounts.ServeClaim(0, writer.accounts.Divide(l, s.now), c)
	return l, grants
}

func (s *claimSimulation) clone() *Ledger {
	l, err := DecodeLedger(s.ledger.Encode())
	if err != nil {
		s.t.Fatal(err)
	}
	return l
}

func (s *claimSimulation) writeLedger(l *Ledger, grants map[ident.OrgID]Grant, outcome writeOutcome) map[ident.OrgID]Grant {
	switch outcome {
	case succeeds:
		s.ledger = l
		return grants
	case replyLost:
		s.ledger = l
	case delayed:
		s.late = append(s.late, pendingWrite{string(s.ledger.Encode()), func() { s.ledger = l }})
	}
	return nil
}

func (s *claimSimulation) writeBatch(id ident.RouterID, a *Allowances, outcome writeOutcome) {
	switch outcome {
	case succeeds, replyLost:
		s.batch.Put(id, a)
	case delayed, queued:
		s.late = append(s.late, pendingWrite{string(s.ledger.Encode()), func() { s.batch.Put(id, a) }})
	}
}

// applyLate applies some of the late writes whose condition still holds and some of the queued claims, and drops the
// others.
func (s *claimSimulation) applyLate() {
	for _, l := range s.late {
		if s.rng.IntN(2) == 0 && l.base == string(s.ledger.Encode()) {
			l.apply()
		}
	}
	s.late = s.late[:0]
	for _, write := range s.queued {
		if s.rng.IntN(2) == 0 {
			write()
		}
	}
	s.queued = s.queued[:0]
}

// serveRequests reserves and settles the tokens of random requests on a VM.
func (s *claimSimulation) serveRequests(vm *claimVM) {
	for range s.rng.IntN(4) {
		n := ident.Tokens(1 + s.rng.IntN(3000))
		if vm.accounts.Hold(claimOrg, n, s.now).Verdict == Held {
			vm.held = append(vm.held, n)
		}
	}
	for len(vm.held) > 0 && s.rng.IntN(3) > 0 {
		n := vm.held[0]
		vm.held = vm.held[1:]
		used := ident.Tokens(s.rng.Int64N(int64(n) + 1))
		vm.accounts.Settle(claimOrg, n, used)
		vm.spent += used
		s.spent += used
	}
}

// crash ends a process and starts another. Tokens that it held count as spent.
func (s *claimSimulation) crash(vm *claimVM) {
	for _, n := range vm.held {
		vm.spent += n
		s.spent += n
	}
	s.ended[vm.accounts.cfg.Self] = vm.spent
	s.now += time.Duration(s.rng.IntN(3000)) * time.Millisecond
	s.start(vm)
}

// checkBounds fails the test if the ledger or the VMs exceed what was paid, or a VM exceeds its grant.
func (s *claimSimulation) checkBounds(step int) {
	s.t.Helper()
	if g := s.ledger.Granted(claimOrg); g > s.total {
		s.t.Fatalf("step %d: %d of %d tokens are granted", step, g, s.total)
	}
	held := ident.Tokens(0)
	for _, vm := range s.vms {
		for _, n := range vm.held {
			held += n
		}
		used := vm.accounts.orgs[claimOrg]
		if row := s.ledger.Holders[vm.accounts.cfg.Self]; used.spent+used.held > 0 && (row == nil || used.spent+used.held > row.Rows[claimOrg].Granted) {
			s.t.Fatalf("step %d: %s uses more than its row grants", step, vm.id)
		}
	}
	if s.spent+held > s.total {
		s.t.Fatalf("step %d: %d of %d tokens are spent", step, s.spent+held, s.total)
	}
}

func (s *claimSimulation) randomOutcome() writeOutcome {
	if s.rng.IntN(3) > 0 {
		return succeeds
	}
	return writeOutcome(s.rng.IntN(5))
}
