package quota

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumsaddle/core/ident"
)

// recoveryWait is how long a router of the model waits for the reports of others.
const recoveryWait = 4 * time.Second

// rewindSafeguards are the safeguards of a rewind that the model can switch off.
type rewindSafeguards struct {
	// report writes back what a router knows, known includes the newest ledger in it, and freeze grants nothing until all have
	// reported. reserve sets aside what lost VMs may have been granted, and lostVMs counts VMs whose process is new as lost.
	report, known, freeze, reserve, lostVMs bool
	// eraOfAllowances ignores allowances from before the rewind. raises reserves what the operator writes again.
	eraOfAllowances, raises bool
}

var allRewindSafeguards = rewindSafeguards{true, true, true, true, true, true, true}

// rewindFleet is a fleet whose store goes back.
type rewindFleet struct {
	*testFleet
	safe     rewindSafeguards
	era      ident.Era
	past     []testStore
	memories map[ident.RouterID]*Memory
	// heard is when each router first saw each era.
	heard map[string]time.Duration
	// writtenAgain is when the operator writes again what the store has lost.
	writtenAgain time.Duration
}

// configName is the object with the total that the organisation has paid for.
const configName = "config"

// putTotal writes the total that the organisation has paid for.
func (f *rewindFleet) putTotal() {
	f.store.write(configName, f.store.versions[configName], []byte(strconv.FormatInt(int64(f.total), 10)))
}

func (f *rewindFleet) storedTotal() ident.Tokens {
	n, _ := strconv.ParseInt(string(f.store.values[configName]), 10, 64)
	return ident.Tokens(n)
}

// raise raises the total.
func (f *rewindFleet) raise(n ident.Tokens) {
	f.total += n
	f.putTotal()
}

// configure lets a router read the total. An older one never replaces a newer one.
func (f *rewindFleet) configure(v *testVM) {
	if f.clock >= f.writtenAgain && f.storedTotal() < f.total {
		f.putTotal()
	}
	if r := v.router; !r.cut {
		r.accounts.SetTotal(testOrg, max(f.storedTotal(), r.accounts.Balance(testOrg).Total))
	}
}

func newRewindFleet(t *rapid.T, safe rewindSafeguards) *rewindFleet {
	f := &rewindFleet{
		testFleet: newTestFleet(t), safe: safe, era: 1,
		memories: make(map[ident.RouterID]*Memory), heard: make(map[string]time.Duration),
	}
	f.putTotal()
	f.configured = f.storedTotal
	return f
}

// save remembers the state of the store, to which it can go back.
func (f *rewindFleet) save() {
	const kept = 30
	copied := testStore{versions: maps.Clone(f.store.versions), values: maps.Clone(f.store.values), next: f.store.next}
	f.past = append(f.past, copied)
	f.past = f.past[max(len(f.past)-kept, 0):]
}

// rewind makes the store go back. Writes that are under way may still arrive.
func (f *rewindFleet) rewind() {
	i := rapid.IntRange(0, len(f.past)-1).Draw(f.t, "copy")
	p := f.past[i]
	f.past = f.past[:i+1]
	f.store.versions, f.store.values, f.store.next = maps.Clone(p.versions), maps.Clone(p.values), p.next
	f.era++
}

func (f *rewindFleet) memoryOf(id ident.RouterID) *Memory {
	if f.memories[id] == nil {
		f.memories[id] = &Memory{}
	}
	return f.memories[id]
}

func (f *rewindFleet) reportOf(r *testRouter) Report {
	key := fmt.Sprint(r.id, f.era)
	if _, ok := f.heard[key]; !ok {
		f.heard[key] = f.clock
	}
	var vms []ident.VMID
	for _, v := range f.vms {
		vms = append(vms, v.id)
	}
	report, err := f.memoryOf(r.id).Complete(Report{Self: r.id, VM: ident.VMID(r.id.Name()), Era: f.era, Created: 1, VMs: vms, Expired: f.clock-f.heard[key] >= recoveryWait})
	if err != nil {
		f.t.Fatal(err)
	}
	if !f.safe.known {
		report.Known = nil
	}
	if !f.safe.lostVMs {
		report.KnowsVM = true
	}
	return report
}

