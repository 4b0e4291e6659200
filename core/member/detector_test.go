package member_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/member"
)

// TestViewsConverge guards against a live member that stays suspect or dead, a dead one that stays
// alive, and updates that go backwards, under pauses, flapping, restarts, loss, and cuts in one direction.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 6, 2, rapid.Uint64().Draw(t, "seed"))
		settled := rapid.Bool().Draw(t, "settled")
		if settled {
			f.runUntilAgreed(5 * time.Minute)
		}
		index := rapid.IntRange(0, len(f.nodes)-1)
		for range rapid.IntRange(1, 8).Draw(t, "events") {
			n := f.nodes[index.Draw(t, "node")]
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				n.paused = !n.paused
			case 1:
				f.cuts[[2]string{n.addr, f.nodes[index.Draw(t, "other")].addr}] = true
			case 2: // a cut of all that a node sends, or of all that it receives
				in := rapid.Bool().Draw(t, "in")
				for _, o := range f.nodes {
					f.cuts[[2]string{n.addr, o.addr}] = !in
					f.cuts[[2]string{o.addr, n.addr}] = in
				}
			case 3:
				clear(f.cuts)
			case 4:
				f.loss = 0.3
			case 5:
				// Members that do not know each other yet need a live seed to meet.
				n.dead = settled || n != f.nodes[0]
			}
			f.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
		}
		clear(f.cuts)
		f.loss = 0
		live := 0
		for _, n := range f.nodes {
			n.paused = false
			if !n.dead {
				live++
			}
		}
		if live > 0 {
			f.runUntilAgreed(15 * time.Minute)
		}
		for i, n := range f.nodes { // restarted routers have a new epoch and know only the seeds
			if n.dead {
				f.start(i, 2, 2, 7)
			}
		}
		f.runUntilAgreed(15 * time.Minute)
	})
}

// TestDomainCut guards against refutations that go on after a partition has healed, and against a
// failure domain that does not notice the cut.
func TestDomainCut(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 24, 3, 1)
	f.runUntilAgreed(2 * time.Minute)
	for _, a := range f.nodes {
		for _, b := range f.nodes {
			f.cuts[[2]string{a.addr, b.addr}] = (a.domain == "d0") != (b.domain == "d0")
		}
	}
	f.run(2 * time.Minute)
	for _, n := range f.nodes {
		for _, m := range n.Members() {
			is.Equal(m.State == member.StateAlive, (n.domain == "d0") == (m.Domain == "d0"))
		}
	}
	clear(f.cuts)
	f.runUntilAgreed(3 * time.Minute)
	f.run(time.Minute)
	before := f.incarnations()
	f.run(5 * time.Minute)
	is.Equal(f.incarnations(), before)
}

func (f *fleet) incarnations() uint64 {
	var sum uint64
	for _, n := range f.nodes {
		sum += n.Self().Incarnation
	}
	return sum
}

// TestPausedProcess guards against a process that declares others dead because it was itself paused, and
// against the many refutations that would follow.
func TestPausedProcess(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 9, 3, 3)
	f.runUntilAgreed(2 * time.Minute)
	f.nodes[4].paused = true
	f.run(time.Minute)
	m, _ := f.nodes[0].Member("r004")
	is.Equal(m.State, member.StateDead)
	before := f.incarnations()
	f.nodes[4].paused = false
	f.run(time.Second)
	is.True(f.nodes[4].Health() <= 2) // one delay and one refutation, independent of the number of waiting messages
	f.runUntilAgreed(time.Minute)
	is.Equal(f.incarnations(), before+1) // only the paused process refutes
	is.True(f.nodes[4].Health() > 0)
	f.run(time.Minute)
	is.Equal(f.nodes[4].Health(), 0)
}

