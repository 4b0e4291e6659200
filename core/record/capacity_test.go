package record

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"geraniumsaddle/core/ident"
)

// BenchmarkSnapshot reports the encoded size of a snapshot with open requests, and the time in which the new journal
// peer applies it. Each open request has its own budget.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{16, 256, 1024, 2048} {
		b.Run(fmt.Sprintf("holds=%d", n), func(b *testing.B) {
			t0 := time.Unix(1_796_342_400, 0).UTC()
			j := New("router-001.1796342400000", DefaultLimits())
			for i := range n {
				budget := ident.BudgetID(fmt.Sprintf("budget-%05d", i))
				if _, err := j.Open(Hold{Request: ident.RequestID(fmt.Sprintf("req_%032d", i)), Org: "org-00001", Budget: budget, Key: "key-1",
					Model: "chat", Version: "chat-v1", Target: "engine-0001", Tokens: 1000, IdempotencyKey: Hash{1}, Body: Hash{2}, At: t0}); err != nil {
					b.Fatalf("the journal refuses hold %d: %v", i, err)
				}
				if _, err := j.Raise(Counters{Budget: budget, Returned: 1000}); err != nil {
					b.Fatalf("the journal refuses budget %d: %v", i, err)
				}
			}
			if err := j.Choose("p.1"); err != nil {
				b.Fatal(err)
			}
			out := j.Outbox(t0)
			size := 0
			for b.Loop() {
				r := NewReplica("p.1", "router-001.1796342400000", 9, DefaultLimits())
				for _, o := range out {
					if _, ok := r.Apply(o.Message, t0); !ok {
						b.Fatal("the replica did not apply the snapshot")
					}
				}
			}
			for _, o := range out {
				raw, err := cbor.Marshal(o.Message)
				if err != nil {
					b.Fatal(err)
				}
				size += len(raw)
			}
			b.ReportMetric(float64(size), "snapshot-B")
			b.ReportMetric(float64(size)/float64(n), "B/hold")
			b.ReportMetric(float64(len(out)), "messages")
		})
	}
}

// BenchmarkAppend reports the encoded bytes that a request sends to the journal peer: its hold and its settlement, in
// messages with the given number of requests.
func BenchmarkAppend(b *testing.B) {
	for _, n := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("requests=%d", n), func(b *testing.B) {
			t0 := time.Unix(1_796_342_400, 0).UTC()
			hold := Append{Router: "router-001.1796342400000", Term: 1, Instance: 9, Confirm: 100}
			settle := hold
			for i := range n {
				id := ident.RequestID(fmt.Sprintf("req_%032d", i))
				hold.Entries = append(hold.Entries, Entry{Seq: uint64(1000 + i), Open: &Hold{Request: id, Org: "org-00001", Budget: "budget-00001",
					Key: "key-1", Model: "chat", Version: "chat-v1", Target: "engine-0001", Tokens: 1000, IdempotencyKey: Hash{1}, Body: Hash{2}, At: t0}})
				settle.Entries = append(settle.Entries, Entry{Seq: uint64(2000 + i), Settle: &Settlement{Request: id, PromptTokens: 300,
					OutputTokens: 350, Billed: 650, Outcome: ident.OutcomeRun, At: t0}})
			}
			size := 0
			for b.Loop() {
				size = 0
				for _, m := range []*Append{&hold, &settle} {
					raw, err := cbor.Marshal(m)
					if err != nil {
						b.Fatal(err)
					}
					size += len(raw)
				}
			}
			b.ReportMetric(float64(size)/float64(n), "B/request")
		})
	}
}
