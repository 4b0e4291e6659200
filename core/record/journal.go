package record

import (
	"fmt"
	"slices"
	"time"

	"geraniumsaddle/core/ident"
)

// Journal numbers the entries of a router, sends them to its journal peer and decides when the effect of an entry may
// leave the router. It is not safe for concurrent use.
type Journal struct {
	router          ident.RouterID
	state           state
	pending         []Entry // consecutive, the last has number state.seq
	pendingBytes    ident.Bytes
	maxPendingBytes ident.Bytes
	released        uint64 // highest entry number released
	term            uint64
	current         *link // declared peer, nil if there is none
	next            *link // chosen peer before it is declared, or while its declaration is unconfirmed
	// declaring is set while the declaration of next is unconfirmed. Either peer may then be the declared one.
	declaring bool
}

// New returns the empty journal of a router incarnation. No peer is declared.
func New(router ident.RouterID, lim Limits) *Journal {
	maxBytes := lim.PendingBytes
	lim.AnswerBytes = 0 // The router keeps answers elsewhere; snapshots carry none.
	return &Journal{router: router, state: newState(lim), maxPendingBytes: maxBytes}
}

// OpenHold appends a hold and returns its entry number. The request may be dispatched once Release grants the number.
func (j *Journal) OpenHold(h Hold) (uint64, error) {
	if _, ok := j.state.recent.byRequest(h.Request); ok {
		return 0, ErrDuplicate
	}
	return j.append(Entry{Open: &h})
}

// Retarget records the target of the next attempt. The attempt may start once Release grants the number.
func (j *Journal) Retarget(req ident.RequestID, t ident.TargetID) (uint64, error) {
	return j.append(Entry{Retarget: &Retarget{Request: req, Target: t}})
}

// Settle ends a hold. The bill and the settled counter may leave the router once Release grants the number.
func (j *Journal) Settle(s Settlement) (uint64, error) {
	return j.append(Entry{Settle: &s})
}

// RaiseCounters raises the cumulative Returned, Out and In counters to those of c and ignores Settled. A returned or
// out value may leave the router once Release grants the number.
func (j *Journal) RaiseCounters(c Counters) (uint64, error) {
	return j.append(Entry{Raise: &c})
}

// ForgetAccount drops the counters of an account after the platform has closed its row, so that the journal keeps only
// the accounts in use. The entry needs no release. It returns ErrNoCounters for an account without counters, and
// ErrHeld for one with an open hold.
func (j *Journal) ForgetAccount(f Forget) (uint64, error) {
	return j.append(Entry{Forget: &f})
}

func (j *Journal) append(e Entry) (uint64, error) {
	if err := j.state.check(&e); err != nil {
		return 0, err
	}
	e.Seq = j.state.seq + 1
	j.state.apply(&e)
	if j.current != nil || j.next != nil {
		j.pending = append(j.pending, e)
		j.pendingBytes += entrySize(&e)
		j.trimPending()
	}
	return e.Seq, nil
}

// entrySize approximates the memory of an entry.
func entrySize(e *Entry) ident.Bytes {
	switch {
	case e.Open != nil:
		return 512
	case e.Settle != nil && e.Settle.Answer != nil:
		return 256 + ident.Bytes(len(e.Settle.Answer.Body))
	case e.Raise != nil:
		return 128 + 48*ident.Bytes(len(e.Raise.Out)+len(e.Raise.In))
	}
	return 256
}

// trimPending drops entries that every peer acknowledged, and the oldest ones above the byte limit. A peer that misses
// dropped entries gets a snapshot.
func (j *Journal) trimPending() {
	ackedByAll := j.state.seq
	for _, l := range j.links() {
		if l.needsEntries() {
			ackedByAll = min(ackedByAll, l.resumeAfter())
		}
	}
	i := 0
	for i < len(j.pending) && (j.pending[i].Seq <= ackedByAll || j.pendingBytes > j.maxPendingBytes) {
		j.pendingBytes -= entrySize(&j.pending[i])
		j.pending[i] = Entry{}
		i++
	}
	j.pending = j.pending[i:]
	first := j.state.seq + 1 - uint64(len(j.pending))
	for _, l := range j.links() {
		if l.needsEntries() && l.resumeAfter()+1 < first {
			l.requireSnapshot()
		}
	}
}

func (j *Journal) links() []*link {
	var ls [2]*link
	n := 0
	for _, l := range []*link{j.current, j.next} {
		if l != nil {
			ls[n] = l
			n++
		}
	}
	return ls[:n]
}

