package elect

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
)

var start = time.Unix(1_700_000_000, 0)

func testMembers() []Member {
	return []Member{
		{VM: "a-1", Domain: "a", LinkRate: 10}, {VM: "a-2", Domain: "a", LinkRate: 200}, {VM: "a-3", Domain: "a", LinkRate: 200},
		{VM: "b-1", Domain: "b", LinkRate: 10}, {VM: "b-2", Domain: "b", LinkRate: 200}, {VM: "c-1", Domain: "c", LinkRate: 10},
	}
}

// TestWriterOrder guards against routers that select different writers, against a writer with a slow link although a
// fast one is available, and against a second choice in the failure domain of the first.
func TestWriterOrder(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	list := testMembers()
	selector := New(list)
	slices.Reverse(list)
	other := New(list)
	is.Equal(selector.members, other.members)
	is.Equal(selector.Len(), len(list))
	first, second := selector.members[0], selector.members[1]
	is.Equal(first.LinkRate, ident.Bytes(200))
	is.Equal(second.LinkRate, ident.Bytes(200))
	is.True(first.Domain != second.Domain)
	is.Equal(selector.members[2].Domain, ident.DomainID("c")) // every domain before any second member
}

// TestFailureBackoff guards against a router that keeps using a failed writer, or never returns to one that has
// recovered.
func TestFailureBackoff(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	selector := New(testMembers())
	first, ok := selector.Pick(start)
	is.True(ok)
	selector.RecordFailure(first.VM, start)
	second, ok := selector.Pick(start)
	is.True(ok)
	is.True(second.VM != first.VM)
	m, _ := selector.Pick(start.Add(initialBackoff))
	is.Equal(m.VM, first.VM)
	selector.RecordFailure(first.VM, start.Add(initialBackoff))
	m, _ = selector.Pick(start.Add(2 * initialBackoff))
	is.Equal(m.VM, second.VM) // a second consecutive failure doubles the backoff
	m, _ = selector.Pick(start.Add(3 * initialBackoff))
	is.Equal(m.VM, first.VM)
	selector.RecordSuccess(first.VM)
	selector.RecordFailure(first.VM, start.Add(time.Minute))
	m, _ = selector.Pick(start.Add(time.Minute + initialBackoff))
	is.Equal(m.VM, first.VM)
	for _, m := range selector.members {
		selector.RecordFailure(m.VM, start.Add(time.Hour))
	}
	_, ok = selector.Pick(start.Add(time.Hour))
	is.True(!ok)
	selector.ResetFailures()
	m, ok = selector.Pick(start.Add(time.Hour))
	is.True(ok)
	is.Equal(m.VM, first.VM)
}
