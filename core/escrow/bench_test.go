package escrow_test

import (
	"fmt"
	"testing"
	"time"

	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
)

var benchmarkTime = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// fundedShard returns a shard of funded entries with the same number of holders each, and a report of the first holder
// of each entry.
func fundedShard(entries, holders int) (escrow.Shard, []escrow.Report) {
	s := escrow.NewShard()
	var reports []escrow.Report
	for i := range entries {
		e := escrow.Entry{ID: escrow.BudgetEntryID(ident.BudgetID(fmt.Sprintf("budget-%05d", i))), Paid: 1 << 40, RowsOpened: uint64(holders)}
		for j := range holders {
			e.Holders = append(e.Holders, escrow.Holder{
				ID:        escrow.HolderID(fmt.Sprintf("router-%03d.1796342400000", j)),
				RowNumber: uint64(j + 1), Granted: 1_000_000, Settled: 123_456, Seq: 1000,
				JournalPeer: "router-001.1796342400000#.1"})
		}
		r := escrow.Report{Entry: e.ID, Holder: e.Holders[0].ID, RowNumber: 1, Seq: 1001, Granted: 1_000_000, Settled: 234_567,
			Want: 500_000, JournalPeer: e.Holders[0].JournalPeer}
		s.Entries = append(s.Entries, e)
		reports = append(reports, r)
	}
	return s, reports
}

// shardSizes covers 281 entries, which is a shard's part of 18,000 budgets, with few and many holders, and a smaller
// shard of 28 entries.
var shardSizes = []struct{ entries, holders int }{{28, 6}, {281, 1}, {281, 6}, {281, 12}, {281, 24}, {281, 63}}

// BenchmarkShard reports the encoded size of a shard, and the time to encode it, to decode it and to apply a batch that
// wants tokens for each entry. The platform takes values up to 1 MB.
func BenchmarkShard(b *testing.B) {
	for _, c := range shardSizes {
		name := fmt.Sprintf("entries=%d/holders=%d", c.entries, c.holders)
		s, reports := fundedShard(c.entries, c.holders)
		raw, err := s.Encode()
		if err != nil {
			b.Fatal(err)
		}
		b.Run("encode/"+name, func(b *testing.B) {
			for b.Loop() {
				_, _ = s.Encode()
			}
			b.ReportMetric(float64(len(raw)), "value-B")
			b.ReportMetric(float64(len(raw))/float64(c.entries*c.holders), "B/row")
		})
		b.Run("decode/"+name, func(b *testing.B) {
			for b.Loop() {
				if _, err := escrow.Decode(raw); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*c.entries*c.holders), "ns/row")
		})
		b.Run("apply/"+name, func(b *testing.B) {
			w := escrow.Writer{Policy: escrow.DefaultRecall}
			for b.Loop() {
				if _, changed := w.Apply(s, escrow.Batch{Reports: reports, Now: benchmarkTime, Flush: true}); !changed {
					b.Fatal("the batch changed nothing")
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*c.entries), "ns/report")
		})
	}
}

// BenchmarkAccounts reports the time of the periodic work on idle accounts: sampling the demand, rebalancing and
// reporting.
func BenchmarkAccounts(b *testing.B) {
	for _, n := range []int{100, 1000, 18_000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			accounts := make([]*escrow.Account, n)
			for i := range accounts {
				accounts[i] = escrow.NewAccount(escrow.AccountConfig{Entry: escrow.EntryID(fmt.Sprint(i)), Holder: "r.1", Policy: escrow.DefaultRecall})
			}
			now := benchmarkTime
			for b.Loop() {
				now = now.Add(time.Second)
				for _, a := range accounts {
					a.Tick(now)
					a.Rebalance()
					_ = a.Report()
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/account")
		})
	}
}

// BenchmarkHold reports the time to hold and settle tokens on one account.
func BenchmarkHold(b *testing.B) {
	s, _ := fundedShard(1, 1)
	for _, parallel := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("parallel=%d", parallel), func(b *testing.B) {
			a := escrow.NewAccount(escrow.AccountConfig{Entry: s.Entries[0].ID, Holder: s.Entries[0].Holders[0].ID, Policy: escrow.DefaultRecall})
			a.ApplyEntry(1, &s.Entries[0], benchmarkTime)
			b.ReportAllocs()
			b.SetParallelism(parallel)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if a.Hold(10) {
						a.Settle(10, 0)
					}
				}
			})
		})
	}
}
