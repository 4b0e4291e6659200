package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/platform/fakes"
)

const (
	// smallVM is the memory of the smallest VM in megabytes, and hostileCallers about what its descriptors allow.
	smallVM        = 134
	hostileCallers = 3000
	// soundRequests is the number of requests of a sound caller beside the others.
	soundRequests = 200
)

// TestMemoryOfUnfinishedRequests guards against a process that the kernel ends, or that serves nobody, because many
// callers keep connections open on which no whole request arrives.
func TestMemoryOfUnfinishedRequests(t *testing.T) {
	binary := buildRouter(t)
	shortLines := func(size int) string {
		var b strings.Builder
		for i := 0; b.Len() < size; i++ {
			fmt.Fprintf(&b, "%s:\n", strconv.FormatInt(int64(i), 36))
		}
		return b.String()[:size]
	}
	const announced = fakes.BookHead + "Content-Length: 65536\r\n\r\n"
	cases := []struct{ name, sent string }{
		{"head of one line", fakes.BookHead + "X: " + strings.Repeat("x", 60<<10)},
		{"head of short lines", fakes.BookHead + strings.Repeat("X: y\r\n", 10<<10)},
		{"head of one line within the limit", fakes.BookHead + "X: " + strings.Repeat("x", 3700)},
		{"head of short lines within the limit", fakes.BookHead + shortLines(3700)},
		{"body", announced + strings.Repeat("x", 65535)},
		{"body that does not begin", announced},
		{"idle", idleRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			env := startSmall(t, binary, smallVM)
			r := env.routers[0]
			waitServing(t, r)
			conns := openConns(r.callerAddr, c.sent)
			served := askSoundly(t, r, soundRequests)
			for _, conn := range conns {
				_ = conn.Close()
			}
			peak, err := r.peakMemory()
			t.Logf("%d connections, peak %d MB, %d of %d sound requests served", len(conns), peak>>20, served, soundRequests)
			is.NoErr(err)
			is.True(peak < smallVM<<20)
			is.Equal(served, soundRequests)
		})
	}
}

// startSmall starts a router on a VM with the given memory in megabytes, and its store and targets.
func startSmall(tb testing.TB, binary string, memoryMB int) *testEnv {
	tb.Helper()
	env := &testEnv{
		cfg: config{Binary: binary, Routers: 1, Dir: tb.TempDir(), Planned: true, MemoryMB: memoryMB}, store: fakes.NewStore(5), faults: make(map[string]int),
	}
	storeServer := httptest.NewServer(env.store)
	tb.Cleanup(func() {
		env.close()
		env.store.Close()
		storeServer.Close()
	})
	if err := env.start(storeServer.Listener.Addr().String()); err != nil {
		tb.Fatal(err)
	}
	return env
}

// TestSlowBody guards against evicting a caller with a slow link, whose large body keeps arriving, beside many callers that
// have stopped in the middle of their bodies and fill the memory.
func TestSlowBody(t *testing.T) {
	is := is.New(t)
	const (
		memoryMB = 284
		size     = 4 << 20
		parts    = 64
		interval = 30 * time.Millisecond
	)
	env := startSmall(t, buildRouter(t), memoryMB)
	env.configVersion++
	env.store.Put("config", "main", strings.Replace(fakes.Config(env.configVersion, 20_000, env.prepaid()), `"max_body_bytes":100000`, `"max_body_bytes":5000000`, 1))
	r := env.routers[0]
	for deadline := time.Now().Add(startTimeout); sendBody(r.callerAddr, size) != http.StatusOK; {
		is.True(time.Now().Before(deadline)) // The router has the configuration.
	}
	c, err := net.Dial("tcp", r.callerAddr)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", fakes.BookHead, size)
	is.NoErr(err)
	var hostile []net.Conn
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		hostile = openConns(r.callerAddr, fakes.BookHead+"Content-Length: 65536\r\n\r\n"+strings.Repeat("x", 65535))
	}()
	part := strings.Repeat("x", size/parts)
	for range parts {
		if _, err = io.WriteString(c, part); err != nil {
			break // The answer says why.
		}
		time.Sleep(interval)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("%d %s", resp.StatusCode, body)
	}
	<-stop
	for _, conn := range hostile {
		_ = conn.Close()
	}
}

