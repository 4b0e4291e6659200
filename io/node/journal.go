package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/member"
	"geraniumsaddle/core/record"
	"geraniumsaddle/io/peer"
)

// ErrNotAcknowledged marks a journal entry that the journal peer has not acknowledged in time.
var ErrNotAcknowledged = errors.New("journal peer did not acknowledge the entry in time")

// journalLimits leaves room for the accounts of 18,000 budgets with their limits and slots, and for more running
// requests than a small VM serves.
var journalLimits = record.Limits{Holds: 16384, Accounts: 20000, Recent: 512, AnswerBytes: 4 << 20, PendingBytes: 2 << 20}

// journal replicates this router's holds and account counters to its journal peer. Traffic goroutines append entries;
// the control goroutine chooses the peer.
type journal struct {
	n *Node

	mu          sync.Mutex
	local       *record.Journal
	ackReceived escrow.Signal
	// closedAccounts lists accounts that are closed on the platform and still have an open hold in the journal, because
	// the reservation of a request ends shortly before its hold.
	closedAccounts []record.Forget

	// candidate is the chosen peer until its declaration starts. pendingDeclaration is a declaration that not all rows
	// show yet. Both belong to the control goroutine.
	candidate          ident.RouterID
	pendingDeclaration record.Declaration
}

func newJournal(n *Node) *journal {
	return &journal{n: n, local: record.New(n.id, journalLimits)}
}

// open journals a hold and waits until the request may be dispatched.
func (j *journal) open(ctx context.Context, h record.Hold) error {
	return j.appendAndWait(ctx, func() (uint64, error) { return j.local.OpenHold(h) })
}

// retarget journals the target of another attempt and waits like open.
func (j *journal) retarget(ctx context.Context, id ident.RequestID, t ident.TargetID) error {
	return j.appendAndWait(ctx, func() (uint64, error) { return j.local.Retarget(id, t) })
}

// raiseCounters journals counters and waits until they may be sent to other routers.
func (j *journal) raiseCounters(ctx context.Context, c record.Counters) error {
	return j.appendAndWait(ctx, func() (uint64, error) { return j.local.RaiseCounters(c) })
}

// raiseCountersAsync journals counters without waiting.
func (j *journal) raiseCountersAsync(c record.Counters) {
	j.mu.Lock()
	_, err := j.local.RaiseCounters(c)
	j.mu.Unlock()
	if err != nil {
		j.n.log.Warn("journal refused counters", "entry", c.Budget, "error", err)
	}
	j.sendDue()
}

// settle journals the end of a hold without waiting.
func (j *journal) settle(s record.Settlement) {
	j.mu.Lock()
	_, err := j.local.Settle(s)
	j.mu.Unlock()
	if err != nil {
		j.n.log.Warn("journal refused a settlement", "request_id", s.Request, "error", err)
	}
	j.sendDue()
}

// forgetAccount drops the counters of an account that is closed on the platform, once its holds have ended.
func (j *journal) forgetAccount(a *account) {
	j.mu.Lock()
	j.closedAccounts = append(j.closedAccounts, record.Forget{Budget: ident.BudgetID(a.Entry()), AccountNumber: accountNumber(a.Holder())})
	j.mu.Unlock()
	j.forgetClosedAccounts()
}

// forgetClosedAccounts drops the counters of closed accounts whose holds have ended.
func (j *journal) forgetClosedAccounts() {
	j.mu.Lock()
	j.closedAccounts = slices.DeleteFunc(j.closedAccounts, func(f record.Forget) bool {
		_, err := j.local.ForgetAccount(f)
		return !errors.Is(err, record.ErrHeld)
	})
	j.mu.Unlock()
	j.sendDue()
}

// accountNumber returns the account number in a holder ID, see escrow.NewHolderID.
func accountNumber(h escrow.HolderID) uint64 {
	_, s, _ := strings.Cut(string(h), "/")
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0 // The first account of an entry has no number.
	}
	return n
}

