package escrow

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"geraniumsaddle/core/ident"
)

type nodeState int

const (
	nodeUp nodeState = iota
	nodePaused
	nodeDead // its VM is gone for good
	nodeLeft // it shut down gracefully
)

// node is a router with one account. A dead node's account stands for what its journal peer knows.
type node struct {
	domain int
	state  nodeState
	a      *Account
	holds  []ident.Tokens
	last   Report // the latest report, which is the least that a peer knows
	tried  bool   // a closing was started
	freed  ident.Tokens
	// counted says that the closing took over the account's counters. It does not for a holder that
	// never reported under its row: what such a holder received stays in transit.
	counted bool
}

// message is a report, a confirmed entry, a transfer, an acknowledgement or an ask, between domains.
type message struct {
	from, to int // domains
	node     *node
	deliver  func()
}

// update is a conditional update of the shard in progress: it has read a version and will write.
type update struct {
	domain int
	apply  func(Shard) (Shard, bool)
	read   ident.ObjectVersion
	base   Shard
	done   func(Shard, ident.ObjectVersion)
	op     Op // an operator's change, if it is one
}

const worldDomains = 3

// world is a fleet with one entry on a platform. Every message can be dropped, duplicated, delayed and
// reordered, and every reply to a write can be lost.
type world struct {
	t       *rapid.T
	rand    *rand.Rand
	now     time.Time
	policy  Policy
	proven  bool // every dead node's journal is complete
	nodes   []*node
	msgs    []message
	updates []*update
	cut     [worldDomains + 1][worldDomains + 1]bool // the last index is the platform
	shard   Shard
	version ident.ObjectVersion
	ops     int
	written map[string]Op // operator changes that took effect
}

func newWorld(t *rapid.T) *world {
	// The events come from a seeded source, because rapid prefers small numbers and would hardly ever
	// reach the later kinds of events.
	rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	policies := []Policy{
		EqualSplit{Holders: 6}, Cover{Partition: time.Minute, Min: 16},
		Recall{Cover: Cover{Partition: time.Minute, Min: 16}, ReserveTime: time.Second}, SlotCover{},
	}
	w := &world{
		t: t, rand: rnd, now: time.Unix(1e9, 0), version: 1,
		policy:  policies[rnd.IntN(len(policies))],
		proven:  rnd.IntN(2) == 0,
		written: make(map[string]Op),
		shard:   NewShard().With(Entry{ID: "b", Paid: 1000}),
	}
	for i := range 2 * worldDomains {
		w.addNode(i % worldDomains)
	}
	return w
}

func (w *world) addNode(domain int) {
	id := HolderID(fmt.Sprintf("r%d.1", len(w.nodes)))
	a := NewAccount(AccountConfig{Entry: "b", Holder: id, Policy: w.policy})
	w.nodes = append(w.nodes, &node{domain: domain, a: a})
}

func (w *world) entry() *Entry { return w.shard.Entry("b") }

func (w *world) draw(n int) int { return w.rand.IntN(n) }

// pick returns a node in one of the given states, or nil.
func (w *world) pick(states ...nodeState) *node {
	var in []*node
	for _, n := range w.nodes {
		for _, s := range states {
			if n.state == s {
				in = append(in, n)
			}
		}
	}
	if len(in) == 0 {
		return nil
	}
	return in[w.draw(len(in))]
}

func (w *world) send(from int, to *node, deliver func()) {
	w.msgs = append(w.msgs, message{from: from, to: to.domain, node: to, deliver: deliver})
}

func (w *world) begin(domain int, apply func(Shard) (Shard, bool), done func(Shard, ident.ObjectVersion)) {
	w.updates = append(w.updates, &update{domain: domain, apply: apply, read: w.version, base: w.shard, done: done})
}

// commit tries update i. A conflict or a lost reply leads to another read and another try.
func (w *world) commit(i int, loseReply bool) {
	u := w.updates[i]
	if w.cut[u.domain][worldDomains] {
		return
	}
	next, changed := u.apply(u.base)
	if changed && u.read != w.version {
		u.read, u.base = w.version, w.shard
		return
	}
	if changed {
		w.version++
		w.written[u.op.ID] = u.op
		w.shard = next
		u.read, u.base = w.version, w.shard
	}
	if loseReply {
		return
	}
	w.updates = append(w.updates[:i:i], w.updates[i+1:]...)
	if u.done != nil {
		u.done(u.base, u.read)
	}
}

