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
	// gatherCalm and gatherUrgent are the times in which claims gather before a write. Requests wait behind urgent ones.
	gatherCalm   = 250 * time.Millisecond
	gatherUrgent = 20 * time.Millisecond
	// writePause is the least time between two writes of one writer.
	writePause = 80 * time.Millisecond
	// checkedFor is the time for which a check tells whether the store can be heard.
	checkedFor = 200 * time.Millisecond
)

// errRefused means that a claim has had no effect and will have none.
var errRefused = errors.New("claim was refused")

// errAway means that a write was not sent because the store cannot be heard.
var errAway error = &store.Error{Kind: store.ErrUnavailable, Call: "write of allowances", Err: errors.New("not sent")}

// batchKey is the object with the allowances of the routers that have a writer.
var batchKey = object.Key{Kind: platform.KindAllowanceBatch, Name: "main"}

// writer writes the claims of many routers into the ledgers. Any router may be a writer for others.
type writer struct {
	s     *Server
	tasks *ledgerTask
	batch stored
	// written is the batch as last written, at a version.
	written   *quota.Batch
	writtenAs ident.ObjectVersion

	mu       sync.Mutex
	open     bool
	waiting  map[ident.RouterID]*waitingClaim
	answered map[ident.RouterID]time.Duration
	// checking guards the time and the result of the last check of the store.
	checking sync.Mutex
	checked  time.Time
	checkErr error

	// arrived and urgent tell the writer that a claim waits.
	arrived, urgent chan struct{}
}

// waitingClaim is a claim that is not written yet.
type waitingClaim struct {
	claim *quota.Claim
	// came is the uptime at which it came.
	came time.Duration
	done chan claimResult
}

type claimResult struct {
	out *quota.Outcome
	err error
}

func newWriter(s *Server) *writer {
	return &writer{
		s: s, tasks: newLedgerTask(s),
		waiting: make(map[ident.RouterID]*waitingClaim), answered: make(map[ident.RouterID]time.Duration),
		arrived: make(chan struct{}, 1), urgent: make(chan struct{}, 1),
	}
}

// submit waits until a claim is written. The error is errRefused if it has had no effect and will have none.
func (w *writer) submit(ctx context.Context, c *quota.Claim) (*quota.Outcome, error) {
	if c.Probe {
		return &quota.Outcome{}, w.probe(ctx, c.Router)
	}
	item, err := w.enqueue(c)
	if err != nil {
		return nil, err
	}
	trigger(w.arrived)
	if isUrgent(c) {
		trigger(w.urgent)
	}
	select {
	case r := <-item.done:
		return r.out, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func isUrgent(c *quota.Claim) bool {
	if c.Leaves {
		return true
	}
	for _, n := range c.Needs {
		if n.Want > 0 {
			return true
		}
	}
	return false
}

// probe answers a router that asks whether it would be served.
func (w *writer) probe(ctx context.Context, from ident.RouterID) error {
	if err := w.check(ctx); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answered[from] = w.s.deps.VM.Now().Uptime
	return nil
}

// check returns errRefused if the router writes no claims at present or the store does not answer it. One call answers all
// that ask at the same time. Its answer is also what shows soonest that a lost store is back.
func (w *writer) check(ctx context.Context) error {
	if !w.ready() {
		return errRefused
	}
	w.checking.Lock()
	defer w.checking.Unlock()
	if w.s.deps.Clock.Since(w.checked) < checkedFor {
		return w.checkErr
	}
	if ctx.Err() != nil {
		return errRefused
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := w.s.deps.Store.Get(ctx, layoutKey)
	w.s.deps.Metrics.storeCall("check", err)
	w.checked, w.checkErr = w.s.deps.Clock.Now(), nil
	if err != nil {
		w.checkErr = errRefused
		return errRefused
	}
	w.s.link.result(nil)
	return nil
}

// serves returns errRefused if the router writes no claims at present.
func (w *writer) serves() error {
	if !w.ready() || w.s.link.isAway() {
		return errRefused
	}
	return nil
}

// ready reports whether the router could write claims if the store answers it.
func (w *writer) ready() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.open && w.s.table.Load() != nil && !w.s.draining.Load()
}

func (w *writer) enqueue(c *quota.Claim) (*waitingClaim, error) {
	if err := w.serves(); err != nil {
		return nil, err
	}
	now := w.s.deps.VM.Now().Uptime
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.open {
		return nil, errRefused
	}
	w.s.accounts.ObserveClaim(c, w.answered[c.Router], now)
	if old := w.waiting[c.Router]; old != nil {
		old.done <- claimResult{err: errRefused}
	}
	item := &waitingClaim{claim: c, came: now, done: make(chan claimResult, 1)}
	w.waiting[c.Router] = item
	return item, nil
}

// run writes claims until the context ends.
func (w *writer) run(ctx context.Context, started quota.Moment) {
	w.tasks.started = started
	w.setOpen(true)
	defer w.setOpen(false)
	for w.gather(ctx) {
		if claims := w.take(); len(claims) > 0 {
			w.flush(ctx, claims)
		}
		if !w.s.sleep(ctx, writePause) {
			return
		}
	}
}

func (w *writer) setOpen(open bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open = open
	if open {
		return
	}
	for id, item := range w.waiting {
		item.done <- claimResult{err: errRefused}
		delete(w.waiting, id)
	}
}

// gather waits until claims have gathered, and returns false at the end of the context.
func (w *writer) gather(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-w.arrived:
	}
	select {
	case <-ctx.Done():
		return false
	case <-w.s.deps.Clock.After(gatherCalm):
		return true
	case <-w.urgent:
		return w.s.sleep(ctx, gatherUrgent)
	}
}

// take returns the waiting claims. Claimants no longer wait for those that came before a suspension of this VM.
func (w *writer) take() []*waitingClaim {
	now := w.s.deps.VM.Now().Uptime
	w.mu.Lock()
	defer w.mu.Unlock()
	var items []*waitingClaim
	for id, item := range w.waiting {
		delete(w.waiting, id)
		if now-item.came >= claimTimeout {
			item.done <- claimResult{err: errRefused}
			continue
		}
		items = append(items, item)
	}
	return items
}

// flush writes claims into the ledgers and the allowances, and answers them.
func (w *writer) flush(ctx context.Context, items []*waitingClaim) {
	f := newFlush(w, items)
	f.writeLedgers(ctx)
	err := errAway
	if !w.s.link.isAway() {
		err = f.writeBatch(ctx)
		w.s.deps.Metrics.storeCall("batch", err)
	}
	if err != nil {
		w.s.wrote("batch", err)
	}
	now := w.s.deps.VM.Now()
	clocks := w.s.accounts.ClockLowerBounds(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, item := range items {
		w.answered[item.claim.Router] = now.Uptime
		out := &quota.Outcome{Grants: f.grants[i], Clocks: clocks, AllowancesStored: err == nil, AllowancesUnsent: errors.Is(err, errAway)}
		if err == nil {
			out.Allowances = f.bounded[i].Rows
		}
		item.done <- f.result(i, out)
	}
}
