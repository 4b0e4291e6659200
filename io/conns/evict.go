package conns

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"geraniumsaddle/core/budget"
	"geraniumsaddle/core/ident"
)

const (
	// roomWait is how long a connection or a request that isn't passed on waits for the memory of evicted connections.
	roomWait = 250 * time.Millisecond
	// stuckTime is how long a request that was passed on waits for memory until one in giveUpShare of such requests gives up,
	// and the others wait as long again. They may wait for each other, and hold what others need until their deadlines.
	stuckTime   = 2 * time.Second
	giveUpShare = 4
	// evictionShare is the part of the limit, one in evictionShare, that an eviction frees at least, so that the
	// connections aren't scanned for each request.
	evictionShare = 16
	// maxRejecting is how many new connections are answered at a time when no memory is left. Others are closed at once.
	maxRejecting = 64
	// rejectTime limits the time for the answer to such a connection, and rejectRead the bytes that are read of its request.
	rejectTime = 100 * time.Millisecond
	rejectRead = 2 << 10
)

// Reserve reserves memory, and evicts connections if there is no room. Then it waits for up to the given time. If that is
// zero, it waits until the context ends, but may give up after each stuckTime. The error is ErrFull or that of the context.
// Without a budget it does nothing.
func (s *Set) Reserve(ctx context.Context, class budget.Class, n ident.Bytes, wait time.Duration) error {
	b := s.cfg.Memory
	if b == nil || b.Reserve(class, n) {
		return nil
	}
	limit := wait
	if wait == 0 {
		limit = stuckTime
	}
	t := s.cfg.Clock.NewTimer(limit)
	defer t.Stop()
	for {
		room := b.Room()
		if b.Reserve(class, n) {
			return nil
		}
		if !s.makeRoom(n) && wait > 0 {
			return ErrFull
		}
		select {
		case <-room:
		case <-t.Chan():
			if wait > 0 || rand.IntN(giveUpShare) == 0 {
				return ErrFull
			}
			t.Reset(stuckTime)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Release ends a reservation.
func (s *Set) Release(class budget.Class, n ident.Bytes) {
	if s.cfg.Memory != nil && n > 0 {
		s.cfg.Memory.Release(class, n)
	}
}

// makeRoom evicts connections so that n bytes and some more become free. It reports whether memory becomes free.
func (s *Set) makeRoom(n ident.Bytes) bool {
	if !s.evicting.TryLock() {
		return true // Another goroutine does it.
	}
	defer s.evicting.Unlock()
	b := s.cfg.Memory
	need := b.Total() + max(n, b.Limit()/evictionShare) - b.Limit()
	if need <= 0 {
		return true
	}
	all := s.all()
	holders := make([]budget.Holder, len(all))
	for i, c := range all {
		holders[i] = c.holder()
	}
	victims, pending := budget.Victims(holders, need)
	for _, i := range victims {
		if all[i].evict(holders[i]) {
			s.evictions[holders[i].Stage].Add(1)
		}
	}
	return pending || len(victims) > 0
}

// Evictions returns how many connections have been evicted in a stage.
func (s *Set) Evictions(stage budget.Stage) uint64 { return s.evictions[stage].Load() }

// Rejected returns how many new connections were closed because no memory was left.
func (s *Set) Rejected() uint64 { return s.rejected.Load() }

// reject refuses a new connection for which there is no memory. The request is read first, because a connection that is
// closed before it is read would be reset, and the caller would lose the answer.
func (s *Set) reject(raw net.Conn) {
	s.rejected.Add(1)
	select {
	case s.rejecting <- struct{}{}:
	default:
		_ = raw.Close()
		return
	}
	go func() {
		defer func() { <-s.rejecting }()
		defer func() { _ = raw.Close() }()
		_ = raw.SetDeadline(time.Now().Add(rejectTime))
		if _, err := raw.Read(make([]byte, rejectRead)); err == nil && s.cfg.Refusal != nil {
			_, _ = raw.Write(s.cfg.Refusal(NoMemory)) // A caller that has gone needs no answer.
		}
	}()
}
