package stream

import (
	"bytes"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"
	"unsafe"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumsaddle/core/ident"
)

// TestPropertyWindow guards against lost, repeated, mixed or reordered bytes, against a window above its size, and
// against a suspension that comes early, late or twice.
func TestPropertyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		w := NewWindow("r1", 0)
		var sent, got []byte
		var model [][]byte
		var full time.Time
		suspended, refused := false, 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				size := rapid.SampledFrom([]int{0, 1, 30, 4096, 9000, int(WindowBytes)}).Draw(t, "size")
				data := bytes.Repeat([]byte{byte(w.Next() + 1)}, size)
				err := w.Push(Chunk{"r1", w.Next(), data}, now)
				fits := len(model) < windowChunks && int(w.Len())+size <= int(WindowBytes)
				switch {
				case err == nil:
					sent = append(sent, data...)
					model = append(model, data)
				case !errors.Is(err, ErrFull) || fits:
					t.Fatalf("refused with %v at %d bytes", err, w.Len())
				case !suspended && full.IsZero():
					full = now
				}
				if err != nil {
					refused = size
				}
			},
			"refused": func(t *rapid.T) {
				off := rapid.Uint64Range(0, w.Next()+3).Draw(t, "offset")
				req := rapid.SampledFrom([]ident.RequestID{"r1", "r2"}).Draw(t, "request")
				if req == "r1" && off == w.Next() {
					t.Skip("valid chunk")
				}
				before := w.Len()
				if w.Push(Chunk{req, off, []byte("late")}, now) == nil || w.Len() != before {
					t.Fatal("accepted a late, duplicate or crossed chunk")
				}
			},
			"pop": func(t *rapid.T) {
				b, ok := w.Pop(nil)
				if ok != (len(model) > 0) || ok && !bytes.Equal(b, model[0]) {
					t.Fatal("popped another chunk")
				}
				if ok {
					model, full = model[1:], time.Time{}
				}
				got = append(got, b...)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 12000).Draw(t, "ms")) * time.Millisecond)
				late := !full.IsZero() && now.Sub(full) >= SuspendAfter
				switch a := w.Decide(now); a {
				case Suspend:
					if suspended || !late {
						t.Fatal("suspended early or twice")
					}
					suspended, full = true, time.Time{}
				case Resume:
					if !suspended || w.Len() > WindowBytes/2 || int(w.Len())+refused > int(WindowBytes) {
						t.Fatal("resumed without a suspension or without room")
					}
					suspended = false
				case Read, Wait, Suspended:
					if !suspended && late || (a == Suspended) != suspended || (a == Wait) != (!suspended && !full.IsZero()) {
						t.Fatalf("action %d", a)
					}
				}
			},
			"": func(t *rapid.T) {
				if w.Len() > WindowBytes || len(w.buf) > int(WindowBytes) || !bytes.HasPrefix(sent, got) {
					t.Fatal("window is above its size or its bytes differ")
				}
			},
		})
	})
}

// TestLimiterConcurrent guards against a limit that is exceeded by concurrent reservations, and against leaked bytes.
func TestLimiterConcurrent(t *testing.T) {
	is := is.New(t)
	l := NewLimiter(100, 250)
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			org := ident.OrgID(fmt.Sprint("org", g%4))
			for range 2000 {
				if l.Reserve(org, 30) != nil {
					continue
				}
				if l.UsedBy(org) > 100 {
					t.Error("organisation is above its limit")
				}
				l.Release(org, 30)
			}
		}()
	}
	wg.Wait()
	is.Equal(l.Used(), ident.Bytes(0))
	is.NoErr(l.Reserve("a", 100))
	is.NoErr(l.Reserve("b", 100))
	var le *LimitError
	is.True(errors.As(l.Reserve("a", 1), &le))
	is.Equal(le.Org, ident.OrgID("a"))
	is.True(errors.As(l.Reserve("c", 51), &le))
	is.Equal(le.Org, ident.OrgID(""))
	is.True(l.Reserve("c", -1) != nil)
}

func BenchmarkPushPop(b *testing.B) {
	now := time.Unix(0, 0)
	w := NewWindow("r1", 0)
	data := make([]byte, 200)
	buf := make([]byte, 0, 256)
	b.ReportAllocs()
	for b.Loop() {
		if err := w.Push(Chunk{"r1", w.next, data}, now); err != nil {
			b.Fatal(err)
		}
		buf, _ = w.Pop(buf[:0])
	}
}

func BenchmarkLimiter(b *testing.B) {
	for _, orgs := range []int64{1, 64} {
		b.Run(fmt.Sprintf("orgs=%d", orgs), func(b *testing.B) {
			l := NewLimiter(1<<40, 1<<40)
			var n atomic.Int64
			b.RunParallel(func(pb *testing.PB) {
				org := ident.OrgID(fmt.Sprint("org", n.Add(1)%orgs))
				for pb.Next() {
					if err := l.Reserve(org, 200); err != nil {
						b.Error(err)
					}
					l.Release(org, 200)
				}
			})
		})
	}
}

// BenchmarkStalled reports the bytes that a full window holds with chunks of 24 bytes, as small as a token's.
func BenchmarkStalled(b *testing.B) {
	var w *Window
	for b.Loop() {
		w = NewWindow("r1", 0)
		for w.Push(Chunk{"r1", w.next, make([]byte, 24)}, time.Unix(0, 0)) == nil {
		}
	}
	b.ReportMetric(float64(int(unsafe.Sizeof(*w))+cap(w.buf)+2*cap(w.sizes)), "bytes/stream")
	b.ReportMetric(float64(w.used), "data-bytes/stream")
}
