package record

import (
	"fmt"
	"runtime"
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
				if _, err := j.OpenHold(Hold{Request: ident.RequestID(fmt.Sprintf("req_%032d", i)), Org: "org-00001", Budget: budget, Key: "key-1",
					Model: "chat", Version: "chat-v1", Target: "engine-0001", Tokens: 1000, IdempotencyKey: Hash{1}, Body: Hash{2}, At: t0}); err != nil {
					b.Fatalf("the journal refuses hold %d: %v", i, err)
				}
				if _, err := j.RaiseCounters(Counters{Budget: budget, Returned: 1000}); err != nil {
					b.Fatalf("the journal refuses budget %d: %v", i, err)
				}
			}
			if err := j.ChoosePeer("p.1"); err != nil {
				b.Fatal(err)
			}
			out := transferMessages(b, j, t0)
			size := 0
			for b.Loop() {
				r := NewReplica("p.1", "router-001.1796342400000", 9, DefaultLimits())
				for _, m := range out {
					if _, ok := r.Apply(m, t0); !ok {
						b.Fatal("the replica refused a message")
					}
				}
				if !r.loaded {
					b.Fatal("the replica did not apply the snapshot")
				}
			}
			for _, m := range out {
				raw, err := cbor.Marshal(m)
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

// transferMessages returns the messages that carry the state to the chosen peer p.1.
func transferMessages(b *testing.B, j *Journal, now time.Time) []Message {
	r := NewReplica("p.1", j.router, 9, DefaultLimits())
	var ms []Message
	for !j.PeerReady() {
		out := j.Outbox(now)
		if len(out) == 0 {
			b.Fatal("the snapshot transfer made no progress")
		}
		for _, o := range out {
			a, _ := r.Apply(o.Message, now)
			j.HandleAck(a, now)
			ms = append(ms, o.Message)
		}
	}
	return ms
}

// budgetCounts are the numbers of budgets in the benchmarks below: the former limit of the journal, a number between,
// and all budgets in two years.
var budgetCounts = []int{2048, 8192, 18_000}

// journalWithBudgets returns a journal with counters of the given number of budgets and without open holds.
func journalWithBudgets(b *testing.B, budgets int) *Journal {
	j := New("router-001.1796342400000", DefaultLimits())
	for i := range budgets {
		if _, err := j.RaiseCounters(Counters{Budget: ident.BudgetID(fmt.Sprintf("budget-%05d", i)), Returned: 1000,
			Out: []Transfer{{"router-002.1796342400000", 123_456}}}); err != nil {
			b.Fatal(err)
		}
	}
	return j
}

// BenchmarkBudgetsAppend measures a hold, its release and its settlement, with the exchange of both, on one of many
// budgets.
func BenchmarkBudgetsAppend(b *testing.B) {
	for _, n := range budgetCounts {
		b.Run(fmt.Sprintf("budgets=%d", n), func(b *testing.B) {
			now := time.Unix(1_796_342_400, 0)
			p := &journalPair{j: journalWithBudgets(b, n), r: NewReplica("p.1", "router-001.1796342400000", 9, DefaultLimits())}
			if err := p.j.ChoosePeer("p.1"); err != nil {
				b.Fatal(err)
			}
			for !p.j.PeerReady() {
				p.exchange(now)
			}
			d, _ := p.j.BeginDeclaration()
			p.j.ConfirmDeclaration(d)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				h := Hold{Request: ident.RequestID(fmt.Sprintf("req_%032d", i)), Budget: ident.BudgetID(fmt.Sprintf("budget-%05d", i%n)), Tokens: 100}
				seq, err := p.j.OpenHold(h)
				p.exchange(now)
				if err != nil || !p.j.Release(seq, now).OK {
					b.Fatalf("not released: %v", err)
				}
				if _, err := p.j.Settle(Settlement{Request: h.Request, Billed: 50, Outcome: ident.OutcomeRun}); err != nil {
					b.Fatal(err)
				}
				p.exchange(now)
			}
		})
	}
}

// BenchmarkBudgetsSnapshot measures the first call of Outbox for a new peer, during which the journal is locked. It
// reports the encoded size of the snapshot and the largest of its messages.
func BenchmarkBudgetsSnapshot(b *testing.B) {
	for _, n := range budgetCounts {
		b.Run(fmt.Sprintf("budgets=%d", n), func(b *testing.B) {
			now := time.Unix(1_796_342_400, 0)
			j := journalWithBudgets(b, n)
			for b.Loop() {
				if err := j.ChoosePeer("p.1"); err != nil {
					b.Fatal(err)
				}
				j.Outbox(now)
			}
			if err := j.ChoosePeer("p.1"); err != nil {
				b.Fatal(err)
			}
			ms := transferMessages(b, j, now)
			size, largest := 0, 0
			for _, m := range ms {
				raw, err := cbor.Marshal(m)
				if err != nil {
					b.Fatal(err)
				}
				size += len(raw)
				largest = max(largest, len(raw))
			}
			b.ReportMetric(float64(size), "snapshot-B")
			b.ReportMetric(float64(largest), "largest-B")
			b.ReportMetric(float64(len(ms)), "messages")
		})
	}
}

// BenchmarkBudgetsReplica reports the heap of a replica, and the heap that is added while it collects a newer snapshot.
func BenchmarkBudgetsReplica(b *testing.B) {
	for _, n := range budgetCounts {
		b.Run(fmt.Sprintf("budgets=%d", n), func(b *testing.B) {
			now := time.Unix(1_796_342_400, 0)
			j := journalWithBudgets(b, n)
			var encoded [2][][]byte
			for i := range encoded {
				if err := j.ChoosePeer("p.1"); err != nil {
					b.Fatal(err)
				}
				for _, m := range transferMessages(b, j, now) {
					raw, err := cbor.Marshal(m)
					if err != nil {
						b.Fatal(err)
					}
					encoded[i] = append(encoded[i], raw)
				}
			}
			var loaded, collecting uint64
			for b.Loop() {
				start := heapBytes()
				r := NewReplica("p.1", j.router, 9, DefaultLimits())
				applyEncoded(b, r, encoded[0], now)
				loaded = heapBytes() - start
				applyEncoded(b, r, encoded[1][:len(encoded[1])-1], now)
				collecting = heapBytes() - start - loaded
				if !r.loaded {
					b.Fatal("the replica did not apply the snapshot")
				}
			}
			b.ReportMetric(float64(loaded), "replica-B")
			b.ReportMetric(float64(collecting), "collecting-B")
		})
	}
}

// applyEncoded decodes messages, so that the replica shares no memory with the journal, and applies them.
func applyEncoded(b *testing.B, r *Replica, encoded [][]byte, now time.Time) {
	for _, raw := range encoded {
		var p SnapshotPart
		if err := cbor.Unmarshal(raw, &p); err != nil {
			b.Fatal(err)
		}
		if _, ok := r.Apply(&p, now); !ok {
			b.Fatal("the replica refused a part")
		}
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
