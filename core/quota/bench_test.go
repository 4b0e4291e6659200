package quota

import (
	"fmt"
	"testing"
	"time"

	"geraniumsaddle/core/ident"
)

// BenchmarkHold measures reserving and settling the tokens of one request.
func BenchmarkHold(b *testing.B) {
	a := testAccounts()
	a.SetTotal(testOrg, 1<<50)
	a.PlanGrants(0, NewLedger(), at(time.Second))
	a.CommitGrants(0)
	a.PlanAllowances(at(time.Second))
	a.CommitAllowances()
	b.ReportAllocs()
	for b.Loop() {
		if a.Hold(testOrg, 100, time.Hour).Verdict == Held {
			a.Settle(testOrg, 100, 0)
		}
	}
}

// BenchmarkPlan measures planning the grants of one router, including decoding and encoding a ledger of n routers and 3
// organisations.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{9, 79} {
		b.Run(fmt.Sprint(n, "routers"), func(b *testing.B) {
			l := NewLedger()
			for i := range n {
				rows := make(map[ident.OrgID]Row)
				for org := range 3 {
					rows[ident.OrgID(fmt.Sprint("org", org))] = Row{Granted: 100_000, Spent: 50_000, Rate: 3_000}
				}
				id := ident.NewRouterID(fmt.Sprint("vm", i), 1)
				l.Holders[id] = &Holder{VM: ident.VMID(id.Name()), Writes: 5, Rows: rows}
			}
			stored := l.Encode()
			a := testAccounts()
			for org := range 3 {
				a.SetTotal(ident.OrgID(fmt.Sprint("org", org)), 50_000_000)
			}
			b.ReportAllocs()
			b.ReportMetric(float64(len(stored)), "bytes")
			now := time.Second
			for b.Loop() {
				read, err := DecodeLedger(stored)
				if err != nil {
					b.Fatal(err)
				}
				now += time.Second
				a.PlanGrants(0, read, at(now))
				_ = read.Encode()
			}
		})
	}
}

// BenchmarkServe measures serving one claim of each router for 6 organisations, including summing up the ledger.
func BenchmarkServe(b *testing.B) {
	for _, routers := range []int{61, 300} {
		b.Run(fmt.Sprint(routers), func(b *testing.B) {
			const orgs = 6
			writer := NewAccounts(Config{Self: "vm0.1", VM: "vm0", IdleShare: 0.4, LivenessTimeout: 15 * time.Second, GrantHorizon: 25 * time.Second,
				SpareHorizon: time.Second, LowHorizon: 10 * time.Second})
			writer.SetRouterCount(routers)
			needs := make(map[ident.OrgID]Need)
			for i := range orgs {
				id := ident.OrgID(fmt.Sprint("org", i))
				writer.SetTotal(id, 1e9)
				needs[id] = Need{Used: 1000, Spent: 500, Rate: 100, Size: 500}
			}
			var claims []*Claim
			for i := range routers {
				vm := fmt.Sprint("vm", i)
				claims = append(claims, &Claim{Router: ident.NewRouterID(vm, 1), VM: ident.VMID(vm), Needs: needs, Allowances: &Allowances{}})
			}
			l := NewLedger()
			n := uint64(0)
			for b.Loop() {
				n++
				d := writer.Divide(l, time.Second)
				for _, c := range claims {
					c.Writes = n
					if _, ok := writer.ServeClaim(0, d, c); !ok {
						b.Fatal("claim not served")
					}
				}
			}
		})
	}
}
