package claim_test

import (
	"fmt"
	"time"

	"geraniumsaddle/core/claim"
	"geraniumsaddle/core/record"
)

func ExampleRegistry() {
	now := time.Unix(1000, 0)
	r := claim.New("router-a1.7", []byte("secret"), claim.DefaultLimits())
	a := claim.Attempt{Org: "demo", Key: "order-17", Body: record.Hash{1}, Request: "q1"}
	fmt.Printf("%T\n", r.Begin(a, now))
	ref := claim.Ref{ID: claim.NewID(a.Org, a.Key), Request: a.Request}
	fmt.Printf("%T\n", r.Handle(claim.Created{Ref: ref}, now))
	fmt.Printf("%T\n", r.Handle(claim.Dispatching{Ref: ref}, now))
	fmt.Println(r.Handle(claim.LostReply{Ref: ref}, now))
	a.Request = "q2"
	fmt.Println(r.Begin(a, now))
	a.Body = record.Hash{2}
	fmt.Printf("%T\n", r.Begin(a, now))
	// Output:
	// claim.Create
	// claim.Run
	// claim.Send
	// {unknown lost_reply}
	// {unknown lost_reply}
	// claim.Conflict
}
