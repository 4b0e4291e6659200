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

	"geraniumsaddle/platform/fakes"
)

// BenchmarkEvents measures the cost of splitting a stream into events and checking their order, without sockets, and
// compares it with copying the same bytes.
func BenchmarkEvents(b *testing.B) {
	const n = 100
	text := []byte(eventStream("9c41d07be2a35f68", n))
	b.Run("split", func(b *testing.B) {
		b.ReportAllocs()
		b.SetBytes(int64(len(text)))
		for b.Loop() {
			stream := callerStream{lastNumber: -1}
			r := newEventReader(bytes.NewReader(text), nil)
			for {
				e, err := r.next()
				if errors.Is(err, io.EOF) {
					break
				}
				if _, err := stream.checkOrder(e); err != nil {
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

// BenchmarkPlain measures a plain request over loopback through the router and the same request sent directly to the
// target.
func BenchmarkPlain(b *testing.B) {
	env := newTestEnv(b)
	target := env.targets["desk-1"]
	ask := func(b *testing.B, addr string, expect bool) {
		r, id := env.newRequest(context.Background(), look)
		r.URL.Host = addr
		if expect {
			fakes.SetTarget(r.Header, target.ID)
		}
		resp, err := env.client.Do(r)
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
			ask(b, env.server.CallerAddr(), false)
		}
	})
	b.Run("direct", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			ask(b, target.Addr(), true)
		}
	})
}

// memoryInUse returns the memory in use by heap and stacks in bytes, after a collection.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// BenchmarkMemory measures the memory of an idle caller connection, and of a stream that waits for its first event with
// its connections to the caller and to the engine. Both ends of each connection are in this process and are counted.
func BenchmarkMemory(b *testing.B) {
	const n = 200
	b.Run("idle_connection", func(b *testing.B) {
		for b.Loop() {
			env := newTestEnv(b)
			before := memoryInUse()
			for range n {
				env.openIdle(look)
			}
			b.ReportMetric(float64(memoryInUse()-before)/n, "B/connection")
		}
	})
	b.Run("waiting_stream", func(b *testing.B) {
		for b.Loop() {
			env := newTestEnv(b)
			e := env.targets["llm-1"]
			e.EventCount, e.EventInterval = 2, waitTimeout
			before := memoryInUse()
			for range n {
				env.sendRaw(chat)
			}
			env.waitFor("the runs", func() bool { return len(e.Runs()) == n })
			b.ReportMetric(float64(memoryInUse()-before)/n, "B/stream")
		}
	})
}

// sendRaw writes a request on a new connection, which stays open until the end of the test.
func (env *testEnv) sendRaw(req testRequest) net.Conn {
	c, err := net.Dial("tcp", env.server.CallerAddr())
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { _ = c.Close() })
	r, _ := env.newRequest(context.Background(), req)
	if err := r.Write(c); err != nil {
		env.t.Fatal(err)
	}
	return c
}

// openIdle opens a connection that has received one answer and is then idle.
func (env *testEnv) openIdle(req testRequest) {
	c := env.sendRaw(req)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		env.t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		env.t.Fatal(err)
	}
}

// FuzzEvents guards against a stream that makes eventReader panic or lose bytes.
func FuzzEvents(f *testing.F) {
	f.Add(fakes.Event("a", 1) + fakes.Event("a", 2))
	f.Add("id: 1\r\ndata: x\r\n\r\nid: 2\n\ndata")
	f.Add("\n\n\nid:\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		r := newEventReader(strings.NewReader(text), nil)
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