func (f *rewindFleet) syncGrants(v *testVM) {
	r := v.router
	if r.cut {
		return
	}
	l := f.readLedger()
	if !f.safe.raises && l.Recovery != nil {
		l.Recovery.Totals = nil
	}
	from := f.store.versions["ledger"]
	report := f.reportOf(r)
	r.accounts.SetEra(f.era)
	if f.safe.report && l.NeedsReport(report) {
		l = r.accounts.PlanReport(0, l, report, v.now(f.clock))
		f.weaken(l)
	} else {
		f.closePredecessors(v, l)
		r.accounts.PlanGrants(0, l, v.now(f.clock))
	}
	l.Stamp(f.era)
	value := l.Encode()
	if ok, _ := f.write("ledger", from, value); ok {
		r.accounts.CommitGrants(0)
		f.memoryOf(r.id).Remember(value, f.era, !l.recovering())
	}
}

// weaken takes away what a safeguard that is switched off has put into a ledger.
func (f *rewindFleet) weaken(l *Ledger) {
	if !f.safe.freeze {
		l.Recovery.Settled, l.Recovery.Pending = true, nil
	}
	if !f.safe.reserve {
		l.Recovery.Reserve = nil
	}
}

func (f *rewindFleet) closePredecessors(v *testVM, l *Ledger) {
	r := v.router
	clocks := r.accounts.ClockUpperBounds(r.started.Uptime)
	for _, id := range l.Predecessors(v.id, r.id, 0) {
		allowances := f.readAllowances(id)
		if allowances != nil && !f.safe.eraOfAllowances {
			allowances.Era = f.era
		}
		l.CloseHolder(id, allowances, r.started, clocks)
	}
}

// claim sends a claim of a router to another one, which writes it. The claimant may not know of the latest rewind. Both
// writes and the answer may be lost.
func (f *rewindFleet) claim(v, writer *testVM) {
	if v == writer || writer.router.cut {
		return
	}
	r, w := v.router, writer.router
	c := r.accounts.PlanClaim(r.started, v.now(f.clock))
	l := f.readLedger()
	from := f.store.versions["ledger"]
	w.accounts.SetEra(f.era)
	if f.safe.report && l.NeedsReport(f.reportOf(w)) {
		r.accounts.AbortClaim()
		return
	}
	if !f.safe.raises && l.Recovery != nil {
		l.Recovery.Totals = nil
	}
	f.closePredecessors(v, l)
	now := writer.now(f.clock).Uptime
	w.accounts.ObserveLedger(0, l, now)
	grants, _ := w.accounts.ServeClaim(0, w.accounts.Divide(l, now), c)
	l.Stamp(f.era)
	value := l.Encode()
	out := &Outcome{}
	if ok, _ := f.write("ledger", from, value); ok {
		out.Grants = grants
		f.memoryOf(w.id).Remember(value, f.era, true)
	}
	name := "allowances/" + string(r.id)
	bounded := c.BoundedAllowances(out.Grants)
	stored, refused := f.write(name, f.store.versions[name], bounded.Encode())
	if out.AllowancesStored, out.AllowancesUnsent = stored, refused; stored {
		out.Allowances = bounded.Rows
	}
	if rapid.IntRange(0, 4).Draw(f.t, "answer") > 0 {
		r.accounts.CommitClaim(c, out, v.now(f.clock).Uptime)
	}
}

func (f *rewindFleet) request(v *testVM) {
	n := rapid.SampledFrom([]ident.Tokens{100, 300, 900}).Draw(f.t, "tokens")
	if v.router.accounts.Hold(testOrg, n, v.now(f.clock).Uptime).Verdict != Held {
		f.syncGrants(v)
		f.syncAllowances(v)
		if v.router.accounts.Hold(testOrg, n, v.now(f.clock).Uptime).Verdict != Held {
			return
		}
	}
	if rapid.Bool().Draw(f.t, "long") {
		v.router.holds = append(v.router.holds, n)
		return
	}
	f.settle(v, n)
}

// play runs random steps and reports whether more tokens were spent than prepaid.
func (f *rewindFleet) play(steps int) (overspent bool) {
	actions := f.actions()
	actions["request"] = func() { f.request(f.vm()) }
	actions["grants"] = func() { f.syncGrants(f.vm()) }
	actions["claim"] = func() { f.claim(f.vm(), f.vm()) }
	actions["rewind"] = f.rewind
	var names []string
	for name, weight := range map[string]int{"request": 14, "grants": 8, "allowances": 5, "time": 3, "settle": 3, "late": 1,
		"cut": 1, "kill": 1, "rewind": 1, "claim": 5} {
		names = append(names, slices.Repeat([]string{name}, weight)...)
	}
	slices.Sort(names)
	for range steps {
		f.save()
		actions[rapid.SampledFrom(names).Draw(f.t, "action")]()
		if f.spent > f.total {
			return true
		}
	}
	return false
}

