package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// runner runs the measurements on the router program.
type runner struct {
	binary          string
	log             *os.File
	duration        time.Duration
	workers         int
	slowReaderCount int
	routerFlags     []string // additional flags of the router
}

func (r *runner) startFleet(ctx context.Context, cfg fleetConfig) (*fleet, error) {
	cfg.Binary, cfg.Log, cfg.RouterArgs = r.binary, r.log, r.routerFlags
	if cfg.SlowReaderAfter == 0 {
		cfg.SlowReaderAfter = 10 * time.Second
	}
	return startFleet(ctx, cfg)
}

// measureUnderLoad runs a load. It calls begin after the warm-up, and end after the duration of a measurement.
func (r *runner) measureUnderLoad(ctx context.Context, warmup time.Duration, run func(context.Context), begin, end func() error) error {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		run(ctx)
	}()
	defer func() { <-done }()
	defer cancel()
	if err := sleep(ctx, warmup); err != nil {
		return err
	}
	if err := begin(); err != nil {
		return err
	}
	if err := sleep(ctx, r.duration); err != nil {
		return err
	}
	return end()
}

// throughputResult is the result of a throughput run.
type throughputResult struct {
	Run            string  `json:"run"`
	Interval       string  `json:"token_interval"`
	Workers        int     `json:"concurrent_streams"`
	TokensPerReply int     `json:"tokens_per_answer"`
	RequestsPerS   float64 `json:"requests_per_s"`
	TokensPerS     float64 `json:"tokens_per_s"`
	Failed         int     `json:"failed"`
	FirstError     string  `json:"first_error,omitempty"`
	RouterCores    float64 `json:"router_cores"`
	EngineCores    float64 `json:"engine_cores"`
	LoadCores      float64 `json:"load_cores"`
	RouterMB       float64 `json:"router_resident_mb"`
}

// cpuMeter measures the CPU time that processes use.
type cpuMeter struct{ samples []cpuSample }

func startCPUMeter(pids ...int) (cpuMeter, error) {
	var m cpuMeter
	for _, pid := range pids {
		sample, err := sampleCPU(pid)
		if err != nil {
			return m, err
		}
		m.samples = append(m.samples, sample)
	}
	return m, nil
}

// read returns the CPU time that all processes have used since the start of the measurement, and the elapsed time.
func (m cpuMeter) read() (cpu, elapsed time.Duration, err error) {
	for _, sample := range m.samples {
		used, period, err := sample.since()
		if err != nil {
			return 0, 0, err
		}
		cpu += used
		elapsed = max(elapsed, period)
	}
	return cpu, elapsed, nil
}

func (f *fleet) enginePIDs() []int {
	var out []int
	for _, e := range f.engines {
		out = append(out, e.pid())
	}
	return out
}

// throughput measures the requests and tokens per second that one router forwards to a number of workers, and the cores
// that the router, the engines and the load use for them.
func (r *runner) throughput(ctx context.Context, workers, tokensPerAnswer int, interval time.Duration) (any, error) {
	f, err := r.startFleet(ctx, fleetConfig{Engines: 8, Interval: interval, Tokens: tokensPerAnswer})
	if err != nil {
		return nil, err
	}
	defer f.stop()
	out := throughputResult{Run: "throughput", Interval: interval.String(), Workers: workers, TokensPerReply: tokensPerAnswer}
	var stats loadStats
	load := closedLoopLoad{Addr: f.router.addrs["caller_addr"], Workers: workers, Tokens: tokensPerAnswer, Ramp: r.rampTime(workers)}
	var routerCPU, engineCPU, loadCPU cpuMeter
	var requestsBefore, tokensBefore int
	warmup := load.Ramp + time.Duration(tokensPerAnswer)*interval + 2*time.Second
	err = r.measureUnderLoad(ctx, warmup, func(ctx context.Context) { load.run(ctx, &stats) }, func() error {
		requestsBefore, tokensBefore = stats.snapshot()
		if routerCPU, err = startCPUMeter(f.router.pid()); err != nil {
			return err
		}
		if engineCPU, err = startCPUMeter(f.enginePIDs()...); err != nil {
			return err
		}
		loadCPU, err = startCPUMeter(os.Getpid())
		return err
	}, func() error {
		requests, tokens := stats.snapshot()
		cpu, elapsed, err := routerCPU.read()
		if err != nil {
			return err
		}
		out.RequestsPerS = float64(requests-requestsBefore) / elapsed.Seconds()
		out.TokensPerS = float64(tokens-tokensBefore) / elapsed.Seconds()
		out.RouterCores = cpu.Seconds() / elapsed.Seconds()
		if cpu, elapsed, err = engineCPU.read(); err != nil {
			return err
		}
		out.EngineCores = cpu.Seconds() / elapsed.Seconds()
		if cpu, elapsed, err = loadCPU.read(); err != nil {
			return err
		}
		out.LoadCores = cpu.Seconds() / elapsed.Seconds()
		rss, err := residentBytes(f.router.pid())
		out.RouterMB = float64(rss) / (1 << 20)
		return err
	})
	out.Failed, out.FirstError = stats.Failed, errorText(stats.firstErr)
	return out, err
}

