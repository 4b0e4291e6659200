package record

import (
	"time"

	"geraniumsaddle/core/ident"
)

const (
	// resendAfter is the wait for an acknowledgement before entries are sent again. It is ten round trips inside a
	// failure domain.
	resendAfter = 30 * time.Millisecond
	// maxResendAfter bounds the doubling of resendAfter while the peer is silent.
	maxResendAfter = time.Second
	// keepAlive renews the coverage of an idle router well within Grace.
	keepAlive = 2 * time.Second
	// batchEntries and batchBytes bound one Append.
	batchEntries = 256
	batchBytes   = ident.Bytes(256 << 10)
)

// link is the sending state for one journal peer.
type link struct {
	peer     ident.RouterID
	term     uint64
	acked    uint64
	sent     uint64
	sentAt   time.Time
	wait     time.Duration
	snapshot bool // a snapshot must be acknowledged before entries are sent
	snapSeq  uint64
	// parts are the messages of the snapshot in transfer. Those that the peer has are nil.
	parts      []Message
	partsAcked int
	partsSent  int
	collector  uint64 // replica that acknowledged parts, zero before
	heard      bool
	instance   uint64 // replica that acknowledged first, zero before
	lost       bool   // another replica answered under the same term
	lastAck    time.Time
	confirm    uint64
	told       uint64 // last confirm sent
}

func (l *link) declaration() Declaration { return Declaration{Peer: l.peer, Term: l.term} }

func (l *link) needSnapshot() {
	l.snapshot = true
	l.snapSeq = 0
	l.parts, l.partsAcked, l.partsSent, l.collector = nil, 0, 0, 0
	l.sentAt = time.Time{}
	l.wait = resendAfter
}

// tracked reports whether entries must be kept for the peer.
func (l *link) tracked() bool { return l.peer != "" && !l.lost && (!l.snapshot || l.snapSeq != 0) }

// base returns the number after which the peer needs entries.
func (l *link) base() uint64 {
	if l.snapshot {
		return l.snapSeq - 1
	}
	return l.acked
}

// Outgoing is a message and its receiver.
type Outgoing struct {
	To      ident.RouterID
	Message Message
}

// Outbox returns the messages to send now: new entries, entries whose acknowledgement is late, snapshots and
// confirmations. Call it after appends and acknowledgements, and at least every resend interval.
func (j *Journal) Outbox(now time.Time) []Outgoing {
	var out []Outgoing
	for _, l := range j.links() {
		if l.peer == "" || l.lost {
			continue
		}
		for _, m := range j.messages(l, now) {
			out = append(out, Outgoing{To: l.peer, Message: m})
		}
	}
	return out
}

func (j *Journal) messages(l *link, now time.Time) []Message {
	if l.snapshot {
		return j.snapshotMessages(l, now)
	}
	from := max(l.sent, l.acked)
	resend := now.Sub(l.sentAt) >= l.wait && l.acked < l.sent
	if resend {
		from = l.acked
	}
	es := j.batch(from)
	idle := now.Sub(l.sentAt) >= keepAlive
	if len(es) == 0 && l.told == l.confirm && !idle {
		return nil
	}
	l.onSend(now, resend)
	if n := len(es); n > 0 {
		l.sent = es[n-1].Seq
	}
	l.told = l.confirm
	return []Message{&Append{Router: j.router, Term: l.term, Entries: es, Instance: l.instance, Confirm: l.confirm}}
}

func (l *link) onSend(now time.Time, resend bool) {
	l.sentAt = now
	if resend {
		l.wait = min(2*l.wait, maxResendAfter)
	}
}

// batch returns the entries after seq within the message limits.
func (j *Journal) batch(seq uint64) []Entry {
	first := j.state.seq + 1 - uint64(len(j.pending))
	if seq >= j.state.seq || seq+1 < first {
		return nil
	}
	es := j.pending[seq+1-first:]
	var bytes ident.Bytes
	for i := range es {
		bytes += entrySize(&es[i])
		if i == batchEntries || i > 0 && bytes > batchBytes {
			es = es[:i]
			break
		}
	}
	return append([]Entry(nil), es...)
}

// Ack processes an acknowledgement. It returns false when it belongs to no peer and term in use.
func (j *Journal) Ack(a Ack, now time.Time) bool {
	for _, l := range j.links() {
		if l.peer == a.Peer && l.term == a.Term {
			j.ack(l, a, now)
			return true
		}
	}
	return false
}

func (j *Journal) ack(l *link, a Ack, now time.Time) {
	if l.lost {
		return
	}
	if l.instance != 0 && a.Instance != l.instance {
		l.lost = true
		j.trim()
		return
	}
	if a.Resync {
		if !l.snapshot {
			l.needSnapshot()
		}
		return
	}
	if a.PartsOf != 0 {
		l.ackParts(a)
		return
	}
	if a.Number == 0 || a.Seq > j.state.seq {
		return
	}
	l.heard, l.instance = true, a.Instance
	if a.Seq > l.acked || l.snapshot {
		l.wait = resendAfter
	}
	l.acked = max(l.acked, a.Seq)
	if l.snapshot && l.snapSeq != 0 && a.Seq+1 >= l.snapSeq {
		l.snapshot, l.parts = false, nil
		l.sent = l.acked
	}
	if a.Resend {
		l.sent = l.acked
	}
	l.lastAck = now
	// An entry released without this peer breaks its coverage until the peer has it.
	if l.acked >= j.released && a.Number > l.confirm && (l == j.current || j.declaring) {
		l.confirm = a.Number
	}
	j.trim()
}
