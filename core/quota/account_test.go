package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
)

func testAccounts() *Accounts {
	a := NewAccounts(Config{Self: "vm.1", VM: "vm", HoldOff: time.Second, SpareHorizon: time.Second, GrantHorizon: 10 * time.Second,
		IdleShare: 0.1, LowHorizon: time.Second, LivenessTimeout: 4 * time.Second})
	a.SetTotal(testOrg, 10_000)
	return a
}

func at(d time.Duration) Moment {
	return Moment{Boot: "boot", Uptime: d, Wall: d.Milliseconds()}
}

// TestUnconfirmedGrantNotSpent guards against spending a grant whose write may have been lost.
func TestUnconfirmedGrantNotSpent(t *testing.T) {
	is := is.New(t)
	a := testAccounts()
	a.PlanGrants(0, NewLedger(), at(time.Second))
	a.PlanAllowances(at(time.Second))
	a.CommitAllowances()
	is.Equal(a.Hold(testOrg, 100, 20*time.Second).Verdict, Insufficient)
}

// TestUnconfirmedReductionBinds guards against spending tokens that an unanswered write may have returned.
func TestUnconfirmedReductionBinds(t *testing.T) {
	is := is.New(t)
	a := testAccounts()
	l := NewLedger()
	a.PlanGrants(0, l, at(time.Second))
	a.CommitGrants(0)
	a.PlanAllowances(at(time.Second))
	a.CommitAllowances()
	before := a.Balance(testOrg).Granted
	is.True(before > 0)
	// Another router holds the remaining tokens and waits for more, so that the next plan returns tokens.
	l.Holders["other.1"] = &Holder{VM: "other", Writes: 1, Rows: map[ident.OrgID]Row{
		testOrg: {Granted: 10_000 - before, Want: 5000, Rate: 1000}}}
	a.PlanGrants(0, l, at(2*time.Second))
	given := l.Holders["vm.1"].Rows[testOrg].Granted
	is.True(given < before)
	is.Equal(a.Balance(testOrg).Granted, given)
	is.Equal(a.Hold(testOrg, given+1, time.Minute).Verdict, Insufficient)
}

// TestGrowthWaits guards against a router that spends more than its allowance while it can still write to the store.
func TestGrowthWaits(t *testing.T) {
	is := is.New(t)
	a := testAccounts()
	is.Equal(a.Hold(testOrg, 100, time.Second).Verdict, Insufficient)
	a.PlanGrants(0, NewLedger(), at(time.Second))
	a.CommitGrants(0)
	a.PlanAllowances(at(time.Second))
	a.CommitAllowances()
	b := a.Balance(testOrg)
	is.True(b.Limit < b.Granted)
	is.Equal(a.Hold(testOrg, b.Limit+1, 2*time.Second).Verdict, Insufficient)
	is.Equal(a.Hold(testOrg, b.Granted, time.Minute).Verdict, Held)
}

// TestBurst guards against serving only one request of a burst with each write of the store.
func TestBurst(t *testing.T) {
	is := is.New(t)
	a := testAccounts()
	const n, tokens = 20, 300
	for range n {
		is.Equal(a.Hold(testOrg, tokens, time.Second).Verdict, Insufficient)
	}
	a.PlanGrants(0, NewLedger(), at(time.Second))
	a.CommitGrants(0)
	a.PlanAllowances(at(time.Second))
	a.CommitAllowances()
	for range n {
		is.Equal(a.Hold(testOrg, tokens, time.Second).Verdict, Held)
	}
}

// TestExhausted guards against reporting the tokens as used up while other routers hold unspent ones.
func TestExhausted(t *testing.T) {
	is := is.New(t)
	a := testAccounts()
	l := NewLedger()
	l.Holders["other.1"] = &Holder{VM: "other", Writes: 1, Rows: map[ident.OrgID]Row{testOrg: {Granted: 10_000, Spent: 9_000}}}
	a.PlanGrants(0, l, at(time.Second))
	a.CommitGrants(0)
	is.Equal(a.Hold(testOrg, 1_000, time.Second).Verdict, Insufficient)
	is.Equal(a.Hold(testOrg, 1_001, time.Second).Verdict, Exhausted)
}

