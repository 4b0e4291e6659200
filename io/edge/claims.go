package edge

import (
	"context"
	"errors"
	"time"

	"geraniumsaddle/core/elect"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/quota"
	"geraniumsaddle/io/store"
)

const (
	// maxWriters bounds the writers that one claim is offered to before the router writes itself.
	maxWritersPerRound = 3
	// ownAfter is the number of rounds in a row without a writer after which a router writes itself. Writers notice a moment
	// later than it that the store is back, and the writes of many routers conflict.
	directWriteAfter = 3
	// claimPause is the least time between two claims, and claimCheck the time between two looks at whether one is due.
	minClaimPause      = 50 * time.Millisecond
	claimCheckInterval = 200 * time.Millisecond
	// probeTimeout bounds the question whether a writer serves, which it answers at once.
	probeTimeout = 300 * time.Millisecond
)

// claimIntervals are the times between two claims, by how much they matter. The longest keeps the allowances dated, so
// that a crash strands little.
var claimIntervals = map[quota.Urgency]time.Duration{
	quota.UpToDate: 2 * time.Second,
	quota.Changed:  time.Second,
	quota.Low:      300 * time.Millisecond,
	quota.Lacking:  100 * time.Millisecond,
}

// keepTokens keeps this router's part of the prepaid tokens until the context ends.
func (s *Server) runTokenSync(ctx context.Context) {
	lc := newLedgerClient(s)
	lc.started = s.deps.VM.Now()
	fleet, ok := lc.join(ctx)
	if !ok {
		return
	}
	if len(fleet.members) <= s.deps.DirectFleet {
		s.runDirectWrites(ctx, lc)
		return
	}
	transport, err := s.openPeers(fleet.setup)
	if err != nil {
		s.deps.Log.Error("other routers cannot be reached; writing the ledgers without them", "error", err)
		s.runDirectWrites(ctx, lc)
		return
	}
	s.peers = transport
	s.claims = &claimSender{s: s, direct: lc, selector: elect.New(fleet.members), lastAnswer: make(map[ident.VMID]time.Duration)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.writer.run(ctx, lc.started)
	}()
	s.claims.run(ctx)
	<-done
}

// keepOwn writes the ledgers and the allowances of this router itself.
func (s *Server) runDirectWrites(ctx context.Context, lc *ledgerClient) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.runAllowanceWrites(ctx)
	}()
	s.runLedgerWrites(ctx, lc)
	<-done
}

// errUnsaved means that a writer could not confirm the allowances of a claim.
var errAllowancesUnconfirmed = errors.New("allowances were not confirmed")

// claimTask sends the claims of this router.
type claimSender struct {
	s *Server
	// own writes without another router when no writer serves.
	direct   *ledgerClient
	selector *elect.Selector
	sentAt   time.Time
	// doubtful says that the last claim had no answer. A claim without an answer holds back spending, so that the next one
	// goes only to a writer that answers.
	unconfirmed bool
	// away says that the store could not be heard in the last round, and failed counts the rounds without a writer since it
	// can be heard.
	storeUnreachable bool
	failedRounds     int
	// answered holds the uptime of the last answer of each writer. It dates the clock of this VM for the writer.
	lastAnswer map[ident.VMID]time.Duration
}

// run sends claims until the context ends.
func (cs *claimSender) run(ctx context.Context) {
	failures := 0
	for cs.waitUntilDue(ctx) {
		cs.sentAt = cs.s.deps.Clock.Now()
		err := cs.round(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			failures = 0
			cs.s.freed.send()
			continue
		}
		var storeErr *store.Error
		if errors.As(err, &storeErr) {
			cs.s.recordWrite("claim", err)
		}
		cs.s.link.pause(ctx, failures)
		failures++
	}
}

