package record

import (
	"time"

	"geraniumsaddle/core/ident"
)

const (
	// ackSpan is the time during which acknowledgements share a number. The number stands for the first of them, which
	// shortens the proved coverage by at most this much.
	ackSpan = 100 * time.Millisecond
	// ackNumbers is the count of numbers remembered. A confirmation that arrives later than ackNumbers * ackSpan
	// after its acknowledgement is ignored.
	ackNumbers = 64
)

type sentAck struct {
	number uint64
	at     time.Time
}

// Replica is the peer's copy of one router's journal. It is not safe for concurrent use.
type Replica struct {
	self      ident.RouterID
	router    ident.RouterID
	instance  uint64
	lim       Limits
	state     state
	term      uint64
	loaded    bool // a snapshot of the term is applied
	collect   *collection
	acks      [ackNumbers]sentAck
	last      sentAck
	confirmed sentAck
	gone      bool
	goneAt    time.Time
}

// NewReplica returns an empty replica of router's journal, kept by the router incarnation self. The instance
// must be random and not zero, so that a replica made again after a loss is not taken for the first.
func NewReplica(self, router ident.RouterID, instance uint64, lim Limits) *Replica {
	return &Replica{self: self, router: router, instance: instance, lim: lim, state: newState(lim)}
}

// Apply applies a message and returns the acknowledgement to send. It returns false for a message of another router,
// of an earlier term, or after Close.
func (r *Replica) Apply(m Message, now time.Time) (Ack, bool) {
	if r.gone {
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
		return r.ack(now)
	}
	if err := r.state.load(m); err != nil {
		// Without an applied snapshot there is nothing to acknowledge. The router keeps its old peer.
		return Ack{Peer: r.self, Term: m.Term, Instance: r.instance, Full: true}
	}
	if m.Term != r.term {
		r.confirmed = sentAck{}
		r.acks = [ackNumbers]sentAck{}
		r.term = m.Term
	}
	r.loaded = true
	r.dropStale()
	return r.ack(now)
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
	r.dropStale()
	a := r.ack(now)
	a.Resend, a.Full = gap, full
	return a
}

// ack numbers an acknowledgement.
func (r *Replica) ack(now time.Time) Ack {
	if r.last.number == 0 || now.Sub(r.last.at) >= ackSpan {
		r.last = sentAck{number: r.last.number + 1, at: now}
	}
	r.acks[r.slot()] = r.last
	return Ack{Peer: r.self, Term: r.term, Instance: r.instance, Seq: r.state.seq, Number: r.last.number}
}

func (r *Replica) slot() int {
	oldest := 0
	for i, a := range r.acks {
		if a.number == r.last.number {
			return i
		}
		if a.number < r.acks[oldest].number {
			oldest = i
		}
	}
	return oldest
}

func (r *Replica) confirm(n uint64) {
	if n <= r.confirmed.number {
		return
	}
	for _, a := range r.acks {
		if a.number == n {
			r.confirmed = a
			return
		}
	}
}

// Lookup returns the open or recently settled request.
func (r *Replica) Lookup(req ident.RequestID) (Found, bool) { return r.state.lookup(req) }

// LookupKey returns the open or recently settled request with the idempotency key.
func (r *Replica) LookupKey(k Hash) (Found, bool) { return r.state.lookupKey(k) }

// OpenHolds returns the open holds sorted by request.
func (r *Replica) OpenHolds() []Hold { return r.state.openHolds() }

// AppliedSeq returns the number of the last applied entry.
func (r *Replica) AppliedSeq() uint64 { return r.state.seq }
