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
	// askInterval is the interval at which an account with waiting requests asks other routers for tokens or slots.
	askInterval = 30 * time.Millisecond
	// localAskRounds is the number of rounds in which only routers of the own failure domain are asked.
	localAskRounds         = 2
	transferResendInterval = time.Second
)

// transfers moves tokens and slots between the accounts of different routers. It belongs to the control goroutine.
type transfers struct {
	n         *Node
	askedAt   map[escrow.EntryID]time.Time
	askRounds map[escrow.EntryID]int
	resentAt  time.Time
}

func newTransfers(n *Node) *transfers {
	return &transfers{n: n, askedAt: make(map[escrow.EntryID]time.Time), askRounds: make(map[escrow.EntryID]int)}
}

// ask asks other routers for the tokens and slots that the accounts lack for their waiting requests.
func (t *transfers) ask(now time.Time) {
	for _, a := range t.n.accounts.all() {
		ask, ok := a.Ask()
		if !ok {
			delete(t.askRounds, a.Entry())
			continue
		}
		if now.Sub(t.askedAt[a.Entry()]) < askInterval {
			continue
		}
		t.askedAt[a.Entry()] = now
		t.askRounds[a.Entry()]++
		r := t.n.members.roster.Load()
		ids := r.ownDomain
		// Slots belong to targets of the own failure domain, so routers of others hold none.
		if t.askRounds[a.Entry()] > localAskRounds && a.shard.Kind == object.KindLedger {
			ids = r.all
		}
		for _, id := range ids {
			if id != t.n.id {
				t.n.sendToRouter(id, peer.TransferAsk{Ask: ask})
			}
		}
	}
}

// answer sends tokens or slots to a holder that asks for them, if the account can spare any.
func (t *transfers) answer(from peer.Sender, m peer.TransferAsk) {
	a := t.n.accounts.find(m.Entry)
	if a == nil || m.From.Router() != from.ID {
		return
	}
	if out, ok := a.Answer(m.Ask); ok {
		t.send(a, out)
	}
}

// send journals a transfer and then sends it. If the journal did not have it, recovery after this router's death could
// return the same tokens to the platform.
func (t *transfers) send(a *account, out escrow.Transfer) {
	c := a.zeroCounters()
	c.Out = []record.Transfer{{Router: ident.RouterID(out.To), Tokens: out.Total}}
	t.n.spawn(func(ctx context.Context) {
		if err := t.n.journal.raiseCounters(ctx, c); err == nil {
			t.n.sendToRouter(out.To.Router(), peer.Transfer{Transfer: out})
		}
	})
}

// receive adds the tokens or slots that another holder has sent, and acknowledges them.
func (t *transfers) receive(from peer.Sender, m peer.Transfer) {
	a := t.n.accounts.find(m.Entry)
	if a == nil || a.Holder() != m.To || m.From.Router() != from.ID || !a.TransferIn(m.From, m.Total) {
		return
	}
	c := a.zeroCounters()
	c.In = []record.Transfer{{Router: ident.RouterID(m.From), Tokens: m.Total}}
	t.n.journal.raiseCountersAsync(c)
	t.n.sendToAddr(from.Addr, peer.TransferAck(m))
}

// tick asks again while requests wait, and resends transfers that are not acknowledged.
func (t *transfers) tick(now time.Time) {
	t.ask(now)
	if now.Sub(t.resentAt) < transferResendInterval {
		return
	}
	t.resentAt = now
	for _, a := range t.n.accounts.all() {
		for _, out := range a.Unacked() {
			t.send(a, out)
		}
	}
}
