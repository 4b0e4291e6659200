package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
)

// claimSimulation simulates a fleet whose routers write through one another to a store that loses and delays writes.
// All VMs share one uptime.
type claimSimulation struct {
	t      *testing.T
	rng    *rand.Rand
	now    time.Duration
	total  ident.Tokens
	ledger *Ledger
	batch  *Batch
	vms    []*claimVM
	fleet  int
	// late holds unanswered writes that may still take effect, each with the ledger on which it is based.
	late []pendingWrite
	// queued holds claims that a slow writer has accepted and may still write.
	queued []func()
	// ended holds what each ended process had spent and reserved.
	ended map[ident.RouterID]ident.Tokens
	// spent is what all processes, including ended ones, have actually spent.
	spent ident.Tokens
}

type pendingWrite struct {
	from  string
	apply func()
}

type claimVM struct {
	id       ident.VMID
	epoch    uint64
	accounts *Accounts
	started  Moment
	held     []ident.Tokens
	spent    ident.Tokens
	answered map[ident.RouterID]time.Duration
}

const claimOrg ident.OrgID = "org"

func newClaimSimulation(t *testing.T, seed uint64, total ident.Tokens, vms int) *claimSimulation {
	w := &claimSimulation{t: t, rng: rand.New(rand.NewPCG(seed, 1)), total: total, now: time.Minute, ledger: NewLedger(), batch: NewBatch(),
		ended: make(map[ident.RouterID]ident.Tokens), fleet: vms}
	for i := range vms {
		vm := &claimVM{id: ident.VMID(fmt.Sprintf("vm%d", i))}
		w.vms = append(w.vms, vm)
		w.start(vm)
	}
	return w
}

func (w *claimSimulation) moment() Moment {
	return Moment{Boot: "boot", Uptime: w.now, Wall: w.now.Milliseconds()}
}

// start starts a new process of a VM.
func (w *claimSimulation) start(vm *claimVM) {
	vm.epoch++
	vm.started = w.moment()
	vm.held, vm.spent = nil, 0
	vm.answered = make(map[ident.RouterID]time.Duration)
	vm.accounts = NewAccounts(Config{
		Self: ident.NewRouterID(string(vm.id), vm.epoch), VM: vm.id, HoldOff: 1300 * time.Millisecond,
		SpareHorizon: 800 * time.Millisecond, GrantHorizon: 25 * time.Second, LowHorizon: 10 * time.Second, IdleShare: 0.4, LivenessTimeout: 15 * time.Second,
	})
	vm.accounts.SetTotal(claimOrg, w.total)
	vm.accounts.SetRouterCount(w.fleet)
	vm.accounts.SetStartVersion(ident.ObjectVersion(vm.epoch))
}

// writeOutcome is the fate of a simulated write or answer.
type writeOutcome int

const (
	succeeds writeOutcome = iota
	refused
	replyLost // applied, but without an answer
	delayed   // may be applied later unless the ledger has changed
	queued    // held by a slow writer
)

// claim sends a claim of one VM through another, its writer.
func (w *claimSimulation) claim(vm, writer *claimVM, ledgerFate, batchFate, answerFate writeOutcome) {
	a := vm.accounts
	c := a.PlanClaim(vm.started, w.moment())
	if ledgerFate == refused {
		a.AbortClaim()
		return
	}
	if at := writer.answered[c.Router]; at > 0 {
		c.SinceAnswer = w.now - at
	}
	writer.accounts.ObserveClaim(c, writer.answered[c.Router], w.now)
	if ledgerFate == queued {
		w.queued = append(w.queued, func() {
			l, grants := w.serve(c, writer)
			w.ledger = l
			w.batch.Put(c.Router, c.BoundedAllowances(grants))
		})
		return
	}
	l, grants := w.serve(c, writer)
	out := &Outcome{Grants: w.writeLedger(l, grants, ledgerFate), Clocks: writer.accounts.ClockLowerBounds(w.moment())}
	bounded := c.BoundedAllowances(out.Grants)
	out.AllowancesUnsent = batchFate == refused
	w.writeBatch(c.Router, bounded, batchFate)
	if batchFate == succeeds {
		out.AllowancesStored, out.Allowances = true, bounded.Rows
	}
	if answerFate == succeeds {
		writer.answered[c.Router] = w.now
		a.CommitClaim(c, out, w.now)
	}
}

