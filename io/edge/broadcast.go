package edge

import "sync"

// broadcast wakes all goroutines that wait for a signal.
type broadcast struct {
	mu sync.Mutex
	ch chan struct{}
}

func newBroadcast() *broadcast {
	return &broadcast{ch: make(chan struct{})}
}

// channel returns a channel that the next wakeAll closes.
func (b *broadcast) channel() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ch
}

// wakeAll wakes all goroutines that wait on the channel.
func (b *broadcast) wakeAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.ch)
	b.ch = make(chan struct{})
}
