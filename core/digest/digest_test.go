package digest

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
)

var testStart = time.Unix(1000, 0)

func testRows(n int) []Row {
	rows := make([]Row, n)
	for i := range rows {
		id := ident.TargetID(fmt.Sprint("i-", i))
		rows[i] = Row{KeyOf(id, 5), Work{Running: i + 1, Prefill: 640, Output: 32, Memory: 2560}}
	}
	return rows
}

// TestRowsSurviveEncoding guards against rows that arrive with other values.
func TestRowsSurviveEncoding(t *testing.T) {
	is := is.New(t)
	rows := testRows(20)
	got, err := Digest{Packed: Pack(rows)}.Rows()
	is.NoErr(err)
	is.Equal(got, rows)
}

// TestSizeIsBounded guards against a digest that grows with the fleet: the busiest targets are kept, within MaxSize.
func TestSizeIsBounded(t *testing.T) {
	is := is.New(t)
	rows := testRows(3000)
	for i := range rows {
		rows[i].Prefill, rows[i].Output, rows[i].Memory = 1<<40, 1<<40, 1<<40
	}
	packed := Pack(rows)
	is.True(len(packed) <= MaxSize)
	got, err := Digest{Packed: packed}.Rows()
	is.NoErr(err)
	is.Equal(len(got), MaxRows)
	is.Equal(got[0].Running, 3000)
}

// TestMalformedDigest guards against a digest that makes its receiver fail or allocate without bound.
func TestMalformedDigest(t *testing.T) {
	whole := Pack(testRows(2))
	for name, packed := range map[string][]byte{
		"cut":          whole[:len(whole)-1],
		"cut key":      whole[:3],
		"too long":     make([]byte, MaxSize+1),
		"large number": append([]byte{1, 2, 3, 4, 5, 6}, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f, 0, 0, 0),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Digest{Packed: packed}.Rows()
			is.New(t).True(err != nil)
		})
	}
}

// TestTableAddsUp guards against counts that are added twice, that an older digest or process brings back, or that stay
// after their router has gone silent.
func TestTableAddsUp(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	k := KeyOf("i-1", 5)
	rows := func(n int) []Row { return []Row{{k, Work{Running: n}}} }
	is.True(table.Apply("a.1", 1, rows(3), testStart))
	is.True(table.Apply("b.1", 1, rows(2), testStart))
	is.Equal(table.Total(k).Running, 5)
	is.True(table.Apply("a.1", 2, rows(1), testStart))
	is.True(!table.Apply("a.1", 1, rows(9), testStart)) // overtaken
	is.Equal(table.Total(k).Running, 3)
	is.True(table.Apply("a.2", 1, nil, testStart)) // restarted
	is.True(!table.Apply("a.1", 7, rows(9), testStart))
	is.Equal(table.Total(k).Running, 2)
	is.True(!table.Apply("noepoch", 1, rows(9), testStart))
	table.Expire(testStart.Add(MaxAge))
	is.Equal(table.Total(k).Running, 2)
	table.Expire(testStart.Add(MaxAge + 1))
	is.Equal(table.Total(k), Work{})
}

// TestRestartedTargetHasAnotherKey guards against work at the old process of a target that counts for the new one.
func TestRestartedTargetHasAnotherKey(t *testing.T) {
	is := is.New(t)
	is.True(KeyOf("i-1", 5) != KeyOf("i-1", 6))
}

// TestSourcesAreBounded guards against memory that grows with the number of senders.
func TestSourcesAreBounded(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	for i := range 1000 {
		table.Apply(ident.NewRouterID(fmt.Sprint("vm", i), 1), 1, testRows(1), testStart)
	}
	is.Equal(len(table.sources), maxSources)
	table.Expire(testStart.Add(2 * time.Minute))
	is.Equal(len(table.sources), 0)
}