// serve processes a claim like a writer, except for the write.
func (w *claimSimulation) serve(c *Claim, writer *claimVM) (*Ledger, map[ident.OrgID]Grant) {
	l := w.clone()
	writer.accounts.ObserveLedger(0, l, w.now)
	for _, id := range l.Predecessors(c.VM, c.Router, c.StartVersion) {
		e := l.CloseHolder(id, w.batch.Routers[id], c.Started, writer.accounts.ClockUpperBounds(c.Started.Uptime))
		if spent, ended := w.ended[id]; ended && e.Used < spent {
			w.t.Fatalf("%s counts as having spent %d tokens, not %d", id, e.Used, spent)
		}
	}
	grants, _ := writer.accounts.ServeClaim(0, writer.accounts.Divide(l, w.now), c)
	return l, grants
}

func (w *claimSimulation) clone() *Ledger {
	l, err := DecodeLedger(w.ledger.Encode())
	if err != nil {
		w.t.Fatal(err)
	}
	return l
}

func (w *claimSimulation) writeLedger(l *Ledger, grants map[ident.OrgID]Grant, f writeOutcome) map[ident.OrgID]Grant {
	switch f {
	case succeeds:
		w.ledger = l
		return grants
	case replyLost:
		w.ledger = l
	case delayed:
		w.late = append(w.late, pendingWrite{string(w.ledger.Encode()), func() { w.ledger = l }})
	}
	return nil
}

func (w *claimSimulation) writeBatch(id ident.RouterID, a *Allowances, f writeOutcome) {
	switch f {
	case succeeds, replyLost:
		w.batch.Put(id, a)
	case delayed, queued:
		w.late = append(w.late, pendingWrite{string(w.ledger.Encode()), func() { w.batch.Put(id, a) }})
	}
}

// applyLate applies some of the late writes whose condition still holds and some of the queued claims, and drops the
// others.
func (w *claimSimulation) applyLate() {
	for _, l := range w.late {
		if w.rng.IntN(2) == 0 && l.from == string(w.ledger.Encode()) {
			l.apply()
		}
	}
	w.late = w.late[:0]
	for _, write := range w.queued {
		if w.rng.IntN(2) == 0 {
			write()
		}
	}
	w.queued = w.queued[:0]
}

// serveRequests reserves and settles the tokens of random requests on a VM.
func (w *claimSimulation) serveRequests(vm *claimVM) {
	for range w.rng.IntN(4) {
		n := ident.Tokens(1 + w.rng.IntN(3000))
		if vm.accounts.Hold(claimOrg, n, w.now).Verdict == Held {
			vm.held = append(vm.held, n)
		}
	}
	for len(vm.held) > 0 && w.rng.IntN(3) > 0 {
		n := vm.held[0]
		vm.held = vm.held[1:]
		used := ident.Tokens(w.rng.Int64N(int64(n) + 1))
		vm.accounts.Settle(claimOrg, n, used)
		vm.spent += used
		w.spent += used
	}
}

// crash ends a process and starts another. Whatever it held counts as used.
func (w *claimSimulation) crash(vm *claimVM) {
	for _, n := range vm.held {
		vm.spent += n
		w.spent += n
	}
	w.ended[vm.accounts.cfg.Self] = vm.spent
	w.now += time.Duration(w.rng.IntN(3000)) * time.Millisecond
	w.start(vm)
}

func (w *claimSimulation) check(step int) {
	w.t.Helper()
	if g := w.ledger.Granted(claimOrg); g > w.total {
		w.t.Fatalf("step %d: %d of %d tokens are granted", step, g, w.total)
	}
	held := ident.Tokens(0)
	for _, vm := range w.vms {
		for _, n := range vm.held {
			held += n
		}
		used := vm.accounts.orgs[claimOrg]
		if row := w.ledger.Holders[vm.accounts.cfg.Self]; used.spent+used.held > 0 && (row == nil || used.spent+used.held > row.Rows[claimOrg].Granted) {
			w.t.Fatalf("step %d: %s uses more than its row grants", step, vm.id)
		}
	}
	if w.spent+held > w.total {
		w.t.Fatalf("step %d: %d of %d tokens are spent", step, w.spent+held, w.total)
	}
}