// zeroCounters returns counters that identify the account in the journal and have no amounts.
func (a *account) zeroCounters() record.Counters {
	return record.Counters{Budget: ident.BudgetID(a.Entry()), AccountNumber: accountNumber(a.Holder())}
}

// appendAndWait adds an entry, sends it to the journal peer and waits until its effect may leave the router.
func (j *journal) appendAndWait(ctx context.Context, add func() (uint64, error)) error {
	j.mu.Lock()
	seq, err := add()
	j.mu.Unlock()
	if err != nil {
		return err
	}
	j.sendDue()
	return j.waitReleased(ctx, seq)
}

// waitReleased waits until the entry is released: acknowledged by the journal peer or past the grace period.
func (j *journal) waitReleased(ctx context.Context, seq uint64) error {
	for {
		sig := j.ackReceived.Wait()
		if err := j.n.waitForControl(ctx); err != nil {
			return ErrNotAcknowledged
		}
		now := j.n.clock.Now()
		j.mu.Lock()
		r := j.local.Release(seq, now)
		j.mu.Unlock()
		if r.OK {
			return nil
		}
		var grace <-chan time.Time
		if !r.RetryAt.IsZero() {
			grace = j.n.clock.After(r.RetryAt.Sub(now))
		}
		select {
		case <-sig:
		case <-grace:
		case <-ctx.Done():
			return ErrNotAcknowledged
		}
	}
}

// restartGrace starts the grace period anew after the process was paused, because the silence during the pause does
// not show that the journal peer is lost.
func (j *journal) restartGrace(now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.local.RestartGrace(now)
}

// sendDue sends the messages that are due to journal peers.
func (j *journal) sendDue() {
	j.mu.Lock()
	out := j.local.Outbox(j.n.clock.Now())
	j.mu.Unlock()
	for _, o := range out {
		m := peer.JournalAppend{}
		switch msg := o.Message.(type) {
		case *record.Append:
			m.Append = msg
		case *record.Snapshot:
			m.Snapshot = msg
		case *record.SnapshotPart:
			m.Part = msg
		}
		j.n.sendToRouter(o.To, m)
	}
}

// handleAck applies an acknowledgement of a journal peer and wakes the requests that wait for it.
func (j *journal) handleAck(a record.Ack) {
	j.mu.Lock()
	j.local.HandleAck(a, j.n.clock.Now())
	j.mu.Unlock()
	j.ackReceived.Notify()
	j.sendDue()
}

// find returns a request of this router by its idempotency key or its id.
func (j *journal) find(m peer.JournalFind) (record.FoundRequest, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if m.Request != "" {
		return j.local.Lookup(m.Request)
	}
	return j.local.LookupKey(m.Key)
}

// tick chooses a journal peer if none is usable, and declares it once it has the whole journal.
func (j *journal) tick() {
	j.mu.Lock()
	current, lost := j.local.DeclaredPeer(), j.local.ReplicaLost()
	ready := j.local.PeerReady()
	j.mu.Unlock()
	if j.pendingDeclaration != (record.Declaration{}) {
		j.confirmDeclaration()
		return
	}
	j.forgetClosedAccounts()
	preferred := j.preferredPeer(current.Peer)
	switch {
	case j.candidate != "" && ready:
		j.declarePeer()
	case lost || preferred != current.Peer && preferred != j.candidate:
		j.choosePeer(preferred)
	}
	j.sendDue()
}

// preferredPeer returns the router that should be the journal peer: the current one while it is usable, otherwise
// another router of the failure domain by rendezvous hashing. It is empty if there is none.
func (j *journal) preferredPeer(current ident.RouterID) ident.RouterID {
	domain := j.n.members.roster.Load().ownDomain
	if current != "" && slices.Contains(domain, current) {
		return current
	}
	for _, id := range member.Rank("journal/"+j.n.id.Name(), domain) {
		if id != j.n.id {
			return id
		}
	}
	return ""
}

// choosePeer starts to send the journal to a router. An empty p means no journal peer and is declared at once.
func (j *journal) choosePeer(p ident.RouterID) {
	j.mu.Lock()
	err := j.local.ChoosePeer(p)
	j.mu.Unlock()
	if err != nil {
		return
	}
	j.candidate = p
	j.n.log.Info("journal peer chosen", "peer", p)
	if p == "" {
		j.declarePeer()
	}
}

