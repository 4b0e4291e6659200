package bill_test

import (
	"fmt"
	"os"
	"time"

	"geraniumsaddle/core/bill"
	"geraniumsaddle/core/ident"
)

func Example() {
	now := time.Date(2026, 1, 31, 12, 0, 0, 0, time.UTC)
	b := bill.NewBatcher("router-a1.7")
	for i, tokens := range []ident.Tokens{300, 50} {
		_, err := b.Add(now, bill.Bill{
			RequestID: ident.RequestID(fmt.Sprintf("req-%d", i)), Org: "demo", Budget: "grant", Key: "demo-key",
			Model: "demo-chat", PromptTokens: 10, OutputTokens: tokens - 10, Billed: tokens,
			Outcome: ident.OutcomeRun, Router: "router-a1.7", At: now,
		})
		if err != nil {
			fmt.Println(err)
		}
	}
	day := bill.NewDayRollup("demo", now)
	for _, p := range b.Pending(now.Add(bill.MaxDelay)) {
		fmt.Println(p.Name, day.Add(p), day.Add(p))
		b.MarkWritten(p.Name)
	}
	m := bill.NewMonthRollup("demo", now)
	fmt.Println(m.SetDay(day.Sum()), m.SetDay(day.Sum()))
	if err := m.Statement().WriteCSV(os.Stdout); err != nil {
		fmt.Println(err)
	}
	// Output:
	// 20260131.router-a1.7.1 true false
	// true false
	// org,month,budget,key,model,service,requests,unknown,prompt_tokens,output_tokens,billed,over_bound
	// demo,202601,grant,demo-key,demo-chat,,2,0,20,330,350,0
	// demo,202601,total,,,,2,0,20,330,350,0
}