// TestVMList guards against new work for a VM that is leaving or that a delayed older list reports as live
// again, and against dropping members that are alive but not listed yet.
func TestVMList(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 1, 5)
	f.runUntilAgreed(time.Minute)
	n := f.nodes[0]
	get := func(name string) member.Member {
		m, _ := n.Member(name)
		return m
	}
	n.SetVMs([]member.VM{{ID: "vm-001", State: member.VMLive}}, f.now)
	is.True(get("r001").Usable())
	is.True(get("r002").Usable()) // not listed yet
	n.SetVMs([]member.VM{{ID: "vm-001", State: member.VMLeaving}}, f.now)
	is.True(!get("r001").Usable())
	n.SetVMs([]member.VM{{ID: "vm-001", State: member.VMLive}}, f.now)
	is.True(!get("r001").Usable()) // an older list arrived late
	f.nodes[1].dead, f.nodes[2].dead = true, true
	f.run(5 * time.Minute)
	is.Equal(get("r001").State, member.StateDead) // listed, so kept
	_, known := n.Member("r002")
	is.True(!known) // not listed and not reachable

	n.SetVMs([]member.VM{{ID: "vm-001", State: member.VMGone}}, f.now)
	next := get("r001").Update
	next.ID = ident.NewRouterID("r001", 2)
	n.Learn(next, f.now)
	is.True(!get("r001").Usable()) // the list still describes the previous VM
	n.SetVMs([]member.VM{{ID: "vm-001", State: member.VMLive}}, f.now)
	is.True(get("r001").Usable())
}

// TestProbeRateIndependentOfFleetSize guards against probing whose cost per member grows with the fleet.
func TestProbeRateIndependentOfFleetSize(t *testing.T) {
	is := is.New(t)
	small, _ := sendRates(t, 4, 2, 30*time.Second)
	large, _ := sendRates(t, 96, 6, 30*time.Second)
	t.Logf("messages per member and second: %.2f with 4 members, %.2f with 96", small, large)
	is.True(large <= 6)
	is.True(large-small <= 2)
}

// sendRates returns the messages and bytes that a member sends each second in a settled fleet with 1% loss.
func sendRates(t tb, n, domains int, d time.Duration) (msgs, bytes float64) {
	f := newFleet(t, n, domains, 11)
	f.runUntilAgreed(10 * time.Minute)
	f.loss = 0.01
	f.run(10 * time.Second)
	f.sent = 0
	size := 0
	f.onMsg = func(m member.Message) {
		b, err := cbor.Marshal(m)
		if err != nil {
			t.Fatalf("encode: %v", err)
		}
		size += len(b)
	}
	f.run(d)
	return float64(f.sent) / float64(n) / d.Seconds(), float64(size) / float64(n) / d.Seconds()
}

// BenchmarkLoad reports what a member sends in a settled fleet. Bytes are without the envelope.
func BenchmarkLoad(b *testing.B) {
	for _, n := range []int{4, 16, 64, 128, 380} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			var msgs, bytes float64
			for b.Loop() {
				msgs, bytes = sendRates(b, n, 6, 130*time.Second) // longer than SyncInterval
			}
			b.ReportMetric(msgs, "msgs/s")
			b.ReportMetric(bytes, "B/s")
		})
	}
}

// TestRank guards against a ranking that depends on the order of the members, that reorders the rest when one member is
// removed, or that puts some members first much more often than others.
func TestRank(t *testing.T) {
	is := is.New(t)
	ids := []ident.RouterID{"a.1", "b.1", "c.1", "d.1"}
	first := make(map[ident.RouterID]int)
	for i := range 4000 {
		key := fmt.Sprintf("ledgers/%d", i)
		ranked := member.Rank(key, ids)
		is.Equal(ranked, member.Rank(key, []ident.RouterID{"d.1", "c.1", "b.1", "a.1"}))
		is.Equal(member.Rank(key, append([]ident.RouterID{}, ranked[1:]...)), ranked[1:])
		first[ranked[0]]++
	}
	for _, id := range ids {
		is.True(math.Abs(float64(first[id])-1000) < 150)
	}
}

func ExampleRank() {
	fmt.Println(len(member.Rank("ledgers/07", []ident.RouterID{"a.1", "b.4", "c.2"})))
	// Output: 3
}
