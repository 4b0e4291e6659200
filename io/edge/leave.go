package edge

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"geraniumsaddle/core/elect"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/quota"
	"geraniumsaddle/io/store"
)

// leaveTimeout bounds each way of returning tokens, through a writer and by direct writes. Both together fit between the
// end of the last request and the end of the grace period.
const leaveTimeout = 280 * time.Millisecond

// maxDepartureKeepers is the number of routers that keep the final report of one that cannot write it. The first ones
// are in different failure domains.
const maxDepartureKeepers = 6

// returnTokens returns the unspent tokens when the process stops.
func (s *Server) returnTokens() {
	departure, ok := s.accounts.Leave()
	if !ok {
		s.deps.Log.Warn("unspent tokens are not returned: requests were cut off")
		return
	}
	if s.claims != nil {
		err := s.returnThroughWriter(departure)
		if err == nil {
			return
		}
		s.deps.Log.Info("no writer returned the unspent tokens; writing the ledgers directly", "error", err)
		kept := make(chan struct{})
		go func() {
			defer close(kept)
			s.runTask("departure", func() { s.keepDepartureAtPeers(departure) })
		}()
		defer func() { <-kept }()
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := s.returnDirectly(ctx, departure); err != nil {
		s.deps.Log.Warn("unspent tokens may not be returned: a ledger was not written", "error", err)
	}
}

// returnThroughWriter returns the unspent tokens through a writer.
func (s *Server) returnThroughWriter(departure quota.Departure) error {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	return s.claims.sendLeave(ctx, quota.PlanLeave(departure, s.claims.ledgers.startedAt, s.deps.VMClock.Now()))
}

// keepDepartureAtPeers gives the final report to the routers that most likely close this router's rows. Without it, what
// the allowances permitted until the start of the next process counts as spent, which is much while the store is away.
func (s *Server) keepDepartureAtPeers(departure quota.Departure) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	claim := quota.PlanLeave(departure, s.claims.ledgers.startedAt, s.deps.VMClock.Now())
	claim.Keep = true
	var kept atomic.Int32
	var wg sync.WaitGroup
	for _, m := range s.departureKeepers() {
		wg.Go(func() {
			if _, err := s.sendClaim(ctx, m, claim); err == nil {
				kept.Add(1)
			}
		})
	}
	wg.Wait()
	s.deps.Log.Info("final report of the unspent tokens given to other routers", "routers", kept.Load())
}

// fetchDepartures asks the routers that may keep final reports of earlier processes of this VM, keeps what they have and
// passes it to the writers with the claims.
func (s *Server) fetchDepartures(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range s.departureKeepers() {
		wg.Go(func() {
			answer, err := s.sendClaim(ctx, m, &quota.Claim{Router: s.self, Probe: true, AsksDepartures: true})
			if err != nil {
				s.deps.Log.Debug("final reports of earlier processes not known", "vm", m.VM, "error", err)
				return
			}
			s.writer.mu.Lock()
			defer s.writer.mu.Unlock()
			s.writer.keepDepartures(answer.Departures, ident.VMID(s.cfg.VM), s.deps.VMClock.Now().Uptime)
		})
	}
	wg.Wait()
	s.claims.departures = s.writer.departuresOf(ident.VMID(s.cfg.VM))
}

// departureKeepers returns the routers that are most preferred as writers, whether they served lately or not.
func (s *Server) departureKeepers() []elect.Member {
	now := s.deps.Clock.Now()
	selector := elect.New(s.claims.members)
	selector.RecordFailure(s.selfMember().VM, now)
	var keepers []elect.Member
	for range maxDepartureKeepers {
		m, ok := selector.Pick(now)
		if !ok || slices.Contains(keepers, m) {
			break
		}
		keepers = append(keepers, m)
		selector.RecordFailure(m.VM, now)
	}
	return keepers
}

// returnDirectly returns the unspent tokens by direct writes of the ledgers.
func (s *Server) returnDirectly(ctx context.Context, departure quota.Departure) error {
	lc := newLedgerClient(s)
	for _, shard := range s.accounts.Shards() {
		if err := lc.returnShardTokens(ctx, shard, departure); err != nil {
			return err
		}
	}
	return nil
}

// returnShardTokens removes this router's holder from the ledger of a shard, so that only the tokens that it has spent
// stay taken. If it has sent claims, it leaves a tombstone, which keeps a claim that is still under way from restoring
// its rows.
func (lc *ledgerClient) returnShardTokens(ctx context.Context, shard quota.Shard, departure quota.Departure) error {
	st := lc.stateOf(shard)
	for range maxWriteAttempts {
		if !st.known {
			if err := lc.readObject(ctx, ledgerKey(shard), &st.cachedObject); err != nil {
				return err
			}
		}
		ledger, err := st.decodeLedger()
		if err != nil {
			return err
		}
		if ledger.Holders[lc.s.self] == nil && lc.s.claims == nil {
			return nil
		}
		era := lc.ledgerEra(&st.cachedObject)
		if next, needed, err := lc.planReport(shard, ledger, era); err != nil || needed {
			return lc.writeReport(ctx, shard, st, next, era, err)
		}
		ledger.CloseDeparted(departure)
		if lc.s.claims != nil {
			ledger.PutTombstone(departure)
		}
		ledger.Stamp(era)
		err = lc.writeObject(ctx, ledgerKey(shard), &st.cachedObject, ledger.Encode())
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return store.ErrConflict
}
