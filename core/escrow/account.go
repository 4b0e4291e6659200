package escrow

import (
	"sync"
	"sync/atomic"
	"time"

	"geraniumsaddle/core/ident"
)

// Account states, combined as bits. An account in any of them refuses new holds but still settles running requests.
const (
	stateClosed uint32 = 1 << iota
	stateRevoked
	stateExpired
	stateLeaving
	// stateProofIssued is set by Proof. Tokens that arrive later are refused, because the proof does not count them.
	stateProofIssued
)

// AccountConfig holds the fixed parts of an account.
type AccountConfig struct {
	Entry  EntryID
	Holder HolderID
	Policy Policy
	// Freed is notified when free tokens increase and when the state of the account changes.
	Freed *Signal
	// WaitStarted is notified when a request starts to wait, so that the control loop asks for tokens before its next
	// regular report.
	WaitStarted *Signal
}

// Account is the router's side of one entry. All methods are safe for concurrent use.
//
//	free = granted + in - returned - settled - out - held
type Account struct {
	cfg AccountConfig

	state    atomic.Uint32
	free     atomic.Int64
	held     atomic.Int64
	settled  atomic.Int64
	returned atomic.Int64
	refused  atomic.Int64

	mu              sync.Mutex
	rowNumber       uint64
	entryVersion    ident.ObjectVersion
	granted         ident.Tokens
	in, out         ident.Tokens
	peers           map[HolderID]*peerCounters
	expiresAt       time.Time
	othersNeed      ident.Tokens        // what other holders lack while nothing is unallotted, plus Entry.PendingReduction
	othersUnmet     ident.Tokens        // what other holders lack
	recalledVersion ident.ObjectVersion // the entry version that the last Rebalance used
	seq             uint64
	journalPeer     ident.RouterID
	// confirmedPeer is the journal peer in the newest confirmed row.
	confirmedPeer ident.RouterID
	demand        demandEstimate
	equalShare    ident.Tokens   // an equal part of what the entry has left
	remaining     ident.Tokens   // what the entry has left
	surplusSince  time.Time      // since when the free tokens exceed twice the target, or zero
	surplusDue    bool           // the surplus has lasted for surplusDelay and will be returned
	waiting       []ident.Tokens // sizes of the waiting requests, smallest first
	pending       ident.Tokens   // sum of waiting
}

// NewAccount returns an account without tokens.
func NewAccount(cfg AccountConfig) *Account {
	if cfg.Freed == nil {
		cfg.Freed = new(Signal)
	}
	if cfg.WaitStarted == nil {
		cfg.WaitStarted = new(Signal)
	}
	return &Account{cfg: cfg}
}

// Entry returns the entry of the account.
func (a *Account) Entry() EntryID { return a.cfg.Entry }

// Holder returns the ID under which the account holds its row.
func (a *Account) Holder() HolderID { return a.cfg.Holder }

// Free returns the tokens that a request can hold now.
func (a *Account) Free() ident.Tokens { return ident.Tokens(a.free.Load()) }

// Held returns the tokens of running requests.
func (a *Account) Held() ident.Tokens { return ident.Tokens(a.held.Load()) }

// Settled returns the tokens billed by this holder.
func (a *Account) Settled() ident.Tokens { return ident.Tokens(a.settled.Load()) }

// Usable reports whether the account accepts holds: it is not closed, revoked, expired or leaving.
func (a *Account) Usable() bool { return a.state.Load() == 0 }

// Closed reports whether the platform has closed the holder's row. Such an account is never used again.
func (a *Account) Closed() bool { return a.state.Load()&stateClosed != 0 }

// countersFinal reports whether grants and transfers may no longer change the counters, because the row is closed or a
// proof was issued.
func (a *Account) countersFinal() bool { return a.state.Load()&(stateClosed|stateProofIssued) != 0 }

// Hold reserves n tokens and reports whether they were free.
func (a *Account) Hold(n ident.Tokens) bool {
	if n < 0 || a.state.Load() != 0 || !trySubtract(&a.free, int64(n)) {
		return false
	}
	a.held.Add(int64(n))
	return true
}

// Settle ends a hold, bills the used tokens and frees the rest. It bills at most the tokens held and returns the used
// tokens above that as overBound. It reports false if held exceeds all holds, which means that the hold was already
// settled.
func (a *Account) Settle(held, used ident.Tokens) (overBound ident.Tokens, ok bool) {
	if held < 0 || used < 0 || !trySubtract(&a.held, int64(held)) {
		return 0, false
	}
	billed := min(held, used)
	a.settled.Add(int64(billed))
	if rest := held - billed; rest > 0 {
		a.free.Add(int64(rest))
		a.cfg.Freed.Notify()
	}
	return used - billed, true
}

// Release ends a hold without billing.
func (a *Account) Release(held ident.Tokens) bool {
	_, ok := a.Settle(held, 0)
	return ok
}