// sendBody sends a request with a body, and returns the status of its answer or 0.
func sendBody(addr string, size int) int {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", fakes.BookHead, size, strings.Repeat("x", size)) // The answer says why.
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// BenchmarkSoundCaller measures how long the requests of a caller take alone, and beside callers whose requests never become whole.
func BenchmarkSoundCaller(b *testing.B) {
	binary := buildRouter(b)
	for _, c := range []struct{ name, sent string }{
		{"alone", ""},
		{"beside heads", fakes.BookHead + strings.Repeat("X: y\r\n", 600)},
		{"beside bodies", fakes.BookHead + "Content-Length: 65536\r\n\r\n" + strings.Repeat("x", 65535)},
	} {
		b.Run(c.name, func(b *testing.B) {
			r := startSmall(b, binary, smallVM).routers[0]
			waitServing(b, r)
			if c.sent != "" {
				for _, conn := range openConns(r.callerAddr, c.sent) {
					defer func() { _ = conn.Close() }()
				}
			}
			times := make([]time.Duration, 0, b.N)
			for b.Loop() {
				start := time.Now()
				if askSoundly(b, r, 1) == 0 {
					b.Fatal("the sound caller was not served")
				}
				times = append(times, time.Since(start))
			}
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99_us")
			b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50_us")
		})
	}
}

// TestMemoryOfAnswers guards against a process that the kernel ends because thousands of requests hold a part of an answer or
// an error of a target each, and callers don't read. Callers are served again after that.
func TestMemoryOfAnswers(t *testing.T) {
	binary := buildRouter(t)
	const (
		size     = 60 << 10
		endless  = "Content-Length: 9999999999\r\n\r\n"
		wholeLen = "Content-Length: 61440\r\n\r\n"
	)
	deadline := fakes.Deadline(3000) + "\r\n"
	look, chat := fakes.LookHead+deadline, fakes.ShortChatHead+deadline
	cases := []struct {
		name, request string
		response      fakes.EndlessResponse
	}{
		{"answers that stop", look, fakes.EndlessResponse{Start: fakes.AnswerHead + endless, Pattern: "x", Stall: size}},
		{"whole answers that aren't read", look, fakes.EndlessResponse{Start: fakes.AnswerHead + wholeLen, Pattern: "x", Stall: size}},
		{"heads of answers", look, fakes.EndlessResponse{Start: fakes.AnswerHead + strings.Repeat("X: y\r\n", 8000) + endless, Pattern: "x", Stall: 50_000}},
		{"errors", look, fakes.EndlessResponse{Start: fakes.FailureHead + wholeLen, Pattern: "x", Stall: size}},
		{"errors that stop", look, fakes.EndlessResponse{Start: fakes.FailureHead + endless, Pattern: "x", Stall: size}},
		{"events that stop", chat, fakes.EndlessResponse{Start: fakes.AnswerHead + fakes.StreamType + "\r\nid: 0\ndata: ", Pattern: "x", Stall: size}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			env := startSmall(t, binary, smallVM)
			env.configVersion++
			env.store.Put("config", "main", strings.ReplaceAll(fakes.Config(env.configVersion, 4000, env.prepaid()), `"max_connections":100`, `"max_connections":5000`))
			r := env.routers[0]
			waitServing(t, r)
			for _, e := range env.engines {
				e.SetEndless(c.response)
			}
			conns := openConns(r.callerAddr, c.request)
			statuses := receiveStatuses(conns)
			peak, err := r.peakMemory()
			t.Logf("%d connections, peak %d MB, statuses %v", len(conns), peak>>20, statuses)
			is.NoErr(err)
			is.True(peak < smallVM<<20)
			for _, e := range env.engines {
				e.SetMode(fakes.Serve)
			}
			waitServing(t, r)
			is.Equal(askSoundly(t, r, soundRequests), soundRequests)
		})
	}
}

// waitServing waits until the router serves a request.
func waitServing(t testing.TB, r *router) {
	t.Helper()
	for deadline := time.Now().Add(startTimeout); askSoundly(t, r, 1) == 0; {
		if time.Now().After(deadline) {
			t.Fatal("the router serves no request")
		}
	}
}

// receiveStatuses receives the heads of the answers to requests that were sent before, and counts their statuses. A
// connection without an answer counts as 0.
func receiveStatuses(conns []net.Conn) map[int]int {
	statuses := make(map[int]int)
	for _, c := range conns {
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReaderSize(c, 512), nil)
		if err != nil {
			statuses[0]++
		} else {
			statuses[resp.StatusCode]++
		}
		_ = c.Close()
	}
	return statuses
}

// idleRequest is a whole request. Its caller keeps the connection open after the answer.
const idleRequest = fakes.LookHead + "\r\n"

// openConns opens the hostile connections and sends the same bytes on each of them.
func openConns(addr, sent string) []net.Conn {
	const parallel = 64
	opened := make(chan net.Conn, hostileCallers)
	var wg sync.WaitGroup
	for range parallel {
		wg.Go(func() {
			for range hostileCallers / parallel {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					continue // The router may close connections when its memory is used up.
				}
				_ = c.SetDeadline(time.Now().Add(5 * time.Second))
				_, err = io.WriteString(c, sent)
				if err == nil && sent == idleRequest {
					_, _ = http.ReadResponse(bufio.NewReaderSize(c, 512), nil)
				}
				opened <- c
			}
		})
	}
	wg.Wait()
	close(opened)
	conns := make([]net.Conn, 0, len(opened))
	for c := range opened {
		conns = append(conns, c)
	}
	return conns
}

// askSoundly sends requests one after the other, every second one on a new connection, and returns how many were served.
func askSoundly(t testing.TB, r *router, n int) int {
	client := http.Client{Timeout: 20 * time.Second}
	defer client.CloseIdleConnections()
	served := 0
	for i := range n {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+r.callerAddr+"/look/1", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = fakes.Host
		req.Header = fakes.CallerHeader(fmt.Sprint("sound-", i), "", 0, 0)
		req.Close = i%2 == 0
		resp, err := client.Do(req)
		if err != nil {
			t.Log("sound caller:", err)
			continue
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK {
			served++
		} else {
			t.Logf("sound caller: %d %.100s", resp.StatusCode, body)
		}
	}
	return served
}

// peakMemory returns the largest resident memory of the process in bytes.
func (r *router) peakMemory() (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.proc == nil {
		return 0, fmt.Errorf("router %s has ended", r.name)
	}
	b, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(r.proc.cmd.Process.Pid), "status"))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(b), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0, fmt.Errorf("no peak memory of router %s", r.name)
	}
	kb, err := strconv.Atoi(fields[0])
	return kb << 10, err
}
