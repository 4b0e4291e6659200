package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// hist is a histogram of durations in microseconds. It is safe for concurrent use.
type hist struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newHist() *hist { return &hist{h: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)} }

func (h *hist) add(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(min(max(d.Microseconds(), 1), h.h.HighestTrackableValue()))
}

// quantile returns a quantile in milliseconds.
func (h *hist) quantile(q float64) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return float64(h.h.ValueAtQuantile(q)) / 1000
}

// counts are the results of a load. The lock guards them while workers run.
type counts struct {
	mu       sync.Mutex
	Requests int
	Tokens   int
	Failed   int
	err      error // of the first failure
}

func (c *counts) done(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.Requests++
		return
	}
	c.Failed++
	if c.err == nil {
		c.err = err
	}
}

func (c *counts) tokens(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Tokens += n
}

// snapshot returns the requests and tokens so far.
func (c *counts) snapshot() (requests, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Requests, c.Tokens
}

// closedLoad is a load of workers that each send a request when the one before has ended.
type closedLoad struct {
	Addr    string
	Direct  bool
	Workers int
	Tokens  int
	// Ramp is the time over which the workers start, so that allotments of tokens and slots follow.
	Ramp time.Duration
	// Gaps collects the times between the reads of one stream, or is nil.
	Gaps *hist
}

// run runs the load until ctx ends and the workers' last requests have been answered.
func (l closedLoad) run(ctx context.Context, sum *counts) {
	var wg sync.WaitGroup
	for i := range l.Workers {
		wg.Go(func() {
			if wait(ctx, l.Ramp*time.Duration(i)/time.Duration(l.Workers)) == nil {
				l.worker(ctx, i, sum)
			}
		})
	}
	wg.Wait()
}

func (l closedLoad) worker(ctx context.Context, i int, sum *counts) {
	var c *conn
	defer func() {
		if c != nil {
			_ = c.Close()
		}
	}()
	for ctx.Err() == nil {
		if c == nil {
			var err error
			if c, err = dial(l.Addr, l.Direct, fmt.Sprint("worker ", i)); err != nil {
				sum.done(err)
				return
			}
		}
		var last time.Time
		_, err := c.stream(l.Tokens, func(n int) {
			sum.tokens(n)
			if l.Gaps == nil {
				return
			}
			now := time.Now()
			if !last.IsZero() {
				l.Gaps.add(now.Sub(last))
			}
			last = now
		})
		sum.done(err)
		if err != nil {
			_ = c.Close()
			c = nil
			_ = wait(ctx, 100*time.Millisecond)
		}
	}
}

// wait waits for a time or the end of ctx.
func wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// openLoad sends requests at a fixed rate, whatever the answers. It reuses the connections that are idle.
type openLoad struct {
	Addr   string
	Direct bool
	Rate   int // requests/s
	Tokens int
	Total  *hist
	First  *hist
}

func (l openLoad) run(ctx context.Context, sum *counts) {
	idle := make(chan *conn, 1024)
	var wg sync.WaitGroup
	defer func() {
		wg.Wait()
		close(idle)
		for c := range idle {
			_ = c.Close()
		}
	}()
	tick := time.NewTicker(time.Second / time.Duration(l.Rate))
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		wg.Go(func() { l.one(i, idle, sum) })
	}
}

func (l openLoad) one(i int, idle chan *conn, sum *counts) {
	var c *conn
	select {
	case c = <-idle:
	default:
		var err error
		if c, err = dial(l.Addr, l.Direct, fmt.Sprint("open ", i)); err != nil {
			sum.done(err)
			return
		}
	}
	r, err := c.stream(l.Tokens, nil)
	sum.done(err)
	sum.tokens(r.Tokens)
	if err != nil {
		_ = c.Close()
		return
	}
	l.Total.add(r.Total)
	l.First.add(r.First)
	select {
	case idle <- c:
	default:
		_ = c.Close()
	}
}
