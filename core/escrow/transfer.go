package escrow

import (
	"cmp"
	"slices"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// Transfer carries the cumulative number of tokens that one holder has sent to another.
type Transfer struct {
	Entry EntryID      `json:"entry"`
	From  HolderID     `json:"from"`
	To    HolderID     `json:"to"`
	Total ident.Tokens `json:"total"`
}

// Ask is a request to another holder for tokens that waiting requests need.
type Ask struct {
	Entry EntryID      `json:"entry"`
	From  HolderID     `json:"from"`
	Need  ident.Tokens `json:"need"`
	// Smallest is the size of the smallest waiting request.
	Smallest ident.Tokens `json:"smallest"`
}

// peerCounters holds the cumulative counters of transfers to and from one other holder.
type peerCounters struct {
	out, acked, in ident.Tokens
}

func (a *Account) countersFor(id HolderID) *peerCounters {
	if a.peers == nil {
		a.peers = make(map[HolderID]*peerCounters)
	}
	p := a.peers[id]
	if p == nil {
		p = new(peerCounters)
		a.peers[id] = p
	}
	return p
}

// TransferOut moves n free tokens to another holder. It takes them from the free tokens before it creates the message,
// so that the sender never spends tokens in transit. The caller sends the message until it is acknowledged.
func (a *Account) TransferOut(to HolderID, n ident.Tokens) (Transfer, bool) {
	if n <= 0 || to == a.cfg.Holder || a.countersFinal() || !trySubtract(&a.free, int64(n)) {
		return Transfer{}, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.countersFor(to)
	p.out += n
	a.out += n
	return Transfer{Entry: a.cfg.Entry, From: a.cfg.Holder, To: to, Total: p.out}, true
}

// TransferIn merges the cumulative number of tokens that another holder has sent. It reports whether
// the total is merged, in which case the caller acknowledges the transfer.
func (a *Account) TransferIn(from HolderID, total ident.Tokens) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.countersFinal() || from == a.cfg.Holder || total > object.MaxTokens {
		return false
	}
	p := a.countersFor(from)
	n := total - p.in
	if n <= 0 {
		return true
	}
	p.in = total
	a.in += n
	a.free.Add(int64(n))
	a.cfg.Freed.Notify()
	return true
}

// TransferAcked records that the receiver has merged the total.
func (a *Account) TransferAcked(to HolderID, total ident.Tokens) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p := a.peers[to]; p != nil {
		p.acked = min(p.out, max(p.acked, total))
	}
}

// Unacked returns the transfers that the receivers have not acknowledged, sorted by receiver.
func (a *Account) Unacked() []Transfer {
	a.mu.Lock()
	defer a.mu.Unlock()
	var ts []Transfer
	for id, p := range a.peers {
		if p.out > p.acked {
			ts = append(ts, Transfer{Entry: a.cfg.Entry, From: a.cfg.Holder, To: id, Total: p.out})
		}
	}
	slices.SortFunc(ts, func(x, y Transfer) int { return cmp.Compare(x.To, y.To) })
	return ts
}

// Ask returns a request for the tokens that the account lacks for its waiting requests. It reports false if it lacks
// none, is not usable or its policy makes no transfers.
func (a *Account) Ask() (Ask, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	need := a.pending - a.Free()
	if need <= 0 || !a.Usable() || !a.cfg.Policy.allowsTransfers() {
		return Ask{}, false
	}
	return Ask{Entry: a.cfg.Entry, From: a.cfg.Holder, Need: need, Smallest: a.waiting[0]}, true
}

// Answer moves free tokens to a holder that asks for them, unless the account's own waiting requests have priority.
func (a *Account) Answer(ask Ask) (Transfer, bool) {
	if ask.Entry != a.cfg.Entry || !a.cfg.Policy.allowsTransfers() || a.hasPriorityOver(ask) {
		return Transfer{}, false
	}
	return a.TransferOut(ask.From, min(a.Free(), ask.Need))
}

// hasPriorityOver reports whether the account's own waiting requests come before those of the asking holder. The
// account with the smallest request comes first, and of two with equal ones the holder whose ID sorts first. Without
// such an order two accounts would send the same tokens back and forth, and a request too large to be met by the tokens
// of all holders would keep tokens from others.
func (a *Account) hasPriorityOver(ask Ask) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiting) == 0 {
		return false
	}
	smallest := a.waiting[0]
	return smallest < ask.Smallest || smallest == ask.Smallest && a.cfg.Holder < ask.From
}
