package edge

import (
	"context"
	"errors"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/quota"
	"geraniumsaddle/io/store"
)

// leaveLedger hands back what is unspent when the process stops.
func (s *Server) leaveLedger() {
	spent, ok := s.accounts.Leave()
	if !ok {
		s.deps.Log.Warn("tokens stay taken: requests were cut")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopMargin/2)
	defer cancel()
	if s.claims != nil {
		c := s.accounts.PlanLeave(spent, s.claims.own.started, s.deps.VM.Now())
		if s.claims.leave(ctx, c) == nil {
			return
		}
	}
	if err := s.handBack(ctx, spent); err != nil {
		s.deps.Log.Warn("tokens may stay taken: the ledger was not written", "error", err)
	}
}

func (s *Server) handBack(ctx context.Context, spent map[ident.OrgID]ident.Tokens) error {
	t := newLedgerTask(s)
	for _, n := range s.accounts.Shards() {
		if err := t.leaveShard(ctx, n, spent); err != nil {
			return err
		}
	}
	return nil
}

func (t *ledgerTask) leaveShard(ctx context.Context, n quota.Shard, spent map[ident.OrgID]ident.Tokens) error {
	st := t.shard(n)
	for range maxConflicts {
		if !st.known {
			if err := t.read(ctx, ledgerKey(n), &st.stored); err != nil {
				return err
			}
		}
		l, err := st.decode()
		if err != nil || l.Holders[t.s.self] == nil {
			return err
		}
		l.Leave(t.s.self, spent)
		err = t.write(ctx, ledgerKey(n), &st.stored, l.Encode())
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return store.ErrConflict
}
