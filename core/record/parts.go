package record

import (
	"time"

	"geraniumsaddle/core/ident"
)

const (
	// defaultPartBytes bounds one part of a snapshot. It is far below the largest message of the transport, so that a
	// snapshot does not delay the messages queued behind it.
	defaultPartBytes = ident.Bytes(256 << 10)
	// partWindow is the number of unacknowledged parts in flight. Four of them fit the transport's queue for one peer.
	partWindow = 4
	// maxParts bounds the memory of a snapshot that a replica collects to 64 MiB.
	maxParts = 256
	// partHeaderBytes is the size of a part without its rows and the router's id.
	partHeaderBytes = ident.Bytes(256)
)

// partLimit returns the size limit of one part.
func (l Limits) partLimit() ident.Bytes {
	if l.PartBytes == 0 {
		return defaultPartBytes
	}
	return l.PartBytes
}

// countersSize, holdSize and settledRequestSize return upper bounds of the encoded size.
func countersSize(c *Counters) ident.Bytes {
	n := 96 + len(c.Budget)
	for _, ts := range [][]Transfer{c.Out, c.In} {
		for i := range ts {
			n += 32 + len(ts[i].Router)
		}
	}
	return ident.Bytes(n)
}

func holdSize(h *Hold) ident.Bytes {
	return ident.Bytes(320 + len(h.Request) + len(h.Org) + len(h.Budget) + len(h.Key) + len(h.Model) + len(h.Service) +
		len(h.Version) + len(h.Target))
}

func settledRequestSize(s *SettledRequest) ident.Bytes {
	return 320 + ident.Bytes(len(s.Settlement.Request)) + holdSize(&s.Hold) + s.answerBytes()
}

func (sn *Snapshot) size() ident.Bytes {
	n := partHeaderBytes + ident.Bytes(len(sn.Router))
	for i := range sn.Counters {
		n += countersSize(&sn.Counters[i])
	}
	for i := range sn.Holds {
		n += holdSize(&sn.Holds[i])
	}
	for i := range sn.Recent {
		n += settledRequestSize(&sn.Recent[i])
	}
	return n
}

// snapshotSplitter distributes the rows of a snapshot over parts of limited size. A row larger than the limit gets a
// part of its own.
type snapshotSplitter struct {
	header Snapshot // without rows
	limit  ident.Bytes
	parts  []Snapshot
	size   ident.Bytes // of the last part
}

// partFor returns the part for a row of n bytes. It starts a new part when the last one has no room.
func (s *snapshotSplitter) partFor(n ident.Bytes) *Snapshot {
	if len(s.parts) == 0 || s.size+n > s.limit {
		s.parts = append(s.parts, s.header)
		s.size = s.header.size()
	}
	s.size += n
	return &s.parts[len(s.parts)-1]
}

// split returns the messages that carry the snapshot: the snapshot itself when it is small, else its parts. The same
// snapshot always gives the same parts.
func (sn *Snapshot) split(limit ident.Bytes) []Message {
	if sn.size() <= limit {
		return []Message{sn}
	}
	splitter := snapshotSplitter{header: Snapshot{Router: sn.Router, Term: sn.Term, Seq: sn.Seq, Numbered: sn.Numbered}, limit: limit}
	for i := range sn.Counters {
		p := splitter.partFor(countersSize(&sn.Counters[i]))
		p.Counters = append(p.Counters, sn.Counters[i])
	}
	for i := range sn.Holds {
		p := splitter.partFor(holdSize(&sn.Holds[i]))
		p.Holds = append(p.Holds, sn.Holds[i])
	}
	for i := range sn.Recent {
		p := splitter.partFor(settledRequestSize(&sn.Recent[i]))
		p.Recent = append(p.Recent, sn.Recent[i])
	}
	ms := make([]Message, len(splitter.parts))
	for i := range splitter.parts {
		ms[i] = &SnapshotPart{Index: i, Count: len(splitter.parts), Snapshot: splitter.parts[i]}
	}
	return ms
}

// partCollection holds the parts of a snapshot until all have arrived.
type partCollection struct {
	term, seq               uint64
	parts                   []*Snapshot
	received                int
	bytes                   ident.Bytes
	holds, counters, recent int
}

// olderThan reports whether the collected snapshot precedes the one of term and seq.
func (c *partCollection) olderThan(term, seq uint64) bool {
	return c.term < term || c.term == term && c.seq < seq
}

