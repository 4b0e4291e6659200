package record

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumsaddle/core/ident"
)

type packet struct {
	to  int // peer, or -1 for the router
	msg Message
	ack Ack
}

// world is one router, three peers, the network between them and the ledger's holder row.
type world struct {
	t               *rapid.T
	now             time.Time
	j               *Journal
	peers           [3]*Replica
	instance        uint64
	inFlight        []packet
	recentPackets   []packet // the latest packets sent, for late duplicates
	stablePeer      bool     // the declared peer is never changed, so that long runs with one peer are likely
	cut             bool
	ledger          Declaration
	pendingWrite    *Declaration // declaration whose write may take effect at any time
	awaitingRelease []Entry
	released        []Entry
	open            []ident.RequestID // released and not settled
	requests        int
	account         uint64                     // latest account of the budget
	accountOf       map[ident.RequestID]uint64 // account of each hold
	holdCount       map[uint64]int             // open holds of each account
	returned        map[uint64]ident.Tokens
	// forgotten lists the accounts with a Forget entry; a replica may lack the entry.
	forgotten map[uint64]bool
}

var testLimits = Limits{Holds: 8, Accounts: 4, Recent: 4096, AnswerBytes: 4096, PendingBytes: 6 << 10, PartBytes: 2500}

func peerID(i int) ident.RouterID { return ident.NewRouterID(fmt.Sprint("p", i), 1) }

func (w *world) loseReplica(i int) {
	w.instance++
	w.peers[i] = NewReplica(peerID(i), "r.1", w.instance, testLimits)
}

// awaitRelease queues an appended entry until it is released.
func (w *world) awaitRelease(e Entry, seq uint64, err error) {
	if err != nil {
		if !errors.Is(err, ErrFull) {
			w.t.Fatal(err)
		}
		return
	}
	e.Seq = seq
	w.awaitingRelease = append(w.awaitingRelease, e)
}

func (w *world) openHold(*rapid.T) {
	w.requests++
	h := Hold{Request: ident.RequestID(fmt.Sprint("q", w.requests)), Budget: "b", AccountNumber: w.account, Tokens: 100, IdempotencyKey: Hash{byte(w.requests), byte(w.requests >> 8)}}
	seq, err := w.j.OpenHold(h)
	if err == nil {
		w.accountOf[h.Request] = h.AccountNumber
		w.holdCount[h.AccountNumber]++
	}
	w.awaitRelease(Entry{Open: &h}, seq, err)
}

// newAccount replaces the account of the budget while the old one may have open holds.
func (w *world) newAccount(t *rapid.T) {
	if rapid.IntRange(0, 2).Draw(t, "replace") != 0 || !w.hasAccount(w.account) {
		t.Skip("account is kept")
	}
	w.account++
}

func (w *world) hasAccount(number uint64) bool {
	return !w.forgotten[number] && (w.holdCount[number] > 0 || w.returned[number] > 0 || slices.ContainsFunc(w.j.state.allCounters(),
		func(c Counters) bool { return c.AccountNumber == number }))
}

func (w *world) forgetAccount(t *rapid.T) {
	if w.account == 0 {
		t.Skip("only one account")
	}
	number := rapid.Uint64Range(0, w.account-1).Draw(t, "account")
	_, err := w.j.ForgetAccount(Forget{Budget: "b", AccountNumber: number})
	var want error
	switch {
	case w.holdCount[number] > 0:
		want = ErrHeld
	case w.forgotten[number]:
		want = ErrNoCounters
	default:
		w.forgotten[number] = true
	}
	if !errors.Is(err, want) {
		t.Fatalf("forgetting account %d with %d holds gave %v", number, w.holdCount[number], err)
	}
	if c := w.j.Counters("b", number); err == nil && (c.Settled != 0 || c.Returned != 0 || c.Out != nil) {
		t.Fatalf("a forgotten account has %+v", c)
	}
}

func (w *world) settle(t *rapid.T) {
	if len(w.open) == 0 {
		t.Skip("no open request")
	}
	i := rapid.IntRange(0, len(w.open)-1).Draw(t, "request")
	s := Settlement{Request: w.open[i], Billed: 40, Outcome: ident.OutcomeRun, Answer: &Answer{Status: 200, Body: make([]byte, 300)}}
	w.open = slices.Delete(w.open, i, i+1)
	seq, err := w.j.Settle(s)
	w.holdCount[w.accountOf[s.Request]]--
	w.awaitRelease(Entry{Settle: &s}, seq, err)
	if _, err := w.j.Settle(s); !errors.Is(err, ErrNotOpen) {
		t.Fatalf("second settlement gave %v", err)
	}
}

