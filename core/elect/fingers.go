package elect

import (
	"slices"

	"geraniumsaddle/core/ident"
)

// Fingers returns the members to which self passes news on: on a ring of all members, those at the distances 1, 2, 4 and so
// on. If each member passes news on so, all have it after as many steps as the number of members has binary digits, and
// each sends as many messages.
func Fingers(members []Member, self ident.VMID) []Member {
	ring := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Addr == "" && m.VM != self })
	sortByWeight(ring, "ring")
	at := slices.IndexFunc(ring, func(m Member) bool { return m.VM == self })
	if at < 0 {
		at = 0
	}
	var fingers []Member
	for distance := 1; distance < len(ring); distance *= 2 {
		fingers = append(fingers, ring[(at+distance)%len(ring)])
	}
	return fingers
}
