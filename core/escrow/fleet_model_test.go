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
	domain       int
	state        nodeState
	account      *Account
	holds        []ident.Tokens
	lastReport   Report // the latest report, which is the least that its journal peer knows
	closeStarted bool   // the closing of its row was started
	released     ident.Tokens
	// countersMerged says that the closing merged the account's counters. It merges none for a holder that
	// never reported under its row number: what such a holder received stays in transit.
	countersMerged bool
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

const modelDomains = 3

// fleetModel simulates a fleet with one entry on a platform. Every message can be dropped, duplicated, delayed and
// reordered, and every reply to a write can be lost.
type fleetModel struct {
	t                *rapid.T
	rand             *rand.Rand
	now              time.Time
	policy           Policy
	journalsComplete bool // the journal of every dead node is complete
	nodes            []*node
	msgs             []message
	updates          []*update
	cut              [modelDomains + 1][modelDomains + 1]bool // the last index is the platform
	shard            Shard
	version          ident.ObjectVersion
	opCount          int
	committedOps     map[string]Op // operator changes that took effect
}

func newFleetModel(t *rapid.T) *fleetModel {
	// The events come from a seeded source, because rapid prefers small numbers and would hardly ever
	// reach the later kinds of events.
	rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	policies := []Policy{
		EqualSplit{Holders: 6}, Cover{Partition: time.Minute, Min: 16},
		Recall{Cover: Cover{Partition: time.Minute, Min: 16}, ReserveTime: time.Second}, SlotCover{},
	}
	m := &fleetModel{
		t: t, rand: rnd, now: time.Unix(1e9, 0), version: 1,
		policy:           policies[rnd.IntN(len(policies))],
		journalsComplete: rnd.IntN(2) == 0,
		committedOps:     make(map[string]Op),
		shard:            NewShard().With(Entry{ID: "b", Paid: 1000}),
	}
	for i := range 2 * modelDomains {
		m.addNode(i % modelDomains)
	}
	return m
}

func (m *fleetModel) addNode(domain int) {
	id := HolderID(fmt.Sprintf("r%d.1", len(m.nodes)))
	a := NewAccount(AccountConfig{Entry: "b", Holder: id, Policy: m.policy})
	m.nodes = append(m.nodes, &node{domain: domain, account: a})
}

func (m *fleetModel) entry() *Entry { return m.shard.Entry("b") }

func (m *fleetModel) randN(n int) int { return m.rand.IntN(n) }

// randomNode returns a random node in one of the given states, or nil if there is none.
func (m *fleetModel) randomNode(states ...nodeState) *node {
	var in []*node
	for _, n := range m.nodes {
		for _, s := range states {
			if n.state == s {
				in = append(in, n)
			}
		}
	}
	if len(in) == 0 {
		return nil
	}
	return in[m.randN(len(in))]
}

func (m *fleetModel) send(from int, to *node, deliver func()) {
	m.msgs = append(m.msgs, message{from: from, to: to.domain, node: to, deliver: deliver})
}

func (m *fleetModel) startUpdate(domain int, apply func(Shard) (Shard, bool), done func(Shard, ident.ObjectVersion)) {
	m.updates = append(m.updates, &update{domain: domain, apply: apply, read: m.version, base: m.shard, done: done})
}

// commit tries to write update i. After a conflict or a lost reply the update reads the shard again and stays in the
// list.
func (m *fleetModel) commit(i int, loseReply bool) {
	u := m.updates[i]
	if m.cut[u.domain][modelDomains] {
		return
	}
	next, changed := u.apply(u.base)
	if changed && u.read != m.version {
		u.read, u.base = m.version, m.shard
		return
	}
	if changed {
		m.version++
		m.committedOps[u.op.ID] = u.op
		m.shard = next
		u.read, u.base = m.version, m.shard
	}
	if loseReply {
		return
	}
	m.updates = append(m.updates[:i:i], m.updates[i+1:]...)
	if u.done != nil {
		u.done(u.base, u.read)
	}
}

