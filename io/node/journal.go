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

// ErrUncovered marks an entry that the journal peer has not acknowledged in time.
var ErrUncovered = errors.New("journal peer has not acknowledged")

// journalLimits covers 18,000 budgets with limits and slots beside them, and more running requests than a small VM
// serves.
var journalLimits = record.Limits{Holds: 16384, Accounts: 20000, Recent: 512, AnswerBytes: 4 << 20, PendingBytes: 2 << 20}

// journal keeps this router's holds at its journal peer. Traffic goroutines append; the control goroutine chooses the
// peer.
type journal struct {
	n *Node

	mu  sync.Mutex
	j   *record.Journal
	ack escrow.Signal
	// closed lists accounts that are closed on the platform and have an open hold in the journal. The reservation of a
	// request ends shortly before its hold.
	closed []record.Forget

	// The following belong to the control goroutine.
	choosing  ident.RouterID
	declaring record.Declaration
}

func newJournal(n *Node) *journal {
	return &journal{n: n, j: record.New(n.id, journalLimits)}
}

// open journals a hold and waits until the request may be dispatched.
func (k *journal) open(ctx context.Context, h record.Hold) error {
	return k.append(ctx, func() (uint64, error) { return k.j.Open(h) })
}

// retarget journals the target of another attempt and waits like open.
func (k *journal) retarget(ctx context.Context, id ident.RequestID, t ident.TargetID) error {
	return k.append(ctx, func() (uint64, error) { return k.j.Retarget(id, t) })
}

// raise journals counters and waits until they may leave the router.
func (k *journal) raise(ctx context.Context, c record.Counters) error {
	return k.append(ctx, func() (uint64, error) { return k.j.Raise(c) })
}

// note journals counters without waiting.
func (k *journal) note(c record.Counters) {
	k.mu.Lock()
	_, err := k.j.Raise(c)
	k.mu.Unlock()
	if err != nil {
		k.n.log.Warn("journal refused counters", "entry", c.Budget, "error", err)
	}
	k.flush()
}

// settle journals the end of a hold without waiting.
func (k *journal) settle(s record.Settlement) {
	k.mu.Lock()
	_, err := k.j.Settle(s)
	k.mu.Unlock()
	if err != nil {
		k.n.log.Warn("journal refused a settlement", "request_id", s.Request, "error", err)
	}
	k.flush()
}

// forget drops the counters of an account that is closed on the platform.
func (k *journal) forget(a *account) {
	k.mu.Lock()
	k.closed = append(k.closed, record.Forget{Budget: ident.BudgetID(a.Entry()), AccountNumber: accountNumber(a.Holder())})
	k.mu.Unlock()
	k.forgetClosed()
}

// forgetClosed drops the counters of closed accounts whose holds have ended.
func (k *journal) forgetClosed() {
	k.mu.Lock()
	k.closed = slices.DeleteFunc(k.closed, func(f record.Forget) bool {
		_, err := k.j.Forget(f)
		return !errors.Is(err, record.ErrHeld)
	})
	k.mu.Unlock()
	k.flush()
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
func (a *account) counters() record.Counters {
	return record.Counters{Budget: ident.BudgetID(a.Entry()), AccountNumber: accountNumber(a.Holder())}
}

func (k *journal) append(ctx context.Context, add func() (uint64, error)) error {
	k.mu.Lock()
	seq, err := add()
	k.mu.Unlock()
	if err != nil {
		return err
	}
	k.flush()
	return k.wait(ctx, seq)
}

// wait returns when the entry may take effect.
func (k *journal) wait(ctx context.Context, seq uint64) error {
	for {
		sig := k.ack.Wait()
		if err := k.n.refresh(ctx); err != nil {
			return ErrUncovered
		}
		now := k.n.clock.Now()
		k.mu.Lock()
		r := k.j.Release(seq, now)
		k.mu.Unlock()
		if r.OK {
			return nil
		}
		var grace <-chan time.Time
		if !r.RetryAt.IsZero() {
			grace = k.n.clock.After(r.RetryAt.Sub(now))
		}
		select {
		case <-sig:
		case <-grace:
		case <-ctx.Done():
			return ErrUncovered
		}
	}
}

// resumed is called when the process ran again after a pause.
func (k *journal) resumed(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.j.RestartGrace(now)
}

// flush sends what is due.
func (k *journal) flush() {
	k.mu.Lock()
	out := k.j.Outbox(k.n.clock.Now())
	k.mu.Unlock()
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
		k.n.sendTo(o.To, m)
	}
}