// Release says whether the effect of an entry may leave the router.
type Release struct {
	OK bool
	// Covered is false when the entry is released without a peer that knows it.
	Covered bool
	// RetryAt is the time at which an entry that is not OK would be released by the coverage grace.
	RetryAt time.Time
}

// Release reports whether the request of entry seq may be dispatched, or its counters reported. When it returns OK the
// entry counts as released, whether or not the caller uses it. Time must not run backwards between calls.
func (j *Journal) Release(seq uint64, now time.Time) Release {
	r := Release{OK: true, Covered: j.current != nil}
	for _, l := range j.declaredCandidates() {
		if l.ackedSeq >= seq || l.peer == "" {
			continue
		}
		r.Covered = false
		if end := l.lastAck.Add(Grace); now.Before(end) {
			r.OK = false
			if end.After(r.RetryAt) {
				r.RetryAt = end
			}
		}
	}
	if r.OK {
		r.RetryAt = time.Time{}
		j.released = max(j.released, seq)
	}
	return r
}

// declaredCandidates returns the peers of which the ledger may name one as declared.
func (j *Journal) declaredCandidates() []*link {
	if j.declaring || j.next == nil {
		return j.links()
	}
	if j.current == nil {
		return nil
	}
	return []*link{j.current}
}

// ChoosePeer starts to send the state to a new peer. It replaces an earlier choice that is not being declared. An empty
// peer can be declared at once and means that the router has no journal peer.
func (j *Journal) ChoosePeer(peer ident.RouterID) error {
	if j.declaring {
		return fmt.Errorf("cannot choose %q as journal peer: the declaration of %q is unconfirmed", peer, j.next.peer)
	}
	j.term++
	j.next = &link{peer: peer, term: j.term}
	j.next.requireSnapshot()
	return nil
}

// PeerReady reports whether the chosen peer has the state of everything released, so that it may be declared.
func (j *Journal) PeerReady() bool {
	return j.next != nil && (j.next.peer == "" || j.next.answered && !j.next.snapshotPending && j.next.ackedSeq >= j.released)
}

// BeginDeclaration returns the declaration to write to the ledger. Until ConfirmDeclaration or AbandonPeer,
// an entry must be acknowledged by the chosen peer as well as by the declared one, because the write may take effect at
// any time.
func (j *Journal) BeginDeclaration() (Declaration, bool) {
	if !j.PeerReady() {
		return Declaration{}, false
	}
	j.declaring = true
	j.next.sentAt = time.Time{} // Makes Outbox send a confirmation at once.
	return j.next.declaration(), true
}

// ConfirmDeclaration makes the chosen peer the declared one. Call it when a confirmed ledger entry holds the
// declaration.
func (j *Journal) ConfirmDeclaration(d Declaration) {
	if !j.declaring || j.next.declaration() != d {
		return
	}
	j.current = j.next
	if j.current.peer == "" {
		j.current = nil
	}
	j.next, j.declaring = nil, false
	j.trimPending()
}

// AbandonPeer drops the chosen peer. While a declaration is unconfirmed, it may be called only when its write is
// certain to have no effect, such as a failed condition on a version that the ledger no longer has.
func (j *Journal) AbandonPeer() {
	j.next, j.declaring = nil, false
	j.trimPending()
}

// DeclaredPeer returns the declared peer as the router knows it.
func (j *Journal) DeclaredPeer() Declaration {
	if j.current == nil {
		return Declaration{}
	}
	return j.current.declaration()
}

// Lookup returns the open or recently settled request.
func (j *Journal) Lookup(req ident.RequestID) (FoundRequest, bool) { return j.state.lookup(req) }

// LookupKey returns the open or recently settled request with the idempotency key.
func (j *Journal) LookupKey(k Hash) (FoundRequest, bool) { return j.state.lookupKey(k) }

// ReplicaLost reports whether the declared or chosen peer lost its replica. Its acknowledgements no longer count, and
// ChoosePeer must be called again. The same peer may be chosen.
func (j *Journal) ReplicaLost() bool {
	for _, l := range j.links() {
		if l.replicaLost {
			return true
		}
	}
	return false
}

// Counters returns the counters of the account with the given number on a budget.
func (j *Journal) Counters(b ident.BudgetID, number uint64) Counters {
	if c := j.state.accounts[account{b, number}]; c != nil {
		cp := c.Counters
		cp.Out, cp.In = slices.Clone(c.Out), slices.Clone(c.In)
		return cp
	}
	return Counters{Budget: b, AccountNumber: number}
}

// OpenHolds returns the open holds sorted by request.
func (j *Journal) OpenHolds() []Hold { return j.state.openHolds() }
