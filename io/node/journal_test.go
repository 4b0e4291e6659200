package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/record"
	"geraniumsaddle/io/peer"
)

// fullJournal returns a journal with settled requests of the given number of budgets and with open holds.
func fullJournal(tb testing.TB, budgets, holds int) *record.Journal {
	at := time.Unix(1_796_342_400, 123456789).UTC()
	j := record.New("router-001.1796342400000", journalLimits)
	for i := range budgets + holds {
		h := record.Hold{Request: ident.RequestID(fmt.Sprintf("req_%032d", i)), Org: "org-00001", Budget: ident.BudgetID(fmt.Sprintf("budget-%05d", i%budgets)),
			Key: "key-1", Model: "chat", Version: "chat-v1", Target: "engine-0001", Tokens: 1000, IdempotencyKey: record.Hash{1, byte(i), byte(i >> 8)},
			Body: record.Hash{2}, At: at}
		_, err := j.OpenHold(h)
		if err == nil && i < budgets {
			_, err = j.Settle(record.Settlement{Request: h.Request, PromptTokens: 300, OutputTokens: 350, Billed: 650, Outcome: ident.OutcomeRun, At: at})
		}
		if err != nil {
			tb.Fatalf("the journal refuses request %d: %v", i, err)
		}
	}
	return j
}

// TestSnapshotMessages guards against a snapshot of a full journal that does not fit the peer messages, or that differs
// after encoding and decoding.
func TestSnapshotMessages(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	j := fullJournal(t, journalLimits.Accounts, journalLimits.Holds)
	r := record.NewReplica("p.1", "router-001.1796342400000", 9, journalLimits)
	is.NoErr(j.ChoosePeer("p.1"))
	parts := 0
	for !j.PeerReady() {
		out := j.Outbox(now)
		is.True(len(out) > 0) // the transfer is not complete
		for _, o := range out {
			part, ok := o.Message.(*record.SnapshotPart)
			is.True(ok)
			raw, err := peer.Encode("router-001.1796342400000", peer.JournalAppend{Part: part})
			is.NoErr(err)
			is.True(len(raw) <= 256<<10)
			env, err := peer.Decode(raw)
			is.NoErr(err)
			ack, ok := r.Apply(env.Msg.(peer.JournalAppend).Part, now)
			is.True(ok)
			parts++
			j.HandleAck(ack, now)
		}
	}
	is.Equal(r.OpenHolds(), j.OpenHolds())
	t.Logf("%d parts", parts)
}

// TestForgetClosedAccounts guards against counters that are kept after their account is closed on the platform, that
// are dropped while a hold is open or before the row is closed, or that pass to the next account of the budget.
func TestForgetClosedAccounts(t *testing.T) {
	is := is.New(t)
	n := newBenchNode(t)
	ctx := context.Background()
	open := func() *account {
		a := n.accounts.openLedgerAccount("b", nil)
		e := escrow.Entry{ID: "b", Paid: 1000, RowsOpened: 1 + accountNumber(a.Holder()),
			Holders: []escrow.Holder{{ID: a.Holder(), RowNumber: 1 + accountNumber(a.Holder()), Seq: 1, Granted: 500}}}
		a.ApplyEntry(1, &e, n.clock.Now())
		// The cached shard is older than the row, so the first close has no effect.
		n.writers.observe(a.shard, escrow.NewShard().With(escrow.Entry{ID: "b", Paid: 1000, RowsOpened: e.RowsOpened - 1}), 1)
		is.True(a.Hold(100))
		_, err := n.journal.local.OpenHold(record.Hold{Request: ident.RequestID(a.Holder()), Budget: "b", AccountNumber: accountNumber(a.Holder()), Tokens: 100})
		is.NoErr(err)
		a.Leave()
		_, _ = a.Settle(100, 40)
		is.True(!n.closeHolder(ctx, a)) // the cached shard is older than the row
		is.Equal(len(n.journal.closedAccounts), 0)
		r := n.writers.updateShard(ctx, a.shard, func(s escrow.Shard) (escrow.Shard, bool) { return s.With(e), true })
		is.NoErr(r.err)
		is.True(n.closeHolder(ctx, a))
		is.Equal(len(n.journal.closedAccounts), 1) // waits for the hold
		return a
	}
	for number := range uint64(2) {
		a := open()
		is.Equal(a.Holder(), escrow.NewHolderID(n.id, number))
		is.Equal(accountNumber(a.Holder()), number)
		is.Equal(n.journal.local.Counters("b", number).Settled, ident.Tokens(0)) // starts at zero
		n.journal.settle(record.Settlement{Request: ident.RequestID(a.Holder()), Billed: 40, Outcome: ident.OutcomeRun})
		is.Equal(n.journal.local.Counters("b", number).Settled, ident.Tokens(40))
		n.journal.forgetClosedAccounts()
		is.Equal(len(n.journal.closedAccounts), 0)
		is.Equal(n.journal.local.Counters("b", number), record.Counters{Budget: "b", AccountNumber: number})
		n.accounts.drop(a)
	}
}

// TestProofOfAccount guards against a row that is closed with the counters of another account of the same router.
func TestProofOfAccount(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	j, r := record.New("r.1", journalLimits), record.NewReplica("p.1", "r.1", 9, journalLimits)
	is.NoErr(j.ChoosePeer("p.1"))
	for number := range uint64(3) {
		id := ident.RequestID(fmt.Sprint("q", number))
		_, err := j.OpenHold(record.Hold{Request: id, Budget: "b", AccountNumber: number, Tokens: 100})
		is.NoErr(err)
		_, err = j.Settle(record.Settlement{Request: id, Billed: ident.Tokens(10 + number), Outcome: ident.OutcomeRun})
		is.NoErr(err)
	}
	_, err := j.ForgetAccount(record.Forget{Budget: "b", AccountNumber: 1})
	is.NoErr(err)
	for _, o := range j.Outbox(now) {
		_, ok := r.Apply(o.Message, now)
		is.True(ok)
	}
	rr := &routerRecovery{id: "r.1", proved: true, declaredID: "p.1#.1", accountStates: make(map[rowID]record.AccountState)}
	rr.setAccountStates(r.Recover(record.NotProvable{}, nil, now).Accounts)
	settled := func(number uint64) ident.Tokens {
		h := escrow.Holder{ID: escrow.NewHolderID("r.1", number), RowNumber: 1, JournalPeer: rr.declaredID}
		p := rr.proofFor(&escrow.Entry{ID: "b", Holders: []escrow.Holder{h}}, h)
		is.True(p.Complete)
		return p.Settled
	}
	is.Equal([]ident.Tokens{settled(0), settled(1), settled(2)}, []ident.Tokens{10, 0, 12})
}

// closeHolder closes the row of one account and reports whether it is closed.
func (n *benchNode) closeHolder(ctx context.Context, a *account) bool {
	return len(n.closeAccounts(ctx, a.shard, []*account{a})) == 0
}
