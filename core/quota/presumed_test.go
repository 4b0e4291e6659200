package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
)

// TestPresumedTokens guards against reporting tokens as used up that only count as spent: those of a router that has
// crashed, or of a hold that nobody settled, at this router or another one, also after that one has left.
func TestPresumedTokens(t *testing.T) {
	const total, spent, presumed = 10_000, 6_000, 3_000
	other := func(h Holder) *Ledger {
		l := NewLedger()
		h.VM, h.Writes = "other", 1
		l.Holders["other.1"] = &h
		return l
	}
	rows := map[ident.OrgID]Row{testOrg: {Granted: spent + presumed, Spent: spent + presumed}}
	assumed := map[ident.OrgID]ident.Tokens{testOrg: presumed}
	cases := []struct {
		name   string
		ledger func() *Ledger
	}{
		{"spent", func() *Ledger { return other(Holder{Rows: rows}) }},
		{"unsettled hold", func() *Ledger { return other(Holder{Rows: rows, Assumed: assumed}) }},
		{"departed with an unsettled hold", func() *Ledger {
			l := other(Holder{Rows: rows, Assumed: assumed})
			l.CloseDeparted(Departure{Router: "other.1", Spent: map[ident.OrgID]ident.Tokens{testOrg: spent + presumed}, Assumed: assumed})
			return l
		}},
		{"crashed with an unsettled hold", func() *Ledger {
			l := other(Holder{Rows: rows, Assumed: assumed})
			l.CloseHolder("other.1", nil, Moment{}, nil)
			return l
		}},
		{"crashed", func() *Ledger {
			l := other(Holder{Rows: map[ident.OrgID]Row{testOrg: {Granted: spent + presumed, Spent: spent}}})
			l.CloseHolder("other.1", nil, Moment{}, nil)
			return l
		}},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := testAccounts()
			l := c.ledger()
			stored, err := DecodeLedger(l.Encode())
			is.NoErr(err)
			a.PlanGrants(0, stored, at(time.Second))
			a.CommitGrants(0)
			is.Equal(a.Balance(testOrg).SpentByOthers, ident.Tokens(spent+presumed))
			covered := ident.Tokens(total - spent)
			if i == 0 {
				covered = total - spent - presumed
			}
			is.Equal(a.Hold(testOrg, covered, time.Second).Verdict, Insufficient)
			is.Equal(a.Hold(testOrg, covered+1, time.Second).Verdict, Exhausted)
		})
	}
}

// TestOwnPresumedTokens guards against reporting the tokens of an own hold that nobody settled as used up, by claims and
// by direct writes.
func TestOwnPresumedTokens(t *testing.T) {
	for _, direct := range []bool{true, false} {
		is := is.New(t)
		s := newClaimSimulation(t, 1, 10_000, 3)
		vm, writer := s.vms[0], s.vms[1]
		sync := func() {
			s.now += time.Second
			if !direct {
				s.claim(vm, writer, succeeds, succeeds, succeeds)
				return
			}
			vm.accounts.PlanGrants(0, s.ledger, s.moment())
			vm.accounts.CommitGrants(0)
			vm.accounts.PlanAllowances(s.moment())
			vm.accounts.CommitAllowances()
		}
		vm.accounts.Hold(claimOrg, 1000, s.now)
		sync()
		is.Equal(vm.accounts.Hold(claimOrg, 1000, s.now).Verdict, Held)
		vm.accounts.SettleUnknown(claimOrg, 1000)
		sync()
		is.Equal(s.ledger.Holders[vm.accounts.cfg.Self].Assumed[claimOrg], ident.Tokens(1000))
		for _, a := range []*Accounts{vm.accounts, writer.accounts} {
			s.claim(writer, vm, succeeds, succeeds, succeeds)
			is.Equal(a.Hold(claimOrg, 10_000, s.now).Verdict, Insufficient)
			is.Equal(a.Hold(claimOrg, 10_001, s.now).Verdict, Exhausted)
		}
	}
}
