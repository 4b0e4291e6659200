package lend

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/core/elect"
	"geraniumsaddle/core/ident"
)

func fleet(domains, perDomain int) []elect.Member {
	var members []elect.Member
	for d := range domains {
		for i := range perDomain {
			members = append(members, elect.Member{VM: ident.VMID(fmt.Sprintf("vm-%d-%d", d, i)),
				Domain: ident.DomainID(fmt.Sprint("domain-", d)), Addr: fmt.Sprintf("10.%d.0.%d:1", d, i)})
		}
	}
	return members
}

// TestHoldersOf guards against routers that disagree on the holders of an organisation, against a router that asks the
// holder of another failure domain first, and against more holders than failure domains.
func TestHoldersOf(t *testing.T) {
	is := is.New(t)
	members := fleet(6, 49)
	holders := make(map[ident.VMID]bool)
	for _, m := range members {
		h := HoldersOf("org", members, m)
		is.Equal(h.Count, 6)
		is.Equal(len(h.Asked), maxAlternatives)
		is.Equal(h.Asked[0].Domain, m.Domain)
		is.Equal(h.Self, h.Asked[0] == m)
		if h.Self {
			holders[m.VM] = true
		}
	}
	is.Equal(len(holders), 6)
}

// TestHolderGone guards against a change of the holders in domains that lose no member.
func TestHolderGone(t *testing.T) {
	is := is.New(t)
	members := fleet(3, 10)
	before := HoldersOf("org", members, members[0])
	var left []elect.Member
	for _, m := range members {
		if m != before.Asked[0] {
			left = append(left, m)
		}
	}
	after := HoldersOf("org", left, left[0])
	is.True(after.Asked[0] != before.Asked[0])
	is.Equal(after.Asked[0].Domain, before.Asked[0].Domain)
	is.Equal(after.Asked[1], before.Asked[1])
}

// TestHoldersOfOneDomain guards against a fleet without a second router to ask, and against asking a member that has no
// address.
func TestHoldersOfOneDomain(t *testing.T) {
	is := is.New(t)
	members := append(fleet(1, 2), elect.Member{VM: "no-address", Domain: "domain-0"})
	h := HoldersOf("org", members, members[0])
	is.Equal(h.Count, 1)
	is.Equal(len(h.Asked), 2)
}
