package escrow

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumsaddle/core/ident"
)

// action is one kind of event with its weight in the drawn sequence.
type action struct {
	weight int
	run    func(w *world)
}

var actions = []action{
	{20, func(w *world) { // a request starts
		if n := w.pick(nodeUp); n != nil {
			tokens := ident.Tokens(1 + w.draw(60))
			if n.a.Hold(tokens) {
				n.holds = append(n.holds, tokens)
			} else {
				n.a.addWaiting(tokens)
			}
		}
	}},
	{12, func(w *world) { // a request ends, possibly above its bound
		if n := w.pick(nodeUp); n != nil && len(n.holds) > 0 {
			held := n.holds[0]
			n.holds = n.holds[1:]
			if _, ok := n.a.Settle(held, ident.Tokens(w.draw(80))); !ok {
				w.t.Fatal("a hold could not be settled")
			}
		}
	}},
	{12, func(w *world) {
		if n := w.pick(nodeUp); n != nil {
			w.report(n, w.draw(2) == 0)
		}
	}},
	{30, func(w *world) { deliver(w, w.draw(4) == 0) }},
	{4, func(w *world) { // a message is lost
		if len(w.msgs) > 0 {
			i := w.draw(len(w.msgs))
			w.msgs = append(w.msgs[:i:i], w.msgs[i+1:]...)
		}
	}},
	{25, func(w *world) {
		if len(w.updates) > 0 {
			w.commit(w.draw(len(w.updates)), w.draw(4) == 0)
		}
	}},
	{8, func(w *world) { // a holder asks another for tokens
		from, to := w.pick(nodeUp), w.pick(nodeUp)
		if from == nil || from == to {
			return
		}
		ask := Ask{Entry: "b", From: from.a.Holder(), Need: ident.Tokens(1 + w.draw(80)), Smallest: 1}
		w.send(from.domain, to, func() {
			if tr, ok := to.a.Answer(ask); ok {
				w.sendTransfer(to, tr)
			}
		})
	}},
	{6, func(w *world) { // transfers are repeated, for a dead node by its journal peer
		if n := w.pick(nodeUp, nodeDead, nodeLeft); n != nil {
			for _, tr := range n.a.Unacked() {
				w.sendTransfer(n, tr)
			}
		}
	}},
	{6, func(w *world) {
		if n := w.pick(nodeUp); n != nil {
			n.a.Rebalance()
		}
	}},
	{4, func(w *world) {
		w.now = w.now.Add(time.Duration(1+w.draw(5)) * time.Second)
		for _, n := range w.nodes {
			if n.state == nodeUp {
				n.a.Tick(w.now)
			}
		}
	}},
	{4, func(w *world) { // a cut between domains or to the platform begins or ends
		x, y := w.draw(worldDomains+1), w.draw(worldDomains+1)
		w.cut[x][y] = !w.cut[x][y]
		w.cut[y][x] = w.cut[x][y]
	}},
	{3, func(w *world) { w.operate(OpTopUp, ident.Tokens(1+w.draw(200)), "") }},
	{2, func(w *world) { w.operate(OpRefund, ident.Tokens(1+w.draw(100)), "") }},
	{2, func(w *world) { // an operator's decision on a dead node, whose tokens were checked
		if n := w.pick(nodeDead); n != nil && !w.proven && w.entry().Holder(n.a.Holder()) == nil {
			if free := n.a.Free() - n.freed; n.tried && free > 0 {
				n.freed += free
				w.operate(OpRelease, free, n.a.Holder())
			}
		}
	}},
	{2, func(w *world) {
		if n := w.pick(nodeUp, nodePaused); n != nil {
			n.state = nodePaused - n.state
		}
	}},
	{2, func(w *world) { // a VM is replaced
		if n := w.pick(nodeUp, nodePaused); n != nil && len(w.nodes) < 14 {
			n.state = nodeDead
			w.addNode(n.domain)
		}
	}},
	{2, func(w *world) { // a router shuts down after its requests
		if n := w.pick(nodeUp); n != nil && len(n.holds) == 0 && len(w.nodes) < 14 {
			n.a.Leave()
			n.state = nodeLeft
			w.addNode(n.domain)
		}
	}},
	{8, func(w *world) {
		if n := w.pick(nodeDead, nodeLeft); n != nil {
			w.closeNode(n)
		}
	}},
	{1, func(w *world) {
		if w.draw(10) == 0 {
			w.begin(0, func(s Shard) (Shard, bool) {
				e := s.Entry("b").Clone()
				changed := e.Revoke()
				return s.With(e), changed
			}, nil)
		}
	}},
}

