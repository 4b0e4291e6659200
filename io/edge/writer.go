package edge

import (
	"context"
	"errors"
	"sync"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/quota"
	"geraniumsaddle/io/store"
	"geraniumsaddle/platform"
)

const (
	// flushDelay is how long claims are collected before a flush, and urgentFlushDelay how long after an urgent claim,
	// which requests may be waiting for.
	flushDelay       = 250 * time.Millisecond
	urgentFlushDelay = 20 * time.Millisecond
	// minFlushPause is the minimum pause between two flushes.
	minFlushPause = 80 * time.Millisecond
	// storeCheckTTL is how long the result of a store check is reused.
	storeCheckTTL = 200 * time.Millisecond
)

// errRefused means that a claim has had no effect and never will.
var errRefused = errors.New("claim was refused")

// errStoreUnreachable means that the batch was not written because the store is considered unreachable.
var errStoreUnreachable error = &store.Error{
	Kind: store.ErrUnavailable, Call: "write of allowances", Err: errors.New("not sent"),
}

// batchKey is the key of the object that holds the allowances of the routers that send claims.
var batchKey = object.Key{Kind: platform.KindAllowanceBatch, Name: "main"}

// claimWriter writes the claims of many routers into the ledgers. Every router of a large fleet runs one and may write
// for the others.
type claimWriter struct {
	s           *Server
	ledgers     *ledgerClient
	batchObject cachedObject
	// cachedBatch is the batch as last written, and cachedVersion its version in the store.
	cachedBatch   *quota.Batch
	cachedVersion ident.ObjectVersion

	mu        sync.Mutex
	accepting bool
	waiting   map[ident.RouterID]*waitingClaim
	// lastAnswer holds the uptime at the last answer to each router.
	lastAnswer map[ident.RouterID]time.Duration
	departures *quota.Departures

	// checkMu guards the time and the result of the last store check. It is held during the check, so that concurrent
	// callers share one call.
	checkMu   sync.Mutex
	checkedAt time.Time
	checkErr  error

	// arrived and urgent signal that a claim, or an urgent one, was queued.
	arrived, urgent chan struct{}
}

// waitingClaim is a claim that is not written yet.
type waitingClaim struct {
	claim *quota.Claim
	// receivedAt is the uptime at which the claim arrived.
	receivedAt time.Duration
	done       chan claimResult
}

type claimResult struct {
	outcome *quota.Outcome
	err     error
}

func newClaimWriter(s *Server) *claimWriter {
	return &claimWriter{
		s: s, ledgers: newLedgerClient(s),
		waiting: make(map[ident.RouterID]*waitingClaim), lastAnswer: make(map[ident.RouterID]time.Duration),
		departures: quota.NewDepartures(),
		arrived:    make(chan struct{}, 1), urgent: make(chan struct{}, 1),
	}
}

