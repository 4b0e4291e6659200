package node

import (
	"context"
	"time"

	"geraniumsaddle/core/config"
	"geraniumsaddle/core/object"
)

const (
	// tickEvery is the interval of the control goroutine's periodic work.
	tickEvery = 100 * time.Millisecond
	// eventQueue bounds the events that wait for the control goroutine.
	eventQueue = 4096
	// staleAfter is the age of the last tick above which a paused router does not dispatch new work.
	staleAfter = 3 * time.Second
)

// post hands an event to the control goroutine. It waits while the queue is full, and drops the event
// when the router has stopped.
func (n *Node) post(ev event) {
	select {
	case n.events <- ev:
	case <-n.stopped:
	}
}

// offer hands over an event unless the queue is full. Messages of peers repeat cumulative state, so a dropped one is
// made up for by a later one.
func (n *Node) offer(ev event) {
	select {
	case n.events <- ev:
	default:
		n.metrics.SetState("control_events_dropped", float64(n.dropped.Add(1)))
	}
}

// ask runs a function on the control goroutine and waits for it.
func (n *Node) ask(ctx context.Context, run func()) error {
	done := make(chan struct{})
	select {
	case n.events <- callEvent{func() { run(); close(done) }}:
	case <-ctx.Done():
		return ctx.Err()
	case <-n.stopped:
		return ErrDraining
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-n.stopped:
		return ErrDraining
	}
}

// control applies events in order until the router stops.
func (n *Node) control() {
	defer close(n.stopped)
	tick := n.clock.NewTicker(tickEvery)
	defer tick.Stop()
	n.tick(n.clock.Now())
	for {
		short := n.accounts.short.Wait()
		select {
		case ev := <-n.events:
			n.apply(ev)
		case <-tick.Chan():
			n.tick(n.clock.Now())
		case <-short:
			now := n.clock.Now()
			n.ledger.tick(now, true)
			n.transfers.ask(now)
		case <-n.life.Done():
			return
		}
	}
}

func (n *Node) apply(ev event) {
	now := n.clock.Now()
	switch ev := ev.(type) {
	case feedEvent:
		objs := n.feeds.handle(ev, now)
		n.changed(objs)
		n.shareObjects(objs)
	case peerEvent:
		n.receive(ev, now)
	case vmsEvent:
		n.learnVMs(ev, now)
	case entriesEvent:
		n.ledger.confirmed(ev, now)
	case loadEvent:
		n.pools.report(ev, now)
	case callEvent:
		ev.run()
	}
	if n.dirty {
		n.rebuild(now)
	}
}

// changed takes over objects that are new to this router.
func (n *Node) changed(objs []config.Object) {
	for _, o := range objs {
		switch o.Kind {
		case object.KindLedger, object.KindSlots:
			if !o.Deleted {
				n.shardObserved(o)
			}
		default:
			n.dirty = true
		}
	}
}

// rebuild replaces the snapshot of the configuration. An object that cannot be used keeps its last form.
func (n *Node) rebuild(now time.Time) {
	n.dirty = false
	v := newView()
	for _, kind := range configKinds {
		for _, o := range n.feeds.store.All(kind) {
			row, err := n.decoder.decode(o)
			if err != nil {
				n.log.Error("object cannot be used; the last usable form stays in force", "kind", o.Kind, "name", o.Name, "version", o.Version)
			}
			v.add(row)
		}
	}
	n.decoder.forget(n.feeds.store)
	v.finish()
	if len(v.budgets) > len(n.view.Load().budgets) || len(v.targets) > len(n.view.Load().targets) {
		n.ledger.openUntil = now.Add(openFor)
	}
	n.view.Store(v)
	n.releases.configure(v, now)
	n.pools.configure(v, now)
	n.members.learnRouters(v)
	n.prefetch(v)
	n.metrics.SetState("configuration_objects", float64(v.size()))
}

// prefetchBudgets is the number of budgets up to which a router asks for an allotment of each at once, so
// that a later partition finds every organisation with tokens in every failure domain.
const prefetchBudgets = 2000

func (n *Node) prefetch(v *view) {
	if len(v.budgets) > prefetchBudgets {
		return
	}
	for org := range v.orgs {
		n.accounts.wallet(v, org)
	}
}

// tick does the periodic work of the control goroutine.
func (n *Node) tick(now time.Time) {
	if last := n.lastTick.Load(); last != 0 && now.UnixNano()-last >= int64(staleAfter) {
		n.log.Warn("the process was paused", "for_ms", (now.UnixNano()-last)/int64(time.Millisecond))
		n.journal.resumed(now)
	}
	n.lastTick.Store(now.UnixNano())
	n.feeds.setActive(n.isWatcher())
	n.noteLoaded(now)
	n.feeds.tick(now)
	n.pools.tick(now)
	n.members.tick(now)
	n.journal.tick()
	n.releases.tick(now)
	n.orders.tick(now)
	n.reports.tick(now)
	n.vmList.tick(now)
	if n.traffic.waiting.Load() > 0 {
		n.ledger.tick(now, true)
		n.transfers.ask(now)
	}
	if now.Sub(n.slowTick) < time.Second {
		if now.Before(n.ledger.openUntil) {
			n.ledger.tick(now, false)
		}
		return
	}
	n.slowTick = now
	n.metrics.SetState("suspended_streams", float64(n.traffic.streams.suspend(now, n.cfg.SlowReaderAfter)))
	for _, a := range n.accounts.all() {
		a.Tick(now)
	}
	n.ledger.tick(now, false)
	n.transfers.tick(now)
	n.pollVMs(now)
	n.recovery.tick(now)
	n.bills.tick(now)
	n.rollUps.tick(now)
	n.idle.tick(now)
	n.gauges()
}

// fresh reports whether the control goroutine has run recently. A router that was paused has a snapshot that
// misses verdicts and configuration until it has run again.
func (n *Node) fresh() bool {
	return n.clock.Now().UnixNano()-n.lastTick.Load() < int64(staleAfter)
}

func (n *Node) gauges() {
	var free, held float64
	for _, a := range n.accounts.all() {
		if a.shard.Kind == object.KindLedger {
			free += float64(a.Free())
			held += float64(a.Held())
		}
	}
	n.metrics.SetState("free_tokens", free)
	n.metrics.SetState("held_tokens", held)
	n.metrics.SetState("running_requests", float64(n.traffic.count.Load()))
	n.metrics.SetState("bills_pending", float64(n.bills.len()))
	if n.transport != nil {
		n.wire.record(n.metrics, n.transport.Counts())
		n.transport.RecheckCerts()
	}
}