// acked takes over an acknowledgement.
func (k *journal) acked(a record.Ack) {
	k.mu.Lock()
	k.j.Ack(a, k.n.clock.Now())
	k.mu.Unlock()
	k.ack.Notify()
	k.flush()
}

// find returns a request of this router by its idempotency key or its id.
func (k *journal) find(m peer.JournalFind) (record.Found, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if m.Request != "" {
		return k.j.Lookup(m.Request)
	}
	return k.j.LookupKey(m.Key)
}

// tick chooses and declares the journal peer.
func (k *journal) tick() {
	k.mu.Lock()
	current, lost := k.j.DeclaredPeer(), k.j.ReplicaLost()
	ready := k.j.PeerReady()
	k.mu.Unlock()
	if k.declaring != (record.Declaration{}) {
		k.confirm()
		return
	}
	k.forgetClosed()
	want := k.preferred(current.Peer)
	switch {
	case k.choosing != "" && ready:
		k.declare()
	case lost || want != current.Peer && want != k.choosing:
		k.choose(want)
	}
	k.flush()
}

// preferred returns the router that should keep the journal: the present one while it is usable.
func (k *journal) preferred(current ident.RouterID) ident.RouterID {
	domain := k.n.members.roster.Load().local
	if current != "" && slices.Contains(domain, current) {
		return current
	}
	for _, id := range member.Rank("journal/"+k.n.id.Name(), domain) {
		if id != k.n.id {
			return id
		}
	}
	return ""
}

func (k *journal) choose(p ident.RouterID) {
	k.mu.Lock()
	err := k.j.ChoosePeer(p)
	k.mu.Unlock()
	if err != nil {
		return
	}
	k.choosing = p
	k.n.log.Info("journal peer chosen", "peer", p)
	if p == "" {
		k.declare()
	}
}

func (k *journal) declare() {
	k.mu.Lock()
	d, ok := k.j.BeginDeclaration()
	k.mu.Unlock()
	if !ok {
		return
	}
	k.declaring, k.choosing = d, ""
	k.n.accounts.declare(declarationID(d))
}

// confirm ends the declaration once every row of this router shows it.
func (k *journal) confirm() {
	for _, a := range k.n.accounts.all() {
		if !a.JournalConfirmed() {
			return
		}
	}
	k.mu.Lock()
	k.j.ConfirmDeclaration(k.declaring)
	k.mu.Unlock()
	k.n.log.Info("journal peer declared", "peer", k.declaring.Peer, "term", k.declaring.Term)
	k.declaring = record.Declaration{}
	k.ack.Notify()
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
	n    *Node
	mu   sync.Mutex
	rows map[ident.RouterID]*record.Replica
}

func newReplicas(n *Node) *replicas {
	return &replicas{n: n, rows: make(map[ident.RouterID]*record.Replica)}
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
	row := r.rows[from.ID]
	if row == nil {
		row = record.NewReplica(r.n.id, from.ID, rand.Uint64()|1, journalLimits) //nolint:gosec // tells replicas apart, no secret
		r.rows[from.ID] = row
	}
	ack, ok := row.Apply(msg, r.n.clock.Now())
	r.mu.Unlock()
	if ok {
		r.n.send(from.Addr, peer.JournalAck{Ack: ack})
	}
}

// find returns a request of another router by its idempotency key or its id.
func (r *replicas) find(m peer.JournalFind) (ident.RouterID, record.Found, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, row := range r.rows {
		var f record.Found
		var ok bool
		if m.Request != "" {
			f, ok = row.Lookup(m.Request)
		} else {
			f, ok = row.LookupKey(m.Key)
		}
		if ok {
			return id, f, true
		}
	}
	return "", record.Found{}, false
}

// take returns the replica of a router, or nil.
func (r *replicas) take(id ident.RouterID) *record.Replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rows[id]
}

func (r *replicas) drop(id ident.RouterID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.rows, id)
}

// find answers what this router knows of a request.
func (n *Node) find(m peer.JournalFind) peer.JournalFound {
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
func (k *journal) declared() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.j.DeclaredPeer().Peer != ""
}
