// Package elect selects the router that writes the ledgers on behalf of the others.
//
// All routers rank the members in the same order, so most claims go to a single writer, whose writes then do not
// conflict. Correctness does not depend on this agreement: two writers at a time only cause write conflicts. Routers
// that see a writer fail avoid it for a while.
//
// The package does no I/O and reads no clock.
package elect

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumsaddle/core/ident"
)

const (
	// initialBackoff and maxBackoff bound the time for which a writer is avoided. It doubles with each consecutive
	// failure.
	initialBackoff = time.Second
	maxBackoff     = 16 * time.Second
)

// Member is a VM whose router can write for others.
type Member struct {
	VM     ident.VMID     `json:"vm"`
	Domain ident.DomainID `json:"domain"`
	// Addr is the address that accepts claims.
	Addr string `json:"addr"`
	// LinkRate is the capacity of the VM's network link in bytes per second, or zero if unknown.
	LinkRate ident.Bytes `json:"link_bytes_per_s"`
}

// Selector selects the writer for one router. It is not safe for concurrent use.
type Selector struct {
	members  []Member
	failures map[ident.VMID]failureState
}

type failureState struct {
	count int
	until time.Time
}

// New returns a selector that ranks the members. Those with the fastest links come first, because a writer receives the
// claims of all routers, and a hash orders those with equal links. Then the first member of each failure domain moves
// to the front, so that the second choice survives the loss of the first one's domain.
func New(members []Member) *Selector {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		return cmp.Or(-cmp.Compare(a.LinkRate, b.LinkRate), cmp.Compare(hash(a.VM), hash(b.VM)), cmp.Compare(a.VM, b.VM))
	})
	return &Selector{members: domainsFirst(sorted), failures: make(map[ident.VMID]failureState)}
}

func hash(vm ident.VMID) uint64 { return xxhash.Sum64String(string(vm)) }

// domainsFirst moves the first member of each failure domain to the front.
func domainsFirst(members []Member) []Member {
	seen := make(map[ident.DomainID]bool)
	var leaders, rest []Member
	for _, m := range members {
		if seen[m.Domain] {
			rest = append(rest, m)
			continue
		}
		seen[m.Domain] = true
		leaders = append(leaders, m)
	}
	return append(leaders, rest...)
}

// Avoided reports whether a member is in backoff.
func (s *Selector) Avoided(vm ident.VMID, now time.Time) bool {
	return now.Before(s.failures[vm].until)
}

// Pick returns the first member that is not in backoff, and false if all are.
func (s *Selector) Pick(now time.Time) (Member, bool) {
	for _, m := range s.members {
		if !s.Avoided(m.VM, now) {
			return m, true
		}
	}
	return Member{}, false
}

// RecordFailure puts a member in backoff.
func (s *Selector) RecordFailure(vm ident.VMID, now time.Time) {
	f := s.failures[vm]
	f.until = now.Add(min(initialBackoff<<min(f.count, 10), maxBackoff))
	f.count++
	s.failures[vm] = f
}

// RecordSuccess clears the failures of a member.
func (s *Selector) RecordSuccess(vm ident.VMID) { delete(s.failures, vm) }

// ResetFailures clears the failures of all members. It is for a router that was itself disconnected, so that the
// failures that it recorded say nothing about the writers.
func (s *Selector) ResetFailures() { clear(s.failures) }

// Len returns the number of members.
func (s *Selector) Len() int { return len(s.members) }
