package record

import (
	"time"

	"geraniumsaddle/core/ident"
)

const (
	// partBytes bounds one part of a snapshot. It is far below the largest message of the transport, so that a snapshot
	// does not hold up the messages behind it.
	partBytes = ident.Bytes(256 << 10)
	// partWindow is the number of unacknowledged parts in flight. Four of them fit the transport's queue for one peer.
	partWindow = 4
	// maxParts bounds the memory of a snapshot that a replica collects to 64 MiB.
	maxParts = 256
	// partHead is the size of a part without its rows and the router's id.
	partHead = ident.Bytes(256)
)

// parts returns the limit of one part.
func (l Limits) parts() ident.Bytes {
	if l.PartBytes == 0 {
		return partBytes
	}
	return l.PartBytes
}

// counterSize, holdSize and closedSize are upper bounds of the encoded size.
func counterSize(c *Counters) ident.Bytes {
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

func closedSize(c *SettledRequest) ident.Bytes {
	return 320 + ident.Bytes(len(c.Settlement.Request)) + holdSize(&c.Hold) + c.answerBytes()
}

func (sn *Snapshot) size() ident.Bytes {
	n := partHead + ident.Bytes(len(sn.Router))
	for i := range sn.Counters {
		n += counterSize(&sn.Counters[i])
	}
	for i := range sn.Holds {
		n += holdSize(&sn.Holds[i])
	}
	for i := range sn.Recent {
		n += closedSize(&sn.Recent[i])
	}
	return n
}

// cutter fills parts up to a limit. A row larger than the limit is a part of its own.
type cutter struct {
	head  Snapshot // without rows
	limit ident.Bytes
	parts []Snapshot
	size  ident.Bytes // of the last part
}

// last returns the part that has room for n more bytes.
func (c *cutter) last(n ident.Bytes) *Snapshot {
	if len(c.parts) == 0 || c.size+n > c.limit {
		c.parts = append(c.parts, c.head)
		c.size = c.head.size()
	}
	c.size += n
	return &c.parts[len(c.parts)-1]
}

// split returns the messages that carry the snapshot: the snapshot itself when it is small, else its parts. The same
// snapshot always gives the same parts.
func (sn *Snapshot) split(limit ident.Bytes) []Message {
	if sn.size() <= limit {
		return []Message{sn}
	}
	c := cutter{head: Snapshot{Router: sn.Router, Term: sn.Term, Seq: sn.Seq, Numbered: sn.Numbered}, limit: limit}
	for i := range sn.Counters {
		p := c.last(counterSize(&sn.Counters[i]))
		p.Counters = append(p.Counters, sn.Counters[i])
	}
	for i := range sn.Holds {
		p := c.last(holdSize(&sn.Holds[i]))
		p.Holds = append(p.Holds, sn.Holds[i])
	}
	for i := range sn.Recent {
		p := c.last(closedSize(&sn.Recent[i]))
		p.Recent = append(p.Recent, sn.Recent[i])
	}
	ms := make([]Message, len(c.parts))
	for i := range c.parts {
		ms[i] = &SnapshotPart{Index: i, Count: len(c.parts), Snapshot: c.parts[i]}
	}
	return ms
}

// collection holds the parts of a snapshot until it is whole.
type collection struct {
	term, seq               uint64
	parts                   []*Snapshot
	got                     int
	bytes                   ident.Bytes
	holds, counters, recent int
}

// older reports whether the collected snapshot precedes the one of term and seq.
func (c *collection) older(term, seq uint64) bool {
	return c.term < term || c.term == term && c.seq < seq
}

// add takes over a part and reports whether the collection stays within the limits.
func (c *collection) add(m *SnapshotPart, lim Limits) bool {
	if c.parts[m.Index] != nil {
		return true
	}
	c.parts[m.Index] = &m.Snapshot
	c.got++
	c.bytes += m.Snapshot.size()
	c.holds += len(m.Snapshot.Holds)
	c.counters += len(m.Snapshot.Counters)
	c.recent += len(m.Snapshot.Recent)
	return c.bytes <= maxParts*lim.parts() && c.holds <= lim.Holds && c.counters <= lim.Accounts && c.recent <= lim.Recent
}

// prefix returns the number of parts before the first missing one.
func (c *collection) prefix() int {
	for i, p := range c.parts {
		if p == nil {
			return i
		}
	}
	return len(c.parts)
}

func (c *collection) join() *Snapshot {
	sn := *c.parts[0]
	for _, p := range c.parts[1:] {
		sn.Counters = append(sn.Counters, p.Counters...)
		sn.Holds = append(sn.Holds, p.Holds...)
		sn.Recent = append(sn.Recent, p.Recent...)
	}
	return &sn
}

// applyPart collects a part and applies the snapshot when it is whole. Until then the acknowledgement has no number,
// because the state that the part belongs to is not yet kept.
func (r *Replica) applyPart(m *SnapshotPart, now time.Time) (Ack, bool) {
	term, seq := m.Snapshot.Term, m.Snapshot.Seq
	if term == r.term && r.loaded && seq <= r.state.seq {
		return r.ack(now), true
	}
	if m.Count < 2 || m.Count > maxParts || m.Index < 0 || m.Index >= m.Count {
		return Ack{}, false
	}
	if r.collect == nil || r.collect.older(term, seq) {
		r.collect = &collection{term: term, seq: seq, parts: make([]*Snapshot, m.Count)}
	}
	c := r.collect
	if c.term != term || c.seq != seq || len(c.parts) != m.Count {
		return Ack{}, false
	}
	if !c.add(m, r.lim) {
		r.collect = nil
		return Ack{Peer: r.self, Term: term, Instance: r.instance, Full: true}, true
	}
	if c.got == len(c.parts) {
		r.collect = nil
		return r.applySnapshot(c.join(), now), true
	}
	return Ack{Peer: r.self, Term: term, Instance: r.instance, PartsOf: seq, Parts: c.prefix()}, true
}

// dropStale forgets the parts of a snapshot that the state has passed.
func (r *Replica) dropStale() {
	if c := r.collect; c != nil && (c.term < r.term || c.term == r.term && c.seq <= r.state.seq) {
		r.collect = nil
	}
}

// snapshotMessages returns the parts of the snapshot to send now. A late acknowledgement repeats one part, whose
// acknowledgement tells which others are missing.
func (j *Journal) snapshotMessages(l *link, now time.Time) []Message {
	late := l.snapSeq != 0 && now.Sub(l.sentAt) >= l.wait
	window := partWindow
	switch {
	case l.snapSeq == 0:
		sn := j.state.snapshot()
		sn.Router, sn.Term = j.router, l.term
		l.parts = sn.split(j.state.lim.parts())
		// Zero marks a snapshot that is not sent, so the number is stored plus one.
		l.snapSeq = sn.Seq + 1
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
	l.onSend(now, late)
	return ms
}

// ackParts takes over the number of parts that the peer has without a gap.
func (l *link) ackParts(a Ack) {
	if !l.snapshot || l.snapSeq != a.PartsOf+1 {
		return
	}
	if l.collector != 0 && l.collector != a.Instance {
		// Another replica collects and lacks the parts that the first one had.
		l.needSnapshot()
		return
	}
	l.collector = a.Instance
	if a.Parts <= l.partsAcked || a.Parts >= len(l.parts) {
		return
	}
	clear(l.parts[l.partsAcked:a.Parts])
	l.partsAcked = a.Parts
	l.partsSent = max(l.partsSent, l.partsAcked)
	l.wait = resendAfter
}
