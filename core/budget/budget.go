// Package budget limits the memory that callers and targets can make a process hold, and says whose connections are closed
// to make room. It does no I/O and reads no clock.
package budget

import (
	"fmt"
	"sync"
	"sync/atomic"

	"geraniumsaddle/core/ident"
)

// Class is what reserved memory is used for.
type Class int

// The classes.
const (
	// Connections is what open connections hold without a request.
	Connections Class = iota
	// Heads is what heads of requests hold.
	Heads
	// Bodies is what bodies of requests hold.
	Bodies
	// Answers is what running requests hold beyond head and body, such as answers and events of targets.
	Answers
	classCount
)

var classNames = [classCount]string{"connections", "heads", "bodies", "answers"}

// Classes returns all classes.
func Classes() []Class { return []Class{Connections, Heads, Bodies, Answers} }

func (c Class) String() string { return classNames[c] }

const (
	// ConnectionCost is the memory in bytes of an open connection: buffers of net/http, stack of its goroutine, and records.
	ConnectionCost ident.Bytes = 16 << 10
	// RequestCost is the memory in bytes of a running request without its body and its answer: records, a connection to a
	// target with its buffers, and the head of an answer.
	RequestCost ident.Bytes = 16 << 10
	// headByteCost and headLineCost are the memory in bytes for each byte and each line of a head. net/http keeps a copy of
	// each line, and sizes the map of the headers from the lines that it has buffered.
	headByteCost = 2
	headLineCost = 128
	// memoryShare is the share of the process's memory for the limit, in percent. The heap may be half as large again as
	// what is in use, because of the garbage collector's setting.
	memoryShare = 40
	// fixedReserve is the part of that share, in bytes, for configuration, registry, ledgers, messages of routers and
	// answers of the store.
	fixedReserve ident.Bytes = 4 << 20
	// minLimit is the smallest limit in bytes.
	minLimit ident.Bytes = 4 << 20
)

// HeadCost returns the memory that a head of the given bytes and lines holds.
func HeadCost(size ident.Bytes, lines int) ident.Bytes {
	return headByteCost*size + headLineCost*ident.Bytes(lines)
}

// LimitFor returns the limit for a process with the given memory.
func LimitFor(memory ident.Bytes) ident.Bytes {
	return max(memory*memoryShare/100-fixedReserve, minLimit)
}

// Budget counts the reserved bytes of all classes against one limit. It is safe for concurrent use.
type Budget struct {
	limit ident.Bytes
	total atomic.Int64
	used  [classCount]atomic.Int64
	// excess counts the releases of more than was reserved.
	excess atomic.Uint64

	// waiting says that room is not nil.
	waiting atomic.Bool
	mu      sync.Mutex
	// room is closed at the next release, or nil.
	room chan struct{}
}

// New returns a budget with the given limit.
func New(limit ident.Bytes) *Budget { return &Budget{limit: limit} }

// Limit returns the limit.
func (b *Budget) Limit() ident.Bytes { return b.limit }

// Used returns the bytes reserved for a class.
func (b *Budget) Used(c Class) ident.Bytes { return ident.Bytes(b.used[c].Load()) }

// Total returns the bytes reserved for all classes.
func (b *Budget) Total() ident.Bytes { return ident.Bytes(b.total.Load()) }

// Excess returns the number of releases of more than was reserved, each of which is an error of the program.
func (b *Budget) Excess() uint64 { return b.excess.Load() }

// Reserve reserves n bytes, and reports false without a reservation if that would exceed the limit. It panics if n is
// negative.
func (b *Budget) Reserve(c Class, n ident.Bytes) bool {
	if n < 0 {
		panic(fmt.Sprintf("reservation of %d bytes is negative", n))
	}
	for {
		old := b.total.Load()
		if old+int64(n) > int64(b.limit) {
			return false
		}
		if b.total.CompareAndSwap(old, old+int64(n)) {
			b.used[c].Add(int64(n))
			return true
		}
	}
}

// Release ends the reservation of n bytes. Of more than the class has, it releases what the class has and counts an excess:
// a panic would end the process, and releasing more would raise the limit.
func (b *Budget) Release(c Class, n ident.Bytes) {
	for {
		old := b.used[c].Load()
		if int64(n) > old {
			b.excess.Add(1)
			n = ident.Bytes(old)
		}
		if b.used[c].CompareAndSwap(old, old-int64(n)) {
			break
		}
	}
	b.total.Add(-int64(n))
	if b.waiting.Load() {
		b.wake()
	}
}

func (b *Budget) wake() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.room != nil {
		close(b.room)
	}
	b.room = nil
	b.waiting.Store(false)
}

// Room returns a channel that is closed at the next release. A caller has to try Reserve after the call, before it waits.
func (b *Budget) Room() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.room == nil {
		b.room = make(chan struct{})
		b.waiting.Store(true)
	}
	return b.room
}
