package edge

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"geraniumsaddle/platform/stand"
)

// BenchmarkEvents measures what the router adds to a streamed event beside the sockets: it splits the stream into
// events and checks their order. The other case copies the same bytes.
func BenchmarkEvents(b *testing.B) {
	const n = 100
	text := []byte(events("9c41d07be2a35f68", n))
	b.Run("split", func(b *testing.B) {
		b.ReportAllocs()
		b.SetBytes(int64(len(text)))
		for b.Loop() {
			f := feed{last: -1}
			r := newEventReader(bytes.NewReader(text))
			for {
				e, err := r.next()
				if errors.Is(err, io.EOF) {
					break
				}
				if _, err := f.inOrder(e); err != nil {
					b.Fatal(err)
				}
			}
			r.release()
		}
	})
	b.Run("copy", func(b *testing.B) {
		b.ReportAllocs()
		b.SetBytes(int64(len(text)))
		for b.Loop() {
			if _, err := io.Copy(io.Discard, struct{ io.Reader }{bytes.NewReader(text)}); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkPlain measures a plain request over loopback through the router, and the same request sent to the target
// itself.
func BenchmarkPlain(b *testing.B) {
	w := newWorld(b)
	target := w.engines["desk-1"]
	ask := func(b *testing.B, addr string, expect bool) {
		r, id := w.request(context.Background(), look)
		r.URL.Host = addr
		if expect {
			stand.SetTarget(r.Header, target.ID)
		}
		resp, err := w.client.Do(r)
		if err != nil {
			b.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || string(body) != target.Body(id) {
			b.Fatal(string(body), err)
		}
		_ = resp.Body.Close()
	}
	b.Run("router", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			ask(b, w.server.CallerAddr(), false)
		}
	})
	b.Run("direct", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			ask(b, target.Addr(), true)
		}
	})
}

// used returns the memory in use by heap and stacks.
func used() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// BenchmarkMemory measures the memory of an idle connection of a caller, and of a stream that waits for its first event
// with its connections to the caller and to the engine. The callers' and the engine's ends in this process are included.
func BenchmarkMemory(b *testing.B) {
	const n = 200
	b.Run("idle_connection", func(b *testing.B) {
		for b.Loop() {
			w := newWorld(b)
			before := used()
			for range n {
				w.open(look)
			}
			b.ReportMetric(float64(used()-before)/n, "B/connection")
		}
	})
	b.Run("waiting_stream", func(b *testing.B) {
		for b.Loop() {
			w := newWorld(b)
			e := w.engines["llm-1"]
			e.EventCount, e.EventInterval = 2, patience
			before := used()
			for range n {
				w.send(chat)
			}
			w.await("the runs", func() bool { return len(e.Runs()) == n })
			b.ReportMetric(float64(used()-before)/n, "B/stream")
		}
	})
}

// send writes a request on a connection of its own, which stays open until the end of the test.
func (w *world) send(a ask) net.Conn {
	c, err := net.Dial("tcp", w.server.CallerAddr())
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = c.Close() })
	r, _ := w.request(context.Background(), a)
	if err := r.Write(c); err != nil {
		w.t.Fatal(err)
	}
	return c
}

// open makes a connection that has had one answer.
func (w *world) open(a ask) {
	c := w.send(a)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		w.t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		w.t.Fatal(err)
	}
}

// FuzzEvents guards against a stream that makes the splitter panic or lose bytes.
func FuzzEvents(f *testing.F) {
	f.Add(stand.Event("a", 1) + stand.Event("a", 2))
	f.Add("id: 1\r\ndata: x\r\n\r\nid: 2\n\ndata")
	f.Add("\n\n\nid:\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		r := newEventReader(strings.NewReader(text))
		defer r.release()
		var got strings.Builder
		for {
			e, err := r.next()
			if err != nil {
				break
			}
			got.Write(e.raw)
		}
		if !strings.HasPrefix(text, got.String()) {
			t.Fatalf("events %q are not the beginning of %q", got.String(), text)
		}
	})
}