// rampTime returns the time to start the workers at 1,000 per second.
func (r *runner) rampTime(workers int) time.Duration {
	return time.Duration(workers) * time.Millisecond
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return fmt.Sprintf("%.300s", err)
}

// copyResult is the result of a comparison with a byte copy.
type copyResult struct {
	Run              string  `json:"run"`
	Workers          int     `json:"concurrent_streams"`
	Interval         string  `json:"token_interval"`
	RouterTokensPerS float64 `json:"router_tokens_per_s"`
	CopyTokensPerS   float64 `json:"copy_tokens_per_s"`
	RouterMicros     float64 `json:"router_cpu_us_per_token"`
	CopyMicros       float64 `json:"copy_cpu_us_per_token"`
	Ratio            float64 `json:"ratio"`
	RouterIdleCPU    float64 `json:"router_idle_cores"`
	Failed           int     `json:"failed"`
	FirstError       string  `json:"first_error,omitempty"`
}

// compareCopy compares the CPU time per token of the router with that of a process that copies the bytes of the same
// streams.
func (r *runner) compareCopy(ctx context.Context, workers, tokens int, interval time.Duration) (any, error) {
	f, err := r.startFleet(ctx, fleetConfig{Engines: 1, Interval: interval, Tokens: tokens})
	if err != nil {
		return nil, err
	}
	defer f.stop()
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	copier, err := f.startProcess(fleetConfig{Log: r.log}, self, "--serve-copy", f.engines[0].addrs["addr"])
	if err != nil {
		return nil, err
	}
	out := copyResult{Run: "copy", Workers: workers, Interval: interval.String()}
	idle, err := startCPUMeter(f.router.pid())
	if err != nil {
		return nil, err
	}
	if err := sleep(ctx, 2*time.Second); err != nil {
		return nil, err
	}
	cpu, elapsed, err := idle.read()
	if err != nil {
		return nil, err
	}
	out.RouterIdleCPU = cpu.Seconds() / elapsed.Seconds()
	load := closedLoopLoad{Workers: workers, Tokens: tokens, Ramp: r.rampTime(workers)}
	load.Addr = f.router.addrs["caller_addr"]
	stats := new(loadStats)
	if out.RouterTokensPerS, out.RouterMicros, err = r.measurePerToken(ctx, load, stats, f.router.pid(), interval); err != nil {
		return nil, err
	}
	load.Addr, load.Direct = copier.addrs["addr"], true
	if out.CopyTokensPerS, out.CopyMicros, err = r.measurePerToken(ctx, load, stats, copier.pid(), interval); err != nil {
		return nil, err
	}
	out.Ratio = out.RouterMicros / out.CopyMicros
	out.Failed, out.FirstError = stats.Failed, errorText(stats.firstErr)
	return out, nil
}

// measurePerToken returns the tokens per second of a load, and the CPU time per token that a process uses.
func (r *runner) measurePerToken(ctx context.Context, load closedLoopLoad, stats *loadStats, pid int, interval time.Duration) (perS, micros float64, err error) {
	var meter cpuMeter
	var tokensBefore int
	warmup := load.Ramp + time.Duration(load.Tokens)*interval + time.Second
	err = r.measureUnderLoad(ctx, warmup, func(ctx context.Context) { load.run(ctx, stats) }, func() error {
		_, tokensBefore = stats.snapshot()
		meter, err = startCPUMeter(pid)
		return err
	}, func() error {
		_, tokensAfter := stats.snapshot()
		cpu, elapsed, err := meter.read()
		tokens := float64(tokensAfter - tokensBefore)
		perS, micros = tokens/elapsed.Seconds(), float64(cpu.Microseconds())/tokens
		return err
	})
	return perS, micros, err
}
