package main

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// slowReaderResult is the result of a run with slow readers.
type slowReaderResult struct {
	Run           string  `json:"run"`
	Asked         int     `json:"slow_readers_asked"`
	Reached       int     `json:"slow_readers"`
	Refused       int     `json:"refused"`
	FirstError    string  `json:"first_error,omitempty"`
	BaseMB        float64 `json:"router_mb_before"`
	PeakMB        float64 `json:"router_mb_peak"`
	SettledMB     float64 `json:"router_mb_settled"`
	PeakKB        float64 `json:"kb_per_slow_reader_peak"`
	SettledKB     float64 `json:"kb_per_slow_reader_settled"`
	SocketKB      float64 `json:"machine_socket_kb_per_slow_reader"`
	GapP50Without float64 `json:"gap_p50_ms_without"`
	GapP99Without float64 `json:"gap_p99_ms_without"`
	GapP50With    float64 `json:"gap_p50_ms_with"`
	GapP99With    float64 `json:"gap_p99_ms_with"`
	P50Ratio      float64 `json:"gap_p50_ratio"`
	P99Ratio      float64 `json:"gap_p99_ratio"`
	FastFailed    int     `json:"fast_failed"`
}

const (
	fastReaderCount = 100
	fastTokens      = 200
	fastInterval    = 10 * time.Millisecond
	// slowReaderTokens is the length of an answer that does not fit into the socket buffers between engine and caller.
	slowReaderTokens = 12000
	// slowReaderBuffer is the size of the receive buffer of a slow reader's socket, in bytes.
	slowReaderBuffer = 4 << 10
	// slowReaderAfter is the time with a full buffer after which the router suspends the stream of the target.
	slowReaderAfter      = time.Second
	slowReadersPerSecond = 500
)

// slowReaders measures the memory of the router while callers stop reading, and their effect on the time between the
// tokens of other callers.
func (r *runner) slowReaders(ctx context.Context, n int) (any, error) {
	f, err := r.startFleet(ctx, fleetConfig{Engines: 1, Interval: fastInterval, Tokens: fastTokens,
		BulkEngines: 4, BulkTokens: slowReaderTokens, SlowReaderAfter: slowReaderAfter})
	if err != nil {
		return nil, err
	}
	defer f.stop()
	out := slowReaderResult{Run: "slow_readers", Asked: n}
	addr := f.router.addrs["caller_addr"]
	var stats loadStats
	without, err := r.measureGaps(ctx, addr, &stats)
	if err != nil {
		return nil, err
	}
	base, err := residentBytes(f.router.pid())
	if err != nil {
		return nil, err
	}
	socketsBefore, err := socketBytes()
	if err != nil {
		return nil, err
	}
	stopSampling := samplePeakMemory(ctx, f.router.pid())
	readers := openSlowReaders(ctx, addr, n, &out)
	defer readers.close()
	if err := sleep(ctx, suspendWait); err != nil {
		return nil, err
	}
	with, err := r.measureGaps(ctx, addr, &stats)
	if err != nil {
		return nil, err
	}
	peak := stopSampling()
	settled, err := residentBytes(f.router.pid())
	if err != nil {
		return nil, err
	}
	socketsAfter, err := socketBytes()
	if err != nil {
		return nil, err
	}
	perReaderKB := func(b int64) float64 { return float64(b) / 1024 / float64(max(out.Reached, 1)) }
	mb := func(b int64) float64 { return float64(b) / (1 << 20) }
	out.BaseMB, out.PeakMB, out.SettledMB = mb(base), mb(peak), mb(settled)
	out.PeakKB, out.SettledKB, out.SocketKB = perReaderKB(peak-base), perReaderKB(settled-base), perReaderKB(socketsAfter-socketsBefore)
	out.GapP50Without, out.GapP99Without = without.quantile(50), without.quantile(99)
	out.GapP50With, out.GapP99With = with.quantile(50), with.quantile(99)
	out.P50Ratio, out.P99Ratio = out.GapP50With/out.GapP50Without, out.GapP99With/out.GapP99Without
	out.FastFailed = stats.Failed
	if out.FirstError == "" {
		out.FirstError = errorText(stats.firstErr)
	}
	return out, nil
}

// suspendWait is the time after the start of the last slow reader in which the router suspends the last streams.
const suspendWait = 5 * time.Second

// measureGaps returns the times between the reads of callers that do not stop reading.
func (r *runner) measureGaps(ctx context.Context, addr string, stats *loadStats) (*histogram, error) {
	h := newHistogram()
	load := closedLoopLoad{Addr: addr, Workers: fastReaderCount, Tokens: fastTokens, Ramp: time.Second, Gaps: h}
	noop := func() error { return nil }
	err := r.measureUnderLoad(ctx, load.Ramp, func(ctx context.Context) { load.run(ctx, stats) }, noop, noop)
	return h, err
}

// samplePeakMemory samples the resident memory of a process. The returned function stops the sampling and returns the
// largest sample.
func samplePeakMemory(ctx context.Context, pid int) func() int64 {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan int64, 1)
	go func() {
		var peak int64
		for sleep(ctx, 50*time.Millisecond) == nil {
			if b, err := residentBytes(pid); err == nil {
				peak = max(peak, b)
			}
		}
		done <- peak
	}()
	return func() int64 {
		cancel()
		return <-done
	}
}

// slowReaderSet holds the connections of slow readers.
type slowReaderSet struct {
	mu    sync.Mutex
	conns []*conn
}

// openSlowReaders opens connections that send a request, read the start of the response and then stop reading. It
// counts those that got a response, and the others, in out.
func openSlowReaders(ctx context.Context, addr string, n int, out *slowReaderResult) *slowReaderSet {
	s := new(slowReaderSet)
	var wg sync.WaitGroup
	for i := range n {
		if sleep(ctx, time.Second/slowReadersPerSecond) != nil {
			break
		}
		wg.Go(func() {
			c, err := openSlowReader(addr, i)
			s.mu.Lock()
			defer s.mu.Unlock()
			if err != nil {
				out.Refused++
				if out.FirstError == "" {
					out.FirstError = errorText(err)
				}
				return
			}
			out.Reached++
			s.conns = append(s.conns, c)
		})
	}
	wg.Wait()
	return s
}

func openSlowReader(addr string, i int) (*conn, error) {
	c, err := dial(addr, false, fmt.Sprint("slow ", i))
	if err != nil {
		return nil, err
	}
	c.model = modelBulk
	if t, ok := c.Conn.(*net.TCPConn); ok {
		if err := t.SetReadBuffer(slowReaderBuffer); err != nil {
			return nil, err
		}
	}
	if err := c.send(slowReaderTokens); err != nil {
		return nil, err
	}
	if err := c.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
		return nil, err
	}
	if _, err := c.Read(c.buf[:64]); err != nil {
		_ = c.Close()
		return nil, err
	}
	if string(c.buf[:12]) != "HTTP/1.1 200" {
		_ = c.Close()
		return nil, fmt.Errorf("%w: %.64s", errNotOK, c.buf[:64])
	}
	c.buf = nil
	return c, nil
}

func (s *slowReaderSet) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}
