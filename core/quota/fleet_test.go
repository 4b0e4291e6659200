package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumsaddle/core/ident"
)

const testOrg = ident.OrgID("org")

// testStore is an object store with conditional writes, some of which are applied late.
type testStore struct {
	versions map[string]uint64
	values   map[string][]byte
	next     uint64
	late     []lateWrite
}

// lateWrite is a write that takes effect only if the stored version is still the expected one.
type lateWrite struct {
	name     string
	expected uint64
	value    []byte
}

func newTestStore() *testStore {
	return &testStore{versions: make(map[string]uint64), values: make(map[string][]byte)}
}

func (s *testStore) write(name string, expected uint64, value []byte) bool {
	if s.versions[name] != expected {
		return false
	}
	s.next++
	s.versions[name], s.values[name] = s.next, value
	return true
}

// applyLate applies the first late write if its condition still holds.
func (s *testStore) applyLate() {
	if len(s.late) == 0 {
		return
	}
	w := s.late[0]
	s.late = s.late[1:]
	s.write(w.name, w.expected, w.value)
}

// testVM is a VM with its own boot, uptime and time of day. wallOffset shifts the time of day.
type testVM struct {
	id         ident.VMID
	boot       int
	booted     time.Duration
	wallOffset time.Duration
	router     *testRouter
	starts     int
}

func (v *testVM) now(clock time.Duration) Moment {
	return Moment{
		Boot:   fmt.Sprint(v.boot),
		Uptime: clock - v.booted + time.Second,
		Wall:   (clock + v.wallOffset + 1000*time.Second).Milliseconds(),
	}
}

// testRouter is one process of a router.
type testRouter struct {
	accounts *Accounts
	id       ident.RouterID
	started  Moment
	holds    []ident.Tokens
	cut      bool
}

// testFleet simulates routers that share a store and counts what they actually spend.
type testFleet struct {
	t     *rapid.T
	store *testStore
	vms   []*testVM
	clock time.Duration
	total ident.Tokens
	// configured returns the total that a router reads when it starts.
	configured func() ident.Tokens
	// spent counts the tokens that targets have delivered or may have delivered.
	spent ident.Tokens
}

func newTestFleet(t *rapid.T) *testFleet {
	f := &testFleet{t: t, store: newTestStore(), total: 8_000, clock: time.Hour}
	f.configured = func() ident.Tokens { return f.total }
	for i := range rapid.IntRange(1, 4).Draw(t, "vms") {
		f.vms = append(f.vms, &testVM{id: ident.VMID(fmt.Sprint("vm", i)), booted: f.clock})
		f.start(f.vms[i])
	}
	return f
}

func (f *testFleet) start(v *testVM) {
	v.starts++
	id := ident.NewRouterID(string(v.id), uint64(v.starts))
	a := NewAccounts(Config{Self: id, VM: v.id, HoldOff: time.Second, SpareHorizon: time.Second, GrantHorizon: 10 * time.Second,
		IdleShare: 0.2, LowHorizon: 3 * time.Second, LivenessTimeout: 4 * time.Second})
	a.SetTotal(testOrg, f.configured())
	v.router = &testRouter{accounts: a, id: id, started: v.now(f.clock)}
}

// write simulates a conditional write and reports whether the writer learns that it was applied or refused.
func (f *testFleet) write(name string, from uint64, value []byte) (confirmed, refused bool) {
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "late", "refused"}).Draw(f.t, "outcome") {
	case "ok":
		return f.store.write(name, from, value), false
	case "lost":
		f.store.write(name, from, value)
	case "late":
		f.store.late = append(f.store.late, lateWrite{name, from, value})
	case "refused":
		return false, true
	}
	return false, false
}

func (f *testFleet) readLedger() *Ledger {
	if f.store.versions["ledger"] == 0 {
		return NewLedger()
	}
	l, err := DecodeLedger(f.store.values["ledger"])
	if err != nil {
		f.t.Fatal(err)
	}
	return l
}

