package edge

import (
	"context"
	"errors"

	"geraniumsaddle/core/quota"
	"geraniumsaddle/io/store"
)

// leaveTimeout bounds each way of handing back tokens, a writer and the router's own writes. Both fit into stopMargin.
const leaveTimeout = stopMargin * 2 / 5

// leaveLedger hands back what is unspent when the process stops.
func (s *Server) leaveLedger() {
	left, ok := s.accounts.Leave()
	if !ok {
		s.deps.Log.Warn("tokens stay taken: requests were cut")
		return
	}
	if s.claims != nil {
		err := s.leaveThrough(left)
		if err == nil {
			return
		}
		s.deps.Log.Info("no writer took back the tokens; writing the ledgers", "error", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := s.handBack(ctx, left); err != nil {
		s.deps.Log.Warn("tokens may stay taken: the ledger was not written", "error", err)
	}
}

// leaveThrough hands back what is unspent through a writer.
func (s *Server) leaveThrough(left quota.Departure) error {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	return s.claims.leave(ctx, quota.PlanLeave(left, s.claims.own.started, s.deps.VM.Now()))
}

func (s *Server) handBack(ctx context.Context, left quota.Departure) error {
	t := newLedgerTask(s)
	for _, n := range s.accounts.Shards() {
		if err := t.leaveShard(ctx, n, left); err != nil {
			return err
		}
	}
	return nil
}

func (t *ledgerTask) leaveShard(ctx context.Context, n quota.Shard, left quota.Departure) error {
	st := t.shard(n)
	for range maxConflicts {
		if !st.known {
			if err := t.read(ctx, ledgerKey(n), &st.stored); err != nil {
				return err
			}
		}
		l, err := st.decode()
		if err != nil {
			return err
		}
		if l.Holders[t.s.self] == nil && t.s.claims == nil {
			return nil
		}
		l.Leave(left)
		if t.s.claims != nil {
			l.PutTombstone(left)
		}
		err = t.write(ctx, ledgerKey(n), &st.stored, l.Encode())
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return store.ErrConflict
}
