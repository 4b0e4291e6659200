package member_test

import (
	"fmt"
	"testing"
	"time"

	"geraniumsaddle/core/member"
)

// countAtLeast returns how many live nodes see the crashed node in the given state or a higher one, and how many nodes
// are live.
func (f *fleet) countAtLeast(crashed *node, state member.State) (n, live int) {
	for _, o := range f.nodes {
		if o.dead || o == crashed {
			continue
		}
		live++
		if m, ok := o.Member(crashed.Self().ID.Name()); ok && m.State >= state {
			n++
		}
	}
	return n, live
}

// BenchmarkDetect reports in virtual time how long it takes until the first member suspects a crashed member, until all
// members suspect it, and until all have declared it dead.
func BenchmarkDetect(b *testing.B) {
	for _, n := range []int{8, 64, 380} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			var first, all, dead time.Duration
			runs := 0
			f := newFleet(b, n, 6, 21)
			f.runUntilAgreed(10 * time.Minute)
			for b.Loop() {
				crashed := f.nodes[2+runs%(n-2)]
				crashed.dead = true
				start := f.now
				until := func(state member.State, want func(n, live int) bool) time.Duration {
					for {
						if n, live := f.countAtLeast(crashed, state); want(n, live) {
							return f.now.Sub(start)
						}
						f.run(step)
					}
				}
				first += until(member.StateSuspect, func(n, _ int) bool { return n > 0 })
				all += until(member.StateSuspect, func(n, live int) bool { return n == live })
				dead += until(member.StateDead, func(n, live int) bool { return n == live })
				runs++
			}
			b.ReportMetric(first.Seconds()/float64(runs), "first-suspect-s")
			b.ReportMetric(all.Seconds()/float64(runs), "all-suspect-s")
			b.ReportMetric(dead.Seconds()/float64(runs), "all-dead-s")
		})
	}
}

// BenchmarkReceive reports the CPU time of one probe with its answer in a fleet of 380.
func BenchmarkReceive(b *testing.B) {
	f := newFleet(b, 380, 6, 31)
	f.runUntilAgreed(10 * time.Minute)
	n := f.nodes[0]
	p := member.Probe{Seq: 1, From: f.nodes[1].Self(), Updates: []member.Update{f.nodes[2].Self(), f.nodes[3].Self()}}
	now := n.NextTick()
	b.ReportAllocs()
	for b.Loop() {
		n.Receive(f.nodes[1].addr, p, now)
	}
}
