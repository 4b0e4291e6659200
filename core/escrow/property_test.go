package escrow

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumsaddle/core/ident"
)

// event is a kind of event in the fleet with its weight in the random sequence.
type event struct {
	weight int
	run    func(m *fleetModel)
}

var events = []event{
	{20, func(m *fleetModel) { // a request starts
		if n := m.randomNode(nodeUp); n != nil {
			tokens := ident.Tokens(1 + m.randN(60))
			if n.account.Hold(tokens) {
				n.holds = append(n.holds, tokens)
			} else {
				n.account.addWaiting(tokens)
			}
		}
	}},
	{12, func(m *fleetModel) { // a request ends, possibly above its bound
		if n := m.randomNode(nodeUp); n != nil && len(n.holds) > 0 {
			held := n.holds[0]
			n.holds = n.holds[1:]
			if _, ok := n.account.Settle(held, ident.Tokens(m.randN(80))); !ok {
				m.t.Fatal("a hold could not be settled")
			}
		}
	}},
	{12, func(m *fleetModel) {
		if n := m.randomNode(nodeUp); n != nil {
			m.report(n, m.randN(2) == 0)
		}
	}},
	{30, func(m *fleetModel) { deliverRandom(m, m.randN(4) == 0) }},
	{4, func(m *fleetModel) { // a message is lost
		if len(m.msgs) > 0 {
			i := m.randN(len(m.msgs))
			m.msgs = append(m.msgs[:i:i], m.msgs[i+1:]...)
		}
	}},
	{25, func(m *fleetModel) {
		if len(m.updates) > 0 {
			m.commit(m.randN(len(m.updates)), m.randN(4) == 0)
		}
	}},
	{8, func(m *fleetModel) { // a holder asks another for tokens
		from, to := m.randomNode(nodeUp), m.randomNode(nodeUp)
		if from == nil || from == to {
			return
		}
		ask := Ask{Entry: "b", From: from.account.Holder(), Need: ident.Tokens(1 + m.randN(80)), Smallest: 1}
		m.send(from.domain, to, func() {
			if tr, ok := to.account.Answer(ask); ok {
				m.sendTransfer(to, tr)
			}
		})
	}},
	{6, func(m *fleetModel) { // transfers are repeated, for a dead node by its journal peer
		if n := m.randomNode(nodeUp, nodeDead, nodeLeft); n != nil {
			for _, tr := range n.account.Unacked() {
				m.sendTransfer(n, tr)
			}
		}
	}},
	{6, func(m *fleetModel) {
		if n := m.randomNode(nodeUp); n != nil {
			n.account.Rebalance()
		}
	}},
	{4, func(m *fleetModel) {
		m.now = m.now.Add(time.Duration(1+m.randN(5)) * time.Second)
		for _, n := range m.nodes {
			if n.state == nodeUp {
				n.account.Tick(m.now)
			}
		}
	}},
	{4, func(m *fleetModel) { // a cut between two domains, or between a domain and the platform, begins or ends
		x, y := m.randN(modelDomains+1), m.randN(modelDomains+1)
		m.cut[x][y] = !m.cut[x][y]
		m.cut[y][x] = m.cut[x][y]
	}},
	{3, func(m *fleetModel) { m.startOperatorChange(OpTopUp, ident.Tokens(1+m.randN(200)), "") }},
	{2, func(m *fleetModel) { m.startOperatorChange(OpRefund, ident.Tokens(1+m.randN(100)), "") }},
	{2, func(m *fleetModel) { // an operator releases what a closed dead node is known not to have spent
		if n := m.randomNode(nodeDead); n != nil && !m.journalsComplete && m.entry().Holder(n.account.Holder()) == nil {
			if free := n.account.Free() - n.released; n.closeStarted && free > 0 {
				n.released += free
				m.startOperatorChange(OpRelease, free, n.account.Holder())
			}
		}
	}},
	{2, func(m *fleetModel) {
		if n := m.randomNode(nodeUp, nodePaused); n != nil {
			n.state = nodePaused - n.state
		}
	}},
	{2, func(m *fleetModel) { // a VM is replaced
		if n := m.randomNode(nodeUp, nodePaused); n != nil && len(m.nodes) < 14 {
			n.state = nodeDead
			m.addNode(n.domain)
		}
	}},
	{2, func(m *fleetModel) { // a router shuts down after its requests
		if n := m.randomNode(nodeUp); n != nil && len(n.holds) == 0 && len(m.nodes) < 14 {
			n.account.Leave()
			n.state = nodeLeft
			m.addNode(n.domain)
		}
	}},
	{8, func(m *fleetModel) {
		if n := m.randomNode(nodeDead, nodeLeft); n != nil {
			m.closeNode(n)
		}
	}},
	{1, func(m *fleetModel) {
		if m.randN(10) == 0 {
			m.startUpdate(0, func(s Shard) (Shard, bool) {
				e := s.Entry("b").Clone()
				changed := e.Revoke()
				return s.With(e), changed
			}, nil)
		}
	}},
}

// deliverRandom delivers a random message unless a cut or the state of its node prevents it. If keep is set, the
// message stays in the list and can arrive again later.
func deliverRandom(m *fleetModel, keep bool) {
	if len(m.msgs) == 0 {
		return
	}
	i := m.randN(len(m.msgs))
	msg := m.msgs[i]
	if m.cut[msg.from][msg.to] || msg.node.state != nodeUp && msg.node.state != nodeLeft {
		return
	}
	if !keep {
		m.msgs = append(m.msgs[:i:i], m.msgs[i+1:]...)
	}
	msg.deliver()
}