// report sends the report of a node to the writer of a domain, which answers with the entry.
func (w *world) report(n *node, flush bool) {
	r := n.a.Report()
	n.last = r
	to := &node{domain: n.domain}
	w.send(n.domain, to, func() {
		batch := Batch{Reports: []Report{r}, Now: w.now, Flush: flush}
		apply := func(s Shard) (Shard, bool) { return Writer{Policy: w.policy}.Apply(s, batch) }
		w.begin(n.domain, apply, func(s Shard, v ident.ObjectVersion) {
			for _, to := range w.nodes {
				w.send(n.domain, to, func() { to.a.ApplyEntry(v, s.Entry("b"), w.now) })
			}
		})
	})
}

func (w *world) sendTransfer(from *node, tr Transfer) {
	to := w.byHolder(tr.To)
	w.send(from.domain, to, func() {
		if to.a.TransferIn(tr.From, tr.Total) {
			w.send(to.domain, from, func() { from.a.TransferAcked(tr.To, tr.Total) })
		}
	})
}

func (w *world) byHolder(id HolderID) *node {
	for _, n := range w.nodes {
		if n.a.Holder() == id {
			return n
		}
	}
	return nil
}

// operate starts an operator's change. Two operators may be between read and write at once.
func (w *world) operate(kind OpKind, n ident.Tokens, holder HolderID) {
	w.ops++
	op := Op{ID: fmt.Sprintf("op-%d", w.ops), Kind: kind, Tokens: n, Holder: holder}
	w.begin(w.draw(worldDomains), func(s Shard) (Shard, bool) {
		e := s.Entry("b").Clone()
		changed, err := e.ApplyOp(op)
		if err != nil || !changed {
			return s, false
		}
		return s.With(e), true
	}, nil)
	w.updates[len(w.updates)-1].op = op
}

// closeNode starts the closing of a node that is gone or has left.
func (w *world) closeNode(n *node) {
	p := Proof{Holder: n.a.Holder(), Reason: "journal_incomplete"}
	row := w.entry().Holder(p.Holder)
	if row == nil {
		return
	}
	p.RowNumber = row.RowNumber
	switch {
	case n.state == nodeLeft:
		left, ok := n.a.Proof()
		if !ok {
			return
		}
		p = left
	case w.proven:
		p.Settled, p.Returned = n.a.Settled(), ident.Tokens(n.a.returned.Load())
		p.In, p.Out, p.Held, p.Complete = n.a.in, n.a.out, n.a.Held(), true
	default:
		p.Settled, p.Returned, p.In, p.Out = n.last.Settled, n.last.Returned, n.last.In, n.last.Out
	}
	if n.a.rowNumber != 0 && n.a.rowNumber != row.RowNumber {
		// A late copy of the first report opened the row again.
		p = Proof{Holder: p.Holder, RowNumber: row.RowNumber}
	}
	n.tried = true
	w.begin(n.domain, func(s Shard) (Shard, bool) {
		e := s.Entry("b").Clone()
		row := s.Entry("b").Holder(p.Holder)
		changed, err := e.Close(p)
		if err != nil || !changed {
			return s, false
		}
		n.counted = n.counted || row.Seq > 0
		return s.With(e), true
	}, nil)
}

// check compares the platform's entry with what the routers really have.
func (w *world) check() {
	e := w.entry()
	if err := e.Validate().Err(); err != nil {
		w.t.Fatalf("entry is invalid: %v", err)
	}
	spent, usable, transit := w.truth()
	net := e.Paid - e.Refunded
	if spent > net {
		w.t.Fatalf("overspend: billed and held %d of %d", spent, net)
	}
	if sum := spent + usable + transit + e.Unallotted(); sum > net {
		w.t.Fatalf("%d tokens can be spent of %d paid: spent %d, free %d, in transit %d, unallotted %d",
			sum, net, spent, usable, transit, e.Unallotted())
	}
}

// truth returns what is billed and held, what running routers can still hold, and what is on its way.
func (w *world) truth() (spent, usable, transit ident.Tokens) {
	for _, n := range w.nodes {
		spent += n.a.Settled() + n.a.Held()
		if n.state != nodeDead {
			usable += n.a.Free()
		}
		for id, p := range n.a.peers {
			transit += p.out
			if to := w.byHolder(id).a.peers[n.a.Holder()]; to != nil {
				transit -= to.in
			}
		}
	}
	return spent, usable, transit
}
