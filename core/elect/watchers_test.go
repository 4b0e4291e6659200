package elect

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
)

// TestWatchersAgree guards against routers of a failure domain that pick different watchers, that pick one of another
// domain or without an address, or that all begin with the same one.
func TestWatchersAgree(t *testing.T) {
	is := is.New(t)
	const routers, watchers = 40, 2
	var members []Member
	for i := range routers {
		m := Member{VM: ident.VMID(fmt.Sprint("vm-", i)), Domain: ident.DomainID(fmt.Sprint("d", i%2)), Addr: "addr"}
		if i%8 == 0 {
			m.Addr = ""
		}
		members = append(members, m)
	}
	picked := make(map[ident.DomainID]map[ident.VMID]bool)
	first := make(map[ident.VMID]int)
	for _, self := range members {
		list := Watchers(members, self, watchers)
		is.Equal(len(list), watchers)
		first[list[0].VM]++
		if picked[self.Domain] == nil {
			picked[self.Domain] = make(map[ident.VMID]bool)
		}
		for _, m := range list {
			is.Equal(m.Domain, self.Domain)
			is.True(m.Addr != "")
			picked[self.Domain][m.VM] = true
		}
	}
	for _, set := range picked {
		is.Equal(len(set), watchers)
	}
	for _, n := range first {
		is.True(n <= routers/2*3/4) // neither of the two serves nearly all
	}
}

// TestWatchersOfNewerList guards against a router that picks a watcher which, knowing fewer members, ranks itself lower.
func TestWatchersOfNewerList(t *testing.T) {
	is := is.New(t)
	var members []Member
	for i := range 30 {
		members = append(members, Member{VM: ident.VMID(fmt.Sprint("vm-", i)), Domain: "d", Addr: "addr"})
	}
	all := Watchers(members, members[0], 2)
	for n := 2; n < len(members); n++ {
		older := members[:n]
		for _, w := range all {
			if slices.Contains(older, w) {
				is.True(slices.Contains(Watchers(older, older[0], 2), w))
			}
		}
	}
}
