package main

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// latencyLine is the result of a comparison of latencies at a fixed rate.
type latencyLine struct {
	Run            string  `json:"run"`
	Rate           int     `json:"requests_per_s"`
	Tokens         int     `json:"tokens_per_answer"`
	DirectP50      float64 `json:"direct_p50_ms"`
	DirectP99      float64 `json:"direct_p99_ms"`
	RouterP50      float64 `json:"router_p50_ms"`
	RouterP99      float64 `json:"router_p99_ms"`
	AddedP50       float64 `json:"added_p50_ms"`
	AddedP99       float64 `json:"added_p99_ms"`
	FirstDirectP50 float64 `json:"first_token_direct_p50_ms"`
	FirstRouterP50 float64 `json:"first_token_router_p50_ms"`
	FirstDirectP99 float64 `json:"first_token_direct_p99_ms"`
	FirstRouterP99 float64 `json:"first_token_router_p99_ms"`
	RouterMicros   float64 `json:"router_cpu_us_per_request"`
	EngineMicros   float64 `json:"engine_cpu_us_per_request"`
	CPURatio       float64 `json:"cpu_ratio_to_engine"`
	Failed         int     `json:"failed"`
	FirstError     string  `json:"first_error,omitempty"`
}

// latency compares the time of requests through the router with that of requests sent to the engine. The added time at
// a quantile is the difference of the two quantiles.
func (r *runner) latency(ctx context.Context, rate, tokens int) (any, error) {
	f, err := r.fleet(ctx, fleetConfig{Engines: 1, Tokens: tokens})
	if err != nil {
		return nil, err
	}
	defer f.stop()
	out := latencyLine{Run: "latency", Rate: rate, Tokens: tokens}
	var sum counts
	engine, router := f.engines[0], f.router
	one := func(addr string, direct bool, pid int) (total, first *hist, micros float64, err error) {
		l := openLoad{Addr: addr, Direct: direct, Rate: rate, Tokens: tokens, Total: newHist(), First: newHist()}
		var c cores
		var before int
		err = r.during(ctx, 2*time.Second, func(ctx context.Context) { l.run(ctx, &sum) }, func() error {
			before, _ = sum.snapshot()
			c, err = begin(pid)
			return err
		}, func() error {
			after, _ := sum.snapshot()
			cpu, _, err := c.end()
			micros = float64(cpu.Microseconds()) / float64(after-before)
			return err
		})
		return l.Total, l.First, micros, err
	}
	total, first, micros, err := one(engine.addrs["addr"], true, engine.pid())
	if err != nil {
		return nil, err
	}
	out.DirectP50, out.DirectP99, out.EngineMicros = total.quantile(50), total.quantile(99), micros
	out.FirstDirectP50, out.FirstDirectP99 = first.quantile(50), first.quantile(99)
	if total, first, micros, err = one(router.addrs["caller_addr"], false, router.pid()); err != nil {
		return nil, err
	}
	out.RouterP50, out.RouterP99, out.RouterMicros = total.quantile(50), total.quantile(99), micros
	out.FirstRouterP50, out.FirstRouterP99 = first.quantile(50), first.quantile(99)
	out.AddedP50, out.AddedP99 = out.RouterP50-out.DirectP50, out.RouterP99-out.DirectP99
	out.CPURatio = out.RouterMicros / out.EngineMicros
	out.Failed, out.FirstError = sum.Failed, text(sum.err)
	return out, nil
}

// slowLine is the result of a run with slow readers.
type slowLine struct {
	Run          string  `json:"run"`
	Asked        int     `json:"slow_readers_asked"`
	Reached      int     `json:"slow_readers"`
	Refused      int     `json:"refused"`
	FirstError   string  `json:"first_error,omitempty"`
	BaseMB       float64 `json:"router_mb_before"`
	PeakMB       float64 `json:"router_mb_peak"`
	SettledMB    float64 `json:"router_mb_settled"`
	PeakKB       float64 `json:"kb_per_slow_reader_peak"`
	SettledKB    float64 `json:"kb_per_slow_reader_settled"`
	SocketKB     float64 `json:"machine_socket_kb_per_slow_reader"`
	GapP50Before float64 `json:"gap_p50_ms_without"`
	GapP99Before float64 `json:"gap_p99_ms_without"`
	GapP50With   float64 `json:"gap_p50_ms_with"`
	GapP99With   float64 `json:"gap_p99_ms_with"`
	P50Ratio     float64 `json:"gap_p50_ratio"`
	P99Ratio     float64 `json:"gap_p99_ratio"`
	FastFailed   int     `json:"fast_failed"`
}