// add stores a part and reports whether the collection stays within the limits.
func (c *partCollection) add(m *SnapshotPart, lim Limits) bool {
	if c.parts[m.Index] != nil {
		return true
	}
	c.parts[m.Index] = &m.Snapshot
	c.received++
	c.bytes += m.Snapshot.size()
	c.holds += len(m.Snapshot.Holds)
	c.counters += len(m.Snapshot.Counters)
	c.recent += len(m.Snapshot.Recent)
	return c.bytes <= maxParts*lim.partLimit() && c.holds <= lim.Holds && c.counters <= lim.Accounts && c.recent <= lim.Recent
}

// leadingParts returns the number of parts before the first missing one.
func (c *partCollection) leadingParts() int {
	for i, p := range c.parts {
		if p == nil {
			return i
		}
	}
	return len(c.parts)
}

func (c *partCollection) assemble() *Snapshot {
	sn := *c.parts[0]
	for _, p := range c.parts[1:] {
		sn.Counters = append(sn.Counters, p.Counters...)
		sn.Holds = append(sn.Holds, p.Holds...)
		sn.Recent = append(sn.Recent, p.Recent...)
	}
	return &sn
}

// applyPart collects a part and applies the snapshot when it is complete. Until then the acknowledgement has no number,
// because the replica does not have the state that it would acknowledge.
func (r *Replica) applyPart(m *SnapshotPart, now time.Time) (Ack, bool) {
	term, seq := m.Snapshot.Term, m.Snapshot.Seq
	if term == r.term && r.loaded && seq <= r.state.seq {
		return r.nextAck(now), true
	}
	if m.Count < 2 || m.Count > maxParts || m.Index < 0 || m.Index >= m.Count {
		return Ack{}, false
	}
	if r.collecting == nil || r.collecting.olderThan(term, seq) {
		r.collecting = &partCollection{term: term, seq: seq, parts: make([]*Snapshot, m.Count)}
	}
	c := r.collecting
	if c.term != term || c.seq != seq || len(c.parts) != m.Count {
		return Ack{}, false
	}
	if !c.add(m, r.lim) {
		r.collecting = nil
		return Ack{Peer: r.self, Term: term, Instance: r.instance, Full: true}, true
	}
	if c.received == len(c.parts) {
		r.collecting = nil
		return r.applySnapshot(c.assemble(), now), true
	}
	return Ack{Peer: r.self, Term: term, Instance: r.instance, PartsOf: seq, Parts: c.leadingParts()}, true
}

// dropStaleParts drops collected parts that are not newer than the state.
func (r *Replica) dropStaleParts() {
	if c := r.collecting; c != nil && (c.term < r.term || c.term == r.term && c.seq <= r.state.seq) {
		r.collecting = nil
	}
}

// snapshotMessages returns the parts of the snapshot to send now. When an acknowledgement is overdue it repeats a
// single part, because the acknowledgement of that part tells which others are missing.
func (j *Journal) snapshotMessages(l *link, now time.Time) []Message {
	late := l.afterSnapshot != 0 && now.Sub(l.sentAt) >= l.resendWait
	window := partWindow
	switch {
	case l.afterSnapshot == 0:
		sn := j.state.snapshot()
		sn.Router, sn.Term = j.router, l.term
		l.parts = sn.split(j.state.lim.partLimit())
		// Zero marks a snapshot that is not sent, so the stored number is one higher.
		l.afterSnapshot = sn.Seq + 1
	case late:
		l.partsSent = l.partsAcked
		window = 1
	}
	end := min(l.partsAcked+window, len(l.parts))
	if l.partsSent >= end {
		return nil
	}
	ms := append([]Message(nil), l.parts[l.partsSent:end]...)
	l.partsSent = end
	l.noteSent(now, late)
	return ms
}

// applyPartsAck records how many parts the peer has without a gap.
func (l *link) applyPartsAck(a Ack) {
	if !l.snapshotPending || l.afterSnapshot != a.PartsOf+1 {
		return
	}
	if l.collectingInstance != 0 && l.collectingInstance != a.Instance {
		// Another replica answers. It lacks the parts that the first one collected.
		l.requireSnapshot()
		return
	}
	l.collectingInstance = a.Instance
	if a.Parts <= l.partsAcked || a.Parts >= len(l.parts) {
		return
	}
	clear(l.parts[l.partsAcked:a.Parts])
	l.partsAcked = a.Parts
	l.partsSent = max(l.partsSent, l.partsAcked)
	l.resendWait = minResendWait
}