// report sends the report of a node to the writer of a domain, which answers with the entry.
func (m *fleetModel) report(n *node, flush bool) {
	r := n.account.Report()
	n.lastReport = r
	to := &node{domain: n.domain}
	m.send(n.domain, to, func() {
		batch := Batch{Reports: []Report{r}, Now: m.now, Flush: flush}
		apply := func(s Shard) (Shard, bool) { return Writer{Policy: m.policy}.Apply(s, batch) }
		m.startUpdate(n.domain, apply, func(s Shard, v ident.ObjectVersion) {
			for _, to := range m.nodes {
				m.send(n.domain, to, func() { to.account.ApplyEntry(v, s.Entry("b"), m.now) })
			}
		})
	})
}

func (m *fleetModel) sendTransfer(from *node, tr Transfer) {
	to := m.nodeByHolder(tr.To)
	m.send(from.domain, to, func() {
		if to.account.TransferIn(tr.From, tr.Total) {
			m.send(to.domain, from, func() { from.account.TransferAcked(tr.To, tr.Total) })
		}
	})
}

func (m *fleetModel) nodeByHolder(id HolderID) *node {
	for _, n := range m.nodes {
		if n.account.Holder() == id {
			return n
		}
	}
	return nil
}

// startOperatorChange starts an operator's change. Several changes may be between their read and their write at once.
func (m *fleetModel) startOperatorChange(kind OpKind, n ident.Tokens, holder HolderID) {
	m.opCount++
	op := Op{ID: fmt.Sprintf("op-%d", m.opCount), Kind: kind, Tokens: n, Holder: holder}
	m.startUpdate(m.randN(modelDomains), func(s Shard) (Shard, bool) {
		e := s.Entry("b").Clone()
		changed, err := e.ApplyOp(op)
		if err != nil || !changed {
			return s, false
		}
		return s.With(e), true
	}, nil)
	m.updates[len(m.updates)-1].op = op
}

// closeNode starts the closing of a node that is gone or has left.
func (m *fleetModel) closeNode(n *node) {
	p := Proof{Holder: n.account.Holder(), Reason: "journal_incomplete"}
	row := m.entry().Holder(p.Holder)
	if row == nil {
		return
	}
	p.RowNumber = row.RowNumber
	switch {
	case n.state == nodeLeft:
		left, ok := n.account.Proof()
		if !ok {
			return
		}
		p = left
	case m.journalsComplete:
		p.Settled, p.Returned = n.account.Settled(), ident.Tokens(n.account.returned.Load())
		p.In, p.Out, p.Held, p.Complete = n.account.in, n.account.out, n.account.Held(), true
	default:
		p.Settled, p.Returned, p.In, p.Out = n.lastReport.Settled, n.lastReport.Returned, n.lastReport.In, n.lastReport.Out
	}
	if n.account.rowNumber != 0 && n.account.rowNumber != row.RowNumber {
		// A late copy of the first report opened the row again.
		p = Proof{Holder: p.Holder, RowNumber: row.RowNumber}
	}
	n.closeStarted = true
	m.startUpdate(n.domain, func(s Shard) (Shard, bool) {
		e := s.Entry("b").Clone()
		row := s.Entry("b").Holder(p.Holder)
		changed, err := e.Close(p)
		if err != nil || !changed {
			return s, false
		}
		n.countersMerged = n.countersMerged || row.Seq > 0
		return s.With(e), true
	}, nil)
}

// checkInvariants compares the platform's entry with what the routers actually have.
func (m *fleetModel) checkInvariants() {
	e := m.entry()
	if err := e.Validate().Err(); err != nil {
		m.t.Fatalf("entry is invalid: %v", err)
	}
	spent, usable, transit := m.actualTokens()
	net := e.Paid - e.Refunded
	if spent > net {
		m.t.Fatalf("overspend: billed and held %d of %d", spent, net)
	}
	if sum := spent + usable + transit + e.Unallotted(); sum > net {
		m.t.Fatalf("%d tokens can be spent of %d paid: spent %d, free %d, in transit %d, unallotted %d",
			sum, net, spent, usable, transit, e.Unallotted())
	}
}

// actualTokens returns the tokens that are billed or held, that running routers can still hold, and that are in
// transit.
func (m *fleetModel) actualTokens() (spent, usable, transit ident.Tokens) {
	for _, n := range m.nodes {
		spent += n.account.Settled() + n.account.Held()
		if n.state != nodeDead {
			usable += n.account.Free()
		}
		for id, p := range n.account.peers {
			transit += p.out
			if to := m.nodeByHolder(id).account.peers[n.account.Holder()]; to != nil {
				transit -= to.in
			}
		}
	}
	return spent, usable, transit
}