const (
	fastReaders  = 100
	fastTokens   = 200
	fastInterval = 10 * time.Millisecond
	// slowTokens is an answer that does not fit into the socket buffers on its way.
	slowTokens = 12000
	// slowBuffer is the receive buffer of a slow reader's socket.
	slowBuffer  = 4 << 10
	slowSuspend = time.Second
	slowPerS    = 500
)

// slowReaders measures the memory for callers that stop reading, and the time between the tokens of others.
func (r *runner) slowReaders(ctx context.Context, n int) (any, error) {
	f, err := r.fleet(ctx, fleetConfig{Engines: 1, Interval: fastInterval, Tokens: fastTokens,
		Bulk: 4, BulkTokens: slowTokens, SlowAfter: slowSuspend})
	if err != nil {
		return nil, err
	}
	defer f.stop()
	out := slowLine{Run: "slow_readers", Asked: n}
	addr := f.router.addrs["caller_addr"]
	var sum counts
	without, err := r.gaps(ctx, addr, &sum)
	if err != nil {
		return nil, err
	}
	base, err := residentBytes(f.router.pid())
	if err != nil {
		return nil, err
	}
	sockets, err := socketBytes()
	if err != nil {
		return nil, err
	}
	peak := watchPeak(ctx, f.router.pid())
	stalled := stall(ctx, addr, n, &out)
	defer stalled.close()
	if err := wait(ctx, slowFill); err != nil {
		return nil, err
	}
	with, err := r.gaps(ctx, addr, &sum)
	if err != nil {
		return nil, err
	}
	top := peak()
	settled, err := residentBytes(f.router.pid())
	if err != nil {
		return nil, err
	}
	held, err := socketBytes()
	if err != nil {
		return nil, err
	}
	per := func(b int64) float64 { return float64(b) / 1024 / float64(max(out.Reached, 1)) }
	mb := func(b int64) float64 { return float64(b) / (1 << 20) }
	out.BaseMB, out.PeakMB, out.SettledMB = mb(base), mb(top), mb(settled)
	out.PeakKB, out.SettledKB, out.SocketKB = per(top-base), per(settled-base), per(held-sockets)
	out.GapP50Before, out.GapP99Before = without.quantile(50), without.quantile(99)
	out.GapP50With, out.GapP99With = with.quantile(50), with.quantile(99)
	out.P50Ratio, out.P99Ratio = out.GapP50With/out.GapP50Before, out.GapP99With/out.GapP99Before
	out.FastFailed = sum.Failed
	if out.FirstError == "" {
		out.FirstError = text(sum.err)
	}
	return out, nil
}

// slowFill is the wait after the start of the last slow reader, in which the last streams are suspended.
const slowFill = 5 * time.Second

// gaps returns the times between the reads of fast readers.
func (r *runner) gaps(ctx context.Context, addr string, sum *counts) (*hist, error) {
	h := newHist()
	load := closedLoad{Addr: addr, Workers: fastReaders, Tokens: fastTokens, Ramp: time.Second, Gaps: h}
	none := func() error { return nil }
	err := r.during(ctx, load.Ramp, func(ctx context.Context) { load.run(ctx, sum) }, none, none)
	return h, err
}

// watchPeak samples the resident memory of a process. The result ends the sampling and returns the largest sample.
func watchPeak(ctx context.Context, pid int) func() int64 {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan int64, 1)
	go func() {
		var top int64
		for wait(ctx, 50*time.Millisecond) == nil {
			if b, err := residentBytes(pid); err == nil {
				top = max(top, b)
			}
		}
		done <- top
	}()
	return func() int64 {
		cancel()
		return <-done
	}
}

// stalledSet holds the connections of slow readers.
type stalledSet struct {
	mu    sync.Mutex
	conns []*conn
}

// stall opens connections that send a request, read the start of the answer and then read no more.
func stall(ctx context.Context, addr string, n int, out *slowLine) *stalledSet {
	s := new(stalledSet)
	var wg sync.WaitGroup
	for i := range n {
		if wait(ctx, time.Second/slowPerS) != nil {
			break
		}
		wg.Go(func() {
			c, err := stallOne(addr, i)
			s.mu.Lock()
			defer s.mu.Unlock()
			if err != nil {
				out.Refused++
				if out.FirstError == "" {
					out.FirstError = text(err)
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

func stallOne(addr string, i int) (*conn, error) {
	c, err := dial(addr, false, fmt.Sprint("slow ", i))
	if err != nil {
		return nil, err
	}
	c.model = modelBulk
	if t, ok := c.Conn.(*net.TCPConn); ok {
		if err := t.SetReadBuffer(slowBuffer); err != nil {
			return nil, err
		}
	}
	if err := c.send(slowTokens); err != nil {
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
		return nil, fmt.Errorf("%w: %.64s", errRefused, c.buf[:64])
	}
	c.buf = nil
	return c, nil
}

func (s *stalledSet) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}
