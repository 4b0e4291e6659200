package quota

import (
	"encoding/json"
	"fmt"

	"geraniumsaddle/core/ident"
)

// maxProcessesPerVM is the number of processes of one VM whose allowances a batch keeps. The holders of older processes
// were closed long ago. If a holder is still open when its allowances are gone, its whole grant counts as spent.
const maxProcessesPerVM = 3

// Batch is the stored object in which one router writes the allowances of many routers.
type Batch struct {
	Format  int                            `json:"format"`
	Routers map[ident.RouterID]*Allowances `json:"routers"`
}

// DecodeBatch decodes a stored batch.
func DecodeBatch(b []byte) (*Batch, error) {
	out := &Batch{}
	if err := json.Unmarshal(b, out); err != nil {
		return nil, fmt.Errorf("decode batch: %w", err)
	}
	if out.Format != Format {
		return nil, fmt.Errorf("decode batch: %w: %d", ErrFormat, out.Format)
	}
	for id, a := range out.Routers {
		if a == nil {
			return nil, fmt.Errorf("decode batch: allowances of %q are null", id)
		}
	}
	return out, nil
}

// NewBatch returns a batch without allowances.
func NewBatch() *Batch {
	return &Batch{Format: Format, Routers: make(map[ident.RouterID]*Allowances)}
}

// Encode encodes the batch.
func (b *Batch) Encode() []byte {
	out, err := json.Marshal(b)
	if err != nil {
		panic(err) // A struct of numbers and strings always encodes.
	}
	return out
}

// Put stores the allowances of a router unless the batch has newer ones, and reports whether it did.
func (b *Batch) Put(id ident.RouterID, a *Allowances) bool {
	if Newer(b.Routers[id], a) != a {
		return false
	}
	if b.Routers == nil {
		b.Routers = make(map[ident.RouterID]*Allowances)
	}
	b.Routers[id] = a
	b.prune(id)
	return true
}

// prune removes the oldest other processes of a router's VM beyond maxProcessesPerVM.
func (b *Batch) prune(id ident.RouterID) {
	for {
		n := 0
		var oldest ident.RouterID
		for other, a := range b.Routers {
			if other.Name() != id.Name() {
				continue
			}
			n++
			if other != id && (oldest == "" || a.Sent.Wall < b.Routers[oldest].Sent.Wall) {
				oldest = other
			}
		}
		if n <= maxProcessesPerVM {
			return
		}
		delete(b.Routers, oldest)
	}
}

// Drop removes the allowances of a router.
func (b *Batch) Drop(id ident.RouterID) { delete(b.Routers, id) }

// Newer returns whichever of two allowances of the same process was sent later. Either may be nil.
func Newer(x, y *Allowances) *Allowances {
	if x == nil || y != nil && y.Sent.Uptime >= x.Sent.Uptime {
		return y
	}
	return x
}
