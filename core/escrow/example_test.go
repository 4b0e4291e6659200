package escrow_test

import (
	"fmt"
	"time"

	"geraniumsaddle/core/escrow"
)

func Example() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	e := escrow.Entry{ID: "grant-7"}
	_, err := e.ApplyOp(escrow.Op{ID: "op-1", Kind: escrow.OpTopUp, Tokens: 100_000})
	shard := escrow.NewShard().With(e)

	a := escrow.NewAccount(escrow.AccountConfig{Entry: e.ID, Holder: "router-a1.1", Policy: escrow.DefaultRecall})
	w := escrow.Writer{Policy: escrow.DefaultRecall}
	for update := range 2 { // the first update opens the row, the second grants
		shard, _ = w.Apply(shard, escrow.Batch{Reports: []escrow.Report{a.Report()}, Now: now})
		a.ApplyEntry(1, shard.Entry(e.ID), now)
		fmt.Println("update", update+1, "free", a.Free())
	}
	fmt.Println(a.Hold(1000), a.Free(), a.Held())
	_, ok := a.Settle(1000, 300)
	fmt.Println(ok, a.Free(), a.Settled(), shard.Entry(e.ID).Unallotted(), err)
	// Output:
	// update 1 free 0
	// update 2 free 50000
	// true 49000 1000
	// true 49700 300 50000 <nil>
}
