package record_test

import (
	"fmt"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/record"
)

func ExampleJournal() {
	now := time.Unix(1000, 0)
	j := record.New("router-a1.1", record.DefaultLimits())
	r := record.NewReplica("router-a2.1", "router-a1.1", 77, record.DefaultLimits())
	exchange := func() {
		for _, m := range j.Outbox(now) {
			if a, ok := r.Apply(m.Message, now); ok {
				j.HandleAck(a, now)
			}
		}
	}
	if err := j.ChoosePeer("router-a2.1"); err != nil {
		fmt.Println(err)
	}
	exchange()
	d, _ := j.BeginDeclaration()
	j.ConfirmDeclaration(d) // after the ledger confirmed it
	seq, err := j.OpenHold(record.Hold{Request: "r1", Budget: "b1", Tokens: 100, At: now})
	fmt.Println(seq, err, j.Release(seq, now).OK)
	exchange()
	fmt.Println(j.Release(seq, now).OK)
	exchange() // confirms the acknowledgement

	v := r.Close(d, now.Add(5*time.Second))
	rec := r.Recover(v, map[ident.RequestID]record.TargetResult{"r1": record.Ran{PromptTokens: 20, OutputTokens: 30}}, now)
	fmt.Println(rec.Bills[0].Billed, rec.Proof.Accounts[0].Counters.Settled)
	// Output:
	// 1 <nil> false
	// true
	// 50 50
}
