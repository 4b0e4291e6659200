package edge

import (
	"context"
	"errors"
	"sync"
	"time"

	"geraniumsaddle/core/elect"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/quota"
	"geraniumsaddle/io/life"
	"geraniumsaddle/io/peer"
	"geraniumsaddle/io/store"
	"geraniumsaddle/platform"
)

const (
	// maxWritersPerRound is the number of writers that the sender offers a claim to in one round.
	maxWritersPerRound = 3
	// directWriteAfter is the number of consecutive rounds without a writer after which a router writes directly. After
	// an outage of the store the writers may notice later than this router that it is reachable again, and direct writes
	// of many routers conflict.
	directWriteAfter = 3
	// minClaimPause is the minimum pause between two rounds, and claimCheckInterval how often the sender checks whether
	// a claim is due.
	minClaimPause      = 50 * time.Millisecond
	claimCheckInterval = 200 * time.Millisecond
	// probeTimeout bounds a probe of a writer, which answers it without queueing, and the store check of the writer.
	probeTimeout = 300 * time.Millisecond
)

// claimIntervals are the intervals between claims by urgency. The longest keeps the stored allowances recent, so that a
// crash strands few tokens.
var claimIntervals = map[quota.Urgency]time.Duration{
	quota.UpToDate:      2 * time.Second,
	quota.StateChanged:  time.Second,
	quota.TokensLow:     300 * time.Millisecond,
	quota.TokensLacking: 100 * time.Millisecond,
}

// runTokenSync synchronizes this router's share of the prepaid tokens with the store until the context ends: by direct
// writes in a small fleet, and by claims in a large one.
func (s *Server) runTokenSync(ctx context.Context) {
	lc := newLedgerClient(s)
	lc.startedAt = s.deps.VMClock.Now()
	fleet, ok := lc.join(ctx)
	if !ok {
		return
	}
	if !s.cfg.FirstStart {
		s.poison.load(ctx)
	}
	// Until the transport is open, this router gets no tokens, so it doesn't wait for a predecessor's whole grace period.
	w := life.Waiter{Clock: s.deps.Clock, Log: s.deps.Log, Bound: life.ExitWait}
	var transport *peer.Transport
	err := w.Wait(ctx, s.cfg.PeerAddr, func() (err error) {
		transport, err = s.openPeerTransport(fleet.setup)
		return err
	})
	if err != nil {
		s.deps.Log.Error("transport to other routers cannot be opened; writing the ledgers directly and keeping evidence on targets", "error", err)
		s.runDirectWrites(ctx, lc)
		return
	}
	s.peerTransport = transport
	s.startGossip(fleet.members)
	if len(fleet.members) <= s.deps.DirectFleet {
		var clocks sync.WaitGroup
		clocks.Go(func() { s.runTask("clocks", func() { s.runClockReports(ctx, fleet.members) }) })
		s.runDirectWrites(ctx, lc)
		clocks.Wait()
		return
	}
	s.claims = &claimSender{
		s: s, ledgers: lc, members: fleet.members, selector: elect.New(fleet.members), lastAnswer: make(map[ident.VMID]time.Duration),
	}
	if !s.cfg.FirstStart {
		s.fetchDepartures(ctx)
	}
	s.startLending(fleet.members)
	stopReports := s.startReports(ctx, fleet.members)
	defer stopReports()
	feed := newChangeFeed(s, fleet.members)
	s.changes.Store(feed)
	if feed.isWatcher {
		s.watchRestart.wakeAll() // The watches that wait are longer than those of a watcher may be.
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.runTask("writer", func() { s.writer.run(ctx, lc.startedAt) })
	}()
	s.claims.run(ctx)
	<-done
}

// runDirectWrites writes this router's rows of the ledgers and its allowances to the store itself until the context
// ends.
func (s *Server) runDirectWrites(ctx context.Context, lc *ledgerClient) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.runTask("allowances", func() { s.runAllowanceWrites(ctx) })
	}()
	s.runLedgerWrites(ctx, lc)
	<-done
}