// TestConservation guards against any order of losses, repeats, cuts, crashes and operator changes in
// which more tokens become spendable than were paid, or tokens vanish.
func TestConservation(t *testing.T) {
	var weighted []int
	for i, a := range events {
		for range a.weight {
			weighted = append(weighted, i)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel(t)
		for range rapid.SampledFrom([]int{50, 200, 800}).Draw(t, "steps") {
			events[weighted[m.randN(len(weighted))]].run(m)
			m.checkInvariants()
		}
		m.repairAndDrain()
		m.checkInvariants()
		m.checkConservation()
	})
}

// repairAndDrain ends all cuts and pauses, and runs until no message and no update is outstanding.
func (m *fleetModel) repairAndDrain() {
	m.cut = [modelDomains + 1][modelDomains + 1]bool{}
	for range 4 {
		for _, n := range m.nodes {
			if n.state == nodePaused {
				n.state = nodeUp
			}
			for _, tr := range n.account.Unacked() {
				m.sendTransfer(n, tr)
			}
			if n.state == nodeUp {
				m.report(n, true)
			} else {
				m.closeNode(n)
			}
		}
		for len(m.msgs)+len(m.updates) > 0 {
			msgs := m.msgs
			m.msgs = nil
			for _, msg := range msgs {
				if msg.node.state != nodeDead {
					msg.deliver()
				}
			}
			for len(m.updates) > 0 {
				m.commit(0, false)
			}
		}
	}
}

// checkConservation requires that every paid token is in exactly one place after all messages arrived.
func (m *fleetModel) checkConservation() {
	e := m.entry()
	sum := e.Refunded + e.Unallotted() + e.UnresolvedTokens() + e.WrittenOff + e.ClosedSettled + e.ClosedNetOut
	var billed, uncounted ident.Tokens
	for _, n := range m.nodes {
		h := e.Holder(n.account.Holder())
		if h != nil && h.Seq == 0 && n.state != nodeUp {
			h = nil // opened again by a late copy of the first report, and empty
		}
		if h != nil {
			sum += n.account.Settled() + n.account.Held() + n.account.Free() + n.account.out - n.account.in
			if h.Granted != n.account.granted || h.Settled != n.account.Settled() || h.Returned != ident.Tokens(n.account.returned.Load()) {
				m.t.Fatalf("row %+v differs from its account after all messages arrived", *h)
			}
		}
		if h != nil || n.countersMerged {
			billed += n.account.Settled()
		} else {
			uncounted += n.account.in - n.account.out
		}
	}
	if sum != e.Paid {
		m.t.Fatalf("the counters account for %d tokens of %d paid", sum, e.Paid)
	}
	net := ident.Tokens(1000)
	for _, op := range m.committedOps {
		switch op.Kind {
		case OpTopUp:
			net += op.Tokens
		case OpRefund:
			net -= op.Tokens
		}
	}
	if e.Paid-e.Refunded != net {
		m.t.Fatalf("entry has %d tokens paid, operators paid %d", e.Paid-e.Refunded, net)
	}
	if !m.journalsComplete {
		return
	}
	if got := e.Settled(); got != billed {
		m.t.Fatalf("entry shows %d tokens billed, routers billed %d", got, billed)
	}
	_, _, transit := m.actualTokens()
	recordedTransit := e.ClosedNetOut + e.unresolvedOf("")
	for i := range e.Holders {
		recordedTransit += e.Holders[i].Out - e.Holders[i].In
	}
	if len(e.Holders) > 0 && recordedTransit != transit+uncounted {
		m.t.Fatalf("entry shows %d tokens in transit, routers have %d", recordedTransit, transit+uncounted)
	}
}

// TestApplyTwice guards against a conditional update that grants again when it is retried after its
// reply was lost.
func TestApplyTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewShard().With(Entry{ID: "b", Paid: ident.Tokens(rapid.IntRange(0, 500).Draw(t, "paid"))})
		w := Writer{Policy: Cover{Partition: time.Minute, Min: 16}}
		for range rapid.IntRange(1, 6).Draw(t, "batches") {
			var b Batch
			for range rapid.IntRange(1, 5).Draw(t, "reports") {
				r := Report{Entry: "b", Holder: HolderID(rapid.SampledFrom([]string{"x.1", "y.1", "z.1"}).Draw(t, "holder"))}
				r.Seq = uint64(rapid.IntRange(1, 8).Draw(t, "seq"))
				r.Want = ident.Tokens(rapid.IntRange(0, 200).Draw(t, "want"))
				r.Need = r.Want / 2
				if h := s.Entry("b").Holder(r.Holder); h != nil {
					r.RowNumber, r.Granted = h.RowNumber, h.Granted
					r.Returned = ident.Tokens(rapid.IntRange(0, int(h.Granted)).Draw(t, "returned"))
				}
				b.Reports = append(b.Reports, r)
			}
			before, err := s.Encode()
			if err != nil {
				t.Fatal(err)
			}
			next, _ := w.Apply(s, b)
			if after, _ := s.Encode(); string(after) != string(before) {
				t.Fatal("the given shard was modified")
			}
			if again, changed := w.Apply(next, b); changed {
				t.Fatalf("second application changed %+v to %+v", next, again)
			}
			s = next
		}
	})
}
