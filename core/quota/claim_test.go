package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
)

// claimWorld is a fleet whose routers write through one another, with a store that loses and delays writes. All uptimes
// are those of one clock.
type claimWorld struct {
	t      *testing.T
	rng    *rand.Rand
	now    time.Duration
	total  ident.Tokens
	ledger *Ledger
	batch  *Batch
	vms    []*claimVM
	fleet  int
	// late are writes without an answer that may still take effect, each with the ledger that it was made from.
	late []pendingWrite
	// queued are claims that a slow writer holds and may still write.
	queued []func()
	// ended is what processes that have ended had spent and held.
	ended map[ident.RouterID]ident.Tokens
	// spent is what processes have spent in fact, also those that have ended.
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

func newClaimWorld(t *testing.T, seed uint64, total ident.Tokens, vms int) *claimWorld {
	w := &claimWorld{t: t, rng: rand.New(rand.NewPCG(seed, 1)), total: total, now: time.Minute, ledger: NewLedger(), batch: NewBatch(),
		ended: make(map[ident.RouterID]ident.Tokens), fleet: vms}
	for i := range vms {
		vm := &claimVM{id: ident.VMID(fmt.Sprintf("vm%d", i))}
		w.vms = append(w.vms, vm)
		w.start(vm)
	}
	return w
}

func (w *claimWorld) moment() Moment {
	return Moment{Boot: "boot", Uptime: w.now, Wall: w.now.Milliseconds()}
}

// start starts a new process of a VM.
func (w *claimWorld) start(vm *claimVM) {
	vm.epoch++
	vm.started = w.moment()
	vm.held, vm.spent = nil, 0
	vm.answered = make(map[ident.RouterID]time.Duration)
	vm.accounts = New(Config{
		Self: ident.NewRouterID(string(vm.id), vm.epoch), VM: vm.id, HoldOff: 1300 * time.Millisecond,
		SpareHorizon: 800 * time.Millisecond, GrantHorizon: 25 * time.Second, LowHorizon: 10 * time.Second, IdleShare: 0.4, LivenessTimeout: 15 * time.Second,
	})
	vm.accounts.SetTotal(claimOrg, w.total)
	vm.accounts.SetRouterCount(w.fleet)
	vm.accounts.SetStart(ident.ObjectVersion(vm.epoch))
}

// fate is what becomes of a write.
type fate int

const (
	works fate = iota
	refused
	lost    // takes effect without an answer
	delayed // may take effect later, if nobody has written meanwhile
	queued  // waits at a slow writer
)

// claim sends a claim of one VM through another one.
func (w *claimWorld) claim(vm, by *claimVM, ledgerFate, batchFate, answerFate fate) {
	a := vm.accounts
	c := a.PlanClaim(vm.started, w.moment())
	if ledgerFate == refused {
		a.AbortClaim()
		return
	}
	if at := by.answered[c.Router]; at > 0 {
		c.SinceAnswer = w.now - at
	}
	by.accounts.ObserveClaim(c, by.answered[c.Router], w.now)
	if ledgerFate == queued {
		w.queued = append(w.queued, func() {
			l, grants := w.serve(c, by)
			w.ledger = l
			w.batch.Put(c.Router, c.Bounded(grants))
		})
		return
	}
	l, grants := w.serve(c, by)
	out := &Outcome{Grants: w.writeLedger(l, grants, ledgerFate), Clocks: by.accounts.ClockLowerBounds(w.moment())}
	bounded := c.Bounded(out.Grants)
	out.AllowancesUnsent = batchFate == refused
	w.writeBatch(c.Router, bounded, batchFate)
	if batchFate == works {
		out.AllowancesStored, out.Allowances = true, bounded.Rows
	}
	if answerFate == works {
		by.answered[c.Router] = w.now
		a.CommitClaim(c, out, w.now)
	}
}

// serve does what a writer does with a claim, up to the write.
func (w *claimWorld) serve(c *Claim, by *claimVM) (*Ledger, map[ident.OrgID]Grant) {
	l := w.clone()
	by.accounts.Observe(0, l, w.now)
	for _, id := range l.Predecessors(c.VM, c.Router, c.Start) {
		e := l.CloseHolder(id, w.batch.Routers[id], c.Started, by.accounts.ClockUpperBounds(c.Started.Uptime))
		if spent, ended := w.ended[id]; ended && e.Used < spent {
			w.t.Fatalf("%s counts as having spent %d tokens, not %d", id, e.Used, spent)
		}
	}
	grants, _ := by.accounts.Serve(0, by.accounts.Divide(l, w.now), c)
	return l, grants
}

func (w *claimWorld) clone() *Ledger {
	l, err := Decode(w.ledger.Encode())
	if err != nil {
		w.t.Fatal(err)
	}
	return l
}

func (w *claimWorld) writeLedger(l *Ledger, grants map[ident.OrgID]Grant, f fate) map[ident.OrgID]Grant {
	switch f {
	case works:
		w.ledger = l
		return grants
	case lost:
		w.ledger = l
	case delayed:
		w.late = append(w.late, pendingWrite{string(w.ledger.Encode()), func() { w.ledger = l }})
	}
	return nil
}

func (w *claimWorld) writeBatch(id ident.RouterID, a *Allowances, f fate) {
	switch f {
	case works, lost:
		w.batch.Put(id, a)
	case delayed, queued:
		w.late = append(w.late, pendingWrite{string(w.ledger.Encode()), func() { w.batch.Put(id, a) }})
	}
}

// arrive lets late writes take effect whose condition still holds.
func (w *claimWorld) arrive() {
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

// work lets a VM serve requests.
func (w *claimWorld) work(vm *claimVM) {
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

// crash ends a process. What it held may have been used whole.
func (w *claimWorld) crash(vm *claimVM) {
	for _, n := range vm.held {
		vm.spent += n
		w.spent += n
	}
	w.ended[vm.accounts.cfg.Self] = vm.spent
	w.now += time.Duration(w.rng.IntN(3000)) * time.Millisecond
	w.start(vm)
}

func (w *claimWorld) check(step int) {
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

// TestClaimsHoldBudget plays random claims with lost, late and refused writes and answers, two writers and crashes. It
// guards against tokens that are granted or spent twice, and against a return of tokens that a crashed router had spent.
func TestClaimsHoldBudget(t *testing.T) {
	t.Parallel()
	const seeds, steps = 150, 400
	for seed := range uint64(seeds) {
		w := newClaimWorld(t, seed, 400_000, 5)
		for step := range steps {
			w.now += time.Duration(w.rng.IntN(400)) * time.Millisecond
			vm := w.vms[w.rng.IntN(len(w.vms))]
			switch w.rng.IntN(20) {
			case 0:
				w.crash(vm)
			case 1:
				w.arrive()
			default:
				w.work(vm)
			}
			by := w.vms[w.rng.IntN(2)]
			w.claim(vm, by, w.fate(), w.fate(), w.fate())
			w.check(step)
		}
	}
}

func (w *claimWorld) fate() fate {
	if w.rng.IntN(3) > 0 {
		return works
	}
	return fate(w.rng.IntN(5))
}

// TestClaimServes guards against a router that gets no tokens through a writer, or needs more than one claim for a request
// that waits.
func TestClaimServes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newClaimWorld(t, 1, 1_000_000, 20)
	vm, by := w.vms[3], w.vms[0]
	is.Equal(vm.accounts.ClaimUrgency(), Changed)
	w.claim(vm, by, works, works, works)
	is.Equal(vm.accounts.ClaimUrgency(), UpToDate)
	is.Equal(vm.accounts.Hold(claimOrg, 500, w.now).Verdict, Insufficient)
	is.Equal(vm.accounts.ClaimUrgency(), Lacking)
	w.claim(vm, by, works, works, works)
	is.Equal(vm.accounts.Hold(claimOrg, 500, w.now).Verdict, Held)
}

// newBusyClaimant returns a fleet in which one VM has claimed for its requests for some seconds, that VM, and its writer.
func newBusyClaimant(t *testing.T) (w *claimWorld, vm, by *claimVM) {
	w = newClaimWorld(t, 1, 1_000_000, 20)
	vm, by = w.vms[3], w.vms[0]
	for range 20 {
		w.now += 200 * time.Millisecond
		vm.accounts.Hold(claimOrg, 500, w.now)
		w.claim(vm, by, works, works, works)
	}
	return w, vm, by
}

// TestClaimRefused guards against a router that spends less and less while writers refuse its claims.
func TestClaimRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w, vm, by := newBusyClaimant(t)
	before := vm.accounts.Balance(claimOrg)
	age := vm.accounts.Age(w.now)
	for range 20 {
		w.now += 200 * time.Millisecond
		w.claim(vm, by, refused, works, works)
	}
	is.Equal(vm.accounts.Balance(claimOrg), before)
	is.Equal(vm.accounts.Age(w.now), age+4*time.Second)
}

// TestSurplusReturns guards against tokens that stay with a router without demand while requests wait elsewhere.
func TestSurplusReturns(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newClaimWorld(t, 1, 100_000, 3)
	rich, poor := w.vms[0], w.vms[1]
	for range 40 {
		w.now += 200 * time.Millisecond
		if rich.accounts.Hold(claimOrg, 1000, w.now).Verdict == Held {
			rich.accounts.Settle(claimOrg, 1000, 100)
		}
		w.claim(rich, rich, works, works, works)
	}
	held := false
	for range 20 { // the demand moves
		w.now += 500 * time.Millisecond
		held = held || poor.accounts.Hold(claimOrg, 30_000, w.now).Verdict == Held
		w.claim(poor, rich, works, works, works)
		w.claim(rich, rich, works, works, works)
	}
	is.True(held)
}

// TestLeaveThroughWriter guards against tokens that stay taken when a router stops.
func TestLeaveThroughWriter(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newClaimWorld(t, 1, 1_000_000, 20)
	vm, by := w.vms[3], w.vms[0]
	vm.accounts.Hold(claimOrg, 500, w.now)
	w.claim(vm, by, works, works, works)
	is.Equal(vm.accounts.Hold(claimOrg, 500, w.now).Verdict, Held)
	vm.accounts.Settle(claimOrg, 500, 300)
	late := vm.accounts.PlanClaim(vm.started, w.moment())
	left, ok := vm.accounts.Leave()
	is.True(ok)
	c := PlanLeave(left, vm.started, w.moment())
	_, served := by.accounts.Serve(0, by.accounts.Divide(w.ledger, w.now), c)
	is.True(served)
	is.Equal(w.ledger.Granted(claimOrg), ident.Tokens(300))
	// A claim that another writer still holds brings nothing back.
	_, served = w.vms[1].accounts.Serve(0, by.accounts.Divide(w.ledger, w.now), late)
	is.True(!served)
	is.Equal(w.ledger.Granted(claimOrg), ident.Tokens(300))
	// The next process of the VM starts without its predecessor's holder.
	w.start(vm)
	w.claim(vm, by, works, works, works)
	is.Equal(len(w.ledger.Holders), 1)
}

// TestBatch guards against allowances that an older write puts back, and a batch that grows with each restart.
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
	is.Equal(len(b.Routers), mostPerVM+1)
	is.True(b.Routers["vm.11"] != nil)
	got, err := DecodeBatch(b.Encode())
	is.NoErr(err)
	is.Equal(got, b)
	for _, bad := range []string{"", `{"format":2}`, `{"format":1,"routers":{"a.1":null}}`} {
		_, err := DecodeBatch([]byte(bad))
		is.True(err != nil)
	}
}

// TestUntouchedAllowances guards against a router that spends less after each claim whose writer could not reach the store.
func TestUntouchedAllowances(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w, vm, by := newBusyClaimant(t)
	before := vm.accounts.Balance(claimOrg)
	age := vm.accounts.Age(w.now)
	for range 20 {
		w.now += 200 * time.Millisecond
		w.claim(vm, by, delayed, refused, works)
	}
	after := vm.accounts.Balance(claimOrg)
	is.Equal(after.Limit, before.Limit)
	is.Equal(after.Growth, before.Growth)
	is.Equal(vm.accounts.Age(w.now), age+4*time.Second)
}

// TestIdleOfLargeFleet guards against tokens that a large fleet keeps for routers without demand while one with demand has
// too few to last an outage.
func TestIdleOfLargeFleet(t *testing.T) {
	t.Parallel()
	const total = 1_000_000
	for _, c := range []struct {
		routers int
		most    float64 // part of the total that all routers together keep
	}{{7, 0.41}, {24, 0.41}, {61, 0.16}, {300, 0.04}} {
		t.Run(fmt.Sprint(c.routers), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newClaimWorld(t, 1, total, c.routers)
			for _, vm := range w.vms {
				w.claim(vm, w.vms[0], works, works, works)
			}
			is.True(float64(w.ledger.Granted(claimOrg)) <= c.most*total)
		})
	}
}

