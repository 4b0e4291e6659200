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
	// recentBills bounds the bill records that a router keeps for queries.
	recentBills = 4096
	// billsEvery is the interval at which due pages are written.
	billsEvery = time.Second
)

// bills gathers bill records into pages for the platform and keeps the recent ones. It is safe for concurrent use.
type bills struct {
	n *Node

	mu      sync.Mutex
	batcher *bill.Batcher
	rows    map[ident.RequestID]bill.Bill
	order   []ident.RequestID

	// writing lets one goroutine write pages at a time.
	writing sync.Mutex
	// at belongs to the control goroutine.
	at time.Time
}

func newBills(n *Node) *bills {
	return &bills{n: n, batcher: bill.NewBatcher(n.id), rows: make(map[ident.RequestID]bill.Bill)}
}

// add takes the bill of a request. Recovery repeats bills, which the pages and the roll-up tell by their request.
func (b *bills) add(row bill.Bill) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, err := b.batcher.Add(b.n.clock.Now(), row); err != nil {
		b.n.log.Error("bill cannot be recorded", "request_id", row.RequestID, "error", err)
		return
	}
	if _, ok := b.rows[row.RequestID]; !ok {
		b.order = append(b.order, row.RequestID)
	}
	b.rows[row.RequestID] = row
	if len(b.order) > recentBills {
		delete(b.rows, b.order[0])
		b.order = b.order[1:]
	}
}

// tick writes the pages that are due.
func (b *bills) tick(now time.Time) {
	if now.Sub(b.at) < billsEvery {
		return
	}
	b.at = now
	b.mu.Lock()
	due, ok := b.batcher.Deadline()
	pages := b.batcher.Pending(now)
	b.mu.Unlock()
	if len(pages) == 0 && (!ok || now.Before(due)) {
		return
	}
	b.n.spawn(func(ctx context.Context) { _ = b.write(ctx) })
}

// flush writes all bills, also those that are not due.
func (b *bills) flush(ctx context.Context) {
	b.mu.Lock()
	b.batcher.Seal(b.n.clock.Now())
	b.mu.Unlock()
	if err := b.write(ctx); err != nil {
		b.n.log.Error("bills could not be written; the journal peer repeats them", "bills", b.len(), "error", err)
	}
}

func (b *bills) len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.batcher.Len()
}

// write creates the pending pages. A page that is there already is the one that an earlier attempt has written.
func (b *bills) write(ctx context.Context) error {
	b.writing.Lock()
	defer b.writing.Unlock()
	b.mu.Lock()
	pages := b.batcher.Pending(b.n.clock.Now())
	b.mu.Unlock()
	for _, p := range pages {
		raw, err := p.Encode()
		if err != nil {
			return err
		}
		_, err = b.n.store.Put(ctx, p.Key(), raw, store.Absent())
		b.n.recordPlatformCall("put_bills", err)
		if err != nil && !errors.Is(err, store.ErrConflict) {
			return err
		}
		b.mu.Lock()
		b.batcher.Written(p.Name)
		b.mu.Unlock()
	}
	return nil
}

func (b *bills) get(id ident.RequestID) (bill.Bill, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	row, ok := b.rows[id]
	return row, ok
}

// billSearchDays is the number of days whose pages are searched for a bill that this router does not keep.
const billSearchDays = 2

// Bill implements caller.Backend.
func (n *Node) Bill(ctx context.Context, org ident.OrgID, id ident.RequestID) (any, error) {
	if row, ok := n.bills.get(id); ok {
		if row.Org != org {
			return nil, noBill()
		}
		return row, nil
	}
	now := n.clock.Now().UTC()
	for d := range billSearchDays {
		var found *bill.Bill
		err := n.eachPage(ctx, now.AddDate(0, 0, -d), func(p *bill.Page) bool {
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
	return nil, noBill()
}

func noBill() error {
	return caller.Refuse(caller.CodeNotFound, ident.OutcomeNotRun, "no such bill")
}

// eachPage reads the bill pages of a day, in UTC, until fn returns false.
func (n *Node) eachPage(ctx context.Context, day time.Time, fn func(p *bill.Page) bool) error {
	prefix := day.UTC().Format("20060102")
	after := prefix
	for {
		list, err := n.store.List(ctx, object.KindBills, after, listPageSize)
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
				n.log.Error("bill page cannot be used", "name", o.Key.Name, "error", err)
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
