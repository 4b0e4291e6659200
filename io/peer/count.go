package peer

import "sync/atomic"

// Counts are cumulative numbers of messages and of encoded bytes, without the overhead of QUIC.
type Counts struct {
	Type             string
	Sent, SentBytes  uint64
	Received         uint64
	ReceivedBytes    uint64
	Dropped          uint64 // not sent: over the byte budget or the queue limit, or the peer is unreachable
	DroppedLowBudget uint64 // part of Dropped: low-priority messages over the byte budget
}

// Rejects are cumulative numbers of received messages that were dropped.
type Rejects struct {
	UnknownType   uint64
	UnknownFormat uint64
	Malformed     uint64
	TooLarge      uint64
	WrongSender   uint64 // the sender's identifier does not match its certificate
}

type typeCounters struct {
	sent, sentBytes, received, receivedBytes, dropped, droppedLow atomic.Uint64
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

// Counts returns one row for each message type, in the order of their numbers.
func (t *Transport) Counts() []Counts {
	rows := make([]Counts, 0, typeEnd-1)
	for typ := Type(1); typ < typeEnd; typ++ {
		c := &t.counts.byType[typ]
		rows = append(rows, Counts{
			Type: typ.String(), Sent: c.sent.Load(), SentBytes: c.sentBytes.Load(),
			Received: c.received.Load(), ReceivedBytes: c.receivedBytes.Load(),
			Dropped: c.dropped.Load(), DroppedLowBudget: c.droppedLow.Load(),
		})
	}
	return rows
}

// Rejects returns the numbers of received messages that were dropped.
func (t *Transport) Rejects() Rejects {
	c := &t.counts
	return Rejects{
		UnknownType: c.unknownType.Load(), UnknownFormat: c.unknownFormat.Load(),
		Malformed: c.malformed.Load(), TooLarge: c.tooLarge.Load(), WrongSender: c.wrongSender.Load(),
	}
}

// WireStats is the cumulative UDP payload of the connections that are open now, QUIC overhead and
// retransmissions included.
type WireStats struct {
	Sent, Received uint64
}

// WireBytes returns the sum over the open connections. It falls when a connection closes.
func (t *Transport) WireBytes() WireStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	var w WireStats
	for s := range t.conns {
		st := s.conn.ConnectionStats()
		w.Sent += st.BytesSent
		w.Received += st.BytesReceived
	}
	return w
}