// errAllowancesUnconfirmed means that a writer could not confirm that the allowances of a claim were stored.
var errAllowancesUnconfirmed = errors.New("allowances were not confirmed")

// claimSender sends the claims of this router to writers.
type claimSender struct {
	s *Server
	// ledgers writes directly to the store when no writer serves.
	ledgers  *ledgerClient
	members  []elect.Member
	selector *elect.Selector
	// sentAt is when the last round began.
	sentAt time.Time
	// unconfirmed is set when the last claim got no answer, or its allowances were not stored. Such a claim restricts
	// spending, so the next one goes only to a writer that answers a probe.
	unconfirmed bool
	// storeUnreachable says that the store was unreachable in the last round, and failedRounds counts the consecutive
	// rounds without a writer since the store was last found to be reachable again.
	storeUnreachable bool
	failedRounds     int
	// lastAnswer holds the uptime at the last answer of each writer. A claim states the time since then, from which the
	// writer bounds the time at which the claim was made.
	lastAnswer map[ident.VMID]time.Duration
	// departures holds the final reports of earlier processes of this VM until a writer has closed their rows.
	departures []quota.Departure
}

// run sends claims until the context ends.
func (cs *claimSender) run(ctx context.Context) {
	failures := 0
	for cs.waitUntilDue(ctx) {
		cs.sentAt = cs.s.deps.Clock.Now()
		err := cs.runRound(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			failures = 0
			cs.s.tokensChanged.wakeAll()
			continue
		}
		var storeErr *store.Error
		if errors.As(err, &storeErr) {
			cs.s.recordSync("claim", err)
		}
		cs.s.storeMonitor.backOff(ctx, failures)
		failures++
	}
}

// waitUntilDue waits until a claim is due, and returns false at the end of the context.
func (cs *claimSender) waitUntilDue(ctx context.Context) bool {
	if !cs.s.sleep(ctx, minClaimPause) {
		return false
	}
	for {
		left := claimCheckInterval
		if cs.s.table.Load() != nil && !cs.s.accounts.Unused() {
			left = untilClaim(cs.s.accounts.ClaimUrgency(), cs.sentAt, cs.s.deps.Clock.Now())
		}
		if left <= 0 || cs.s.rewinds.awaitsReports() {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-cs.s.grantsNow:
		case <-cs.s.allowancesNow:
		case <-cs.s.deps.Clock.After(min(left, claimCheckInterval)):
		}
	}
}

// untilClaim returns the time until the next claim is due. All routers make the claims that no request waits for at the
// same times of day, so that a writer collects many of them for one write.
func untilClaim(urgency quota.Urgency, sentAt, now time.Time) time.Duration {
	interval := claimIntervals[urgency]
	if urgency >= quota.TokensLow {
		return interval - now.Sub(sentAt)
	}
	if slot := now.Truncate(interval); sentAt.Before(slot) {
		return 0
	}
	return now.Truncate(interval).Add(interval).Sub(now)
}

// runRound offers a claim to the writers in turn, and writes directly when none has served for some rounds.
func (cs *claimSender) runRound(ctx context.Context) error {
	if reported, err := cs.reportBeforeClaims(ctx); reported {
		return err
	}
	cs.checkStore(ctx)
	err := cs.offerInTurn(ctx)
	if err == nil {
		cs.failedRounds = 0
		return nil
	}
	cs.failedRounds++
	if ctx.Err() != nil || cs.storeUnreachable || cs.failedRounds < directWriteAfter {
		return err
	}
	if _, err := cs.ledgers.syncGrants(ctx); err != nil {
		return err
	}
	_, err = cs.ledgers.writeAllowances(ctx)
	return err
}

