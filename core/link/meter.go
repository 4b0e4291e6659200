package link

import (
	"sync"
	"time"

	"geraniumsaddle/core/ident"
)

// Direction is the direction of traffic on a link.
type Direction uint8

// The directions of traffic. A link is full duplex and carries each at its full rate.
const (
	In Direction = iota
	Out
	directions
)

const (
	// The rate is measured over the last second, which is divided into slotCount slots of slotDuration.
	slotCount    = 10
	slotDuration = 100 * time.Millisecond
)

// Meter measures the traffic in both directions over the last second. It is safe for concurrent use.
type Meter struct {
	mu         sync.Mutex
	newestSlot int64 // number of the newest slot, counted from the Unix epoch
	bytes      [directions][slotCount]ident.Bytes
}

// Add counts n bytes that were transferred at the given time.
func (m *Meter) Add(d Direction, n int, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	m.bytes[d][m.newestSlot%slotCount] += ident.Bytes(n)
}

// Rate returns the rate of the busier direction in bytes per second.
func (m *Meter) Rate(now time.Time) ident.Bytes {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	var highest ident.Bytes
	for _, row := range m.bytes {
		var sum ident.Bytes
		for _, n := range row {
			sum += n
		}
		highest = max(highest, sum)
	}
	return highest
}

// advance moves the newest slot forward to the given time and clears the slots that it enters. If the clock has gone
// back, the newest slot stays.
func (m *Meter) advance(now time.Time) {
	newest := now.UnixMilli() / slotDuration.Milliseconds()
	for i := max(m.newestSlot+1, newest-slotCount+1); i <= newest; i++ {
		for d := range m.bytes {
			m.bytes[d][i%slotCount] = 0
		}
	}
	m.newestSlot = max(m.newestSlot, newest)
}
