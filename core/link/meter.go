package link

import (
	"sync"
	"time"

	"geraniumsaddle/core/ident"
)

// Direction is the way that bytes take.
type Direction uint8

// The directions. A link carries both at its full rate.
const (
	In Direction = iota
	Out
	directions
)

const (
	// slots and slotFor divide the last second, over which the use of the link is measured.
	slots   = 10
	slotFor = 100 * time.Millisecond
)

// Meter measures the rate in both directions over the last second. It is safe for concurrent use.
type Meter struct {
	mu    sync.Mutex
	slot  int64 // number of the newest slot since the zero time
	bytes [directions][slots]ident.Bytes
}

// Add counts bytes that were carried at a time.
func (m *Meter) Add(d Direction, n int, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.turn(now)
	m.bytes[d][m.slot%slots] += ident.Bytes(n)
}

// Rate returns the bytes per second of the busier direction.
func (m *Meter) Rate(now time.Time) ident.Bytes {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.turn(now)
	var most ident.Bytes
	for _, row := range m.bytes {
		var sum ident.Bytes
		for _, n := range row {
			sum += n
		}
		most = max(most, sum)
	}
	return most
}

// turn clears the slots that have passed since the last call. A time before it counts to the newest slot.
func (m *Meter) turn(now time.Time) {
	newest := now.UnixMilli() / slotFor.Milliseconds()
	for i := max(m.slot+1, newest-slots+1); i <= newest; i++ {
		for d := range m.bytes {
			m.bytes[d][i%slots] = 0
		}
	}
	m.slot = max(m.slot, newest)
}
