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
	maxWriters = 3
	// ownAfter is the number of rounds in a row without a writer after which a router writes itself. Writers notice a moment
	// later than it that the store is back, and the writes of many routers conflict.
	ownAfter = 3
	// claimPause is the least time between two claims, and claimCheck the time between two looks at whether one is due.
	claimPause = 50 * time.Millisecond
	claimCheck = 200 * time.Millisecond
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
func (s *Server) keepTokens(ctx context.Context) {
	t := newLedgerTask(s)
	t.started = s.deps.VM.Now()
	fleet, ok := t.join(ctx)
	if !ok {
		return
	}
	if len(fleet.members) <= s.deps.DirectFleet {
		s.keepOwn(ctx, t)
		return
	}
	transport, err := s.openPeers(fleet.setup)
	if err != nil {
		s.deps.Log.Error("other routers cannot be reached; writing the ledgers without them", "error", err)
		s.keepOwn(ctx, t)
		return
	}
	s.peers = transport
	s.claims = &claimTask{s: s, own: t, order: elect.New(fleet.members), answered: make(map[ident.VMID]time.Duration)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.writer.run(ctx, t.started)
	}()
	s.claims.run(ctx)
	<-done
}

// keepOwn writes the ledgers and the allowances of this router itself.
func (s *Server) keepOwn(ctx context.Context, t *ledgerTask) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.keepAllowances(ctx)
	}()
	s.keepLedger(ctx, t)
	<-done
}

// errUnsaved means that a writer could not confirm the allowances of a claim.
var errUnsaved = errors.New("allowances were not confirmed")

// claimTask sends the claims of this router.
type claimTask struct {
	s *Server
	// own writes without another router when no writer serves.
	own   *ledgerTask
	order *elect.Selector
	sent  time.Time
	// doubtful says that the last claim had no answer. A claim without an answer holds back spending, so that the next one
	// goes only to a writer that answers.
	doubtful bool
	// away says that the store could not be heard in the last round, and failed counts the rounds without a writer since it
	// can be heard.
	away   bool
	failed int
	// answered holds the uptime of the last answer of each writer. It dates the clock of this VM for the writer.
	answered map[ident.VMID]time.Duration
}

// run sends claims until the context ends.
func (t *claimTask) run(ctx context.Context) {
	failures := 0
	for t.wait(ctx) {
		t.sent = t.s.deps.Clock.Now()
		err := t.round(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			failures = 0
			t.s.tokensChanged.send()
			continue
		}
		var own *store.Error
		if errors.As(err, &own) {
			t.s.wrote("claim", err)
		}
		t.s.storeMonitor.backOff(ctx, failures)
		failures++
	}
}

// wait waits until a claim is due, and returns false at the end of the context.
func (t *claimTask) wait(ctx context.Context) bool {
	if !t.s.sleep(ctx, claimPause) {
		return false
	}
	for {
		left := claimCheck
		if t.s.table.Load() != nil {
			left = claimIntervals[t.s.accounts.ClaimUrgency()] - t.s.deps.Clock.Since(t.sent)
		}
		if left <= 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-t.s.grantsNow:
		case <-t.s.allowancesNow:
		case <-t.s.deps.Clock.After(min(left, claimCheck)):
		}
	}
}

// round offers a claim to the first writers, and writes itself when none has served for some rounds.
func (t *claimTask) round(ctx context.Context) error {
	t.hear(ctx)
	err := t.offerFirst(ctx)
	if err == nil {
		t.failed = 0
		return nil
	}
	t.failed++
	if ctx.Err() != nil || t.away || t.failed < ownAfter {
		return err
	}
	if _, err := t.own.syncGrants(ctx); err != nil {
		return err
	}
	_, err = t.own.writeAllowances(ctx)
	return err
}

// hear notes whether the store can be heard. What was seen of the writers while it could not tells nothing of them.
func (t *claimTask) hear(ctx context.Context) {
	away := t.s.storeMonitor.isUnreachable()
	if away {
		// A refusal says no more than that the store is still away.
		away = t.s.writer.check(ctx) != nil
	}
	if t.away && !away {
		t.order.ResetFailures()
		t.failed = 0
	}
	t.away = away
}

// offerFirst offers a claim to the first writers in turn.
func (t *claimTask) offerFirst(ctx context.Context) error {
	err := errRefused
	for range maxWriters {
		w, ok := t.order.Pick(t.s.deps.Clock.Now())
		if !ok || ctx.Err() != nil {
			return err
		}
		if err = t.offer(ctx, w); err == nil {
			t.order.RecordSuccess(w.VM)
			return nil
		}
		if ctx.Err() != nil {
			return err // the router stops, which says nothing of the writer
		}
		t.order.RecordFailure(w.VM, t.s.deps.Clock.Now())
		t.s.deps.Log.Info("claim not served", "writer", w.VM, "error", err)
	}
	return err
}

// offer sends a claim to one writer and applies its answer.
func (t *claimTask) offer(ctx context.Context, w elect.Member) error {
	accounts := t.s.accounts
	if _, known := t.answered[w.VM]; t.doubtful || !known {
		if err := t.probe(ctx, w); err != nil {
			return err
		}
	}
	c := accounts.PlanClaim(t.own.started, t.s.deps.VM.Now())
	c.SinceAnswer = c.Allowances.Sent.Uptime - t.answered[w.VM]
	out, err := t.s.sendClaim(ctx, w, c)
	t.s.deps.Metrics.storeCall("claim", err)
	if err != nil {
		delete(t.answered, w.VM) // it may be another process by the next claim
	} else {
		t.answered[w.VM] = t.s.deps.VM.Now().Uptime
	}
	switch {
	case errors.Is(err, errRefused):
		accounts.AbortClaim()
		return err
	case err != nil:
		t.doubtful = true
		return err
	}
	accounts.CommitClaim(c, out, t.s.deps.VM.Now().Uptime)
	t.doubtful = !out.AllowancesStored
	if t.doubtful {
		return errUnsaved
	}
	return nil
}

// probe asks a writer whether it serves claims.
func (t *claimTask) probe(ctx context.Context, w elect.Member) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := t.s.sendClaim(ctx, w, &quota.Claim{Router: t.s.self, Probe: true})
	if err != nil {
		delete(t.answered, w.VM)
		return err
	}
	t.answered[w.VM] = t.s.deps.VM.Now().Uptime
	return nil
}

// leave hands back what is unspent through a writer.
func (t *claimTask) leave(ctx context.Context, c *quota.Claim) error {
	t.order.RecordFailure(t.s.member().VM, t.s.deps.Clock.Now())
	w, ok := t.order.Pick(t.s.deps.Clock.Now())
	if !ok {
		return errRefused
	}
	_, err := t.s.sendClaim(ctx, w, c)
	return err
}
