package demo

import (
	"context"
	"time"
)

// settleWait is the longest time in which all settlements reach the ledger: recovery, reports and one flush.
const settleWait = 30 * time.Second

// summary waits until the ledger has all settlements and checks the invariants.
func (t *tour) summary(ctx context.Context) bool {
	s := Summary{Step: "summary", Steps: t.steps, Failed: t.failed, Answered: t.answered}
	_ = until(ctx, settleWait, func() bool {
		e, err := t.f.entry(ctx, demoOrg)
		if err != nil || e == nil {
			return false
		}
		s.Paid, s.Billed = e.Paid-e.Refunded, e.Settled()
		return s.Billed >= t.answered
	})
	s.Overspend = max(0, s.Billed-s.Paid)
	for _, e := range t.f.engines {
		s.Breaches += e.Stats().Breaches
	}
	for _, d := range t.f.desks {
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
