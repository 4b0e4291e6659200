package conns

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// BenchmarkExpiry measures how long requests wait while many idle connections expire at once: the time of the slowest of
// the requests that one caller sends meanwhile, and the mean.
func BenchmarkExpiry(b *testing.B) {
	const n = 4000
	for b.Loop() {
		b.StopTimer()
		set := New(Config{Clock: clockwork.NewRealClock()})
		set.SetIdleLimit(time.Hour)
		addr := serve(b, set)
		for range n {
			openIdle(b, addr)
		}
		busy := openIdle(b, addr)
		for set.Len() < n+1 {
			runtime.Gosched() // Some connections wait in the accept queue.
		}
		<-time.After(idleMargin) // From now on all of them can expire.
		b.StartTimer()
		go set.SetIdleLimit(time.Nanosecond)
		var worst, total time.Duration
		requests := 0
		for ; set.Len() > 1; requests++ {
			start := time.Now()
			ask(b, busy)
			took := time.Since(start)
			worst, total = max(worst, took), total+took
		}
		b.ReportMetric(float64(worst.Microseconds()), "worst_us")
		b.ReportMetric(float64(total.Microseconds())/float64(requests), "mean_us")
		b.ReportMetric(float64(requests), "requests")
	}
}

// serve starts a server whose connections are in the set, and returns its address.
func serve(tb testing.TB, set *Set) string {
	tb.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	srv := &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }),
		ReadHeaderTimeout: time.Minute,
		ConnState:         set.TrackState,
	}
	go func() { _ = srv.Serve(set.Listener(ln)) }()
	tb.Cleanup(func() { _ = srv.Close() })
	return ln.Addr().String()
}

// client is a caller's connection.
type client struct {
	net.Conn
	r *bufio.Reader
}

// dial opens a connection.
func dial(tb testing.TB, addr string) *client {
	tb.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = c.Close() })
	return &client{c, bufio.NewReaderSize(c, 512)}
}

// openIdle opens a connection and receives an answer on it.
func openIdle(tb testing.TB, addr string) *client {
	tb.Helper()
	c := dial(tb, addr)
	ask(tb, c)
	return c
}

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// ask sends a request and receives its answer.
func ask(tb testing.TB, c *client) {
	tb.Helper()
	if _, err := io.WriteString(c, request); err != nil {
		tb.Fatal(err)
	}
	receive(tb, c)
}

func receive(tb testing.TB, c *client) {
	tb.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		tb.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		tb.Fatal(err)
	}
}
