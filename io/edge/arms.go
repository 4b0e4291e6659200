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

// armsName names the writes of arms. They begin before a configuration is known.
const armsName = "arms"

// armsKey is the object with the arms of a router.
func armsKey(id ident.RouterID) object.Key {
	return object.Key{Kind: platform.KindArms, Name: string(id)}
}

// keepArms writes this router's arms until the context ends.
func (s *Server) keepArms(ctx context.Context) {
	t := newLedgerTask(s)
	s.keep(ctx, armsName, s.armsNow, s.armsInterval, t.writeArms)
}

func (s *Server) armsInterval() time.Duration {
	return time.Duration(float64(armsInterval) * min(s.crowd(), maxCrowd))
}

// writeArms writes this router's arms, which nobody else writes.
func (t *ledgerTask) writeArms(ctx context.Context) (bool, error) {
	key := armsKey(t.s.self)
	if !t.arms.known {
		if err := t.read(ctx, key, &t.arms); err != nil {
			return true, err
		}
	}
	arms := t.s.accounts.PlanArms(t.s.deps.VM.Now())
	err := t.write(ctx, key, &t.arms, arms.Encode())
	if err == nil {
		t.s.accounts.CommitArms()
		return true, nil
	}
	if !errors.Is(err, store.ErrUnknown) {
		t.s.accounts.RefusedArms()
	}
	return true, err
}
