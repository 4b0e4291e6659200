package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
)

// newSpender returns accounts that have spent tokens for 4 s with confirmed writes, the last one at the returned uptime.
func newSpender() (*Accounts, time.Duration) {
	const size = 100
	a := testAccounts()
	a.SetTotal(testOrg, 1_000_000)
	l := NewLedger()
	now := time.Second
	for range 20 {
		now += 200 * time.Millisecond
		if a.Hold(testOrg, size, now).Verdict == Held {
			a.Settle(testOrg, size, size)
		}
		a.PlanGrants(0, l, at(now))
		a.CommitGrants(0)
		a.PlanAllowances(at(now))
		a.CommitAllowances()
	}
	return a, now
}

// spendable returns what the accounts may spend now.
func spendable(a *Accounts, now time.Duration) ident.Tokens {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.accountFor(testOrg)
	return a.bound(acc, now) - acc.spent - acc.held
}

// TestUnansweredAllowanceBinds guards against spending more than allowances permit that may have been stored: a
// successor that finds them returns the rest.
func TestUnansweredAllowanceBinds(t *testing.T) {
	is := is.New(t)
	a, now := newSpender()
	const later = 10 * time.Second
	sent := now + later
	before := a.Balance(testOrg)
	is.True(spendable(a, sent) > 4*before.Growth) // the confirmed allowance has grown
	planned := a.PlanAllowances(at(sent)).Rows[testOrg]
	is.True(planned.Limit < before.Spent+4*before.Growth)
	for _, age := range []time.Duration{0, a.cfg.HoldOff, 3 * time.Second, time.Minute} {
		is.True(before.Spent+spendable(a, sent+age) <= planned.bound(age, a.cfg.HoldOff))
	}
	// Two that are unanswered bind alike, and a refused one does not.
	a.PlanAllowances(at(sent + later))
	is.True(before.Spent+spendable(a, sent+later) <= planned.Limit)
	a.AbortAllowances()
	is.Equal(before.Spent+spendable(a, sent+later), min(before.Granted, planned.bound(later, a.cfg.HoldOff)))
	a.PlanAllowances(at(sent + later))
	a.CommitAllowances()
	is.True(!a.sendings.anyUnconfirmed)
}

// TestGrowthBesideUnanswered guards against a router whose growth begins anew with each write that gets no answer,
// although neither the old nor the new allowances forbid it to spend on.
func TestGrowthBesideUnanswered(t *testing.T) {
	is := is.New(t)
	a, now := newSpender()
	limit, growth := a.Balance(testOrg).Limit, a.Balance(testOrg).Growth
	n := limit - a.Balance(testOrg).Spent
	is.Equal(a.Hold(testOrg, n, now).Verdict, Held)
	a.Settle(testOrg, n, n)
	is.Equal(spendable(a, now), ident.Tokens(0))
	sent := now + a.cfg.HoldOff
	planned := a.PlanAllowances(at(sent)).Rows[testOrg] // the store does not answer
	is.True(planned.Limit > limit)
	is.Equal(spendable(a, sent), ident.Tokens(0))
	is.True(a.TryHold(testOrg, 100, sent).GrowthDelay > 0)
	is.Equal(spendable(a, sent+time.Second), min(planned.Limit-limit, growth)) // which has grown for a second
}
