package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/quota"
	"geraniumsaddle/io/store"
)

const (
	// recoveryWait is how long a router waits for the reports of others after a rewind of the store. All routers learn of
	// the rewind within the longest watch of a small fleet, 4 s, mostly at once.
	recoveryWait = 4 * time.Second
	// recoveryWaitPerRouter is added for each router of a fleet, because their reports conflict. reportSpread is the time for
	// each router over which they are spread.
	recoveryWaitPerRouter = 40 * time.Millisecond
	reportSpread          = 10 * time.Millisecond
	// reportInterval is the interval between the checks of a router whether the ledgers have recovered.
	reportInterval = 500 * time.Millisecond
	// maxCopyAge is longer than the store goes back. A process that is older knows all grants of its VM that can be lost: those
	// of the processes before it are in the copy.
	maxCopyAge = 30 * time.Second
)

// errRecovering means that a ledger takes no grants, because the store has come back from an older copy.
var errRecovering = errors.New("ledger has not recovered from a rewind of the store")

// rewinds brings back what this router knows when the store comes back from an older copy. It is safe for concurrent use.
type rewinds struct {
	s         *Server
	startedAt time.Duration
	// detected signals that the era has risen.
	detected chan struct{}

	mu sync.Mutex
	// era is the latest era that began while this process ran, and since the uptime at which it was seen.
	era   ident.Era
	since time.Duration
	vms   []ident.VMID
	setup fleetSetup
	// memories holds what this process remembers of the ledgers, and recoveringSince the uptime at which it first saw that
	// one takes no grants.
	memories        map[quota.Shard]*quota.Memory
	recoveringSince map[quota.Shard]time.Duration
}

func newRewinds(s *Server) *rewinds {
	return &rewinds{
		s: s, startedAt: s.deps.VMClock.Now().Uptime, detected: make(chan struct{}, 1),
		memories: make(map[quota.Shard]*quota.Memory), recoveringSince: make(map[quota.Shard]time.Duration),
	}
}

// setFleet records what this router has learned when it joined the fleet.
func (r *rewinds) setFleet(fleet fleetInfo) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setup = fleet.setup
	r.vms = nil
	for _, m := range fleet.members {
		r.vms = append(r.vms, m.VM)
	}
	r.s.accounts.SetEra(r.s.deps.Store.Era())
}

// observe handles a risen era: all that was read of the store before is read again, and what this router has written is
// written again.
func (r *rewinds) observe(era ident.Era) {
	s := r.s
	now := s.deps.VMClock.Now().Uptime
	r.mu.Lock()
	if era <= r.era {
		r.mu.Unlock()
		return
	}
	r.era, r.since = era, now
	r.mu.Unlock()
	s.deps.Log.Warn("store has come back from an older copy; reading and writing everything again", "era", era)
	s.deps.Metrics.recordRewind(era)
	s.accounts.SetEra(era)
	// Targets whose entries are lost write them again, as after an outage.
	s.targets.SetStoreUnreachable(true, s.deps.Clock.Now())
	s.targets.SetStoreUnreachable(s.storeMonitor.isUnreachable(), s.deps.Clock.Now())
	s.targets.RecordRewind(s.deps.Clock.Now())
	s.watchRestart.wakeAll()
	if feed := s.changes.Load(); feed != nil {
		feed.reset()
	}
	trigger(r.detected)
	trigger(s.grantsNow)
	trigger(s.allowancesNow)
	if g := s.gossip.Load(); g != nil && g.keeper {
		trigger(s.poison.saveNow)
	}
}

// run writes the setup of the fleet and the entry of this VM again after each rewind until the context ends.
func (r *rewinds) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.detected:
		}
		r.s.sleep(ctx, r.spread())
		for failures := 0; ctx.Err() == nil; failures++ {
			err := r.restore(ctx)
			if err == nil {
				break
			}
			r.s.deps.Log.Warn("setup and member entry not written again; trying again", "error", err)
			r.s.storeMonitor.backOff(ctx, failures)
		}
	}
}

// spread returns a random delay that spreads the calls of all routers.
func (r *rewinds) spread() time.Duration {
	return rand.N(time.Duration(r.s.accounts.RouterCount()) * reportSpread)
}