// TestClaimsHoldBudget guards against granting or spending tokens twice and against returning tokens that a crashed
// router had spent, under random claims through two writers with lost, late and refused writes and answers, and
// crashes.
func TestClaimsHoldBudget(t *testing.T) {
	t.Parallel()
	const seeds, steps = 150, 400
	for seed := range uint64(seeds) {
		w := newClaimSimulation(t, seed, 400_000, 5)
		for step := range steps {
			w.now += time.Duration(w.rng.IntN(400)) * time.Millisecond
			vm := w.vms[w.rng.IntN(len(w.vms))]
			switch w.rng.IntN(20) {
			case 0:
				w.crash(vm)
			case 1:
				w.applyLate()
			default:
				w.serveRequests(vm)
			}
			writer := w.vms[w.rng.IntN(2)]
			w.claim(vm, writer, w.randomOutcome(), w.randomOutcome(), w.randomOutcome())
			w.check(step)
		}
	}
}

func (w *claimSimulation) randomOutcome() writeOutcome {
	if w.rng.IntN(3) > 0 {
		return succeeds
	}
	return writeOutcome(w.rng.IntN(5))
}

// TestClaimServes guards against a router that gets no tokens through a writer, or needs more than one claim for a
// waiting request.
func TestClaimServes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newClaimSimulation(t, 1, 1_000_000, 20)
	vm, writer := w.vms[3], w.vms[0]
	is.Equal(vm.accounts.ClaimUrgency(), StateChanged)
	w.claim(vm, writer, succeeds, succeeds, succeeds)
	is.Equal(vm.accounts.ClaimUrgency(), UpToDate)
	is.Equal(vm.accounts.Hold(claimOrg, 500, w.now).Verdict, Insufficient)
	is.Equal(vm.accounts.ClaimUrgency(), TokensLacking)
	w.claim(vm, writer, succeeds, succeeds, succeeds)
	is.Equal(vm.accounts.Hold(claimOrg, 500, w.now).Verdict, Held)
}

// newBusyClaimant returns a fleet in which one VM has sent claims for its requests for 4 s, that VM, and its writer.
func newBusyClaimant(t *testing.T) (w *claimSimulation, vm, writer *claimVM) {
	w = newClaimSimulation(t, 1, 1_000_000, 20)
	vm, writer = w.vms[3], w.vms[0]
	for range 20 {
		w.now += 200 * time.Millisecond
		vm.accounts.Hold(claimOrg, 500, w.now)
		w.claim(vm, writer, succeeds, succeeds, succeeds)
	}
	return w, vm, writer
}

// TestClaimRefused guards against a router whose bounds shrink while writers refuse its claims.
func TestClaimRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w, vm, writer := newBusyClaimant(t)
	before := vm.accounts.Balance(claimOrg)
	age := vm.accounts.Age(w.now)
	for range 20 {
		w.now += 200 * time.Millisecond
		w.claim(vm, writer, refused, succeeds, succeeds)
	}
	is.Equal(vm.accounts.Balance(claimOrg), before)
	is.Equal(vm.accounts.Age(w.now), age+4*time.Second)
}

// TestSurplusReturns guards against tokens that stay granted to a router without demand while requests of another wait.
func TestSurplusReturns(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newClaimSimulation(t, 1, 100_000, 3)
	rich, poor := w.vms[0], w.vms[1]
	for range 40 {
		w.now += 200 * time.Millisecond
		if rich.accounts.Hold(claimOrg, 1000, w.now).Verdict == Held {
			rich.accounts.Settle(claimOrg, 1000, 100)
		}
		w.claim(rich, rich, succeeds, succeeds, succeeds)
	}
	held := false
	for range 20 { // the demand moves to the other router
		w.now += 500 * time.Millisecond
		held = held || poor.accounts.Hold(claimOrg, 30_000, w.now).Verdict == Held
		w.claim(poor, rich, succeeds, succeeds, succeeds)
		w.claim(rich, rich, succeeds, succeeds, succeeds)
	}
	is.True(held)
}

