package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// runner runs the measurements.
type runner struct {
	binary   string
	log      *os.File
	duration time.Duration
	workers  int
	slow     int
	router   []string // further flags of the router
}

func (r *runner) fleet(ctx context.Context, cfg fleetConfig) (*fleet, error) {
	cfg.Binary, cfg.Log, cfg.RouterArgs = r.binary, r.log, r.router
	if cfg.SlowAfter == 0 {
		cfg.SlowAfter = 10 * time.Second
	}
	return startFleet(ctx, cfg)
}

// during runs a load, and calls measured once after a warm-up and again after the duration of the run.
func (r *runner) during(ctx context.Context, warm time.Duration, run func(context.Context), begin, end func() error) error {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		run(ctx)
	}()
	defer func() { <-done }()
	defer cancel()
	if err := wait(ctx, warm); err != nil {
		return err
	}
	if err := begin(); err != nil {
		return err
	}
	if err := wait(ctx, r.duration); err != nil {
		return err
	}
	return end()
}

// throughputLine is the result of a throughput run.
type throughputLine struct {
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

// cores measures the cores that processes use.
type cores struct{ of []usage }

func begin(pids ...int) (cores, error) {
	var c cores
	for _, pid := range pids {
		u, err := measure(pid)
		if err != nil {
			return c, err
		}
		c.of = append(c.of, u)
	}
	return c, nil
}

// end returns the CPU time of all processes and the elapsed time.
func (c cores) end() (cpu, elapsed time.Duration, err error) {
	for _, u := range c.of {
		used, span, err := u.since()
		if err != nil {
			return 0, 0, err
		}
		cpu += used
		elapsed = max(elapsed, span)
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

// throughput reaches for the most requests and tokens that one router passes on.
func (r *runner) throughput(ctx context.Context, workers, tokens int, interval time.Duration) (any, error) {
	f, err := r.fleet(ctx, fleetConfig{Engines: 8, Interval: interval, Tokens: tokens})
	if err != nil {
		return nil, err
	}
	defer f.stop()
	out := throughputLine{Run: "throughput", Interval: interval.String(), Workers: workers, TokensPerReply: tokens}
	var sum counts
	load := closedLoad{Addr: f.router.addrs["caller_addr"], Workers: workers, Tokens: tokens, Ramp: r.ramp(workers)}
	var router, engines, self cores
	var requests, done int
	warm := load.Ramp + time.Duration(tokens)*interval + 2*time.Second
	err = r.during(ctx, warm, func(ctx context.Context) { load.run(ctx, &sum) }, func() error {
		requests, done = sum.snapshot()
		if router, err = begin(f.router.pid()); err != nil {
			return err
		}
		if engines, err = begin(f.enginePIDs()...); err != nil {
			return err
		}
		self, err = begin(os.Getpid())
		return err
	}, func() error {
		n, t := sum.snapshot()
		cpu, span, err := router.end()
		if err != nil {
			return err
		}
		out.RequestsPerS = float64(n-requests) / span.Seconds()
		out.TokensPerS = float64(t-done) / span.Seconds()
		out.RouterCores = cpu.Seconds() / span.Seconds()
		if cpu, span, err = engines.end(); err != nil {
			return err
		}
		out.EngineCores = cpu.Seconds() / span.Seconds()
		if cpu, span, err = self.end(); err != nil {
			return err
		}
		out.LoadCores = cpu.Seconds() / span.Seconds()
		rss, err := residentBytes(f.router.pid())
		out.RouterMB = float64(rss) / (1 << 20)
		return err
	})
	out.Failed, out.FirstError = sum.Failed, text(sum.err)
	return out, err
}

// ramp starts a thousand streams in a second.
func (r *runner) ramp(workers int) time.Duration { return time.Duration(workers) * time.Millisecond }

func text(err error) string {
	if err == nil {
		return ""
	}
	return fmt.Sprintf("%.300s", err)
}

// copyLine is the result of a comparison with a byte copy.
type copyLine struct {
	Run           string  `json:"run"`
	Workers       int     `json:"concurrent_streams"`
	Interval      string  `json:"token_interval"`
	RouterPerS    float64 `json:"router_tokens_per_s"`
	CopyPerS      float64 `json:"copy_tokens_per_s"`
	RouterMicros  float64 `json:"router_cpu_us_per_token"`
	CopyMicros    float64 `json:"copy_cpu_us_per_token"`
	Ratio         float64 `json:"ratio"`
	RouterIdleCPU float64 `json:"router_idle_cores"`
	Failed        int     `json:"failed"`
	FirstError    string  `json:"first_error,omitempty"`
}

// compareCopy compares the CPU time for each token with that of a byte copy of the same stream.
func (r *runner) compareCopy(ctx context.Context, workers, tokens int, interval time.Duration) (any, error) {
	f, err := r.fleet(ctx, fleetConfig{Engines: 1, Interval: interval, Tokens: tokens})
	if err != nil {
		return nil, err
	}
	defer f.stop()
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cp, err := f.run(fleetConfig{Log: r.log}, self, "--serve-copy", f.engines[0].addrs["addr"])
	if err != nil {
		return nil, err
	}
	out := copyLine{Run: "copy", Workers: workers, Interval: interval.String()}
	idle, err := begin(f.router.pid())
	if err != nil {
		return nil, err
	}
	if err := wait(ctx, 2*time.Second); err != nil {
		return nil, err
	}
	cpu, span, err := idle.end()
	if err != nil {
		return nil, err
	}
	out.RouterIdleCPU = cpu.Seconds() / span.Seconds()
	load := closedLoad{Workers: workers, Tokens: tokens, Ramp: r.ramp(workers)}
	load.Addr = f.router.addrs["caller_addr"]
	sum := new(counts)
	if out.RouterPerS, out.RouterMicros, err = r.perToken(ctx, load, sum, f.router.pid(), interval); err != nil {
		return nil, err
	}
	load.Addr, load.Direct = cp.addrs["addr"], true
	if out.CopyPerS, out.CopyMicros, err = r.perToken(ctx, load, sum, cp.pid(), interval); err != nil {
		return nil, err
	}
	out.Ratio = out.RouterMicros / out.CopyMicros
	out.Failed, out.FirstError = sum.Failed, text(sum.err)
	return out, nil
}

// perToken returns the tokens/s of a load and the CPU time in microseconds that a process uses for each.
func (r *runner) perToken(ctx context.Context, load closedLoad, sum *counts, pid int, interval time.Duration) (perS, micros float64, err error) {
	var c cores
	var before int
	warm := load.Ramp + time.Duration(load.Tokens)*interval + time.Second
	err = r.during(ctx, warm, func(ctx context.Context) { load.run(ctx, sum) }, func() error {
		_, before = sum.snapshot()
		c, err = begin(pid)
		return err
	}, func() error {
		_, after := sum.snapshot()
		cpu, span, err := c.end()
		n := float64(after - before)
		perS, micros = n/span.Seconds(), float64(cpu.Microseconds())/n
		return err
	})
	return perS, micros, err
}