// restore writes the setup of the fleet, if it is gone, and the entry of this VM.
func (r *rewinds) restore(ctx context.Context) error {
	r.mu.Lock()
	setup := r.setup
	r.mu.Unlock()
	if setup.Shards == 0 {
		return nil // This router has not joined yet and writes both when it does.
	}
	value, err := json.Marshal(setup)
	if err != nil {
		return fmt.Errorf("encode fleet setup: %w", err)
	}
	o, err := r.s.deps.Store.Create(ctx, setupKey, value)
	r.s.deps.Metrics.countStoreCall("setup", err)
	if errors.Is(err, store.ErrConflict) && o.Version != 0 {
		err = nil
	}
	stored, err := decodeSetup(o, err)
	if err != nil {
		return err
	}
	if stored.Layout != setup.Layout {
		r.s.deps.Log.Error("another fleet setup was stored after a rewind of the store; restart all routers",
			"shards", setup.Shards, "stored_shards", stored.Shards)
	}
	_, err = newLedgerClient(r.s).putMember(ctx)
	r.s.deps.Metrics.countStoreCall("member", err)
	return err
}

// report returns what this router brings to a ledger that was read in an era, and whether the ledger needs it.
func (r *rewinds) report(shard quota.Shard, l *quota.Ledger, era ident.Era) (quota.Report, bool, error) {
	now := r.s.deps.VMClock.Now().Uptime
	r.mu.Lock()
	defer r.mu.Unlock()
	report := quota.Report{
		Self: r.s.self, VM: ident.VMID(r.s.cfg.VM), Era: era, Created: r.setup.Era, VMs: r.vms,
		KnowsVM: r.era == era && r.since-r.startedAt >= maxCopyAge,
	}
	m := r.memoryOf(shard)
	if m.IsCurrent(l, report) {
		delete(r.recoveringSince, shard)
		return quota.Report{}, false, nil
	}
	report, err := m.Complete(report)
	if err != nil {
		return quota.Report{}, false, err
	}
	if !l.NeedsReport(report) {
		delete(r.recoveringSince, shard)
		return quota.Report{}, false, nil
	}
	since, known := r.recoveringSince[shard]
	if !known {
		since = now
		r.recoveringSince[shard] = now
		r.s.deps.Log.Info("ledger takes no grants until the routers have reported after a rewind of the store", "shard", shard,
			"era", era, "known", report.Known != nil, "knows_vm", report.KnowsVM)
	}
	report.Expired = now-since >= recoveryWait+time.Duration(r.s.accounts.RouterCount())*recoveryWaitPerRouter
	return report, true, nil
}

// remember keeps a value of a ledger that was stored or needs no report.
func (r *rewinds) remember(shard quota.Shard, l *quota.Ledger, value []byte, era ident.Era) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.memoryOf(shard).Remember(value, era, len(l.PendingVMs()) == 0)
}

// isRecent reports whether the store has come back from an older copy so recently that other routers may not have written
// again what they know.
func (r *rewinds) isRecent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.era != 0 && r.s.deps.VMClock.Now().Uptime-r.since < recoveryWait
}

func (r *rewinds) memoryOf(shard quota.Shard) *quota.Memory {
	m := r.memories[shard]
	if m == nil {
		m = &quota.Memory{}
		r.memories[shard] = m
	}
	return m
}

// logReport logs a report that was stored.
func (r *rewinds) logReport(shard quota.Shard, l *quota.Ledger) {
	if pending := l.PendingVMs(); len(pending) > 0 {
		r.s.deps.Log.Debug("ledger awaits reports after a rewind of the store", "shard", shard, "pending", pending)
		return
	}
	var reserved ident.Tokens
	for _, n := range l.Recovery.Reserve {
		reserved += n
	}
	r.s.deps.Log.Info("ledger has recovered from a rewind of the store", "shard", shard, "era", l.Recovery.Era,
		"lost_vms", l.LostVMs(), "tokens_reserved", reserved)
}

// unreported returns the ledgers of which this process has seen no value of the present era that takes grants. After a
// rewind these are also ledgers without organisations, so that no router takes one of them for lost later.
func (r *rewinds) unreported() []quota.Shard {
	shards := r.s.accounts.AllShards()
	r.mu.Lock()
	defer r.mu.Unlock()
	var left []quota.Shard
	for _, shard := range shards {
		if r.era != 0 && !r.memoryOf(shard).HasReported(r.era) {
			left = append(left, shard)
		}
	}
	return left
}

// awaitsReports reports whether a rewind of the store has left ledgers from which this process has not seen grants yet.
func (r *rewinds) awaitsReports() bool { return len(r.unreported()) > 0 }

// ledgerEra returns the era in which a cached ledger was read.
func (lc *ledgerClient) ledgerEra(cached *cachedObject) ident.Era {
	if cached.object.Version == 0 {
		return lc.s.deps.Store.Era()
	}
	return cached.object.Version.Era()
}