func (f *testFleet) syncGrants(v *testVM) {
	r := v.router
	if r.cut {
		return
	}
	l := f.readLedger()
	from := f.store.versions["ledger"]
	clocks := r.accounts.ClockUpperBounds(r.started.Uptime)
	for _, id := range l.Predecessors(v.id, r.id, 0) {
		allowances := f.readAllowances(id)
		l.CloseHolder(id, allowances, r.started, clocks)
	}
	r.accounts.PlanGrants(0, l, v.now(f.clock))
	if ok, _ := f.write("ledger", from, l.Encode()); ok {
		r.accounts.CommitGrants(0)
	}
}

func (f *testFleet) readAllowances(id ident.RouterID) *Allowances {
	value := f.store.values["allowances/"+string(id)]
	if value == nil {
		return nil
	}
	allowances, err := DecodeAllowances(value)
	if err != nil {
		f.t.Fatal(err)
	}
	return allowances
}

func (f *testFleet) syncAllowances(v *testVM) {
	r := v.router
	if r.cut {
		return
	}
	name := "allowances/" + string(r.id)
	from := f.store.versions[name]
	allowances := r.accounts.PlanAllowances(v.now(f.clock))
	ok, refused := f.write(name, from, allowances.Encode())
	switch {
	case ok:
		r.accounts.CommitAllowances()
	case refused:
		r.accounts.AbortAllowances()
	}
}

// request reserves tokens, if necessary after a write, and settles all or half of them, now or later.
func (f *testFleet) request(v *testVM) {
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

func (f *testFleet) settle(v *testVM, held ident.Tokens) {
	used := held * rapid.SampledFrom([]ident.Tokens{2, 2, 1}).Draw(f.t, "used") / 2
	v.router.accounts.Settle(testOrg, held, used)
	f.spent += used
}

// kill ends a router process and starts another, after a reboot of the VM if powerLoss is set. Tokens that its requests
// held count as spent.
func (f *testFleet) kill(v *testVM, powerLoss bool) {
	for _, n := range v.router.holds {
		f.spent += n
	}
	f.advance()
	if powerLoss {
		v.boot++
		v.booted = f.clock
	}
	f.start(v)
}

func (f *testFleet) advance() {
	f.clock += time.Duration(rapid.SampledFrom([]int{20, 200, 900, 2500}).Draw(f.t, "ms")) * time.Millisecond
}

func (f *testFleet) vm() *testVM {
	return f.vms[rapid.IntRange(0, len(f.vms)-1).Draw(f.t, "vm")]
}

// TestFleetNeverOverspends guards against two routers spending the same tokens when writes are lost or late, routers
// are cut off or killed, or VMs lose power.
func TestFleetNeverOverspends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(t)
		f.run(f.actions())
	})
}

// TestOneClockThatJumps guards against returning spent tokens because one VM's time of day went back while it had no
// power.
func TestOneClockThatJumps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(t)
		actions := f.actions()
		victim := f.vms[0]
		actions["step"] = func() {
			victim.wallOffset = time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "step")) * time.Millisecond
		}
		f.run(actions)
	})
}

func (f *testFleet) actions() map[string]func() {
	return map[string]func(){
		"request":    func() { f.request(f.vm()) },
		"grants":     func() { f.syncGrants(f.vm()) },
		"allowances": func() { f.syncAllowances(f.vm()) },
		"time":       f.advance,
		"late":       f.store.applyLate,
		"cut":        func() { v := f.vm(); v.router.cut = !v.router.cut },
		"kill":       func() { f.kill(f.vm(), false) },
		"power":      func() { f.kill(f.vm(), true) },
		"settle": func() {
			if v := f.vm(); len(v.router.holds) > 0 {
				f.settle(v, v.router.holds[0])
				v.router.holds = v.router.holds[1:]
			}
		},
	}
}

func (f *testFleet) run(actions map[string]func()) {
	var names []string
	for name, weight := range map[string]int{"request": 10, "grants": 5, "allowances": 5, "time": 3, "settle": 3, "late": 1,
		"cut": 1, "kill": 1, "power": 1} {
		for range weight {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	if actions["step"] != nil {
		names = append(names, "step")
	}
	for range rapid.IntRange(100, 300).Draw(f.t, "steps") {
		actions[rapid.SampledFrom(names).Draw(f.t, "action")]()
		if f.spent > f.total {
			f.t.Fatalf("%d of %d tokens are spent", f.spent, f.total)
		}
	}
}
