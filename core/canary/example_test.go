package canary_test

import (
	"fmt"
	"time"

	"geraniumsaddle/core/canary"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/target"
)

func ExampleController() {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	c := canary.New(canary.Config{Domain: "a", Policy: canary.DefaultPolicy()})
	c.PutVersion(object.Version{ID: "v1", Model: "chat", Serving: true})
	c.PutVersion(object.Version{ID: "v2", Model: "chat"})
	c.PutRelease(7, object.Release{ID: "spring", StartAt: now, FinishAt: now.Add(time.Hour),
		Changed: []object.ReleaseChange{{Version: "v2", Replaces: "v1"}}})
	rec := canary.NewRecorder("r.1", 0)
	for range 100 {
		now = now.Add(time.Second)
		for i := range 100 {
			rec.Record(canary.Sample{Version: "v1", Route: "/chat", FirstToken: 200 * time.Millisecond})
			if i == 0 && len(c.Shares(target.Key{Model: "chat"}).Shifts) > 0 {
				rec.Record(canary.Sample{Version: "v2", Route: "/chat", Failed: true})
			}
		}
		c.MergeEvidence(rec.Export())
		c.Tick(now)
	}
	for _, u := range c.OutcomeUpdates() {
		fmt.Println(u.Domain.Verdict, u.Domain.Reason)
	}
	fmt.Println(c.Shares(target.Key{Model: "chat"}))
	// Output:
	// taken_back v2: bad verdict: route /chat, load band 0: 4 errors in 4 requests; reference rate 0.03%
	// {[{v1 v1 1}] []}
}
