package peer

import "sync/atomic"

// Counts holds the cumulative numbers of messages and encoded bytes of one message type, without QUIC overhead.
type Counts struct {
	Type             string
	Sent, SentBytes  uint64
	Received         uint64
	ReceivedBytes    uint64
	Dropped          uint64 // not sent: over the byte budget or a queue limit, or a failure to connect or write
	DroppedLowBudget uint64 // part of Dropped: low-priority messages over the byte budget
}

// Rejects holds the cumulative numbers of received messages that were dropped, by reason.
type Rejects struct {
	UnknownType   uint64
	UnknownFormat uint64
	Malformed     uint64
	TooLarge      uint64
	WrongSender   uint64 // the sender's identifier does not match its certificate
}

type typeCounters struct {
	sent, sentBytes, received, receivedBytes, dropped, droppedLowBudget atomic.Uint64
}

type counters struct {
	byType                                                       [typeEnd]typeCounters
	unknownType, unknownFormat, malformed, tooLarge, wrongSender atomic.Uint64
}

func (c *counters) sent(t Type, n int) {
	c.byType[t].sent.Add(1)
	c.byType[t].sentBytes.Add(uint64(n))
}

func (c *counters) received(t Type, n int) {
	c.byType[t].received.Add(1)
	c.byType[t].receivedBytes.Add(uint64(n))
}

func (c *counters) dropped(fs []frame) {
	for _, f := range fs {
		c.byType[f.typ].dropped.Add(1)
	}
}

// Counts returns one element per message type, ordered by type number.
func (t *Transport) Counts() []Counts {
	rows := make([]Counts, 0, typeEnd-1)
	for typ := Type(1); typ < typeEnd; typ++ {
		c := &t.counts.byType[typ]
		rows = append(rows, Counts{
			Type: typ.String(), Sent: c.sent.Load(), SentBytes: c.sentBytes.Load(),
			Received: c.received.Load(), ReceivedBytes: c.receivedBytes.Load(),
			Dropped: c.dropped.Load(), DroppedLowBudget: c.droppedLowBudget.Load(),
		})
	}
	return rows
}

// Rejects returns the numbers of received messages that were dropped, by reason.
func (t *Transport) Rejects() Rejects {
	c := &t.counts
	return Rejects{
		UnknownType: c.unknownType.Load(), UnknownFormat: c.unknownFormat.Load(),
		Malformed: c.malformed.Load(), TooLarge: c.tooLarge.Load(), WrongSender: c.wrongSender.Load(),
	}
}

// WireStats holds the UDP payload bytes of the open connections since each was opened, including QUIC overhead and
// retransmissions.
type WireStats struct {
	Sent, Received uint64
}

// WireBytes returns the sum over the open connections. The sum decreases when a connection closes.
func (t *Transport) WireBytes() WireStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	var w WireStats
	for s := range t.sessions {
		st := s.conn.ConnectionStats()
		w.Sent += st.BytesSent
		w.Received += st.BytesReceived
	}
	return w
}
