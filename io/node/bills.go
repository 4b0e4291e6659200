package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"geraniumsaddle/core/bill"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/caller"
	"geraniumsaddle/io/store"
)

const (
	// maxRecentBills bounds the bills that a router keeps in memory for queries.
	maxRecentBills = 4096
	// billCheckInterval is the interval at which due pages are written.
	billCheckInterval = time.Second
)

// bills batches bills into pages for the platform and keeps the recent ones in memory. It is safe for concurrent use.
type bills struct {
	n *Node

	mu          sync.Mutex
	batcher     *bill.Batcher
	recent      map[ident.RequestID]bill.Bill
	recentOrder []ident.RequestID

	// writeMu makes sure that one goroutine at a time writes pages.
	writeMu sync.Mutex
	// checkedAt is the time of the last check for due pages. It belongs to the control goroutine.
	checkedAt time.Time
}

func newBills(n *Node) *bills {
	return &bills{n: n, batcher: bill.NewBatcher(n.id), recent: make(map[ident.RequestID]bill.Bill)}
}

// add adds the bill of a request to the open page. Recovery may add a bill again; the batcher and the roll-up recognise
// duplicates by their request.
func (b *bills) add(row bill.Bill) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, err := b.batcher.Add(b.n.clock.Now(), row); err != nil {
		b.n.log.Error("bill cannot be recorded", "request_id", row.RequestID, "error", err)
		return
	}
	if _, ok := b.recent[row.RequestID]; !ok {
		b.recentOrder = append(b.recentOrder, row.RequestID)
	}
	b.recent[row.RequestID] = row
	if len(b.recentOrder) > maxRecentBills {
		delete(b.recent, b.recentOrder[0])
		b.recentOrder = b.recentOrder[1:]
	}
}

// tick starts a write if pages are due.
func (b *bills) tick(now time.Time) {
	if now.Sub(b.checkedAt) < billCheckInterval {
		return
	}
	b.checkedAt = now
	b.mu.Lock()
	due, ok := b.batcher.Deadline()
	pages := b.batcher.Pending(now)
	b.mu.Unlock()
	if len(pages) == 0 && (!ok || now.Before(due)) {
		return
	}
	b.n.spawn(func(ctx context.Context) { _ = b.write(ctx) })
}

// flush writes all bills, including those that are not due.
func (b *bills) flush(ctx context.Context) {
	b.mu.Lock()
	b.batcher.Seal(b.n.clock.Now())
	b.mu.Unlock()
	if err := b.write(ctx); err != nil {
		b.n.log.Error("bills could not be written and are left to the journal peer", "bills", b.pendingCount(), "error", err)
	}
}

// pendingCount returns the number of bills that are not written.
func (b *bills) pendingCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.batcher.Len()
}

// write creates the pending pages on the platform. If a page already exists, an earlier attempt has created it.
func (b *bills) write(ctx context.Context) error {
	b.writeMu.Lock()
	defer b.writeMu.Unlock()
	b.mu.Lock()
	pages := b.batcher.Pending(b.n.clock.Now())
	b.mu.Unlock()
	for _, p := range pages {
		raw, err := p.Encode()
		if err != nil {
			return err
		}
		_, err = b.n.platform.Put(ctx, p.Key(), raw, store.Absent())
		b.n.recordPlatformCall("put_bills", err)
		if err != nil && !errors.Is(err, store.ErrConflict) {
			return err
		}
		b.mu.Lock()
		b.batcher.MarkWritten(p.Name)
		b.mu.Unlock()
	}
	return nil
}

func (b *bills) get(id ident.RequestID) (bill.Bill, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	row, ok := b.recent[id]
	return row, ok
}

// billSearchDays is the number of days whose pages are searched for a bill that is not in memory.
const billSearchDays = 2

// Bill implements caller.Backend.
func (n *Node) Bill(ctx context.Context, org ident.OrgID, id ident.RequestID) (any, error) {
	if row, ok := n.bills.get(id); ok {
		if row.Org != org {
			return nil, billNotFoundRefusal()
		}
		return row, nil
	}
	now := n.clock.Now().UTC()
	for d := range billSearchDays {
		var found *bill.Bill
		err := n.eachBillPage(ctx, now.AddDate(0, 0, -d), func(p *bill.Page) bool {
			for i := range p.Bills {
				if p.Bills[i].RequestID == id && p.Bills[i].Org == org {
					found = &p.Bills[i]
				}
			}
			return found == nil
		})
		if found != nil {
			return *found, nil
		}
		if err != nil {
			return nil, caller.Refuse(caller.CodeUnavailable, ident.OutcomeNotRun, "the bill is not kept here and the platform does not answer")
		}
	}
	return nil, billNotFoundRefusal()
}

func billNotFoundRefusal() error {
	return caller.Refuse(caller.CodeNotFound, ident.OutcomeNotRun, "no such bill")
}

// eachBillPage calls fn with the bill pages of a day, in UTC, until fn returns false.
func (n *Node) eachBillPage(ctx context.Context, day time.Time, fn func(p *bill.Page) bool) error {
	prefix := day.UTC().Format("20060102")
	after := prefix
	for {
		list, err := n.platform.List(ctx, object.KindBills, after, listPageSize)
		n.recordPlatformCall("list", err)
		if err != nil {
			return err
		}
		for _, o := range list.Objects {
			if len(o.Key.Name) < len(prefix) || o.Key.Name[:len(prefix)] != prefix {
				return nil
			}
			p, err := bill.DecodePage(o.Value)
			if err != nil {
				n.log.Error("bill page cannot be decoded", "name", o.Key.Name, "error", err)
				continue
			}
			if !fn(p) {
				return nil
			}
		}
		if list.Next == "" {
			return nil
		}
		after = list.Next
	}
}
