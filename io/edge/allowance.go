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

// allowancesLabel names writes of allowances in metrics and logs.
const allowancesLabel = "allowances"

// allowancesKey returns the key of the object that holds the allowances of one router.
func allowancesKey(id ident.RouterID) object.Key {
	return object.Key{Kind: platform.KindAllowance, Name: string(id)}
}

// runAllowanceWrites writes this router's allowances periodically until the context ends.
func (s *Server) runAllowanceWrites(ctx context.Context) {
	lc := newLedgerClient(s)
	s.runPeriodicWrites(ctx, allowancesLabel, s.allowancesNow, s.scaledAllowancesInterval, lc.writeAllowances)
}

// scaledAllowancesInterval returns the interval of writing allowances for the size of the fleet.
func (s *Server) scaledAllowancesInterval() time.Duration {
	return time.Duration(float64(allowancesInterval) * min(s.intervalFactor(), maxIntervalFactor))
}

// writeAllowances writes this router's allowances into an object that no other router writes. It always calls the
// store and so returns true.
func (lc *ledgerClient) writeAllowances(ctx context.Context) (bool, error) {
	key := allowancesKey(lc.s.self)
	if !lc.allowances.known {
		if err := lc.readObject(ctx, key, &lc.allowances); err != nil {
			return true, err
		}
	}
	allowances := lc.s.accounts.PlanAllowances(lc.s.deps.VMClock.Now())
	err := lc.writeObject(ctx, key, &lc.allowances, allowances.Encode())
	if err == nil {
		lc.s.accounts.CommitAllowances()
		return true, nil
	}
	if !errors.Is(err, store.ErrUnknown) {
		lc.s.accounts.AbortAllowances()
	}
	return true, err
}
