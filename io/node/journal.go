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

// ErrNotAcknowledged marks an entry that the journal peer has not acknowledged in time.
var ErrNotAcknowledged = errors.New("journal peer has not acknowledged")

// journalLimits covers 18,000 budgets with limits and slots beside them, and more running requests than a small VM
// serves.
var journalLimits = record.Limits{Holds: 16384, Accounts: 20000, Recent: 512, AnswerBytes: 4 << 20, PendingBytes: 2 << 20}

// journal keeps this router's holds at its journal peer. Traffic goroutines append; the control goroutine chooses the
// peer.
type journal struct {
	n *Node

	mu          sync.Mutex
	local       *record.Journal
	ackReceived escrow.Signal
	// closed lists accounts that are closed on the platform and have an open hold in the journal. The reservation of a
	// request ends shortly before its hold.
	closedAccounts []record.Forget

	// The following belong to the control goroutine.
	candidate          ident.RouterID
	pendingDeclaration record.Declaration
}

func newJournal(n *Node) *journal {
	return &journal{n: n, local: record.New(n.id, journalLimits)}
}

// open journals a hold and waits until the request may be dispatched.
func (j *journal) open(ctx context.Context, h record.Hold) error {
	return j.appendAndWait(ctx, func() (uint64, error) { return j.local.Open(h) })
}

// retarget journals the target of another attempt and waits like open.
func (j *journal) retarget(ctx context.Context, id ident.RequestID, t ident.TargetID) error {
	return j.appendAndWait(ctx, func() (uint64, error) { return j.local.Retarget(id, t) })
}

// raise journals counters and waits until they may leave the router.
func (j *journal) raiseCounters(ctx context.Context, c record.Counters) error {
	return j.appendAndWait(ctx, func() (uint64, error) { return j.local.Raise(c) })
}

// note journals counters without waiting.
func (j *journal) raiseCountersAsync(c record.Counters) {
	j.mu.Lock()
	_, err := j.local.Raise(c)
	j.mu.Unlock()
	if err != nil {
		j.n.log.Warn("journal refused counters", "entry", c.Budget, "error", err)
	}
	j.flush()
}

// settle journals the end of a hold without waiting.
func (j *journal) settle(s record.Settlement) {
	j.mu.Lock()
	_, err := j.local.Settle(s)
	j.mu.Unlock()
	if err != nil {
		j.n.log.Warn("journal refused a settlement", "request_id", s.Request, "error", err)
	}
	j.flush()
}

// forget drops the counters of an account that is closed on the platform.
func (j *journal) forgetAccount(a *account) {
	j.mu.Lock()
	j.closedAccounts = append(j.closedAccounts, record.Forget{Budget: ident.BudgetID(a.Entry()), AccountNumber: accountNumber(a.Holder())})
	j.mu.Unlock()
	j.forgetClosedAccounts()
}

// forgetClosed drops the counters of closed accounts whose holds have ended.
func (j *journal) forgetClosedAccounts() {
	j.mu.Lock()
	j.closedAccounts = slices.DeleteFunc(j.closedAccounts, func(f record.Forget) bool {
		_, err := j.local.Forget(f)
		return !errors.Is(err, record.ErrHeld)
	})
	j.mu.Unlock()
	j.flush()
}

// accountNumber returns the number in the identity of a holder, see escrow.NewHolderID.
func accountNumber(h escrow.HolderID) uint64 {
	_, s, _ := strings.Cut(string(h), "/")
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0 // The first account of an entry has no number.
	}
	return n
}

// counters returns the journal's identity of an account, without amounts.
func (a *account) zeroCounters() record.Counters {
	return record.Counters{Budget: ident.BudgetID(a.Entry()), AccountNumber: accountNumber(a.Holder())}
}

func (j *journal) appendAndWait(ctx context.Context, add func() (uint64, error)) error {
	j.mu.Lock()
	seq, err := add()
	j.mu.Unlock()
	if err != nil {
		return err
	}
	j.flush()
	return j.waitReleased(ctx, seq)
}

// wait returns when the entry may take effect.
func (j *journal) waitReleased(ctx context.Context, seq uint64) error {
	for {
		sig := j.ackReceived.Wait()
		if err := j.n.refresh(ctx); err != nil {
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

// resumed is called when the process ran again after a pause.
func (j *journal) restartGrace(now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.local.RestartGrace(now)
}

// flush sends what is due.
func (j *journal) flush() {
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
		j.n.sendTo(o.To, m)
	}
}

// acked takes over an acknowledgement.
func (j *journal) handleAck(a record.Ack) {
	j.mu.Lock()
	j.local.Ack(a, j.n.clock.Now())
	j.mu.Unlock()
	j.ackReceived.Notify()
	j.flush()
}

// find returns a request of this router by its idempotency key or its id.
func (j *journal) find(m peer.JournalFind) (record.Found, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if m.Request != "" {
		return j.local.Lookup(m.Request)
	}
	return j.local.LookupKey(m.Key)
}

// tick chooses and declares the journal peer.
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
	j.flush()
}

// preferred returns the router that should keep the journal: the present one while it is usable.
func (j *journal) preferredPeer(current ident.RouterID) ident.RouterID {
	domain := j.n.members.roster.Load().domain
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

func (j *journal) declarePeer() {
	j.mu.Lock()
	d, ok := j.local.BeginDeclaration()
	j.mu.Unlock()
	if !ok {
		return
	}
	j.pendingDeclaration, j.candidate = d, ""
	j.n.accounts.declare(declarationID(d))
}

// confirm ends the declaration once every row of this router shows it.
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

// declarationID is the form of a declaration in the rows of the ledger.
func declarationID(d record.Declaration) ident.RouterID {
	if d.Peer == "" {
		return ""
	}
	return ident.NewRouterID(string(d.Peer)+"#", d.Term)
}

// replicas holds the journals that this router keeps for others.
type replicas struct {
	n        *Node
	mu       sync.Mutex
	byRouter map[ident.RouterID]*record.Replica
}

func newReplicas(n *Node) *replicas {
	return &replicas{n: n, byRouter: make(map[ident.RouterID]*record.Replica)}
}

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
		replica = record.NewReplica(r.n.id, from.ID, rand.Uint64()|1, journalLimits) //nolint:gosec // tells replicas apart, no secret
		r.byRouter[from.ID] = replica
	}
	ack, ok := replica.Apply(msg, r.n.clock.Now())
	r.mu.Unlock()
	if ok {
		r.n.send(from.Addr, peer.JournalAck{Ack: ack})
	}
}

// find returns a request of another router by its idempotency key or its id.
func (r *replicas) find(m peer.JournalFind) (ident.RouterID, record.Found, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, replica := range r.byRouter {
		var f record.Found
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
	return "", record.Found{}, false
}

// take returns the replica of a router, or nil.
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

// find answers what this router knows of a request.
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

// declared reports whether the ledger shows a journal peer of this router.
func (j *journal) hasDeclaredPeer() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.local.DeclaredPeer().Peer != ""
}
