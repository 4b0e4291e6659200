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
const allowancesName = "allowances"

// allowancesKey is the object with the allowances of a router.
func allowancesKey(id ident.RouterID) object.Key {
	return object.Key{Kind: platform.KindAllowance, Name: string(id)}
}

// keepAllowances writes this router's allowances until the context ends.
func (s *Server) keepAllowances(ctx context.Context) {
	t := newLedgerTask(s)
	s.keep(ctx, allowancesName, s.allowancesNow, s.allowancesInterval, t.writeAllowances)
}

func (s *Server) allowancesInterval() time.Duration {
	return time.Duration(float64(allowancesInterval) * min(s.sizeFactor(), maxSizeFactor))
}

// writeAllowances writes this router's allowances, which nobody else writes.
func (t *ledgerTask) writeAllowances(ctx context.Context) (bool, error) {
	key := allowancesKey(t.s.self)
	if !t.allowances.known {
		if err := t.read(ctx, key, &t.allowances); err != nil {
			return true, err
		}
	}
	allowances := t.s.accounts.PlanAllowances(t.s.deps.VM.Now())
	err := t.write(ctx, key, &t.allowances, allowances.Encode())
	if err == nil {
		t.s.accounts.CommitAllowances()
		return true, nil
	}
	if !errors.Is(err, store.ErrUnknown) {
		t.s.accounts.AbortAllowances()
	}
	return true, err
}
