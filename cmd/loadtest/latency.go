package main

import (
	"context"
	"time"
)

// latencyResult is the result of a latency run.
type latencyResult struct {
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

// latency compares the latency of requests through the router with that of requests sent directly to the engine, at a
// fixed rate. The added latency at a quantile is the difference between the two quantiles.
func (r *runner) latency(ctx context.Context, rate, tokens int) (any, error) {
	f, err := r.startFleet(ctx, fleetConfig{Engines: 1, Tokens: tokens})
	if err != nil {
		return nil, err
	}
	defer f.stop()
	out := latencyResult{Run: "latency", Rate: rate, Tokens: tokens}
	var stats loadStats
	engine, router := f.engines[0], f.router
	measure := func(addr string, direct bool, pid int) (total, first *histogram, micros float64, err error) {
		l := openLoopLoad{Addr: addr, Direct: direct, Rate: rate, Tokens: tokens, Total: newHistogram(), First: newHistogram()}
		var meter cpuMeter
		var requestsBefore int
		err = r.measureUnderLoad(ctx, 2*time.Second, func(ctx context.Context) { l.run(ctx, &stats) }, func() error {
			requestsBefore, _ = stats.snapshot()
			meter, err = startCPUMeter(pid)
			return err
		}, func() error {
			requestsAfter, _ := stats.snapshot()
			cpu, _, err := meter.read()
			micros = float64(cpu.Microseconds()) / float64(requestsAfter-requestsBefore)
			return err
		})
		return l.Total, l.First, micros, err
	}
	total, first, micros, err := measure(engine.addrs["addr"], true, engine.pid())
	if err != nil {
		return nil, err
	}
	out.DirectP50, out.DirectP99, out.EngineMicros = total.quantile(50), total.quantile(99), micros
	out.FirstDirectP50, out.FirstDirectP99 = first.quantile(50), first.quantile(99)
	if total, first, micros, err = measure(router.addrs["caller_addr"], false, router.pid()); err != nil {
		return nil, err
	}
	out.RouterP50, out.RouterP99, out.RouterMicros = total.quantile(50), total.quantile(99), micros
	out.FirstRouterP50, out.FirstRouterP99 = first.quantile(50), first.quantile(99)
	out.AddedP50, out.AddedP99 = out.RouterP50-out.DirectP50, out.RouterP99-out.DirectP99
	out.CPURatio = out.RouterMicros / out.EngineMicros
	out.Failed, out.FirstError = stats.Failed, errorText(stats.firstErr)
	return out, nil
}
