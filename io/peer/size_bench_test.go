package peer_test

import (
	"fmt"
	"testing"

	"geraniumsaddle/core/canary"
	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/peer"
)

// BenchmarkEvidence reports the encoded size of an evidence message. Each cell has latency counts in 12 consecutive
// buckets of each of its two histograms.
func BenchmarkEvidence(b *testing.B) {
	for _, n := range []int{8, 64, 200, 512} {
		b.Run(fmt.Sprintf("cells=%d", n), func(b *testing.B) {
			m := peer.Evidence{Domain: "region-1-a"}
			for i := range n {
				c := peer.EvidenceCell{Router: "router-001.1796342400000", Version: "chat-v2", Route: fmt.Sprintf("/v1/route/%d", i/8),
					Band: uint8(i % 4), Requests: 100_000, Errors: 300, Timed: 99_700, Latency: make([]uint64, 2*canary.LatencyBuckets)}
				for k := range 12 {
					c.Latency[6+k], c.Latency[canary.LatencyBuckets+6+k] = 8000, 8000
				}
				m.Cells = append(m.Cells, c)
			}
			reportSize(b, m, n, "B/cell")
		})
	}
}

// BenchmarkLedgerState reports the encoded size of the confirmed entries that a writer returns, with the rows of all
// holders.
func BenchmarkLedgerState(b *testing.B) {
	for _, c := range []struct{ entries, holders int }{{1, 6}, {8, 6}, {8, 63}, {64, 6}, {64, 63}} {
		b.Run(fmt.Sprintf("entries=%d/holders=%d", c.entries, c.holders), func(b *testing.B) {
			m := peer.LedgerState{Shard: object.Key{Kind: object.KindLedger, Name: "07"}, Version: 1_000_000}
			for i := range c.entries {
				e := escrow.Entry{ID: escrow.EntryID(fmt.Sprintf("budget-%05d", i)), Paid: 1 << 40, RowsOpened: uint64(c.holders)}
				for j := range c.holders {
					e.Holders = append(e.Holders, escrow.Holder{ID: escrow.HolderID(fmt.Sprintf("router-%03d.1796342400000", j)),
						RowNumber: uint64(j + 1), Granted: 1_000_000, Settled: 123_456, Seq: 1000, JournalPeer: "router-001.1796342400000#.1"})
				}
				m.Entries = append(m.Entries, e)
			}
			reportSize(b, m, c.entries*c.holders, "B/row")
		})
	}
}

func reportSize(b *testing.B, m peer.Message, n int, unit string) {
	size := 0
	for b.Loop() {
		raw, err := peer.Encode(ident.NewRouterID("router-001", 1_796_342_400_000), m)
		if err != nil {
			b.Fatal(err)
		}
		size = len(raw)
	}
	b.ReportMetric(float64(size), "message-B")
	b.ReportMetric(float64(size)/float64(n), unit)
}