// deliver hands over a drawn message if nothing is in its way. A kept one arrives again later.
func deliver(w *world, keep bool) {
	if len(w.msgs) == 0 {
		return
	}
	i := w.draw(len(w.msgs))
	m := w.msgs[i]
	if w.cut[m.from][m.to] || m.node.state != nodeUp && m.node.state != nodeLeft {
		return
	}
	if !keep {
		w.msgs = append(w.msgs[:i:i], w.msgs[i+1:]...)
	}
	m.deliver()
}

// TestConservation guards against any order of losses, repeats, cuts, crashes and operator changes in
// which more tokens become spendable than were paid, or tokens vanish.
func TestConservation(t *testing.T) {
	var deck []int
	for i, a := range actions {
		for range a.weight {
			deck = append(deck, i)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.SampledFrom([]int{50, 200, 800}).Draw(t, "steps") {
			actions[deck[w.draw(len(deck))]].run(w)
			w.check()
		}
		w.heal()
		w.check()
		w.checkEquation()
	})
}

// heal ends all faults and runs until nothing is left to send.
func (w *world) heal() {
	w.cut = [worldDomains + 1][worldDomains + 1]bool{}
	for range 4 {
		for _, n := range w.nodes {
			if n.state == nodePaused {
				n.state = nodeUp
			}
			for _, tr := range n.a.Unacked() {
				w.sendTransfer(n, tr)
			}
			if n.state == nodeUp {
				w.report(n, true)
			} else {
				w.closeNode(n)
			}
		}
		for len(w.msgs)+len(w.updates) > 0 {
			msgs := w.msgs
			w.msgs = nil
			for _, m := range msgs {
				if m.node.state != nodeDead {
					m.deliver()
				}
			}
			for len(w.updates) > 0 {
				w.commit(0, false)
			}
		}
	}
}

// checkEquation requires that every paid token is in exactly one place after all messages arrived.
func (w *world) checkEquation() {
	e := w.entry()
	sum := e.Refunded + e.Unallotted() + e.UnresolvedTokens() + e.WrittenOff + e.ClosedSettled + e.ClosedNetOut
	var billed, uncounted ident.Tokens
	for _, n := range w.nodes {
		h := e.Holder(n.a.Holder())
		if h != nil && h.Seq == 0 && n.state != nodeUp {
			h = nil // opened again by a late copy of the first report, and empty
		}
		if h != nil {
			sum += n.a.Settled() + n.a.Held() + n.a.Free() + n.a.out - n.a.in
			if h.Granted != n.a.granted || h.Settled != n.a.Settled() || h.Returned != ident.Tokens(n.a.returned.Load()) {
				w.t.Fatalf("row %+v differs from its account after all messages arrived", *h)
			}
		}
		if h != nil || n.counted {
			billed += n.a.Settled()
		} else {
			uncounted += n.a.in - n.a.out
		}
	}
	if sum != e.Paid {
		w.t.Fatalf("places hold %d tokens of %d paid", sum, e.Paid)
	}
	net := ident.Tokens(1000)
	for _, op := range w.written {
		switch op.Kind {
		case OpTopUp:
			net += op.Tokens
		case OpRefund:
			net -= op.Tokens
		}
	}
	if e.Paid-e.Refunded != net {
		w.t.Fatalf("entry has %d tokens paid, operators paid %d", e.Paid-e.Refunded, net)
	}
	if !w.proven {
		return
	}
	if got := e.Settled(); got != billed {
		w.t.Fatalf("entry shows %d tokens billed, routers billed %d", got, billed)
	}
	_, _, transit := w.truth()
	shown := e.ClosedNetOut + e.unresolvedOf("")
	for i := range e.Holders {
		shown += e.Holders[i].Out - e.Holders[i].In
	}
	if len(e.Holders) > 0 && shown != transit+uncounted {
		w.t.Fatalf("entry shows %d tokens in transit, routers have %d", shown, transit+uncounted)
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
