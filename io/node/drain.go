package node

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/peer"
	"geraniumsaddle/io/store"
)

const (
	// handoverTimeout bounds the return of allotments and slots after the last request.
	handoverTimeout      = 15 * time.Second
	handoverPollInterval = 50 * time.Millisecond
)

// drain shuts the router down gracefully: it announces that it is leaving, waits DrainGrace for the load balancer to
// stop sending requests, finishes all running requests, writes its bills, closes its holders and removes its router
// record. served receives the result of the callers' server.
func (n *Node) drain(served <-chan error) {
	n.log.Info("router is leaving", "running", n.traffic.inFlight.Load())
	n.traffic.leaving.Store(true)
	_ = n.runOnControl(n.ctx, n.announceLeaving)
	n.orders.handOverLease(n.ctx)
	ctx, cancel := context.WithTimeout(n.ctx, n.cfg.DrainTimeout)
	defer cancel()
	select {
	case <-n.clock.After(n.cfg.DrainGrace):
	case <-ctx.Done():
	}
	// The server's own Shutdown may close a connection on which a request has just been read.
	_ = n.callerListener.Close()
	if err := <-served; !errors.Is(err, net.ErrClosed) {
		n.log.Warn("server for callers failed", "error", err)
	}
	n.callers.CloseIdle()
	if err := n.callers.Wait(ctx); err != nil {
		n.log.Error("requests were cut at the end of the drain timeout", "running", n.traffic.inFlight.Load(), "error", err)
	}
	n.traffic.draining.Store(true)
	n.traffic.wg.Wait()
	n.handOver()
	n.log.Info("router has left")
}

// announceLeaving tells all routers that this one accepts no new work.
func (n *Node) announceLeaving() {
	u := n.members.detector.Leave()
	for id := range n.members.roster.Load().addrs {
		n.sendToRouter(id, peer.Leaving{Member: u})
	}
}

// handOver writes the pending bills, returns the tokens and slots of this router to the platform, and deletes its
// router record. If holders remain open, the record stays for recovery.
func (n *Node) handOver() {
	ctx, cancel := context.WithTimeout(n.ctx, handoverTimeout)
	defer cancel()
	n.bills.flush(ctx)
	for _, a := range n.accounts.all() {
		a.Leave()
	}
	left := n.closeAllAccounts(ctx)
	if left > 0 {
		n.log.Warn("holders stay open and are closed by recovery", "holders", left)
		n.transferToPeer()
		return
	}
	_, err := n.platform.Delete(ctx, object.Key{Kind: object.KindRouter, Name: string(n.id)}, store.Any())
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		n.log.Warn("router record could not be removed", "error", err)
	}
}

// closeAllAccounts closes the rows of all accounts, each once its requests and transfers have ended. One update closes
// all accounts of a shard. It returns the number of accounts that are still open when ctx ends.
func (n *Node) closeAllAccounts(ctx context.Context) int {
	open := n.accounts.all()
	for {
		byShard := make(map[object.Key][]*account)
		for _, a := range open {
			byShard[a.shard] = append(byShard[a.shard], a)
		}
		open = open[:0]
		for k, accts := range byShard {
			open = append(open, n.closeAccounts(ctx, k, accts)...)
		}
		if len(open) == 0 {
			return 0
		}
		select {
		case <-n.clock.After(handoverPollInterval):
		case <-ctx.Done():
			return len(open)
		}
	}
}

// closeAccounts closes the rows of accounts in one shard, and returns the accounts that are still open.
func (n *Node) closeAccounts(ctx context.Context, k object.Key, accts []*account) (left []*account) {
	var proofs []accountProof
	for _, a := range accts {
		if a.Closed() {
			n.journal.forgetAccount(a)
			continue
		}
		if a.Report().RowNumber == 0 {
			continue
		}
		if len(a.Unacked()) > 0 {
			left = append(left, a)
			continue
		}
		p, ok := a.Proof()
		if !ok {
			left = append(left, a)
			continue
		}
		proofs = append(proofs, accountProof{a, p})
	}
	if len(proofs) == 0 {
		return left
	}
	return append(left, n.closeWithProofs(ctx, k, proofs)...)
}

// accountProof is an account with the proof that closes its row.
type accountProof struct {
	account *account
	proof   escrow.Proof
}

// closeWithProofs closes rows with one update, and returns the accounts whose rows may still be open.
func (n *Node) closeWithProofs(ctx context.Context, k object.Key, proofs []accountProof) (left []*account) {
	var open []accountProof
	r := n.writers.updateShard(ctx, k, func(s escrow.Shard) (next escrow.Shard, changed bool) {
		next, open, changed = closeRows(s, proofs)
		return next, changed
	})
	if r.err != nil {
		open = proofs
	}
	for _, p := range open {
		left = append(left, p.account)
	}
	if r.err == nil && len(open) > 0 {
		n.writers.invalidate(k) // The cached shard is older than one of the rows.
	}
	for _, p := range proofs {
		if !slices.Contains(left, p.account) {
			n.journal.forgetAccount(p.account)
		}
	}
	return left
}

// closeRows closes the rows of a shard that the proofs name, and returns the proofs whose rows are not in the shard yet
// or could not be closed.
func closeRows(s escrow.Shard, proofs []accountProof) (next escrow.Shard, open []accountProof, changed bool) {
	for _, p := range proofs {
		known := s.Entry(p.account.Entry())
		if known == nil {
			open = append(open, p)
			continue
		}
		e := known.Clone()
		ok, err := e.Close(p.proof)
		switch {
		case err == nil && ok:
			s, changed = s.With(e), true
		case err != nil || e.RowsOpened < p.proof.RowNumber:
			// RowsOpened distinguishes a shard in which the row is already closed from one in which it is not yet open.
			open = append(open, p)
		}
	}
	return s, open, changed
}

// transferToPeer transfers the free tokens of all accounts to another router of the own failure domain. It is used when
// the platform did not take them back.
func (n *Node) transferToPeer() {
	r := n.members.roster.Load()
	for _, id := range r.ownDomain {
		if id == n.id {
			continue
		}
		for _, a := range n.accounts.all() {
			if out, ok := a.TransferOut(escrow.NewHolderID(id, 0), a.Free()); ok {
				n.sendToRouter(id, peer.Transfer{Transfer: out})
			}
		}
		return
	}
}
