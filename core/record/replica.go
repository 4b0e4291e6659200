package record

import (
	"time"

	"geraniumsaddle/core/ident"
)

const (
	// ackNumberSpan is the time during which acknowledgements share a number. The number counts as sent with the first of
	// them, which shortens the proved coverage by at most this much.
	ackNumberSpan = 100 * time.Millisecond
	// rememberedAcks is how many numbers are remembered. A confirmation that arrives later than
	// rememberedAcks * ackNumberSpan after its acknowledgement is ignored.
	rememberedAcks = 64
)

type sentAck struct {
	number uint64
	at     time.Time
}

// Replica is the peer's copy of one router's journal. It is not safe for concurrent use.
type Replica struct {
	self       ident.RouterID
	router     ident.RouterID
	instance   uint64
	lim        Limits
	state      state
	term       uint64
	loaded     bool // a snapshot of the term is applied
	collecting *partCollection
	sentAcks   [rememberedAcks]sentAck
	lastAck    sentAck
	confirmed  sentAck
	closed     bool
	closedAt   time.Time
}

// NewReplica returns an empty replica of router's journal, kept by the router incarnation self. The instance must be
// random and not zero, so that a replica created again after a loss is not mistaken for the first.
func NewReplica(self, router ident.RouterID, instance uint64, lim Limits) *Replica {
	return &Replica{self: self, router: router, instance: instance, lim: lim, state: newState(lim)}
}

// Apply applies a message and returns the acknowledgement to send. It returns false for a message of another router,
// of an earlier term, or after Close.
func (r *Replica) Apply(m Message, now time.Time) (Ack, bool) {
	if r.closed {
		return Ack{}, false
	}
	switch m := m.(type) {
	case *Snapshot:
		if m.Router != r.router || m.Term < r.term {
			return Ack{}, false
		}
		return r.applySnapshot(m, now), true
	case *SnapshotPart:
		if m.Snapshot.Router != r.router || m.Snapshot.Term < r.term {
			return Ack{}, false
		}
		return r.applyPart(m, now)
	case *Append:
		if m.Router != r.router || m.Term < r.term {
			return Ack{}, false
		}
		if m.Term > r.term || !r.loaded {
			return Ack{Peer: r.self, Term: m.Term, Instance: r.instance, Resync: true}, true
		}
		return r.applyAppend(m, now), true
	}
	return Ack{}, false
}

func (r *Replica) applySnapshot(m *Snapshot, now time.Time) Ack {
	if m.Term == r.term && r.loaded && m.Seq <= r.state.seq {
		return r.nextAck(now)
	}
	if err := r.state.loadSnapshot(m); err != nil {
		// The snapshot is not applied, so there is nothing to acknowledge. The router keeps its old peer.
		return Ack{Peer: r.self, Term: m.Term, Instance: r.instance, Full: true}
	}
	if m.Term != r.term {
		r.confirmed = sentAck{}
		r.sentAcks = [rememberedAcks]sentAck{}
		r.term = m.Term
	}
	r.loaded = true
	r.dropStaleParts()
	return r.nextAck(now)
}

func (r *Replica) applyAppend(m *Append, now time.Time) Ack {
	if m.Instance == r.instance {
		r.confirm(m.Confirm)
	}
	var full, gap bool
	for i := range m.Entries {
		e := &m.Entries[i]
		if e.Seq <= r.state.seq {
			continue
		}
		if e.Seq != r.state.seq+1 {
			gap = true
			break
		}
		if err := r.state.check(e); err != nil {
			full = true
			break
		}
		r.state.apply(e)
	}
	r.dropStaleParts()
	a := r.nextAck(now)
	a.Resend, a.Full = gap, full
	return a
}

// nextAck returns a numbered acknowledgement of the applied entries. Acknowledgements within ackNumberSpan share a
// number.
func (r *Replica) nextAck(now time.Time) Ack {
	if r.lastAck.number == 0 || now.Sub(r.lastAck.at) >= ackNumberSpan {
		r.lastAck = sentAck{number: r.lastAck.number + 1, at: now}
	}
	r.sentAcks[r.ackSlot()] = r.lastAck
	return Ack{Peer: r.self, Term: r.term, Instance: r.instance, Seq: r.state.seq, Number: r.lastAck.number}
}

// ackSlot returns the index in sentAcks of the latest number or, if that is not stored yet, of the oldest number.
func (r *Replica) ackSlot() int {
	oldest := 0
	for i, a := range r.sentAcks {
		if a.number == r.lastAck.number {
			return i
		}
		if a.number < r.sentAcks[oldest].number {
			oldest = i
		}
	}
	return oldest
}

func (r *Replica) confirm(n uint64) {
	if n <= r.confirmed.number {
		return
	}
	for _, a := range r.sentAcks {
		if a.number == n {
			r.confirmed = a
			return
		}
	}
}

// Lookup returns the open or recently settled request.
func (r *Replica) Lookup(req ident.RequestID) (FoundRequest, bool) { return r.state.lookup(req) }

// LookupKey returns the open or recently settled request with the idempotency key.
func (r *Replica) LookupKey(k Hash) (FoundRequest, bool) { return r.state.lookupKey(k) }

// OpenHolds returns the open holds sorted by request.
func (r *Replica) OpenHolds() []Hold { return r.state.openHolds() }

// AppliedSeq returns the number of the last applied entry.
func (r *Replica) AppliedSeq() uint64 { return r.state.seq }
