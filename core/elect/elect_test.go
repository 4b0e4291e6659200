package elect

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
)

var start = time.Unix(1_700_000_000, 0)

func members() []Member {
	return []Member{
		{VM: "a-1", Domain: "a", LinkRate: 10}, {VM: "a-2", Domain: "a", LinkRate: 200}, {VM: "a-3", Domain: "a", LinkRate: 200},
		{VM: "b-1", Domain: "b", LinkRate: 10}, {VM: "b-2", Domain: "b", LinkRate: 200}, {VM: "c-1", Domain: "c", LinkRate: 10},
	}
}

// TestOrder guards against routers that choose different writers, against a writer with a narrow link while a wide one is
// there, and against a second writer in the failure domain of the first.
func TestOrder(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	list := members()
	o := New(list)
	slices.Reverse(list)
	other := New(list)
	is.Equal(o.members, other.members)
	is.Equal(o.Len(), len(list))
	first, second := o.members[0], o.members[1]
	is.Equal(first.LinkRate, ident.Bytes(200))
	is.Equal(second.LinkRate, ident.Bytes(200))
	is.True(first.Domain != second.Domain)
	is.Equal(o.members[2].Domain, ident.DomainID("c")) // every domain before any second member
}

// TestFailures guards against a router that keeps asking a writer that is gone, or never goes back to one that is well
// again.
func TestFailures(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	o := New(members())
	first, ok := o.Pick(start)
	is.True(ok)
	o.RecordFailure(first.VM, start)
	second, ok := o.Pick(start)
	is.True(ok)
	is.True(second.VM != first.VM)
	m, _ := o.Pick(start.Add(backoffFirst))
	is.Equal(m.VM, first.VM)
	o.RecordFailure(first.VM, start.Add(backoffFirst))
	m, _ = o.Pick(start.Add(2 * backoffFirst))
	is.Equal(m.VM, second.VM) // the second failure in a row counts longer
	m, _ = o.Pick(start.Add(3 * backoffFirst))
	is.Equal(m.VM, first.VM)
	o.RecordSuccess(first.VM)
	o.RecordFailure(first.VM, start.Add(time.Minute))
	m, _ = o.Pick(start.Add(time.Minute + backoffFirst))
	is.Equal(m.VM, first.VM)
	for _, m := range o.members {
		o.RecordFailure(m.VM, start.Add(time.Hour))
	}
	_, ok = o.Pick(start.Add(time.Hour))
	is.True(!ok)
	o.ResetFailures()
	m, ok = o.Pick(start.Add(time.Hour))
	is.True(ok)
	is.Equal(m.VM, first.VM)
}
