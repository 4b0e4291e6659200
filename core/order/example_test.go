package order_test

import (
	"fmt"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/order"
)

// A new holder waits until the old lease has expired. Before it reads a target that ignores the fencing number it also
// waits for the maximum order delay. A target that checks the number needs no further wait.
func ExampleIssuer() {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	l := order.NewLease(order.LeaseConfig{Name: "orders", Self: "b.1", TTL: 10 * time.Second, Margin: time.Second, RenewInterval: time.Second})
	is := order.NewIssuer(order.IssuerConfig{MaxDelay: 5 * time.Second, SendWithin: time.Second, ResendAfter: time.Minute, RereadAfter: time.Minute}, l)
	is.SetPlan([]order.DesiredState{{Target: "checks", ChecksFence: true}, {Target: "ignores"}})
	l.Observe(now, object.Lease{Holder: "a.1", Fence: 7, ExpiresAt: now.Add(10 * time.Second)}, 3)
	version := ident.ObjectVersion(3)
	for s := range 17 {
		at := now.Add(time.Duration(s) * time.Second)
		if a, ok := l.Attempt(at); ok {
			version++
			l.Confirm(a, version)
		}
		for _, a := range is.Step(at) {
			if r, ok := a.(order.Read); ok {
				fmt.Printf("%ds: fence %d, read %s\n", s, l.Fence(), r.Target)
			}
		}
	}
	// Output:
	// 10s: fence 8, read checks
	// 15s: fence 8, read ignores
}