// planReport puts this router's report into a ledger that was just read. It returns false if the ledger needs none. The
// ledger to write is nil if it has the report already and waits for those of others.
func (lc *ledgerClient) planReport(shard quota.Shard, ledger *quota.Ledger, era ident.Era) (next *quota.Ledger, needed bool, err error) {
	report, needed, err := lc.s.rewinds.report(shard, ledger, era)
	if err != nil || !needed {
		return nil, false, err
	}
	if ledger.AwaitsOthers(report) && !lc.s.isDraining() {
		return nil, true, nil // A router that stops reports once more, without the tokens that it returns.
	}
	return lc.s.accounts.PlanReport(shard, ledger, report, lc.s.deps.VMClock.Now()), true, nil
}

// reportLedger writes this router's report into a ledger, if it needs one, by a conditional write. The error is
// errRecovering until the ledger has recovered.
func (lc *ledgerClient) reportLedger(ctx context.Context, shard quota.Shard) error {
	st := lc.stateOf(shard)
	for attempt := range maxWriteAttempts {
		if attempt > 0 && !lc.s.sleep(ctx, rand.N(time.Duration(attempt)*conflictBackoff)) {
			return ctx.Err()
		}
		if err := lc.readObject(ctx, ledgerKey(shard), &st.cachedObject); err != nil {
			return err
		}
		ledger, err := st.decodeLedger()
		if err != nil {
			return err
		}
		era := lc.ledgerEra(&st.cachedObject)
		next, needed, err := lc.planReport(shard, ledger, era)
		switch {
		case err != nil:
			return err
		case !needed:
			lc.s.rewinds.remember(shard, ledger, ledger.Encode(), era)
			return nil
		case next == nil:
			return errRecovering
		}
		err = lc.storeReport(ctx, shard, st, next, era)
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return store.ErrConflict
}

// storeReport writes a ledger with this router's report. The error is errRecovering if the ledger awaits others.
func (lc *ledgerClient) storeReport(ctx context.Context, shard quota.Shard, st *shardState, next *quota.Ledger, era ident.Era) error {
	next.Stamp(era)
	value := next.Encode()
	err := lc.writeObject(ctx, ledgerKey(shard), &st.cachedObject, value)
	lc.s.deps.Metrics.countStoreCall("report", err)
	if err != nil {
		return err
	}
	lc.s.accounts.CommitGrants(shard)
	lc.s.rewinds.remember(shard, next, value, era)
	lc.s.rewinds.logReport(shard, next)
	st.known = false // The next value is of another router, or of this one after the recovery.
	if len(next.PendingVMs()) > 0 {
		return errRecovering
	}
	return nil
}

// writeReport ends a round of grants in which the ledger turned out to need a report. planErr is the error of planning it,
// and next the ledger to write or nil.
func (lc *ledgerClient) writeReport(ctx context.Context, shard quota.Shard, st *shardState, next *quota.Ledger, era ident.Era, planErr error) error {
	st.predecessorsClosed = false
	if planErr != nil {
		return planErr
	}
	if next == nil {
		st.known = false // The next round sees whether the others have reported.
		return nil
	}
	err := lc.storeReport(ctx, shard, st, next, era)
	if errors.Is(err, errRecovering) || errors.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}

// reportAll writes this router's reports into all ledgers that may need them, if the last round is long enough ago, and
// returns the ledgers that still await others.
func (lc *ledgerClient) reportAll(ctx context.Context) ([]quota.Shard, error) {
	unreported := lc.s.rewinds.unreported()
	if len(unreported) == 0 || lc.s.deps.Clock.Since(lc.reportedAt) < reportInterval {
		return unreported, nil
	}
	for _, shard := range unreported {
		if err := lc.reportLedger(ctx, shard); err != nil && !errors.Is(err, errRecovering) && !errors.Is(err, store.ErrConflict) {
			return nil, err
		}
	}
	lc.reportedAt = lc.s.deps.Clock.Now()
	return lc.s.rewinds.unreported(), nil
}

// reportBeforeClaims writes this router's reports after a rewind, before it sends claims again. It returns false once all
// ledgers have recovered.
func (cs *claimSender) reportBeforeClaims(ctx context.Context) (bool, error) {
	if !cs.s.rewinds.awaitsReports() {
		return false, nil
	}
	if !cs.s.sleep(ctx, cs.s.rewinds.spread()) {
		return true, ctx.Err()
	}
	_, err := cs.ledgers.reportAll(ctx)
	cs.s.storeMonitor.observe(err)
	if err == nil {
		cs.s.sleep(ctx, reportInterval)
	}
	return true, err
}
