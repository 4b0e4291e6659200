package node

import (
	"context"
	"errors"
	"slices"
	"time"

	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/peer"
	"geraniumsaddle/io/store"
)

const (
	// handoverWait bounds the return of allotments and slots after the last request.
	handoverWait = 15 * time.Second
	handoverPoll = 50 * time.Millisecond
)

// drain shuts the router down gracefully: it announces that it leaves, lets the balancer turn away, finishes all
// running requests, writes its bills, closes its holders and removes its record.
func (n *Node) drain() {
	n.log.Info("router is leaving", "running", n.traffic.count.Load())
	n.traffic.leaving.Store(true)
	_ = n.ask(n.life, n.announceLeaving)
	n.orders.giveUp(n.life)
	ctx, cancel := context.WithTimeout(n.life, n.cfg.DrainTimeout)
	defer cancel()
	select {
	case <-n.clock.After(n.cfg.DrainGrace):
	case <-ctx.Done():
	}
	if err := n.callers.Shutdown(ctx); err != nil {
		n.log.Error("requests were cut at the end of the drain timeout", "running", n.traffic.count.Load(), "error", err)
	}
	n.traffic.draining.Store(true)
	n.traffic.running.Wait()
	n.handOver()
	n.log.Info("router has left")
}

// announceLeaving tells all routers that this one takes no new work.
func (n *Node) announceLeaving() {
	u := n.members.det.Leave()
	for id := range n.members.roster.Load().addr {
		n.sendTo(id, peer.Leaving{Member: u})
	}
}

// handOver returns what this router holds.
func (n *Node) handOver() {
	ctx, cancel := context.WithTimeout(n.life, handoverWait)
	defer cancel()
	n.bills.flush(ctx)
	for _, a := range n.accounts.all() {
		a.Leave()
	}
	left := n.closeHolders(ctx)
	if left > 0 {
		n.log.Warn("holders stay open and are closed by recovery", "holders", left)
		n.giveToPeer()
		return
	}
	_, err := n.store.Delete(ctx, object.Key{Kind: object.KindRouter, Name: string(n.id)}, store.Any())
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		n.log.Warn("router record could not be removed", "error", err)
	}
}

// closeHolders closes the rows of all accounts that have ended their requests and transfers, and returns the number of
// those that are left.
func (n *Node) closeHolders(ctx context.Context) int {
	open := n.accounts.all()
	for {
		open = slices.DeleteFunc(open, func(a *account) bool { return n.closeHolder(ctx, a) })
		if len(open) == 0 {
			return 0
		}
		select {
		case <-n.clock.After(handoverPoll):
		case <-ctx.Done():
			return len(open)
		}
	}
}

// closeHolder closes the row of one account and reports whether nothing of it is left.
func (n *Node) closeHolder(ctx context.Context, a *account) bool {
	if a.Closed() {
		n.journal.forget(a)
		return true
	}
	if a.Report().Open == 0 {
		return true
	}
	if len(a.Unacked()) > 0 {
		return false
	}
	p, ok := a.Proof()
	if !ok {
		return false
	}
	closed := false
	r := n.writers.update(ctx, a.shard, func(s escrow.Shard) (escrow.Shard, bool) {
		closed = false
		known := s.Entry(a.Entry())
		if known == nil {
			return s, false
		}
		e := known.Clone()
		changed, err := e.Close(p)
		// Opened tells a shard from after the row was closed from a cached one from before it was opened.
		closed = err == nil && (changed || e.Opened >= p.Open)
		if err != nil || !changed {
			return s, false
		}
		return s.With(e), true
	})
	if r.err == nil && closed {
		n.journal.forget(a)
	}
	return r.err == nil
}

// giveToPeer sends free tokens to a router of the own failure domain when the platform does not take them back.
func (n *Node) giveToPeer() {
	r := n.members.roster.Load()
	for _, id := range r.domain {
		if id == n.id {
			continue
		}
		for _, a := range n.accounts.all() {
			if out, ok := a.TransferOut(escrow.NewHolderID(id, 0), a.Free()); ok {
				n.sendTo(id, peer.Transfer{Transfer: out})
			}
		}
		return
	}
}
