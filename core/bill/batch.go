package bill

import (
	"time"

	"github.com/gravitational/trace"

	"geraniumsaddle/core/ident"
)

const (
	// MaxDelay is the maximum time for which a bill waits until its page is sealed.
	MaxDelay = 5 * time.Second
	// MaxPageBills keeps a page within the platform's object limit of 1 MB. A bill takes at most about 1 KB, because
	// each of its eight identifiers has up to 64 bytes.
	MaxPageBills = 900
	// recentBills is the number of requests that a batcher remembers in order to drop repeated bills. The roll-up drops
	// those that the batcher misses.
	recentBills = 4096
)

// Batcher collects the bills of one router into pages. It is not safe for concurrent use.
type Batcher struct {
	router      ident.RouterID
	seq         uint64
	openSince   time.Time // arrival of the oldest open bill
	open        []Bill
	sealed      []*Page
	recent      map[ident.RequestID]bool
	recentOrder []ident.RequestID
}

// NewBatcher returns a batcher for one incarnation of a router. Page names contain the incarnation, so a restarted
// router never reuses a name.
func NewBatcher(router ident.RouterID) *Batcher {
	return &Batcher{router: router, recent: make(map[ident.RequestID]bool)}
}

// Add adds a bill. It returns false and drops the bill if a bill of the same request was added recently.
func (b *Batcher) Add(now time.Time, bill Bill) (bool, error) {
	if err := bill.validate("bill").Err(); err != nil {
		return false, trace.BadParameter("bill is invalid: %v", err)
	}
	if b.recent[bill.RequestID] {
		return false, nil
	}
	b.recent[bill.RequestID] = true
	b.recentOrder = append(b.recentOrder, bill.RequestID)
	if len(b.recentOrder) > recentBills {
		delete(b.recent, b.recentOrder[0])
		b.recentOrder = b.recentOrder[1:]
	}
	if len(b.open) == 0 {
		b.openSince = now
	}
	b.open = append(b.open, bill)
	if len(b.open) >= MaxPageBills {
		b.Seal(now)
	}
	return true, nil
}

// Deadline returns when the open bills must be sealed, and false if there are none.
func (b *Batcher) Deadline() (time.Time, bool) { return b.openSince.Add(MaxDelay), len(b.open) > 0 }

// Seal puts the open bills into a page, regardless of their age. It is also called at shutdown.
func (b *Batcher) Seal(now time.Time) {
	if len(b.open) == 0 {
		return
	}
	b.seq++
	id := PageID{Day: now, Router: b.router, Seq: b.seq}
	b.sealed = append(b.sealed, &Page{Format: Format, Name: id.String(), Bills: b.open})
	b.open = nil
}

// Pending seals the open bills if they have reached their deadline, and returns the pages to write, oldest first. A
// page stays pending with the same name and content until MarkWritten is called, so it is written again after a lost
// reply, and the platform keeps the first copy.
func (b *Batcher) Pending(now time.Time) []*Page {
	if at, ok := b.Deadline(); ok && !now.Before(at) {
		b.Seal(now)
	}
	return b.sealed[:len(b.sealed):len(b.sealed)]
}

// MarkWritten removes a page that the platform has confirmed or already holds.
func (b *Batcher) MarkWritten(name string) {
	for i, p := range b.sealed {
		if p.Name == name {
			b.sealed = append(b.sealed[:i:i], b.sealed[i+1:]...)
			return
		}
	}
}

// Len returns the number of bills that are not yet in a confirmed page.
func (b *Batcher) Len() int {
	n := len(b.open)
	for _, p := range b.sealed {
		n += len(p.Bills)
	}
	return n
}
