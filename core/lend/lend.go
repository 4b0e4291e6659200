// Package lend lets the routers of a large fleet spend the prepaid tokens of an organisation through few of them, its
// holders. Every other router, the borrower, asks a holder to hold the tokens of one request.
//
// The holder reserves the tokens in its own account before it answers, and counts them as spent in full when it hears
// no settlement by the end of the hold. A borrower that ends, is paused or is cut off can therefore waste tokens, but
// never overspend, whatever the state of the network and the clocks. A borrower that got no answer settles the hold with
// nothing used; a settlement that arrives before its hold prevents it.
//
// The package does no I/O and reads no clock.
package lend

import (
	"time"

	"geraniumsaddle/core/ident"
)

const (
	// maxHolds bounds the holds of a book, and so its memory.
	maxHolds = 16384
	// settledMemory is how long a settlement is remembered, so that a hold that arrives after it takes no effect.
	settledMemory = 10 * time.Second
)

// ID identifies a hold. Request is unique among the requests of the borrower.
type ID struct {
	Borrower ident.RouterID
	Request  ident.RequestID
}

// Hold is the tokens that a holder keeps for one request of a borrower.
type Hold struct {
	Org    ident.OrgID
	Tokens ident.Tokens
	// Until is the uptime at which the hold counts as spent in full.
	Until time.Duration
}

// Settlement ends a hold. Used is what its request has used of the tokens.
type Settlement struct {
	Hold
	Used ident.Tokens
	// Unknown says that nobody has told what the request has used, so that Used is all of it.
	Unknown bool
}

// Book records the holds that a holder keeps for borrowers. It is not safe for concurrent use.
type Book struct {
	holds map[ID]Hold
	// settled holds the uptimes until which settled IDs are remembered.
	settled map[ID]time.Duration
}

// New returns an empty book.
func New() *Book {
	return &Book{holds: make(map[ID]Hold), settled: make(map[ID]time.Duration)}
}

// Open is what the arrival of a hold means.
type Open uint8

// The meanings of an arriving hold.
const (
	// OpenNew means that the tokens have to be reserved and the hold recorded.
	OpenNew Open = iota
	// OpenRepeated means that the hold is recorded already.
	OpenRepeated
	// OpenRefused means that the hold was settled already, or that the book is full.
	OpenRefused
)

// Check returns what the arrival of a hold means.
func (b *Book) Check(id ID) Open {
	if _, ok := b.holds[id]; ok {
		return OpenRepeated
	}
	if _, ok := b.settled[id]; ok || len(b.holds) >= maxHolds {
		return OpenRefused
	}
	return OpenNew
}

// Record records a hold whose tokens are reserved. It returns false if the hold was settled meanwhile; the tokens are
// then to be released.
func (b *Book) Record(id ID, h Hold) bool {
	if b.Check(id) != OpenNew {
		return false
	}
	b.holds[id] = h
	return true
}

// Settle ends a hold at the uptime now and reports whether it was open.
func (b *Book) Settle(id ID, used ident.Tokens, now time.Duration) (Settlement, bool) {
	h, ok := b.holds[id]
	delete(b.holds, id)
	if len(b.settled) < maxHolds {
		b.settled[id] = now + settledMemory
	}
	return Settlement{Hold: h, Used: min(max(used, 0), h.Tokens)}, ok
}

// Expire ends the holds without a settlement by now. All of their tokens count as used.
func (b *Book) Expire(now time.Duration) []Settlement {
	var out []Settlement
	for id, h := range b.holds {
		if now >= h.Until {
			s, _ := b.Settle(id, h.Tokens, now)
			s.Unknown = true
			out = append(out, s)
		}
	}
	for id, until := range b.settled {
		if now >= until {
			delete(b.settled, id)
		}
	}
	return out
}

// Close ends all holds when the holder stops. All of their tokens count as used.
func (b *Book) Close() []Settlement {
	var out []Settlement
	for id, h := range b.holds {
		delete(b.holds, id)
		out = append(out, Settlement{Hold: h, Used: h.Tokens, Unknown: true})
	}
	return out
}

// Len returns the number of open holds.
func (b *Book) Len() int { return len(b.holds) }