// TestRewindNeverOverspends guards against tokens that are granted twice after the store has gone back, once or several
// times in a row, while writes are lost or late and routers are cut off or killed.
func TestRewindNeverOverspends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newRewindFleet(t, allRewindSafeguards)
		if f.play(rapid.IntRange(100, 300).Draw(t, "steps")) {
			t.Fatalf("%d of %d tokens are spent", f.spent, f.total)
		}
	})
}

// TestRewindSafeguardsAreNeeded guards against a model that would not notice the loss of a safeguard.
func TestRewindSafeguardsAreNeeded(t *testing.T) {
	const maxSeeds = 3000
	for _, tc := range []struct {
		name string
		// seed is one that has noticed the loss. It is tried first, because the search takes long.
		seed int
		off  func(*rewindSafeguards)
	}{
		{"report", 236, func(s *rewindSafeguards) { s.report = false }},
		{"known", 995, func(s *rewindSafeguards) { s.known = false }},
		{"freeze", 649, func(s *rewindSafeguards) { s.freeze = false }},
		{"reserve", 129, func(s *rewindSafeguards) { s.reserve = false }},
		{"lost VMs", 129, func(s *rewindSafeguards) { s.lostVMs = false }},
		{"era of allowances", 236, func(s *rewindSafeguards) { s.eraOfAllowances = false }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			safe := allRewindSafeguards
			tc.off(&safe)
			play := rapid.Custom(func(t *rapid.T) bool { return newRewindFleet(t, safe).play(200) })
			if play.Example(tc.seed) {
				return
			}
			for seed := range maxSeeds {
				if play.Example(seed) {
					t.Logf("noticed with seed %d", seed)
					return
				}
			}
			t.Errorf("not noticed with %d seeds", maxSeeds)
		})
	}
}

// playRaise raises the total and lets the routers spend some of it, takes the store back to before the change, with the loss of
// routers around that time, and plays random steps while the operator writes the change again. It may do so twice. It reports
// whether more tokens were spent than prepaid.
func (f *rewindFleet) playRaise() (overspent bool) {
	draw := func(name string, n int) int { return rapid.IntRange(0, n).Draw(f.t, name) }
	for _, v := range f.vms {
		f.syncGrants(v)
		f.syncAllowances(v)
	}
	for range 1 + draw("further_rewinds", 1) {
		f.past = nil
		f.save()
		f.raise(ident.Tokens(1+draw("raise", 3)) * 4_000)
		for _, v := range f.vms {
			f.configure(v)
		}
		f.steps(draw("steps_before", 120))
		f.rewind()
		f.writtenAgain = f.clock + time.Duration(draw("written_again_s", 8))*time.Second
		for range draw("kills", 2*len(f.vms)) {
			f.kill(f.vm(), false)
			f.steps(draw("steps_between", 5))
		}
		f.steps(120)
	}
	return f.spent > f.total
}

// steps plays random steps of requests, writes and reads of the configuration.
func (f *rewindFleet) steps(n int) {
	actions := f.actions()
	actions["request"] = func() { f.request(f.vm()) }
	actions["grants"] = func() { f.syncGrants(f.vm()) }
	actions["config"] = func() { f.configure(f.vm()) }
	names := []string{"request", "request", "request", "request", "grants", "grants", "allowances", "time", "settle", "config"}
	for range n {
		actions[rapid.SampledFrom(names).Draw(f.t, "action")]()
	}
}

// TestRaiseLostInRewind guards against tokens that are granted twice because the store has also lost the change that paid for
// them: those who were granted them are gone, and the change is written again later.
func TestRaiseLostInRewind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newRewindFleet(t, allRewindSafeguards)
		if f.playRaise() {
			t.Fatalf("%d of %d tokens are spent", f.spent, f.total)
		}
	})
}