func (w *world) raise(*rapid.T) {
	n := w.returned[w.account] + 10
	c := Counters{Budget: "b", AccountNumber: w.account, Returned: n, Out: []Transfer{{"x.1", n}}}
	seq, err := w.j.RaiseCounters(c)
	if err == nil {
		w.returned[w.account] = n
	}
	w.awaitRelease(Entry{Raise: &c}, seq, err)
}

func (w *world) release(*rapid.T) {
	var left []Entry
	for _, e := range w.awaitingRelease {
		if !w.j.Release(e.Seq, w.now).OK {
			left = append(left, e)
			continue
		}
		w.released = append(w.released, e)
		if e.Open != nil {
			w.open = append(w.open, e.Open.Request)
		}
	}
	w.awaitingRelease = left
}

func (w *world) sendOutbox(*rapid.T) {
	for _, o := range w.j.Outbox(w.now) {
		for i := range w.peers {
			if peerID(i) == o.To {
				w.send(packet{to: i, msg: o.Message})
			}
		}
	}
}

func (w *world) send(p packet) {
	w.inFlight = append(w.inFlight, p)
	w.recentPackets = append(w.recentPackets, p)
	w.recentPackets = w.recentPackets[max(0, len(w.recentPackets)-12):]
}

func (w *world) deliver(p packet) {
	if p.to < 0 {
		w.j.HandleAck(p.ack, w.now)
		return
	}
	if a, ok := w.peers[p.to].Apply(p.msg, w.now); ok {
		w.send(packet{to: -1, ack: a})
	}
}

func (w *world) lateDuplicate(t *rapid.T) {
	if len(w.recentPackets) == 0 || w.cut {
		t.Skip("no packet")
	}
	w.deliver(w.recentPackets[rapid.IntRange(0, len(w.recentPackets)-1).Draw(t, "packet")])
}

func (w *world) networkEvent(t *rapid.T) {
	if len(w.inFlight) == 0 {
		t.Skip("no packet")
	}
	i := rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "packet")
	p := w.inFlight[i]
	what := rapid.SampledFrom([]string{"deliver", "deliver", "duplicate", "drop"}).Draw(t, "what")
	if what != "duplicate" {
		w.inFlight = slices.Delete(w.inFlight, i, i+1)
	}
	if what != "drop" && !w.cut {
		w.deliver(p)
	}
}

// exchange delivers all packets in order for a few rounds, then releases what may be released.
func (w *world) exchange(t *rapid.T) {
	if w.cut {
		t.Skip("cut")
	}
	for range 3 {
		w.sendOutbox(t)
		for n := len(w.inFlight); n > 0 && len(w.inFlight) > 0; n-- {
			p := w.inFlight[0]
			w.inFlight = w.inFlight[1:]
			w.deliver(p)
		}
		w.now = w.now.Add(time.Millisecond)
	}
	w.release(t)
}

func (w *world) declare(t *rapid.T) {
	if w.pendingWrite == nil {
		if d, ok := w.j.BeginDeclaration(); ok {
			w.pendingWrite = &d
		}
		return
	}
	w.ledger = *w.pendingWrite
	if rapid.Bool().Draw(t, "confirmed") {
		w.j.ConfirmDeclaration(w.ledger)
		w.pendingWrite = nil
	}
}

func (w *world) choose(t *rapid.T) {
	peer := ident.RouterID("")
	if i := rapid.IntRange(-1, 2).Draw(t, "peer"); i >= 0 {
		peer = peerID(i)
	}
	if err := w.j.ChoosePeer(peer); (err == nil) != (w.pendingWrite == nil) {
		t.Fatalf("choice during a declaration gave %v", err)
	}
}

func (w *world) crash(t *rapid.T) bool {
	lag := rapid.SampledFrom([]int{0, 1000, 10000, 14000, 15000}).Draw(t, "VM list lag in ms")
	w.now = w.now.Add(time.Duration(lag) * time.Millisecond)
	if w.pendingWrite != nil && rapid.Bool().Draw(t, "write lands after the crash") {
		w.ledger = *w.pendingWrite
	}
	proofs := 0
	for _, r := range w.peers {
		v := r.Close(w.ledger, w.now)
		rec := r.Recover(v, nil, w.now)
		if p, ok := v.(Proof); ok {
			proofs++
			w.checkProof(r, p)
		}
		w.checkAccounts(rec)
	}
	if proofs > 1 {
		t.Fatal("two peers give a proof")
	}
	return proofs == 1
}

