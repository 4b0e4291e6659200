// Package stream bounds the memory that the streams of callers hold, for each organisation and for the process. It does
// no I/O and reads no clock.
package stream

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"geraniumsaddle/core/ident"
)

const limiterShards = 64

// LimitError reports which byte limit refused a reservation.
type LimitError struct {
	// Org is empty when the limit of the process was reached.
	Org   ident.OrgID
	Limit ident.Bytes
}

func (e *LimitError) Error() string {
	if e.Org == "" {
		return fmt.Sprintf("process holds its limit of %d stream bytes", e.Limit)
	}
	return fmt.Sprintf("organisation %s holds its limit of %d stream bytes", e.Org, e.Limit)
}

// Limiter bounds the bytes held for streams by organisation and by process. It is safe for concurrent use.
type Limiter struct {
	perOrg  ident.Bytes
	process ident.Bytes
	used    atomic.Int64
	shards  [limiterShards]limiterShard
}

type limiterShard struct {
	mu   sync.Mutex
	orgs map[ident.OrgID]ident.Bytes
	_    [48]byte // separates the shards' cache lines
}

// NewLimiter returns a limiter with the given limits.
func NewLimiter(perOrg, process ident.Bytes) *Limiter {
	l := &Limiter{perOrg: perOrg, process: process}
	for i := range l.shards {
		l.shards[i].orgs = map[ident.OrgID]ident.Bytes{}
	}
	return l
}

func (l *Limiter) shard(org ident.OrgID) *limiterShard {
	return &l.shards[xxhash.Sum64String(string(org))%limiterShards]
}

// Reserve takes n bytes, or returns a *LimitError and takes none. A negative n is refused as an invalid argument.
func (l *Limiter) Reserve(org ident.OrgID, n ident.Bytes) error {
	if n < 0 {
		return fmt.Errorf("reservation of %d bytes is negative", n)
	}
	if l.used.Add(int64(n)) > int64(l.process) {
		l.used.Add(-int64(n))
		return &LimitError{Limit: l.process}
	}
	s := l.shard(org)
	s.mu.Lock()
	if s.orgs[org]+n > l.perOrg {
		s.mu.Unlock()
		l.used.Add(-int64(n))
		return &LimitError{Org: org, Limit: l.perOrg}
	}
	s.orgs[org] += n
	s.mu.Unlock()
	return nil
}

// Release gives back n bytes of an earlier reservation. An organisation without bytes takes no memory.
func (l *Limiter) Release(org ident.OrgID, n ident.Bytes) {
	s := l.shard(org)
	s.mu.Lock()
	left := s.orgs[org] - n
	if left < 0 {
		// Releasing more than is held would raise the limit silently.
		s.mu.Unlock()
		panic(fmt.Sprintf("organisation %s releases %d bytes more than it holds", org, -left))
	}
	if left == 0 {
		delete(s.orgs, org)
	} else {
		s.orgs[org] = left
	}
	s.mu.Unlock()
	l.used.Add(-int64(n))
}

// Used returns the bytes held for all streams.
func (l *Limiter) Used() ident.Bytes { return ident.Bytes(l.used.Load()) }

// UsedBy returns the bytes held for one organisation.
func (l *Limiter) UsedBy(org ident.OrgID) ident.Bytes {
	s := l.shard(org)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orgs[org]
}
