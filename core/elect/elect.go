// Package elect orders the routers that may write the ledgers for the others.
//
// Every router has the same order, so that most claims meet at one writer, whose writes then meet no conflict. Nothing
// depends on the agreement: two writers at once only cost conflicts. A writer that fails is left for a while by those
// that saw it fail.
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
	// backoffFirst and backoffMost bound the time for which a writer is left after failures in a row.
	backoffFirst = time.Second
	backoffMost  = 16 * time.Second
)

// Member is a VM of the fleet that may write for others.
type Member struct {
	VM     ident.VMID     `json:"vm"`
	Domain ident.DomainID `json:"domain"`
	// Addr takes claims.
	Addr string `json:"addr"`
	// LinkRate is what the VM's network link carries in bytes per second, or zero.
	LinkRate ident.Bytes `json:"link_bytes_per_s"`
}

// Selector picks the writer for one router. It is not safe for concurrent use.
type Selector struct {
	members []Member
	failed  map[ident.VMID]failure
}

type failure struct {
	times int
	until time.Time
}

// New returns the order of the members. Those with the widest links come first, because a writer carries the claims of
// all; equal ones are ordered by a hash and spread over the failure domains, so that the second one outlives the loss of
// the first one's domain.
func New(members []Member) *Selector {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		return cmp.Or(-cmp.Compare(a.LinkRate, b.LinkRate), cmp.Compare(hash(a.VM), hash(b.VM)), cmp.Compare(a.VM, b.VM))
	})
	return &Selector{members: spread(sorted), failed: make(map[ident.VMID]failure)}
}

func hash(vm ident.VMID) uint64 { return xxhash.Sum64String(string(vm)) }

// spread moves the first member of each failure domain to the front.
func spread(members []Member) []Member {
	seen := make(map[ident.DomainID]bool)
	var first, rest []Member
	for _, m := range members {
		if seen[m.Domain] {
			rest = append(rest, m)
			continue
		}
		seen[m.Domain] = true
		first = append(first, m)
	}
	return append(first, rest...)
}

// Pick returns the first member that is not left alone, and false when all are.
func (o *Selector) Pick(now time.Time) (Member, bool) {
	for _, m := range o.members {
		if !now.Before(o.failed[m.VM].until) {
			return m, true
		}
	}
	return Member{}, false
}

// RecordFailure leaves a member alone for a while.
func (o *Selector) RecordFailure(vm ident.VMID, now time.Time) {
	f := o.failed[vm]
	f.until = now.Add(min(backoffFirst<<min(f.times, 10), backoffMost))
	f.times++
	o.failed[vm] = f
}

// RecordSuccess forgets the failures of a member.
func (o *Selector) RecordSuccess(vm ident.VMID) { delete(o.failed, vm) }

// ResetFailures forgets all failures. It is for a router that could not judge the writers, because it was cut off itself.
func (o *Selector) ResetFailures() { clear(o.failed) }

// Len returns the number of members.
func (o *Selector) Len() int { return len(o.members) }
