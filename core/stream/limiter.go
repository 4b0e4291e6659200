// Package stream limits the memory used by callers' streams, per organisation and for the whole process. It does no I/O
// and reads no clock.
package stream

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"geraniumsaddle/core/ident"
)

const limiterShards = 64

// LimitError is returned when a reservation would exceed a limit.
type LimitError struct {
	// Org is empty if the reservation would exceed the limit of the process.
	Org   ident.OrgID
	Limit ident.Bytes
}

func (e *LimitError) Error() string {
	if e.Org == "" {
		return fmt.Sprintf("process holds its limit of %d stream bytes", e.Limit)
	}
	return fmt.Sprintf("organisation %s holds its limit of %d stream bytes", e.Org, e.Limit)
}

// Limiter limits the bytes reserved for streams, per organisation and for the process. It is safe for concurrent use.
type Limiter struct {
	orgLimit     ident.Bytes
	processLimit ident.Bytes
	used         atomic.Int64
	shards       [limiterShards]limiterShard
}

type limiterShard struct {
	mu   sync.Mutex
	orgs map[ident.OrgID]ident.Bytes
	_    [48]byte // keeps the shards on separate cache lines
}

// NewLimiter returns a limiter with the limits of each organisation and of the process.
func NewLimiter(orgLimit, processLimit ident.Bytes) *Limiter {
	l := &Limiter{orgLimit: orgLimit, processLimit: processLimit}
	for i := range l.shards {
		l.shards[i].orgs = map[ident.OrgID]ident.Bytes{}
	}
	return l
}

func (l *Limiter) shard(org ident.OrgID) *limiterShard {
	return &l.shards[xxhash.Sum64String(string(org))%limiterShards]
}

// Reserve reserves n bytes. If that would exceed a limit, it reserves nothing and returns a *LimitError. A negative n
// is an error of another type.
func (l *Limiter) Reserve(org ident.OrgID, n ident.Bytes) error {
	if n < 0 {
		return fmt.Errorf("reservation of %d bytes is negative", n)
	}
	if l.used.Add(int64(n)) > int64(l.processLimit) {
		l.used.Add(-int64(n))
		return &LimitError{Limit: l.processLimit}
	}
	s := l.shard(org)
	s.mu.Lock()
	if s.orgs[org]+n > l.orgLimit {
		s.mu.Unlock()
		l.used.Add(-int64(n))
		return &LimitError{Org: org, Limit: l.orgLimit}
	}
	s.orgs[org] += n
	s.mu.Unlock()
	return nil
}

// Release releases n bytes of an earlier reservation. It removes the entry of an organisation that has no bytes left.
// It panics if n exceeds the reserved bytes.
func (l *Limiter) Release(org ident.OrgID, n ident.Bytes) {
	s := l.shard(org)
	s.mu.Lock()
	left := s.orgs[org] - n
	if left < 0 {
		// Releasing more than was reserved would silently raise the limit.
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

// Used returns the bytes reserved for all streams.
func (l *Limiter) Used() ident.Bytes { return ident.Bytes(l.used.Load()) }

// UsedBy returns the bytes reserved for one organisation.
func (l *Limiter) UsedBy(org ident.OrgID) ident.Bytes {
	s := l.shard(org)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orgs[org]
}