// TestLeaveThroughWriter guards against unspent tokens that stay granted to a router that has stopped.
func TestLeaveThroughWriter(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newClaimSimulation(t, 1, 1_000_000, 20)
	vm, writer := w.vms[3], w.vms[0]
	vm.accounts.Hold(claimOrg, 500, w.now)
	w.claim(vm, writer, succeeds, succeeds, succeeds)
	is.Equal(vm.accounts.Hold(claimOrg, 500, w.now).Verdict, Held)
	vm.accounts.Settle(claimOrg, 500, 300)
	late := vm.accounts.PlanClaim(vm.started, w.moment())
	left, ok := vm.accounts.Leave()
	is.True(ok)
	c := PlanLeave(left, vm.started, w.moment())
	_, served := writer.accounts.ServeClaim(0, writer.accounts.Divide(w.ledger, w.now), c)
	is.True(served)
	is.Equal(w.ledger.Granted(claimOrg), ident.Tokens(300))
	// A claim that another writer serves late does not restore the rows.
	_, served = w.vms[1].accounts.ServeClaim(0, writer.accounts.Divide(w.ledger, w.now), late)
	is.True(!served)
	is.Equal(w.ledger.Granted(claimOrg), ident.Tokens(300))
	// The next process of the VM removes its predecessor's tombstone.
	w.start(vm)
	w.claim(vm, writer, succeeds, succeeds, succeeds)
	is.Equal(len(w.ledger.Holders), 1)
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
	w, vm, writer := newBusyClaimant(t)
	before := vm.accounts.Balance(claimOrg)
	age := vm.accounts.Age(w.now)
	for range 20 {
		w.now += 200 * time.Millisecond
		w.claim(vm, writer, delayed, refused, succeeds)
	}
	after := vm.accounts.Balance(claimOrg)
	is.Equal(after.Limit, before.Limit)
	is.Equal(after.Growth, before.Growth)
	is.Equal(vm.accounts.Age(w.now), age+4*time.Second)
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
			w := newClaimSimulation(t, 1, total, c.routers)
			for _, vm := range w.vms {
				w.claim(vm, w.vms[0], succeeds, succeeds, succeeds)
			}
			is.True(float64(w.ledger.Granted(claimOrg)) <= c.most*total)
		})
	}
}

// TestAgeAfterPowerLoss guards against a wrong age of allowances after a loss of power. An age that is too long by the
// interval of claims counts tokens as spent while the router was down; one that is too short lets tokens be spent
// twice.
func TestAgeAfterPowerLoss(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newClaimSimulation(t, 1, 1_000_000, 6)
	writer := w.vms[0]
	round := func() {
		for _, vm := range w.vms[1:] {
			w.now += 200 * time.Millisecond
			w.claim(vm, writer, succeeds, succeeds, succeeds)
		}
	}
	for range 10 {
		round()
	}
	lost := w.vms[5]
	sent := w.now
	const down = 1500 * time.Millisecond
	w.now += down
	started := Moment{Boot: "another boot", Uptime: 7 * time.Hour, Wall: w.now.Milliseconds()}
	start := w.now
	for range 2 {
		for _, vm := range w.vms[1:5] {
			w.now += 200 * time.Millisecond
			w.claim(vm, writer, succeeds, succeeds, succeeds)
		}
	}
	allowances := w.batch.Routers[lost.accounts.cfg.Self]
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
	w := newClaimSimulation(t, 1, 100_000, 20)
	w.ledger.Holders["other.1"] = &Holder{VM: "other", Writes: 1, Rows: map[ident.OrgID]Row{claimOrg: {Granted: 99_990}}}
	vm, writer := w.vms[3], w.vms[0]
	is.True(vm.accounts.Hold(claimOrg, 500, w.now).NextWriteMayCover) // nothing is known yet
	w.claim(vm, writer, succeeds, succeeds, succeeds)
	is.True(!vm.accounts.Hold(claimOrg, 500, w.now+unallottedFreshness).NextWriteMayCover)
	is.True(vm.accounts.Hold(claimOrg, 500, w.now+unallottedFreshness+1).NextWriteMayCover)
}