// submit queues a claim and waits until it is written. A probe is answered without queueing. The error is errRefused if
// the claim has had no effect and never will.
func (w *claimWriter) submit(ctx context.Context, claim *quota.Claim) (*quota.Outcome, error) {
	if claim.AsksDepartures {
		return &quota.Outcome{Departures: w.departuresOf(ident.VMID(claim.Router.Name()))}, nil
	}
	if claim.AsksClock {
		return w.s.clockAnswer(), nil
	}
	if claim.Probe {
		return w.answerProbe(ctx, claim.Router)
	}
	if claim.Keep {
		return w.keepDeparture(claim)
	}
	item, err := w.enqueue(claim)
	if err != nil {
		return nil, err
	}
	trigger(w.arrived)
	if isUrgent(claim) {
		trigger(w.urgent)
	}
	select {
	case r := <-item.done:
		return r.outcome, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// isUrgent reports whether requests wait for the tokens of a claim, or its router is stopping.
func isUrgent(claim *quota.Claim) bool {
	if claim.Leaves {
		return true
	}
	for _, need := range claim.Needs {
		if need.Want > 0 {
			return true
		}
	}
	return false
}

// answerProbe answers a router that asks whether its claims would be served. The answer states the clocks of some VMs:
// without them the allowances of a process that ends after its first claim would have no age.
func (w *claimWriter) answerProbe(ctx context.Context, from ident.RouterID) (*quota.Outcome, error) {
	if err := w.checkStore(ctx); err != nil {
		return nil, err
	}
	now := w.s.deps.VMClock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastAnswer[from] = now.Uptime
	return &quota.Outcome{Clocks: w.s.accounts.ClockLowerBounds(now)}, nil
}

// keepDeparture keeps the final report of a router that stops and cannot write it.
func (w *claimWriter) keepDeparture(claim *quota.Claim) (*quota.Outcome, error) {
	now := w.s.deps.VMClock.Now().Uptime
	w.mu.Lock()
	defer w.mu.Unlock()
	if !claim.Leaves || !w.departures.Keep(claim.Departure(), now) {
		return nil, errRefused
	}
	return &quota.Outcome{}, nil
}

// keepDepartures keeps the final reports that a claim of a later process of the VM carries. The caller holds mu.
func (w *claimWriter) keepDepartures(departures []quota.Departure, vm ident.VMID, now time.Duration) {
	for _, departure := range departures {
		if departure.VM == vm && string(vm) == departure.Router.Name() {
			w.departures.Keep(departure, now)
		}
	}
}

// departuresOf returns the final reports of the processes of a VM that are kept here.
func (w *claimWriter) departuresOf(vm ident.VMID) []quota.Departure {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.departures.OfVM(vm)
}

// departureOf returns the final report of a router, if one is kept here.
func (w *claimWriter) departureOf(id ident.RouterID) (quota.Departure, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.departures.Of(id)
}

// checkStore returns errRefused if this router is not ready to write claims or the store does not answer. Concurrent
// callers share one call of the store. After an outage this call is also the first to show that the store is reachable
// again.
func (w *claimWriter) checkStore(ctx context.Context) error {
	if !w.isReady() {
		return errRefused
	}
	w.checkMu.Lock()
	defer w.checkMu.Unlock()
	if w.s.deps.Clock.Since(w.checkedAt) < storeCheckTTL {
		return w.checkErr
	}
	if ctx.Err() != nil {
		return errRefused
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := w.s.deps.Store.Get(ctx, setupKey)
	w.s.deps.Metrics.countStoreCall("check", err)
	w.checkedAt, w.checkErr = w.s.deps.Clock.Now(), nil
	if err != nil {
		w.checkErr = errRefused
		return errRefused
	}
	w.s.storeMonitor.observe(nil)
	return nil
}

// checkServing returns errRefused if the router is not ready to write claims or considers the store unreachable.
func (w *claimWriter) checkServing() error {
	if !w.isReady() || w.s.storeMonitor.isUnreachable() {
		return errRefused
	}
	return nil
}

// isReady reports whether the router can write claims, provided that the store answers.
func (w *claimWriter) isReady() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.accepting && w.s.table.Load() != nil && !w.s.isDraining()
}

// enqueue queues a claim. An older waiting claim of the same router is refused.
func (w *claimWriter) enqueue(claim *quota.Claim) (*waitingClaim, error) {
	if err := w.checkServing(); err != nil {
		return nil, err
	}
	now := w.s.deps.VMClock.Now().Uptime
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.accepting {
		return nil, errRefused
	}
	w.s.accounts.ObserveClaim(claim, w.lastAnswer[claim.Router], now)
	w.keepDepartures(claim.Departures, claim.VM, now)
	if superseded := w.waiting[claim.Router]; superseded != nil {
		superseded.done <- claimResult{err: errRefused}
	}
	item := &waitingClaim{claim: claim, receivedAt: now, done: make(chan claimResult, 1)}
	w.waiting[claim.Router] = item
	return item, nil
}

// run writes claims until the context ends.
func (w *claimWriter) run(ctx context.Context, started quota.Moment) {
	w.ledgers.startedAt = started
	w.setAccepting(true)
	defer w.setAccepting(false)
	for w.waitForFlush(ctx) {
		if claims := w.dequeue(); len(claims) > 0 {
			w.flush(ctx, claims)
		}
		if !w.s.sleep(ctx, minFlushPause) {
			return
		}
	}
}

// setAccepting sets whether the writer takes claims. When it stops, the waiting claims are refused.
func (w *claimWriter) setAccepting(accepting bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.accepting = accepting
	if accepting {
		return
	}
	for id, item := range w.waiting {
		item.done <- claimResult{err: errRefused}
		delete(w.waiting, id)
	}
}

// waitForFlush waits for a claim and then for the end of the flush delay. It returns false at the end of the context.
func (w *claimWriter) waitForFlush(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-w.arrived:
	}
	select {
	case <-ctx.Done():
		return false
	case <-w.s.deps.Clock.After(flushDelay):
		return true
	case <-w.urgent:
		return w.s.sleep(ctx, urgentFlushDelay)
	}
}

// dequeue removes and returns the waiting claims. It refuses those that are older than claimTimeout, such as those that
// arrived before this VM was suspended, because their senders no longer wait for them.
func (w *claimWriter) dequeue() []*waitingClaim {
	now := w.s.deps.VMClock.Now().Uptime
	w.mu.Lock()
	defer w.mu.Unlock()
	var items []*waitingClaim
	for id, item := range w.waiting {
		delete(w.waiting, id)
		if now-item.receivedAt >= claimTimeout {
			item.done <- claimResult{err: errRefused}
			continue
		}
		items = append(items, item)
	}
	return items
}

// flush writes claims into the ledgers and their allowances into the batch, and answers the claims.
func (w *claimWriter) flush(ctx context.Context, items []*waitingClaim) {
	f := newFlush(w, items)
	f.writeLedgers(ctx)
	err := errStoreUnreachable
	if !w.s.storeMonitor.isUnreachable() {
		err = f.writeBatch(ctx)
		w.s.deps.Metrics.countStoreCall("batch", err)
	}
	if err != nil {
		w.s.recordSync("batch", err)
	}
	now := w.s.deps.VMClock.Now()
	clocks := w.s.accounts.ClockLowerBounds(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, item := range items {
		w.lastAnswer[item.claim.Router] = now.Uptime
		outcome := &quota.Outcome{
			Grants: f.grants[i], Clocks: clocks,
			AllowancesStored: err == nil, AllowancesUnsent: errors.Is(err, errStoreUnreachable),
		}
		if err == nil {
			outcome.Allowances = f.allowances[i].Rows
		}
		item.done <- f.resultOf(i, outcome)
	}
}
