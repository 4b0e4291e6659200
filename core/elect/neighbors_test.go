package elect

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
)

// TestNeighbors guards against routers that are told by many more others than the rest, that tell themselves or other failure
// domains, and against a number of messages that grows with the fleet.
func TestNeighbors(t *testing.T) {
	const n = 12
	for _, routers := range []int{1, 2, 13, 14, 22, 127} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			is := is.New(t)
			var members []Member
			for i := range routers {
				for _, domain := range []ident.DomainID{"a", "b"} {
					vm := ident.VMID(fmt.Sprint(domain, i))
					members = append(members, Member{VM: vm, Domain: domain, Addr: string(vm)})
				}
			}
			told, places := map[ident.VMID]int{}, map[int]bool{}
			for _, m := range members {
				if m.Domain != "a" {
					continue
				}
				h := Neighbors(members, m, n)
				is.Equal(h.Routers, routers)
				places[h.Index] = true
				is.Equal(len(h.Neighbors), min(n, routers-1))
				seen := map[ident.VMID]bool{m.VM: true}
				for _, o := range h.Neighbors {
					is.Equal(o.Domain, ident.DomainID("a"))
					is.True(!seen[o.VM]) // each neighbor is told once
					seen[o.VM] = true
					told[o.VM]++
				}
			}
			is.Equal(len(places), routers)
			for _, times := range told {
				is.Equal(times, min(n, routers-1))
			}
		})
	}
}
