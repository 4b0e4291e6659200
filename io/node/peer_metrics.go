package node

import (
	"geraniumsaddle/io/metric"
	"geraniumsaddle/io/peer"
)

// peerByteMetrics adds the increments of the peer transport's cumulative counters to the metrics.
type peerByteMetrics struct {
	last map[string]peer.Counts
}

func (p *peerByteMetrics) record(m *metric.Recorder, rows []peer.Counts) {
	if p.last == nil {
		p.last = make(map[string]peer.Counts, len(rows))
	}
	for _, r := range rows {
		old := p.last[r.Type]
		if n := r.SentBytes - old.SentBytes; n > 0 {
			m.PeerBytes("sent", r.Type, float64(n))
		}
		if n := r.ReceivedBytes - old.ReceivedBytes; n > 0 {
			m.PeerBytes("received", r.Type, float64(n))
		}
		p.last[r.Type] = r
	}
}