// Return gives up to n free tokens back to the entry and returns their number.
func (a *Account) Return(n ident.Tokens) ident.Tokens {
	n = subtractUpTo(&a.free, n)
	a.returned.Add(int64(n))
	return n
}

// trySubtract subtracts n from v unless that would make it negative.
func trySubtract(v *atomic.Int64, n int64) bool {
	for {
		have := v.Load()
		if have < n {
			return false
		}
		if v.CompareAndSwap(have, have-n) {
			return true
		}
	}
}

// subtractUpTo subtracts n from v, or all of v if that is less, and returns the amount.
func subtractUpTo(v *atomic.Int64, n ident.Tokens) ident.Tokens {
	for {
		have := v.Load()
		got := max(0, min(have, int64(n)))
		if got == 0 || v.CompareAndSwap(have, have-got) {
			return ident.Tokens(got)
		}
	}
}

func (a *Account) setState(bit uint32, on bool) {
	for {
		old := a.state.Load()
		next := old &^ bit
		if on {
			next |= bit
		}
		if old == next {
			return
		}
		if a.state.CompareAndSwap(old, next) {
			a.cfg.Freed.Notify()
			return
		}
	}
}

// Leave makes the account refuse new holds permanently. It is the first step of a graceful shutdown.
func (a *Account) Leave() { a.setState(stateLeaving, true) }

// ApplyEntry merges a confirmed entry of the given object version. Grants merge by maximum, so late and
// repeated entries are harmless. The needs of other holders, the remaining tokens and the expiry come
// from the newest version only.
func (a *Account) ApplyEntry(version ident.ObjectVersion, e *Entry, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	newest := version >= a.entryVersion
	if newest {
		a.entryVersion = version
		a.expiresAt = e.ExpiresAt
		a.othersNeed = e.PendingReduction
		a.equalShare, a.remaining = e.equalShare(), e.remaining()
		a.othersUnmet = e.UnmetNeedExcept(a.cfg.Holder)
		if e.Unallotted() <= 0 {
			a.othersNeed += a.othersUnmet
		}
		a.setState(stateExpired, !a.expiresAt.IsZero() && !now.Before(a.expiresAt))
	}
	if e.Revoked {
		a.setState(stateRevoked, true)
	}
	h := e.Holder(a.cfg.Holder)
	switch {
	case h == nil && a.rowNumber == 0:
		return
	case h == nil:
		// RowsOpened distinguishes an entry written after the row was closed from one written before it was opened.
		if e.RowsOpened >= a.rowNumber {
			a.setState(stateClosed, true)
		}
		return
	case a.rowNumber == 0:
		a.rowNumber = h.RowNumber
	case h.RowNumber > a.rowNumber:
		a.setState(stateClosed, true)
	}
	if h.RowNumber != a.rowNumber || a.countersFinal() {
		return
	}
	if newest {
		a.confirmedPeer = h.JournalPeer
	}
	if n := h.Granted - a.granted; n > 0 {
		a.granted = h.Granted
		a.free.Add(int64(n))
		a.cfg.Freed.Notify()
	}
}

// SetJournalPeer declares the router that keeps the holder's journal. The declaration takes effect
// once a confirmed entry shows it.
func (a *Account) SetJournalPeer(r ident.RouterID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.journalPeer = r
}

// JournalConfirmed reports whether the newest confirmed row shows the journal peer. It is also true for an account
// without a row, because its row opens with the journal peer, and for a closed account.
func (a *Account) JournalConfirmed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rowNumber == 0 || a.confirmedPeer == a.journalPeer || a.Closed()
}

// Report returns the counters, the want and the need for the writer of the shard.
func (a *Account) Report() Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seq++
	r := Report{
		Entry: a.cfg.Entry, Holder: a.cfg.Holder, RowNumber: a.rowNumber, Seq: a.seq, Granted: a.granted,
		Returned: ident.Tokens(a.returned.Load()), Settled: a.Settled(), In: a.in, Out: a.out,
		JournalPeer: a.journalPeer,
	}
	if a.Usable() {
		r.Want, r.Need = a.want()
	}
	return r
}

// Proof gives the free tokens back to the entry and returns the final counters of a holder that is leaving and
// has no running request. It reports false before Leave, while a request runs, before the row is confirmed
// and after it is closed. Grants and transfers that arrive after the proof are refused.
func (a *Account) Proof() (Proof, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state.Load()&stateLeaving == 0 || a.rowNumber == 0 || a.Closed() {
		return Proof{}, false
	}
	a.Return(a.Free())
	p := Proof{
		Holder: a.cfg.Holder, RowNumber: a.rowNumber, Settled: a.Settled(), Returned: ident.Tokens(a.returned.Load()),
		In: a.in, Out: a.out, Complete: true,
	}
	// A hold taken concurrently with Leave leaves tokens that no counter accounts for.
	if a.granted+p.In-p.Returned-p.Settled-p.Out != 0 {
		return Proof{}, false
	}
	a.setState(stateProofIssued, true)
	return p, true
}
