package bill

import (
	"time"

	"github.com/gravitational/trace"

	"geraniumsaddle/core/ident"
)

const (
	// MaxDelay bounds how long a bill waits for its page.
	MaxDelay = 5 * time.Second
	// MaxPageBills keeps a page within the platform's 1 MB: a bill takes at most about 1 KB, as each of
	// its eight identifiers has up to 64 bytes.
	MaxPageBills = 900
	// recentBills bounds the requests that a batcher remembers to drop a repeated bill. The roll-up
	// drops the rest.
	recentBills = 4096
)

// Batcher gathers the bills of one router into pages. It is not safe for concurrent use.
type Batcher struct {
	router ident.RouterID
	seq    uint64
	since  time.Time // arrival of the oldest open bill
	open   []Bill
	sealed []*Page
	recent map[ident.RequestID]bool
	order  []ident.RequestID
}

// NewBatcher returns a batcher for one incarnation of a router. The incarnation is part of each page
// name, so a restarted router never reuses a name.
func NewBatcher(router ident.RouterID) *Batcher {
	return &Batcher{router: router, recent: make(map[ident.RequestID]bool)}
}

// Add takes a bill. It reports false for a request that was added shortly before.
func (b *Batcher) Add(now time.Time, bill Bill) (bool, error) {
	if err := bill.validate("bill").Err(); err != nil {
		return false, trace.BadParameter("bill is invalid: %v", err)
	}
	if b.recent[bill.RequestID] {
		return false, nil
	}
	b.recent[bill.RequestID] = true
	b.order = append(b.order, bill.RequestID)
	if len(b.order) > recentBills {
		delete(b.recent, b.order[0])
		b.order = b.order[1:]
	}
	if len(b.open) == 0 {
		b.since = now
	}
	b.open = append(b.open, bill)
	if len(b.open) >= MaxPageBills {
		b.Seal(now)
	}
	return true, nil
}

// Deadline returns when the open bills must be sealed, and false if there are none.
func (b *Batcher) Deadline() (time.Time, bool) { return b.since.Add(MaxDelay), len(b.open) > 0 }

// Seal makes a page of the open bills, regardless of their age. The shutdown calls it.
func (b *Batcher) Seal(now time.Time) {
	if len(b.open) == 0 {
		return
	}
	b.seq++
	id := PageID{Day: now, Router: b.router, Seq: b.seq}
	b.sealed = append(b.sealed, &Page{Format: Format, Name: id.String(), Bills: b.open})
	b.open = nil
}

// Pending returns the pages to write, oldest first, after sealing bills that reached their deadline. A
// page stays pending with the same name and content until Written, so it is repeated after a lost
// reply and the platform keeps the first copy.
func (b *Batcher) Pending(now time.Time) []*Page {
	if at, ok := b.Deadline(); ok && !now.Before(at) {
		b.Seal(now)
	}
	return b.sealed[:len(b.sealed):len(b.sealed)]
}

// Written drops a page that the platform has confirmed or already had.
func (b *Batcher) Written(name string) {
	for i, p := range b.sealed {
		if p.Name == name {
			b.sealed = append(b.sealed[:i:i], b.sealed[i+1:]...)
			return
		}
	}
}

// Len returns the number of bills that no confirmed page contains.
func (b *Batcher) Len() int {
	n := len(b.open)
	for _, p := range b.sealed {
		n += len(p.Bills)
	}
	return n
}