// TestRaiseReserveIsNeeded guards against a model of lost changes that would not notice the loss of a safeguard.
func TestRaiseReserveIsNeeded(t *testing.T) {
	const maxSeeds = 3000
	for _, tc := range []struct {
		name string
		off  func(*rewindSafeguards)
	}{
		{"raises", func(s *rewindSafeguards) { s.raises = false }},
		{"reserve", func(s *rewindSafeguards) { s.reserve = false }},
		{"lost VMs", func(s *rewindSafeguards) { s.lostVMs = false }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			safe := allRewindSafeguards
			tc.off(&safe)
			play := rapid.Custom(func(t *rapid.T) bool { return newRewindFleet(t, safe).playRaise() })
			for seed := range maxSeeds {
				if play.Example(seed) {
					t.Logf("noticed with seed %d", seed)
					return
				}
			}
			t.Errorf("not noticed with %d seeds", maxSeeds)
		})
	}
}

// TestNewTokensAfterRewind guards against a reserve that takes what an organisation pays after the operator has had time to write
// again what was lost.
func TestNewTokensAfterRewind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newRewindFleet(t, allRewindSafeguards)
		f.playRaise()
		f.store.late = nil
		sync := func() {
			for _, v := range f.vms {
				v.router.cut = false
				f.configure(v)
				for range 20 { // some writes are lost
					f.syncGrants(v)
				}
			}
		}
		for range 4 {
			sync()
			f.clock += rewriteTime / 3
		}
		granted := f.readLedger().Granted(testOrg)
		f.raise(100_000)
		sync()
		if got := f.readLedger(); got.Reserved(testOrg) > granted || got.Recovery != nil && got.Recovery.Totals != nil {
			t.Fatalf("%d tokens are reserved, %d were granted before 100,000 more were paid", got.Reserved(testOrg), granted)
		}
	})
}

// TestReturnedTokensOfLostHolder guards against tokens that a lost holder returned in the lost time, that another lost one
// was granted, and that are granted once more when the first one reports late, stops, or is followed by another process.
func TestReturnedTokensOfLostHolder(t *testing.T) {
	const total = 1000
	newRouter := func(name ident.VMID, granted ident.Tokens) *Accounts {
		a := NewAccounts(Config{Self: ident.NewRouterID(string(name), 1), VM: name})
		a.SetTotal(testOrg, total)
		a.orgs[testOrg].granted = granted
		return a
	}
	reportOf := func(a *Accounts, expired bool) Report {
		return Report{Self: a.cfg.Self, VM: a.cfg.VM, Era: 2, Created: 1, KnowsVM: true, Expired: expired, VMs: []ident.VMID{"a", "b", "c"}}
	}
	// In the copy the first router has all tokens. It has returned half of them since, which the second one was granted.
	returning, granted, other := newRouter("a", total/2), newRouter("b", total/2), newRouter("c", 0)
	settled := func() *Ledger {
		l := NewLedger()
		l.Era, l.Seq = 1, 1
		l.Holders[returning.cfg.Self] = &Holder{VM: "a", Rows: map[ident.OrgID]Row{testOrg: {Granted: total}}}
		return other.PlanReport(0, l, reportOf(other, true), Moment{})
	}
	check := func(step string, l *Ledger) {
		t.Helper()
		if n := l.Granted(testOrg); n < total {
			t.Errorf("%s: %d of %d tokens are granted or reserved", step, n, total)
		}
	}
	l := settled()
	check("recovered", l)
	l = returning.PlanReport(0, l, reportOf(returning, true), Moment{})
	check("late report", l)
	l = granted.PlanReport(0, l, reportOf(granted, true), Moment{})
	check("both late reports", l)
	if row := l.Holders[granted.cfg.Self].Rows[testOrg]; row.Granted != total/2 {
		t.Errorf("the second router has %d tokens", row.Granted)
	}

	l = settled()
	l.CloseHolder(returning.cfg.Self, &Allowances{Format: Format, Era: 2, Sent: Moment{Boot: "x"}}, Moment{Boot: "x"}, nil)
	check("closed by a successor", l)
	l = settled()
	l.CloseDeparted(Departure{Router: returning.cfg.Self, Spent: map[ident.OrgID]ident.Tokens{testOrg: 1}})
	check("stopped", l)
	l = settled()
	claim := returning.PlanClaim(Moment{}, Moment{})
	if _, ok := other.ServeClaim(0, other.Divide(l, 0), claim); ok {
		t.Error("a claim was served before the report")
	}
}