// TestAge guards against underestimating the age of allowances, which would return spent tokens.
func TestAge(t *testing.T) {
	allowances := &Allowances{Sent: Moment{Boot: "a", Uptime: 100 * time.Second, Wall: 1_000_000},
		Clocks: map[ident.VMID]int64{"x": 1_000_000, "y": 1_000_000, "z": 1_000_000}}
	clocks := func(ms ...int64) []ClockReading {
		var c []ClockReading
		for i, m := range ms {
			c = append(c, ClockReading{VM: ident.VMID("xyz"[i : i+1]), Wall: 1_000_000 + m})
		}
		return c
	}
	cases := []struct {
		name    string
		started Moment
		clocks  []ClockReading
		age     time.Duration
		known   bool
	}{
		{"same boot", Moment{Boot: "a", Uptime: 103 * time.Second}, nil, 3 * time.Second, true},
		{"same boot, time runs back", Moment{Boot: "a", Uptime: 99 * time.Second}, nil, 0, false},
		{"other boot without other clocks", Moment{Boot: "b", Wall: 1_003_000}, nil, 0, false},
		{"other boot with one other clock", Moment{Boot: "b", Wall: 1_003_000}, clocks(3000), 0, false},
		{"other boot with others", Moment{Boot: "b", Wall: 1_003_000}, clocks(3000, 3100, 2900), 3 * time.Second, true},
		{"own clock went back", Moment{Boot: "b", Wall: 998_000}, clocks(3000, 3100, 2900), 3 * time.Second, true},
		{"own clock went ahead", Moment{Boot: "b", Wall: 1_008_000}, clocks(3000, 3100, 2900), 8 * time.Second, true},
		{"one other clock went back", Moment{Boot: "b", Wall: 1_003_000}, clocks(3000, -2000, 2900), 3 * time.Second, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			age, known := allowances.age("vm", c.started, c.clocks)
			is.Equal(known, c.known)
			if known {
				is.Equal(age, c.age)
			}
		})
	}
}

// TestCloseHolderReturnsUnspent guards against losing the whole grant of a router that crashed, and against returning
// tokens that it had spent.
func TestCloseHolderReturnsUnspent(t *testing.T) {
	allowances := &Allowances{Sent: at(10 * time.Second), HoldOff: time.Second,
		Rows: map[ident.OrgID]Allowance{testOrg: {Limit: 1_000, Growth: 500}}}
	cases := []struct {
		name       string
		allowances *Allowances
		started    Moment
		closed     ident.Tokens
	}{
		{"within the hold-off time", allowances, at(11 * time.Second), 1_000},
		{"half a second later", allowances, at(11500 * time.Millisecond), 1_125},
		{"two seconds later", allowances, at(13 * time.Second), 2_500},
		{"much later", allowances, at(time.Hour), 5_000},
		{"age unknown", allowances, Moment{Boot: "other"}, 5_000},
		{"allowances unknown", nil, at(11 * time.Second), 5_000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := NewLedger()
			l.Holders["vm.1"] = &Holder{VM: "vm", Rows: map[ident.OrgID]Row{testOrg: {Granted: 5_000, Spent: 700}}}
			l.CloseHolder("vm.1", c.allowances, c.started, nil)
			is.Equal(l.Closed[testOrg], c.closed)
			is.Equal(l.Granted(testOrg), c.closed)
		})
	}
}

// TestDecode guards against changing a ledger of a newer format and against decoding invalid data as an empty ledger.
func TestDecode(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.Closed[testOrg] = 5
	got, err := DecodeLedger(l.Encode())
	is.NoErr(err)
	is.Equal(got.Closed[testOrg], ident.Tokens(5))
	for _, bad := range []string{"", "null", "[]", `{"format":2}`, `{"format":1,"holders":{"a":null}}`} {
		_, err := DecodeLedger([]byte(bad))
		is.True(err != nil)
	}
}

// TestGrowthTime guards against telling a caller to retry before its tokens can be spent.
func TestGrowthTime(t *testing.T) {
	is := is.New(t)
	for _, seconds := range []float64{0, 0.01, 0.5, 1, 1.5, 20} {
		after := growthTime(seconds) + time.Microsecond
		is.True(growthSeconds(after) >= seconds)
		is.True(growthSeconds(after-10*time.Microsecond) <= seconds)
	}
}

// TestReportedClocks guards against an age that counts the time between a write of another router and its being seen, when
// that router has told its clock itself.
func TestReportedClocks(t *testing.T) {
	is := is.New(t)
	a := testAccounts()
	l := NewLedger()
	l.Holders["other.1"] = &Holder{VM: "other", Writes: 1, Wall: 1000}
	a.ObserveLedger(0, l, 4*time.Second) // its clock shows 4000 already
	is.Equal(a.ClockLowerBounds(at(5 * time.Second))["other"], int64(2000))
	a.RecordClocks(map[ident.VMID]int64{"other": 5000}, 5*time.Second)
	is.Equal(a.ClockLowerBounds(at(7 * time.Second))["other"], int64(7000))
	// A later report that was longer under way does not loosen it.
	a.RecordClocks(map[ident.VMID]int64{"other": 6500}, 7*time.Second)
	is.Equal(a.ClockLowerBounds(at(7 * time.Second))["other"], int64(7000))
}
