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
func (s *Server) returnTokens() {
	departure, ok := s.accounts.Leave()
	if !ok {
		s.deps.Log.Warn("tokens stay taken: requests were cut")
		return
	}
	if s.claims != nil {
		err := s.returnThroughWriter(departure)
		if err == nil {
			return
		}
		s.deps.Log.Info("no writer took back the tokens; writing the ledgers", "error", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := s.returnDirectly(ctx, departure); err != nil {
		s.deps.Log.Warn("tokens may stay taken: the ledger was not written", "error", err)
	}
}

// leaveThrough hands back what is unspent through a writer.
func (s *Server) returnThroughWriter(departure quota.Departure) error {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	return s.claims.leave(ctx, quota.PlanLeave(departure, s.claims.direct.started, s.deps.VM.Now()))
}

func (s *Server) returnDirectly(ctx context.Context, departure quota.Departure) error {
	lc := newLedgerClient(s)
	for _, shard := range s.accounts.Shards() {
		if err := lc.leaveShard(ctx, shard, departure); err != nil {
			return err
		}
	}
	return nil
}

func (lc *ledgerClient) leaveShard(ctx context.Context, shard quota.Shard, departure quota.Departure) error {
	st := lc.shard(shard)
	for range maxWriteAttempts {
		if !st.known {
			if err := lc.read(ctx, ledgerKey(shard), &st.cachedObject); err != nil {
				return err
			}
		}
		ledger, err := st.decode()
		if err != nil {
			return err
		}
		if ledger.Holders[lc.s.self] == nil && lc.s.claims == nil {
			return nil
		}
		ledger.Leave(departure)
		if lc.s.claims != nil {
			ledger.PutTombstone(departure)
		}
		err = lc.write(ctx, ledgerKey(shard), &st.cachedObject, ledger.Encode())
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return store.ErrConflict
}
