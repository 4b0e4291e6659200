package node

import (
	"geraniumsaddle/io/metric"
	"geraniumsaddle/io/peer"
)

// wireCounts turns the cumulative counters of the peer transport into increments of metrics.
type peerByteMetrics struct {
	last map[string]peer.Counts
}

func (w *peerByteMetrics) record(m *metric.Recorder, rows []peer.Counts) {
	if w.last == nil {
		w.last = make(map[string]peer.Counts, len(rows))
	}
	for _, r := range rows {
		old := w.last[r.Type]
		if n := r.SentBytes - old.SentBytes; n > 0 {
			m.PeerBytes("sent", r.Type, float64(n))
		}
		if n := r.ReceivedBytes - old.ReceivedBytes; n > 0 {
			m.PeerBytes("received", r.Type, float64(n))
		}
		w.last[r.Type] = r
	}
}