func (w *world) checkProof(r *Replica, p Proof) {
	known := map[uint64]Counters{}
	for _, c := range p.Counters {
		known[c.AccountNumber] = c
		if c.Returned > w.returned[c.AccountNumber] {
			w.t.Fatalf("account %d has the counters of another account", c.AccountNumber)
		}
	}
	for _, e := range w.released {
		switch {
		case e.Open != nil:
			if _, ok := r.LookupKey(e.Open.IdempotencyKey); !ok {
				w.t.Fatalf("proof without the released hold %s", e.Open.Request)
			}
		case e.Settle != nil:
			if f, ok := r.Lookup(e.Settle.Request); !ok || f.Settlement == nil {
				w.t.Fatalf("proof without the released settlement %s", e.Settle.Request)
			}
		case e.Raise != nil:
			c, ok := known[e.Raise.AccountNumber]
			if !ok && w.forgotten[e.Raise.AccountNumber] {
				continue
			}
			if c.Returned < e.Raise.Returned || c.Out[0].Tokens < e.Raise.Out[0].Tokens {
				w.t.Fatal("proof without released counters")
			}
		}
	}
}

// checkAccounts compares the recovered accounts with the bills, with and without a proof: tokens that have a bill must
// not become unresolved, because an operator could release them.
func (w *world) checkAccounts(rec Recovery) {
	seen := map[ident.RequestID]bool{}
	billed, unresolved := map[uint64]ident.Tokens{}, map[uint64]ident.Tokens{}
	for _, b := range rec.Bills {
		if seen[b.RequestID] {
			w.t.Fatalf("two bills of %s", b.RequestID)
		}
		seen[b.RequestID] = true
		billed[w.accountOf[b.RequestID]] += b.Billed
	}
	for _, s := range rec.Settlements {
		if seen[s.Request] {
			w.t.Fatalf("%s is settled twice", s.Request)
		}
		seen[s.Request] = true
		unresolved[w.accountOf[s.Request]] += s.Unresolved
	}
	known := map[uint64]bool{}
	for _, b := range rec.Accounts {
		number := b.Counters.AccountNumber
		known[number] = true
		if b.Counters.Settled != billed[number] || b.Unresolved != unresolved[number] {
			w.t.Fatalf("recovered account is %+v with %d billed and %d unresolved", b, billed[number], unresolved[number])
		}
	}
	for number := range w.account + 1 {
		if !known[number] && (unresolved[number] > 0 || billed[number] > 0 && !w.forgotten[number]) {
			w.t.Fatalf("account %d with %d billed and %d unresolved is missing", number, billed[number], unresolved[number])
		}
	}
}

// TestPropertyProof guards against a proof that misses something released, against two proofs, against a request that
// is settled or billed twice, and against an account that is forgotten while a hold is open, that passes its counters
// to the next account, or that is missing from the recovery. Messages are dropped, duplicated, delayed and reordered,
// peers are changed or lose their replica, the router is cut off, and the VM list lags.
func TestPropertyProof(t *testing.T) {
	proofs := 0
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: time.Unix(1000, 0), j: New("r.1", testLimits), accountOf: map[ident.RequestID]uint64{},
			holdCount: map[uint64]int{}, returned: map[uint64]ident.Tokens{}, forgotten: map[uint64]bool{}}
		for i := range w.peers {
			w.loseReplica(i)
		}
		w.stablePeer = rapid.Bool().Draw(t, "steady")
		if w.stablePeer || rapid.Bool().Draw(t, "declared at the start") {
			_ = w.j.ChoosePeer(peerID(0))
			w.exchange(t)
			w.ledger, _ = w.j.BeginDeclaration()
			w.j.ConfirmDeclaration(w.ledger)
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": w.openHold, "settle": w.settle, "raise": w.raise, "release": w.release, "release again": w.release,
			"new account": w.newAccount, "forget account": w.forgetAccount,
			"pump": w.sendOutbox, "network": w.networkEvent, "network again": w.networkEvent, "late duplicate": w.lateDuplicate,
			"exchange": w.exchange, "exchange again": w.exchange, "declare": w.declare, "declare again": w.declare,
			"choose": func(t *rapid.T) {
				if !w.stablePeer && rapid.IntRange(0, 3).Draw(t, "change") == 0 {
					w.choose(t)
				}
			},
			"cut": func(t *rapid.T) { w.cut = !w.cut && rapid.IntRange(0, 2).Draw(t, "cut") == 0 },
			"forget": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "loss") == 3 {
					i := 0
					if !w.stablePeer {
						i = rapid.IntRange(0, 2).Draw(t, "peer")
					}
					w.loseReplica(i)
				}
			},
			"time": func(t *rapid.T) {
				ms := rapid.SampledFrom([]int{5, 5, 50, 50, 500, 500, 5000, 16000}).Draw(t, "ms")
				w.now = w.now.Add(time.Duration(ms) * time.Millisecond)
			},
		})
		if w.crash(t) {
			proofs++
		}
	})
	t.Logf("%d proofs", proofs)
}
