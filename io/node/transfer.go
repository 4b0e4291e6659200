package node

import (
	"context"
	"time"

	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/record"
	"geraniumsaddle/io/peer"
)

const (
	// askEvery is the interval at which an account with waiting requests asks other routers.
	askEvery = 30 * time.Millisecond
	// askFarAfter is the number of unanswered rounds in the own failure domain before the others are asked too.
	askFarAfter = 2
	resendEvery = time.Second
)

// transfers moves tokens and slots between routers. It belongs to the control goroutine.
type transfers struct {
	n        *Node
	askedAt  map[escrow.EntryID]time.Time
	rounds   map[escrow.EntryID]int
	resentAt time.Time
}

func newTransfers(n *Node) *transfers {
	return &transfers{n: n, askedAt: make(map[escrow.EntryID]time.Time), rounds: make(map[escrow.EntryID]int)}
}

// ask asks other routers for what the accounts lack for their waiting requests.
func (t *transfers) ask(now time.Time) {
	for _, a := range t.n.accounts.all() {
		ask, ok := a.Ask()
		if !ok {
			delete(t.rounds, a.Entry())
			continue
		}
		if now.Sub(t.askedAt[a.Entry()]) < askEvery {
			continue
		}
		t.askedAt[a.Entry()] = now
		t.rounds[a.Entry()]++
		r := t.n.members.roster.Load()
		ids := r.local
		// Slots belong to targets of the own failure domain, so routers of others hold none.
		if t.rounds[a.Entry()] > askFarAfter && a.shard.Kind == object.KindLedger {
			ids = r.all
		}
		for _, id := range ids {
			if id != t.n.id {
				t.n.sendTo(id, peer.TransferAsk{Ask: ask})
			}
		}
	}
}

// answer sends tokens to a holder that asks.
func (t *transfers) answer(from peer.Sender, m peer.TransferAsk) {
	a := t.n.accounts.find(m.Entry)
	if a == nil || m.From.Router() != from.ID {
		return
	}
	if out, ok := a.Answer(m.Ask); ok {
		t.send(a, out)
	}
}

// send journals a transfer and then sends it. Without the journal, a proof after this router's death could give the
// same tokens back to the platform.
func (t *transfers) send(a *account, out escrow.Transfer) {
	c := a.counters()
	c.Out = []record.Transfer{{Router: ident.RouterID(out.To), Tokens: out.Total}}
	t.n.spawn(func(ctx context.Context) {
		if err := t.n.journal.raise(ctx, c); err == nil {
			t.n.sendTo(out.To.Router(), peer.Transfer{Transfer: out})
		}
	})
}

// merge takes over tokens that another holder has sent.
func (t *transfers) merge(from peer.Sender, m peer.Transfer) {
	a := t.n.accounts.find(m.Entry)
	if a == nil || a.Holder() != m.To || m.From.Router() != from.ID || !a.TransferIn(m.From, m.Total) {
		return
	}
	c := a.counters()
	c.In = []record.Transfer{{Router: ident.RouterID(m.From), Tokens: m.Total}}
	t.n.journal.note(c)
	t.n.send(from.Addr, peer.TransferAck(m))
}

// tick repeats transfers that are not acknowledged and asks again while requests wait.
func (t *transfers) tick(now time.Time) {
	t.ask(now)
	if now.Sub(t.resentAt) < resendEvery {
		return
	}
	t.resentAt = now
	for _, a := range t.n.accounts.all() {
		for _, out := range a.Unacked() {
			t.send(a, out)
		}
	}
}
