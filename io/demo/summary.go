package demo

import (
	"context"
	"time"
)

// settlementTimeout limits the wait until all settlements are in the ledger. It covers recovery, reports and one flush.
const settlementTimeout = 30 * time.Second

// summary waits until the ledger has all settlements, checks the invariants, and prints the result.
func (t *tour) summary(ctx context.Context) bool {
	s := Summary{Step: "summary", Steps: t.steps, Failed: t.failed, Answered: t.answered}
	_ = waitUntil(ctx, settlementTimeout, func() bool {
		e, err := t.fleet.ledgerEntry(ctx, demoOrg)
		if err != nil || e == nil {
			return false
		}
		s.Paid, s.Billed = e.Paid-e.Refunded, e.Settled()
		return s.Billed >= t.answered
	})
	s.Overspend = max(0, s.Billed-s.Paid)
	for _, e := range t.fleet.engines {
		s.Breaches += e.Stats().Breaches
	}
	for _, d := range t.fleet.services {
		st := d.Stats()
		s.Breaches += st.Breaches
		for _, n := range st.Runs {
			s.DoubleRuns += max(0, n-1)
		}
	}
	s.OK = t.failed == 0 && s.Overspend == 0 && s.Breaches == 0 && s.DoubleRuns == 0 && s.Billed == t.answered
	t.print(s)
	return s.OK
}
