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

// simulation is one router, three peers, the network between them and the ledger's holder row.
type simulation struct {
	t               *rapid.T
	now             time.Time
	j               *Journal
	peers           [3]*Replica
	instance        uint64
	inFlight        []packet
	recentPackets   []packet // the latest packets sent, for late duplicates
	stablePeer      bool     // the declared peer is never changed, so that long runs with one peer are likely
	partitioned     bool
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

func (sim *simulation) loseReplica(i int) {
	sim.instance++
	sim.peers[i] = NewReplica(peerID(i), "r.1", sim.instance, testLimits)
}

// awaitRelease queues an appended entry until it is released.
func (sim *simulation) awaitRelease(e Entry, seq uint64, err error) {
	if err != nil {
		if !errors.Is(err, ErrFull) {
			sim.t.Fatal(err)
		}
		return
	}
	e.Seq = seq
	sim.awaitingRelease = append(sim.awaitingRelease, e)
}

func (sim *simulation) openHold(*rapid.T) {
	sim.requests++
	h := Hold{Request: ident.RequestID(fmt.Sprint("q", sim.requests)), Budget: "b", AccountNumber: sim.account, Tokens: 100, IdempotencyKey: Hash{byte(sim.requests), byte(sim.requests >> 8)}}
	seq, err := sim.j.OpenHold(h)
	if err == nil {
		sim.accountOf[h.Request] = h.AccountNumber
		sim.holdCount[h.AccountNumber]++
	}
	sim.awaitRelease(Entry{Open: &h}, seq, err)
}

// newAccount replaces the account of the budget while the old one may have open holds.
func (sim *simulation) newAccount(t *rapid.T) {
	if rapid.IntRange(0, 2).Draw(t, "replace") != 0 || !sim.hasAccount(sim.account) {
		t.Skip("account is kept")
	}
	sim.account++
}

func (sim *simulation) hasAccount(number uint64) bool {
	return !sim.forgotten[number] && (sim.holdCount[number] > 0 || sim.returned[number] > 0 || slices.ContainsFunc(sim.j.state.allCounters(),
		func(c Counters) bool { return c.AccountNumber == number }))
}

func (sim *simulation) forgetAccount(t *rapid.T) {
	if sim.account == 0 {
		t.Skip("only one account")
	}
	number := rapid.Uint64Range(0, sim.account-1).Draw(t, "account")
	_, err := sim.j.ForgetAccount(Forget{Budget: "b", AccountNumber: number})
	var want error
	switch {
	case sim.holdCount[number] > 0:
		want = ErrHeld
	case sim.forgotten[number]:
		want = ErrNoCounters
	default:
		sim.forgotten[number] = true
	}
	if !errors.Is(err, want) {
		t.Fatalf("forgetting account %d with %d holds gave %v", number, sim.holdCount[number], err)
	}
	if c := sim.j.Counters("b", number); err == nil && (c.Settled != 0 || c.Returned != 0 || c.Out != nil) {
		t.Fatalf("a forgotten account has %+v", c)
	}
}

func (sim *simulation) settle(t *rapid.T) {
	if len(sim.open) == 0 {
		t.Skip("no open request")
	}
	i := rapid.IntRange(0, len(sim.open)-1).Draw(t, "request")
	s := Settlement{Request: sim.open[i], Billed: 40, Outcome: ident.OutcomeRun, Answer: &Answer{Status: 200, Body: make([]byte, 300)}}
	sim.open = slices.Delete(sim.open, i, i+1)
	seq, err := sim.j.Settle(s)
	sim.holdCount[sim.accountOf[s.Request]]--
	sim.awaitRelease(Entry{Settle: &s}, seq, err)
	if _, err := sim.j.Settle(s); !errors.Is(err, ErrNotOpen) {
		t.Fatalf("second settlement gave %v", err)
	}
}

func (sim *simulation) raise(*rapid.T) {
	n := sim.returned[sim.account] + 10
	c := Counters{Budget: "b", AccountNumber: sim.account, Returned: n, Out: []Transfer{{"x.1", n}}}
	seq, err := sim.j.RaiseCounters(c)
	if err == nil {
		sim.returned[sim.account] = n
	}
	sim.awaitRelease(Entry{Raise: &c}, seq, err)
}

func (sim *simulation) release(*rapid.T) {
	var left []Entry
	for _, e := range sim.awaitingRelease {
		if !sim.j.Release(e.Seq, sim.now).OK {
			left = append(left, e)
			continue
		}
		sim.released = append(sim.released, e)
		if e.Open != nil {
			sim.open = append(sim.open, e.Open.Request)
		}
	}
	sim.awaitingRelease = left
}

func (sim *simulation) sendOutbox(*rapid.T) {
	for _, o := range sim.j.Outbox(sim.now) {
		for i := range sim.peers {
			if peerID(i) == o.To {
				sim.send(packet{to: i, msg: o.Message})
			}
		}
	}
}

func (sim *simulation) send(p packet) {
	sim.inFlight = append(sim.inFlight, p)
	sim.recentPackets = append(sim.recentPackets, p)
	sim.recentPackets = sim.recentPackets[max(0, len(sim.recentPackets)-12):]
}

func (sim *simulation) deliver(p packet) {
	if p.to < 0 {
		sim.j.HandleAck(p.ack, sim.now)
		return
	}
	if a, ok := sim.peers[p.to].Apply(p.msg, sim.now); ok {
		sim.send(packet{to: -1, ack: a})
	}
}

func (sim *simulation) lateDuplicate(t *rapid.T) {
	if len(sim.recentPackets) == 0 || sim.partitioned {
		t.Skip("no packet")
	}
	sim.deliver(sim.recentPackets[rapid.IntRange(0, len(sim.recentPackets)-1).Draw(t, "packet")])
}

func (sim *simulation) networkEvent(t *rapid.T) {
	if len(sim.inFlight) == 0 {
		t.Skip("no packet")
	}
	i := rapid.IntRange(0, len(sim.inFlight)-1).Draw(t, "packet")
	p := sim.inFlight[i]
	what := rapid.SampledFrom([]string{"deliver", "deliver", "duplicate", "drop"}).Draw(t, "what")
	if what != "duplicate" {
		sim.inFlight = slices.Delete(sim.inFlight, i, i+1)
	}
	if what != "drop" && !sim.partitioned {
		sim.deliver(p)
	}
}

// exchange delivers all packets in order for a few rounds, then releases what may be released.
func (sim *simulation) exchange(t *rapid.T) {
	if sim.partitioned {
		t.Skip("partitioned")
	}
	for range 3 {
		sim.sendOutbox(t)
		for n := len(sim.inFlight); n > 0 && len(sim.inFlight) > 0; n-- {
			p := sim.inFlight[0]
			sim.inFlight = sim.inFlight[1:]
			sim.deliver(p)
		}
		sim.now = sim.now.Add(time.Millisecond)
	}
	sim.release(t)
}

func (sim *simulation) declare(t *rapid.T) {
	if sim.pendingWrite == nil {
		if d, ok := sim.j.BeginDeclaration(); ok {
			sim.pendingWrite = &d
		}
		return
	}
	sim.ledger = *sim.pendingWrite
	if rapid.Bool().Draw(t, "confirmed") {
		sim.j.ConfirmDeclaration(sim.ledger)
		sim.pendingWrite = nil
	}
}

func (sim *simulation) choose(t *rapid.T) {
	peer := ident.RouterID("")
	if i := rapid.IntRange(-1, 2).Draw(t, "peer"); i >= 0 {
		peer = peerID(i)
	}
	if err := sim.j.ChoosePeer(peer); (err == nil) != (sim.pendingWrite == nil) {
		t.Fatalf("choice during a declaration gave %v", err)
	}
}

func (sim *simulation) crash(t *rapid.T) bool {
	lag := rapid.SampledFrom([]int{0, 1000, 10000, 14000, 15000}).Draw(t, "VM list lag in ms")
	sim.now = sim.now.Add(time.Duration(lag) * time.Millisecond)
	if sim.pendingWrite != nil && rapid.Bool().Draw(t, "write lands after the crash") {
		sim.ledger = *sim.pendingWrite
	}
	proofs := 0
	for _, r := range sim.peers {
		v := r.Close(sim.ledger, sim.now)
		rec := r.Recover(v, nil, sim.now)
		if p, ok := v.(Proof); ok {
			proofs++
			sim.checkProof(r, p)
		}
		sim.checkAccounts(rec)
	}
	if proofs > 1 {
		t.Fatal("two peers give a proof")
	}
	return proofs == 1
}

func (sim *simulation) checkProof(r *Replica, p Proof) {
	known := map[uint64]Counters{}
	for _, c := range p.Counters {
		known[c.AccountNumber] = c
		if c.Returned > sim.returned[c.AccountNumber] {
			sim.t.Fatalf("account %d has the counters of another account", c.AccountNumber)
		}
	}
	for _, e := range sim.released {
		switch {
		case e.Open != nil:
			if _, ok := r.LookupKey(e.Open.IdempotencyKey); !ok {
				sim.t.Fatalf("proof without the released hold %s", e.Open.Request)
			}
		case e.Settle != nil:
			if f, ok := r.Lookup(e.Settle.Request); !ok || f.Settlement == nil {
				sim.t.Fatalf("proof without the released settlement %s", e.Settle.Request)
			}
		case e.Raise != nil:
			c, ok := known[e.Raise.AccountNumber]
			if !ok && sim.forgotten[e.Raise.AccountNumber] {
				continue
			}
			if c.Returned < e.Raise.Returned || c.Out[0].Tokens < e.Raise.Out[0].Tokens {
				sim.t.Fatal("proof without released counters")
			}
		}
	}
}

// checkAccounts compares the recovered accounts with the bills, with and without a proof: tokens that have a bill must
// not become unresolved, because an operator could release them.
func (sim *simulation) checkAccounts(rec Recovery) {
	seen := map[ident.RequestID]bool{}
	billed, unresolved := map[uint64]ident.Tokens{}, map[uint64]ident.Tokens{}
	for _, b := range rec.Bills {
		if seen[b.RequestID] {
			sim.t.Fatalf("two bills of %s", b.RequestID)
		}
		seen[b.RequestID] = true
		billed[sim.accountOf[b.RequestID]] += b.Billed
	}
	for _, s := range rec.Settlements {
		if seen[s.Request] {
			sim.t.Fatalf("%s is settled twice", s.Request)
		}
		seen[s.Request] = true
		unresolved[sim.accountOf[s.Request]] += s.Unresolved
	}
	known := map[uint64]bool{}
	for _, b := range rec.Accounts {
		number := b.Counters.AccountNumber
		known[number] = true
		if b.Counters.Settled != billed[number] || b.Unresolved != unresolved[number] {
			sim.t.Fatalf("recovered account is %+v with %d billed and %d unresolved", b, billed[number], unresolved[number])
		}
	}
	for number := range sim.account + 1 {
		if !known[number] && (unresolved[number] > 0 || billed[number] > 0 && !sim.forgotten[number]) {
			sim.t.Fatalf("account %d with %d billed and %d unresolved is missing", number, billed[number], unresolved[number])
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
		sim := &simulation{t: t, now: time.Unix(1000, 0), j: New("r.1", testLimits), accountOf: map[ident.RequestID]uint64{},
			holdCount: map[uint64]int{}, returned: map[uint64]ident.Tokens{}, forgotten: map[uint64]bool{}}
		for i := range sim.peers {
			sim.loseReplica(i)
		}
		sim.stablePeer = rapid.Bool().Draw(t, "steady")
		if sim.stablePeer || rapid.Bool().Draw(t, "declared at the start") {
			_ = sim.j.ChoosePeer(peerID(0))
			sim.exchange(t)
			sim.ledger, _ = sim.j.BeginDeclaration()
			sim.j.ConfirmDeclaration(sim.ledger)
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": sim.openHold, "settle": sim.settle, "raise": sim.raise, "release": sim.release, "release again": sim.release,
			"new account": sim.newAccount, "forget account": sim.forgetAccount,
			"pump": sim.sendOutbox, "network": sim.networkEvent, "network again": sim.networkEvent, "late duplicate": sim.lateDuplicate,
			"exchange": sim.exchange, "exchange again": sim.exchange, "declare": sim.declare, "declare again": sim.declare,
			"choose": func(t *rapid.T) {
				if !sim.stablePeer && rapid.IntRange(0, 3).Draw(t, "change") == 0 {
					sim.choose(t)
				}
			},
			"cut": func(t *rapid.T) { sim.partitioned = !sim.partitioned && rapid.IntRange(0, 2).Draw(t, "cut") == 0 },
			"forget": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "loss") == 3 {
					i := 0
					if !sim.stablePeer {
						i = rapid.IntRange(0, 2).Draw(t, "peer")
					}
					sim.loseReplica(i)
				}
			},
			"time": func(t *rapid.T) {
				ms := rapid.SampledFrom([]int{5, 5, 50, 50, 500, 500, 5000, 16000}).Draw(t, "ms")
				sim.now = sim.now.Add(time.Duration(ms) * time.Millisecond)
			},
		})
		if sim.crash(t) {
			proofs++
		}
	})
	t.Logf("%d proofs", proofs)
}