// TestPowerLossIsDated guards against a loss of power that is dated as long as the claims are apart, so that a router counts
// as having spent for seconds in which it was down, or as too short, so that tokens are spent twice.
func TestPowerLossIsDated(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newClaimWorld(t, 1, 1_000_000, 6)
	by := w.vms[0]
	round := func() {
		for _, vm := range w.vms[1:] {
			w.now += 200 * time.Millisecond
			w.claim(vm, by, works, works, works)
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
			w.claim(vm, by, works, works, works)
		}
	}
	allowances := w.batch.Routers[lost.accounts.cfg.Self]
	age, ok := allowances.age(lost.id, started, by.accounts.ClockUpperBounds(start))
	is.True(ok)
	is.True(age >= start-sent)
	is.True(age <= start-sent+100*time.Millisecond)
}

// TestNearIsFresh guards against a request that is refused on old knowledge, when others may have returned tokens, and
// against one that waits although a write has just shown that nothing is unallotted.
func TestNearIsFresh(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newClaimWorld(t, 1, 100_000, 20)
	w.ledger.Holders["other.1"] = &Holder{VM: "other", Writes: 1, Rows: map[ident.OrgID]Row{claimOrg: {Granted: 99_990}}}
	vm, by := w.vms[3], w.vms[0]
	is.True(vm.accounts.Hold(claimOrg, 500, w.now).NextWriteMayCover) // nothing is known yet
	w.claim(vm, by, works, works, works)
	is.True(!vm.accounts.Hold(claimOrg, 500, w.now+freshFor).NextWriteMayCover)
	is.True(vm.accounts.Hold(claimOrg, 500, w.now+freshFor+1).NextWriteMayCover)
}