// wait waits until a claim is due, and returns false at the end of the context.
func (cs *claimSender) waitUntilDue(ctx context.Context) bool {
	if !cs.s.sleep(ctx, minClaimPause) {
		return false
	}
	for {
		left := claimCheckInterval
		if cs.s.table.Load() != nil {
			left = claimIntervals[cs.s.accounts.ClaimUrgency()] - cs.s.deps.Clock.Since(cs.sentAt)
		}
		if left <= 0 {
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

// round offers a claim to the first writers, and writes itself when none has served for some rounds.
func (cs *claimSender) round(ctx context.Context) error {
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
	if _, err := cs.direct.syncGrants(ctx); err != nil {
		return err
	}
	_, err = cs.direct.writeAllowances(ctx)
	return err
}

// hear notes whether the store can be heard. What was seen of the writers while it could not tells nothing of them.
func (cs *claimSender) checkStore(ctx context.Context) {
	unreachable := cs.s.link.isAway()
	if unreachable {
		// A refusal says no more than that the store is still away.
		unreachable = cs.s.writer.checkStore(ctx) != nil
	}
	if cs.storeUnreachable && !unreachable {
		cs.selector.ResetFailures()
		cs.failedRounds = 0
	}
	cs.storeUnreachable = unreachable
}

// offerFirst offers a claim to the first writers in turn.
func (cs *claimSender) offerInTurn(ctx context.Context) error {
	err := errRefused
	for range maxWritersPerRound {
		writer, ok := cs.selector.Pick(cs.s.deps.Clock.Now())
		if !ok || ctx.Err() != nil {
			return err
		}
		if err = cs.offer(ctx, writer); err == nil {
			cs.selector.RecordSuccess(writer.VM)
			return nil
		}
		if ctx.Err() != nil {
			return err // the router stops, which says nothing of the writer
		}
		cs.selector.RecordFailure(writer.VM, cs.s.deps.Clock.Now())
		cs.s.deps.Log.Info("claim not served", "writer", writer.VM, "error", err)
	}
	return err
}

// offer sends a claim to one writer and applies its answer.
func (cs *claimSender) offer(ctx context.Context, writer elect.Member) error {
	accounts := cs.s.accounts
	if _, known := cs.lastAnswer[writer.VM]; cs.unconfirmed || !known {
		if err := cs.probe(ctx, writer); err != nil {
			return err
		}
	}
	claim := accounts.PlanClaim(cs.direct.started, cs.s.deps.VM.Now())
	claim.SinceAnswer = claim.Allowances.Sent.Uptime - cs.lastAnswer[writer.VM]
	outcome, err := cs.s.sendClaim(ctx, writer, claim)
	cs.s.deps.Metrics.storeCall("claim", err)
	if err != nil {
		delete(cs.lastAnswer, writer.VM) // it may be another process by the next claim
	} else {
		cs.lastAnswer[writer.VM] = cs.s.deps.VM.Now().Uptime
	}
	switch {
	case errors.Is(err, errRefused):
		accounts.AbortClaim()
		return err
	case err != nil:
		cs.unconfirmed = true
		return err
	}
	accounts.CommitClaim(claim, outcome, cs.s.deps.VM.Now().Uptime)
	cs.unconfirmed = !outcome.AllowancesStored
	if cs.unconfirmed {
		return errAllowancesUnconfirmed
	}
	return nil
}

// probe asks a writer whether it serves claims.
func (cs *claimSender) probe(ctx context.Context, writer elect.Member) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := cs.s.sendClaim(ctx, writer, &quota.Claim{Router: cs.s.self, Probe: true})
	if err != nil {
		delete(cs.lastAnswer, writer.VM)
		return err
	}
	cs.lastAnswer[writer.VM] = cs.s.deps.VM.Now().Uptime
	return nil
}

// leave hands back what is unspent through a writer.
func (cs *claimSender) leave(ctx context.Context, claim *quota.Claim) error {
	cs.selector.RecordFailure(cs.s.member().VM, cs.s.deps.Clock.Now())
	writer, ok := cs.selector.Pick(cs.s.deps.Clock.Now())
	if !ok {
		return errRefused
	}
	_, err := cs.s.sendClaim(ctx, writer, claim)
	return err
}