// checkStore updates whether the store is reachable. Failures of writers while it was not say nothing about the
// writers, so they are cleared when the store is reachable again.
func (cs *claimSender) checkStore(ctx context.Context) {
	unreachable := cs.s.storeMonitor.isUnreachable()
	if unreachable && !cs.s.changes.Load().trustsStoreAway(platform.KindConfig) {
		// A refusal for any reason counts as a store that is still unreachable.
		unreachable = cs.s.writer.checkStore(ctx) != nil
	}
	if cs.storeUnreachable && !unreachable {
		cs.selector.ResetFailures()
		cs.failedRounds = 0
	}
	cs.storeUnreachable = unreachable
}

// offerInTurn offers a claim to the preferred writers in turn until one serves it.
func (cs *claimSender) offerInTurn(ctx context.Context) error {
	err := errRefused
	for range maxWritersPerRound {
		writer, ok := cs.selector.Pick(cs.s.deps.Clock.Now())
		if !ok || ctx.Err() != nil {
			return err
		}
		if err = cs.offerClaim(ctx, writer); err == nil {
			cs.selector.RecordSuccess(writer.VM)
			return nil
		}
		if ctx.Err() != nil {
			return err // the router stops, which says nothing about the writer
		}
		cs.selector.RecordFailure(writer.VM, cs.s.deps.Clock.Now())
		cs.s.deps.Log.Info("claim not served", "writer", writer.VM, "error", err)
	}
	return err
}

// offerClaim sends a claim to one writer and applies the outcome.
func (cs *claimSender) offerClaim(ctx context.Context, writer elect.Member) error {
	accounts := cs.s.accounts
	if _, known := cs.lastAnswer[writer.VM]; cs.unconfirmed || !known {
		if err := cs.probeWriter(ctx, writer); err != nil {
			return err
		}
	}
	claim := accounts.PlanClaim(cs.ledgers.startedAt, cs.s.deps.VMClock.Now())
	claim.Departures = cs.departures
	claim.SinceAnswer = claim.Allowances.Sent.Uptime - cs.lastAnswer[writer.VM]
	outcome, err := cs.s.sendClaim(ctx, writer, claim)
	cs.s.deps.Metrics.countStoreCall("claim", err)
	if err != nil {
		delete(cs.lastAnswer, writer.VM) // a new process may have replaced it by the next claim
	} else {
		cs.lastAnswer[writer.VM] = cs.s.deps.VMClock.Now().Uptime
	}
	switch {
	case errors.Is(err, errRefused):
		accounts.AbortClaim()
		return err
	case err != nil:
		cs.unconfirmed = true
		return err
	}
	accounts.CommitClaim(claim, outcome, cs.s.deps.VMClock.Now().Uptime)
	if len(outcome.Grants) == len(claim.Needs) {
		cs.departures = nil // the first claim covers every organisation
	}
	cs.unconfirmed = !outcome.AllowancesStored
	if cs.unconfirmed {
		return errAllowancesUnconfirmed
	}
	return nil
}

// probeWriter asks a writer whether it serves claims.
func (cs *claimSender) probeWriter(ctx context.Context, writer elect.Member) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answer, err := cs.s.sendClaim(ctx, writer, &quota.Claim{Router: cs.s.self, Probe: true})
	if err != nil {
		delete(cs.lastAnswer, writer.VM)
		return err
	}
	now := cs.s.deps.VMClock.Now().Uptime
	cs.lastAnswer[writer.VM] = now
	cs.s.accounts.RecordClocks(answer.Clocks, now)
	return nil
}

// sendLeave sends the claim by which this router returns its unspent tokens when it stops.
func (cs *claimSender) sendLeave(ctx context.Context, claim *quota.Claim) error {
	cs.selector.RecordFailure(cs.s.selfMember().VM, cs.s.deps.Clock.Now()) // this router's own writer has stopped
	writer, ok := cs.selector.Pick(cs.s.deps.Clock.Now())
	if !ok {
		return errRefused
	}
	_, err := cs.s.sendClaim(ctx, writer, claim)
	return err
}
