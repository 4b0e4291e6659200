package record

import (
	"time"

	"geraniumsaddle/core/ident"
)

const (
	// minResendWait is the first wait for an acknowledgement before entries are sent again. It is ten round trips
	// inside a failure domain.
	minResendWait = 30 * time.Millisecond
	// maxResendWait bounds the wait, which doubles with each resend while the peer is silent.
	maxResendWait = time.Second
	// keepAliveInterval renews the coverage of an idle router well within Grace.
	keepAliveInterval = 2 * time.Second
	// batchEntries and batchBytes bound one Append.
	batchEntries = 256
	batchBytes   = ident.Bytes(256 << 10)
)

// link is the sending state for one journal peer.
type link struct {
	peer            ident.RouterID
	term            uint64
	ackedSeq        uint64
	sentSeq         uint64
	sentAt          time.Time
	resendWait      time.Duration
	snapshotPending bool   // a snapshot must be acknowledged before entries are sent
	afterSnapshot   uint64 // number of the first entry after the snapshot, zero until the snapshot is sent
	// parts are the messages of the snapshot in transfer. Parts that the peer has acknowledged are nil.
	parts              []Message
	partsAcked         int
	partsSent          int
	collectingInstance uint64 // replica that acknowledges parts, zero before the first such acknowledgement
	answered           bool   // a numbered acknowledgement has arrived
	instance           uint64 // replica that acknowledged first, zero before its acknowledgement
	replicaLost        bool   // another replica answered under the same term
	lastAck            time.Time
	confirm            uint64 // latest acknowledgement number to confirm, see Append
	sentConfirm        uint64 // confirm value of the latest Append
}

func (l *link) declaration() Declaration { return Declaration{Peer: l.peer, Term: l.term} }

// requireSnapshot restarts the transfer with a new snapshot.
func (l *link) requireSnapshot() {
	l.snapshotPending = true
	l.afterSnapshot = 0
	l.parts, l.partsAcked, l.partsSent, l.collectingInstance = nil, 0, 0, 0
	l.sentAt = time.Time{}
	l.resendWait = minResendWait
}

// needsEntries reports whether entries must be kept for the peer.
func (l *link) needsEntries() bool {
	return l.peer != "" && !l.replicaLost && (!l.snapshotPending || l.afterSnapshot != 0)
}

// resumeAfter returns the number of the last entry that the peer does not need.
func (l *link) resumeAfter() uint64 {
	if l.snapshotPending {
		return l.afterSnapshot - 1
	}
	return l.ackedSeq
}

// Outgoing is a message and its receiver.
type Outgoing struct {
	To      ident.RouterID
	Message Message
}

// Outbox returns the messages to send now: new entries, entries whose acknowledgement is overdue, snapshots and
// confirmations. Call it after appends and acknowledgements, and at least once every minResendWait.
func (j *Journal) Outbox(now time.Time) []Outgoing {
	var out []Outgoing
	for _, l := range j.links() {
		if l.peer == "" || l.replicaLost {
			continue
		}
		for _, m := range j.messagesFor(l, now) {
			out = append(out, Outgoing{To: l.peer, Message: m})
		}
	}
	return out
}

func (j *Journal) messagesFor(l *link, now time.Time) []Message {
	if l.snapshotPending {
		return j.snapshotMessages(l, now)
	}
	from := max(l.sentSeq, l.ackedSeq)
	resend := now.Sub(l.sentAt) >= l.resendWait && l.ackedSeq < l.sentSeq
	if resend {
		from = l.ackedSeq
	}
	es := j.batch(from)
	idle := now.Sub(l.sentAt) >= keepAliveInterval
	if len(es) == 0 && l.sentConfirm == l.confirm && !idle {
		return nil
	}
	l.noteSent(now, resend)
	if n := len(es); n > 0 {
		l.sentSeq = es[n-1].Seq
	}
	l.sentConfirm = l.confirm
	return []Message{&Append{Router: j.router, Term: l.term, Entries: es, Instance: l.instance, Confirm: l.confirm}}
}

func (l *link) noteSent(now time.Time, resend bool) {
	l.sentAt = now
	if resend {
		l.resendWait = min(2*l.resendWait, maxResendWait)
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

// HandleAck processes an acknowledgement. It returns false if its peer and term are not in use.
func (j *Journal) HandleAck(a Ack, now time.Time) bool {
	for _, l := range j.links() {
		if l.peer == a.Peer && l.term == a.Term {
			j.applyAck(l, a, now)
			return true
		}
	}
	return false
}

func (j *Journal) applyAck(l *link, a Ack, now time.Time) {
	if l.replicaLost {
		return
	}
	if l.instance != 0 && a.Instance != l.instance {
		l.replicaLost = true
		j.trimPending()
		return
	}
	if a.Resync {
		if !l.snapshotPending {
			l.requireSnapshot()
		}
		return
	}
	if a.PartsOf != 0 {
		l.applyPartsAck(a)
		return
	}
	if a.Number == 0 || a.Seq > j.state.seq {
		return
	}
	l.answered, l.instance = true, a.Instance
	if a.Seq > l.ackedSeq || l.snapshotPending {
		l.resendWait = minResendWait
	}
	l.ackedSeq = max(l.ackedSeq, a.Seq)
	if l.snapshotPending && l.afterSnapshot != 0 && a.Seq+1 >= l.afterSnapshot {
		l.snapshotPending, l.parts = false, nil
		l.sentSeq = l.ackedSeq
	}
	if a.Resend {
		l.sentSeq = l.ackedSeq
	}
	l.lastAck = now
	// Nothing is confirmed while an entry that was released without this peer is not acknowledged by it. Such an entry
	// is outside the peer's coverage.
	if l.ackedSeq >= j.released && a.Number > l.confirm && (l == j.current || j.declaring) {
		l.confirm = a.Number
	}
	j.trimPending()
}
