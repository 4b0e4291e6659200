package budget

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumsaddle/core/ident"
)

// TestLimit guards against reservations beyond the limit, and against bytes that stay reserved after their release.
func TestLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(1000)
		type reservation struct {
			class Class
			n     ident.Bytes
		}
		var held []reservation
		var total ident.Bytes
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			if len(held) > 0 && rapid.Bool().Draw(t, "release") {
				i := rapid.IntRange(0, len(held)-1).Draw(t, "which")
				b.Release(held[i].class, held[i].n)
				total -= held[i].n
				held = append(held[:i], held[i+1:]...)
			} else {
				r := reservation{rapid.SampledFrom(Classes()).Draw(t, "class"), ident.Bytes(rapid.IntRange(0, 600).Draw(t, "n"))}
				if ok := b.Reserve(r.class, r.n); ok != (total+r.n <= 1000) {
					t.Fatalf("reservation of %d beside %d: %v", r.n, total, ok)
				} else if ok {
					held = append(held, r)
					total += r.n
				}
			}
			if b.Total() != total {
				t.Fatalf("total is %d, not %d", b.Total(), total)
			}
		}
		for _, r := range held {
			b.Release(r.class, r.n)
		}
		for _, c := range Classes() {
			if b.Used(c) != 0 {
				t.Fatalf("%d bytes of %s are still reserved", b.Used(c), c)
			}
		}
	})
}

// TestExcess guards against a release of more than was reserved that raises the limit or ends the process.
func TestExcess(t *testing.T) {
	is := is.New(t)
	b := New(100)
	is.True(b.Reserve(Heads, 30))
	is.True(b.Reserve(Bodies, 20))
	b.Release(Heads, 40)
	is.Equal(b.Excess(), uint64(1))
	is.Equal(b.Used(Heads), ident.Bytes(0))
	is.Equal(b.Total(), ident.Bytes(20))
}

// TestVictims guards against evicting a request that is whole, against another order than the documented one, and against
// evicting more than is needed.
func TestVictims(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(0, 0)
		holders := make([]Holder, rapid.IntRange(0, 20).Draw(t, "holders"))
		var pending, evictable ident.Bytes
		for i := range holders {
			h := Holder{
				Stage:    Stage(rapid.IntRange(int(ReadingHead), int(Evicted)).Draw(t, "stage")),
				Held:     ident.Bytes(rapid.IntRange(1, 100).Draw(t, "held")),
				LastRead: start.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "last read"))),
			}
			holders[i] = h
			switch {
			case h.Stage == Evicted:
				pending += h.Held
			case h.Stage != Serving:
				evictable += h.Held
			}
		}
		n := ident.Bytes(rapid.IntRange(0, 1500).Draw(t, "n"))
		victims, _ := Victims(holders, n)
		chosen := make(map[int]bool)
		var freed, last ident.Bytes
		for _, i := range victims {
			chosen[i] = true
			last = holders[i].Held
			freed += last
		}
		if want := min(n-pending, evictable); freed < want {
			t.Fatalf("%d bytes are freed, %d are needed", freed, want)
		}
		if len(victims) > 0 && freed-last >= n-pending {
			t.Fatal("the last victim is not needed")
		}
		for i, v := range holders {
			if !chosen[i] {
				continue
			}
			if v.Stage == Serving || v.Stage == Evicted {
				t.Fatalf("a connection that is %s was chosen", v.Stage)
			}
			for j, other := range holders {
				if !chosen[j] && (other.Stage < v.Stage || other.Stage == v.Stage && other.LastRead.Before(v.LastRead)) {
					t.Fatalf("%v was chosen before %v", v, other)
				}
			}
		}
	})
}

// TestConcurrentUse guards against a limit that concurrent reservations exceed, and against a waiter that misses a release.
func TestConcurrentUse(t *testing.T) {
	is := is.New(t)
	b := New(100)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 2000 {
				for room := b.Room(); !b.Reserve(Bodies, 30); room = b.Room() {
					<-room
				}
				if b.Total() > 100 {
					t.Error("budget is above its limit")
				}
				b.Release(Bodies, 30)
			}
		})
	}
	wg.Wait()
	is.Equal(b.Total(), ident.Bytes(0))
}

// TestIdleConnections guards against a limit that closes the idle connections of a load that a VM is meant to hold.
func TestIdleConnections(t *testing.T) {
	cases := []struct {
		memoryMB    ident.Bytes
		connections int
	}{{134, 3000}, {284, 4000}, {1400, 30_000}}
	for _, c := range cases {
		b := New(LimitFor(c.memoryMB << 20))
		for i := range c.connections {
			if !b.Reserve(Connections, ConnectionCost) {
				t.Errorf("%d MB: only %d of %d connections fit", c.memoryMB, i, c.connections)
				break
			}
		}
	}
}

func BenchmarkReserve(b *testing.B) {
	m := New(1 << 40)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			m.Reserve(Heads, 500)
			m.Release(Heads, 500)
		}
	})
}
