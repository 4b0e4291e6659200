package edge

import (
	"context"
	"errors"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/store"
	"geraniumsaddle/platform"
)

// allowancesName names the writes of allowances. They begin before a configuration is known.
const allowancesLabel = "allowances"

// allowancesKey is the object with the allowances of a router.
func allowancesKey(id ident.RouterID) object.Key {
	return object.Key{Kind: platform.KindAllowance, Name: string(id)}
}

// keepAllowances writes this router's allowances until the context ends.
func (s *Server) runAllowanceWrites(ctx context.Context) {
	lc := newLedgerClient(s)
	s.runPeriodicWrites(ctx, allowancesLabel, s.allowancesNow, s.scaledAllowancesInterval, lc.writeAllowances)
}

func (s *Server) scaledAllowancesInterval() time.Duration {
	return time.Duration(float64(allowancesInterval) * min(s.intervalFactor(), maxIntervalFactor))
}

// writeAllowances writes this router's allowances, which nobody else writes.
func (lc *ledgerClient) writeAllowances(ctx context.Context) (bool, error) {
	key := allowancesKey(lc.s.self)
	if !lc.allowances.known {
		if err := lc.read(ctx, key, &lc.allowances); err != nil {
			return true, err
		}
	}
	allowances := lc.s.accounts.PlanAllowances(lc.s.deps.VM.Now())
	err := lc.write(ctx, key, &lc.allowances, allowances.Encode())
	if err == nil {
		lc.s.accounts.CommitAllowances()
		return true, nil
	}
	if !errors.Is(err, store.ErrUnknown) {
		lc.s.accounts.AbortAllowances()
	}
	return true, err
}