// declarePeer starts to write the chosen peer to all rows of this router.
func (j *journal) declarePeer() {
	j.mu.Lock()
	d, ok := j.local.BeginDeclaration()
	j.mu.Unlock()
	if !ok {
		return
	}
	j.pendingDeclaration, j.candidate = d, ""
	j.n.accounts.setJournalPeer(declarationID(d))
}

// confirmDeclaration ends the pending declaration once every row of this router shows it.
func (j *journal) confirmDeclaration() {
	for _, a := range j.n.accounts.all() {
		if !a.JournalConfirmed() {
			return
		}
	}
	j.mu.Lock()
	j.local.ConfirmDeclaration(j.pendingDeclaration)
	j.mu.Unlock()
	j.n.log.Info("journal peer declared", "peer", j.pendingDeclaration.Peer, "term", j.pendingDeclaration.Term)
	j.pendingDeclaration = record.Declaration{}
	j.ackReceived.Notify()
}

// declarationID returns the ID under which ledger rows store a declaration: it combines the peer with the term.
func declarationID(d record.Declaration) ident.RouterID {
	if d.Peer == "" {
		return ""
	}
	return ident.NewRouterID(string(d.Peer)+"#", d.Term)
}

// replicas holds the replicas of other routers' journals. It is safe for concurrent use.
type replicas struct {
	n        *Node
	mu       sync.Mutex
	byRouter map[ident.RouterID]*record.Replica
}

func newReplicas(n *Node) *replicas {
	return &replicas{n: n, byRouter: make(map[ident.RouterID]*record.Replica)}
}

// apply applies a message of another router to its replica and sends the acknowledgement.
func (r *replicas) apply(from peer.Sender, m peer.JournalAppend) {
	var msg record.Message
	switch {
	case m.Append != nil && m.Append.Router == from.ID:
		msg = m.Append
	case m.Snapshot != nil && m.Snapshot.Router == from.ID:
		msg = m.Snapshot
	case m.Part != nil && m.Part.Snapshot.Router == from.ID:
		msg = m.Part
	default:
		return
	}
	r.mu.Lock()
	replica := r.byRouter[from.ID]
	if replica == nil {
		replica = record.NewReplica(r.n.id, from.ID, rand.Uint64()|1, journalLimits) //nolint:gosec // identifies the replica instance, not a secret
		r.byRouter[from.ID] = replica
	}
	ack, ok := replica.Apply(msg, r.n.clock.Now())
	r.mu.Unlock()
	if ok {
		r.n.sendToAddr(from.Addr, peer.JournalAck{Ack: ack})
	}
}

// find returns a request of another router by its idempotency key or its id.
func (r *replicas) find(m peer.JournalFind) (ident.RouterID, record.FoundRequest, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, replica := range r.byRouter {
		var f record.FoundRequest
		var ok bool
		if m.Request != "" {
			f, ok = replica.Lookup(m.Request)
		} else {
			f, ok = replica.LookupKey(m.Key)
		}
		if ok {
			return id, f, true
		}
	}
	return "", record.FoundRequest{}, false
}

// get returns the replica of a router, or nil.
func (r *replicas) get(id ident.RouterID) *record.Replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byRouter[id]
}

func (r *replicas) remove(id ident.RouterID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byRouter, id)
}

// findLocal looks up a request in this router's journal and in its replicas.
func (n *Node) findLocal(m peer.JournalFind) peer.JournalFound {
	owner := n.id
	f, ok := n.journal.find(m)
	if !ok {
		owner, f, ok = n.replicas.find(m)
	}
	if !ok {
		return peer.JournalFound{}
	}
	return peer.JournalFound{Owner: owner, Hold: &f.Hold, Settlement: f.Settlement}
}

// hasDeclaredPeer reports whether this router has a confirmed journal peer.
func (j *journal) hasDeclaredPeer() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.local.DeclaredPeer().Peer != ""
}
