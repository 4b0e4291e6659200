package escrow

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
)

type shardCase struct {
	Name  string          `json:"name"`
	OK    bool            `json:"ok"`
	Error string          `json:"error"`
	Shard json.RawMessage `json:"shard"`
}

func shardCases(tb testing.TB) []shardCase {
	b, err := os.ReadFile("testdata/shards.json")
	if err != nil {
		tb.Fatal(err)
	}
	var cases []shardCase
	if err := json.Unmarshal(b, &cases); err != nil {
		tb.Fatal(err)
	}
	return cases
}

// TestDecode guards against a shard of a newer program, or one with counters that break the sums, being
// taken as confirmed.
func TestDecode(t *testing.T) {
	for _, c := range shardCases(t) {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			_, err := Decode(c.Shard)
			is.Equal(err == nil, c.OK)
			is.True(err == nil || strings.Contains(err.Error(), c.Error))
		})
	}
}

// FuzzDecode guards against a decoder that panics, or that accepts a shard and refuses its own encoding of it.
func FuzzDecode(f *testing.F) {
	for _, c := range shardCases(f) {
		f.Add([]byte(c.Shard))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Decode(b)
		if err != nil {
			return
		}
		out, err := s.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := Decode(out)
		if err != nil {
			t.Fatalf("Decode refuses the output of Encode: %v", err)
		}
		if out2, _ := again.Encode(); string(out) != string(out2) {
			t.Fatal("the encoding changed after decoding and encoding it again")
		}
	})
}

// TestOperatorChanges guards against refunds of granted tokens, a second top-up with the same ID and another amount,
// and a capacity reduction that is forgotten or applied twice.
func TestOperatorChanges(t *testing.T) {
	is := is.New(t)
	e := Entry{ID: "b", Paid: 100, RowsOpened: 1, Holders: []Holder{{ID: "r.1", RowNumber: 1, Granted: 70}}}
	_, err := e.ApplyOp(Op{ID: "1", Kind: OpRefund, Tokens: 31})
	is.True(err != nil) // only 30 are unallotted
	changed, err := e.ApplyOp(Op{ID: "2", Kind: OpTopUp, Tokens: 5})
	is.True(changed && err == nil)
	changed, err = e.ApplyOp(Op{ID: "2", Kind: OpTopUp, Tokens: 5})
	is.True(!changed && err == nil)
	_, err = e.ApplyOp(Op{ID: "2", Kind: OpTopUp, Tokens: 6})
	is.True(err != nil)
	is.Equal(e.Paid, ident.Tokens(105))

	slots := Entry{ID: "t", Paid: 10, RowsOpened: 1, Holders: []Holder{{ID: "r.1", RowNumber: 1, Granted: 8}}}
	_, err = slots.SetCapacity(5)
	is.NoErr(err)
	is.Equal(slots.PendingReduction, ident.Tokens(3))
	changed, err = slots.SetCapacity(5)
	is.True(!changed && err == nil)
	s, _ := Writer{Policy: SlotCover{}}.Apply(NewShard().With(slots), Batch{
		Reports: []Report{{Entry: "t", Holder: "r.1", RowNumber: 1, Seq: 1, Granted: 8, Returned: 4, Want: 9}},
	})
	is.Equal(s.Entry("t").PendingReduction, ident.Tokens(0))
	is.Equal(s.Entry("t").Paid-s.Entry("t").Refunded, ident.Tokens(5))
	is.Equal(s.Entry("t").Holder("r.1").Granted, ident.Tokens(9)) // 5 slots, of which 4 are still out

	expired := Entry{ID: "b", Paid: 100, ExpiresAt: time.Unix(100, 0)}
	a := NewAccount(AccountConfig{Entry: "b", Holder: "r.1", Policy: DefaultRecall})
	a.ApplyEntry(1, &expired, time.Unix(99, 0))
	is.True(a.Hold(0))
	a.Tick(time.Unix(100, 0))
	is.True(!a.Hold(0))
}

// TestLateReports guards against counting a report twice when a late copy of it reaches a row that was closed and
// opened again: its counters were already counted when the row was closed.
func TestLateReports(t *testing.T) {
	is := is.New(t)
	w := Writer{Policy: DefaultCover}
	first := Report{Entry: "b", Holder: "r.1", Seq: 1, Settled: 9, In: 9, Want: 50}
	s, _ := w.Apply(NewShard().With(Entry{ID: "b", Paid: 100}), Batch{Reports: []Report{first}})
	is.Equal(*s.Entry("b").Holder("r.1"), Holder{ID: "r.1", RowNumber: 1}) // neither counters nor a grant
	second := Report{Entry: "b", Holder: "r.1", RowNumber: 1, Seq: 2, Settled: 9, In: 9, Want: 50}
	s, _ = w.Apply(s, Batch{Reports: []Report{second}})
	e := s.Entry("b").Clone()
	is.Equal(e.Holder("r.1").Granted, ident.Tokens(50))
	_, err := e.Close(Proof{Holder: "r.1", RowNumber: 1, Settled: 9, In: 9, Complete: true})
	is.NoErr(err)
	is.Equal(e.Unallotted(), ident.Tokens(100)) // what it billed came from another holder

	s, _ = w.Apply(s.With(e), Batch{Reports: []Report{first, second}})
	is.Equal(*s.Entry("b").Holder("r.1"), Holder{ID: "r.1", RowNumber: 2})
	changed, err := e.Close(Proof{Holder: "r.1", RowNumber: 1, Settled: 9})
	is.True(!changed && err == nil)
}
