package node

import (
	"context"
	"time"

	"geraniumsaddle/core/config"
	"geraniumsaddle/core/object"
)

const (
	// tickInterval is the interval of the control goroutine's periodic work.
	tickInterval = 100 * time.Millisecond
	// eventQueueSize bounds the events that wait for the control goroutine.
	eventQueueSize = 4096
	// pauseThreshold is the smallest age of the last tick at which the process counts as paused. A paused router
	// dispatches no new work until the control goroutine has run again.
	pauseThreshold = 3 * time.Second
)

// post queues an event for the control goroutine. It blocks while the queue is full, and drops the event once the
// control goroutine has ended.
func (n *Node) post(ev event) {
	select {
	case n.events <- ev:
	case <-n.controlDone:
	}
}

// tryPost queues an event, or drops it if the queue is full. Messages of peers repeat cumulative state, so a later
// message replaces a dropped one.
func (n *Node) tryPost(ev event) {
	select {
	case n.events <- ev:
	default:
		n.metrics.SetState("control_events_dropped", float64(n.droppedEvents.Add(1)))
	}
}

// runOnControl runs a function on the control goroutine and waits until it returns. After an error the function may
// still run later.
func (n *Node) runOnControl(ctx context.Context, run func()) error {
	done := make(chan struct{})
	select {
	case n.events <- funcEvent{func() { run(); close(done) }}:
	case <-ctx.Done():
		return ctx.Err()
	case <-n.controlDone:
		return ErrShuttingDown
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-n.controlDone:
		return ErrShuttingDown
	}
}

// controlLoop is the control goroutine. It applies events in order until the router stops.
func (n *Node) controlLoop() {
	defer close(n.controlDone)
	tick := n.clock.NewTicker(tickInterval)
	defer tick.Stop()
	n.tick(n.clock.Now())
	for {
		short := n.accounts.short.Wait()
		select {
		case ev := <-n.events:
			n.applyEvent(ev)
		case <-tick.Chan():
			n.tick(n.clock.Now())
		case <-short:
			now := n.clock.Now()
			n.ledger.tick(now, true)
			n.transfers.ask(now)
		case <-n.ctx.Done():
			return
		}
	}
}

// applyEvent applies an event, and rebuilds the view if a configuration object has changed.
func (n *Node) applyEvent(ev event) {
	now := n.clock.Now()
	switch ev := ev.(type) {
	case feedEvent:
		objs := n.feeds.handleAnswer(ev, now)
		n.applyObjects(objs)
		n.pushObjects(objs)
	case peerEvent:
		n.handleMessage(ev, now)
	case vmListEvent:
		n.applyVMList(ev, now)
	case entriesEvent:
		n.ledger.applyEntries(ev, now)
	case pollEvent:
		n.pools.applyPoll(ev, now)
	case funcEvent:
		ev.run()
	}
	if n.viewOutdated {
		n.rebuildView(now)
	}
}

// applyObjects applies objects that are new to this router: shards at once, and the configuration with the next rebuild
// of the view.
func (n *Node) applyObjects(objs []config.Object) {
	for _, o := range objs {
		switch o.Kind {
		case object.KindLedger, object.KindSlots:
			if !o.Deleted {
				n.applyShard(o)
			}
		default:
			n.viewOutdated = true
		}
	}
}

// rebuildView replaces the snapshot of the configuration. An object whose newest version cannot be used keeps its last
// usable form.
func (n *Node) rebuildView(now time.Time) {
	n.viewOutdated = false
	v := newView()
	for _, kind := range configKinds {
		for _, o := range n.feeds.objects.All(kind) {
			row, err := n.decoder.decode(o)
			if err != nil {
				n.log.Error("object cannot be used; the last usable form stays in force", "kind", o.Kind, "name", o.Name, "version", o.Version)
			}
			v.addObject(row)
		}
	}
	n.decoder.prune(n.feeds.objects)
	v.deriveModels()
	if len(v.budgets) > len(n.view.Load().budgets) || len(v.targets) > len(n.view.Load().targets) {
		n.ledger.startupUntil = now.Add(startupReportPeriod)
	}
	n.view.Store(v)
	n.releases.configure(v, now)
	n.pools.configure(v, now)
	n.members.applyRouterRecords(v)
	n.prefetchAllotments(v)
	n.metrics.SetState("configuration_objects", float64(v.objectCount()))
}

// maxPrefetchBudgets is the number of budgets up to which a router requests an allotment of each one in advance, so
// that every organisation has tokens in every failure domain when a partition begins.
const maxPrefetchBudgets = 2000

// prefetchAllotments opens the accounts of all organisations. The ledger client then requests their allotments.
func (n *Node) prefetchAllotments(v *view) {
	if len(v.budgets) > maxPrefetchBudgets {
		return
	}
	for org := range v.orgs {
		n.accounts.wallet(v, org)
	}
}

// tick does the periodic work of the control goroutine. The less urgent part runs once a second.
func (n *Node) tick(now time.Time) {
	if last := n.lastTick.Load(); last != 0 && now.UnixNano()-last >= int64(pauseThreshold) {
		n.log.Warn("the process was paused", "for_ms", (now.UnixNano()-last)/int64(time.Millisecond))
		n.journal.restartGrace(now)
	}
	n.lastTick.Store(now.UnixNano())
	n.feeds.setActive(n.isWatcher())
	n.updateConfigLoaded(now)
	n.feeds.tick(now)
	n.pools.tick(now)
	n.members.tick(now)
	n.journal.tick()
	n.releases.tick(now)
	n.orders.tick(now)
	n.loadReports.tick(now)
	n.vmList.tick(now)
	if n.traffic.waiting.Load() > 0 {
		n.ledger.tick(now, true)
		n.transfers.ask(now)
	}
	if now.Sub(n.slowTickAt) < time.Second {
		if now.Before(n.ledger.startupUntil) {
			n.ledger.tick(now, false)
		}
		return
	}
	n.slowTickAt = now
	n.metrics.SetState("suspended_streams", float64(n.traffic.streams.suspendSlow(now, n.cfg.SlowReaderAfter)))
	for _, a := range n.accounts.all() {
		a.Tick(now)
	}
	n.ledger.tick(now, false)
	n.transfers.tick(now)
	n.pollVMList(now)
	n.recovery.tick(now)
	n.bills.tick(now)
	n.rollUps.tick(now)
	n.idleAccounts.tick(now)
	n.updateGauges()
}

// controlIsCurrent reports whether the control goroutine has ticked within pauseThreshold. After a pause the snapshot
// lacks newer verdicts and configuration until the control goroutine has run again.
func (n *Node) controlIsCurrent() bool {
	return n.clock.Now().UnixNano()-n.lastTick.Load() < int64(pauseThreshold)
}

// updateGauges updates the gauges and the counters of peer traffic, and closes the peer connections whose certificate
// is no longer valid.
func (n *Node) updateGauges() {
	var free, held float64
	for _, a := range n.accounts.all() {
		if a.shard.Kind == object.KindLedger {
			free += float64(a.Free())
			held += float64(a.Held())
		}
	}
	n.metrics.SetState("free_tokens", free)
	n.metrics.SetState("held_tokens", held)
	n.metrics.SetState("running_requests", float64(n.traffic.inFlight.Load()))
	n.metrics.SetState("bills_pending", float64(n.bills.pendingCount()))
	if n.transport != nil {
		n.peerBytes.record(n.metrics, n.transport.Counts())
		n.transport.RecheckCerts()
	}
}
