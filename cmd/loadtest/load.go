package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// histogram is a histogram of durations in microseconds. It is safe for concurrent use.
type histogram struct {
	mu  sync.Mutex
	hdr *hdrhistogram.Histogram
}

func newHistogram() *histogram {
	return &histogram{hdr: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

func (h *histogram) record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.hdr.RecordValue(min(max(d.Microseconds(), 1), h.hdr.HighestTrackableValue()))
}

// quantile returns a quantile, given in percent, in milliseconds.
func (h *histogram) quantile(q float64) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return float64(h.hdr.ValueAtQuantile(q)) / 1000
}

// loadStats counts the results of a load. The mutex guards them while the load runs.
type loadStats struct {
	mu       sync.Mutex
	Requests int
	Tokens   int
	Failed   int
	firstErr error
}

func (s *loadStats) addResult(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.Requests++
		return
	}
	s.Failed++
	if s.firstErr == nil {
		s.firstErr = err
	}
}

func (s *loadStats) addTokens(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Tokens += n
}

// snapshot returns the requests and tokens so far.
func (s *loadStats) snapshot() (requests, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Requests, s.Tokens
}

// closedLoopLoad is a load from workers that each send the next request when the previous one has ended.
type closedLoopLoad struct {
	Addr    string
	Direct  bool
	Workers int
	Tokens  int
	// Ramp is the time over which the workers start. It leaves time for the allotments of tokens and slots to grow.
	Ramp time.Duration
	// Gaps, if not nil, records the times between the reads of one stream that contain tokens.
	Gaps *histogram
}

// run runs the load until ctx ends, and then waits for the open requests.
func (l closedLoopLoad) run(ctx context.Context, stats *loadStats) {
	var wg sync.WaitGroup
	for i := range l.Workers {
		wg.Go(func() {
			if sleep(ctx, l.Ramp*time.Duration(i)/time.Duration(l.Workers)) == nil {
				l.runWorker(ctx, i, stats)
			}
		})
	}
	wg.Wait()
}

func (l closedLoopLoad) runWorker(ctx context.Context, i int, stats *loadStats) {
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
				stats.addResult(err)
				return
			}
		}
		var last time.Time
		_, err := c.stream(l.Tokens, func(n int) {
			stats.addTokens(n)
			if l.Gaps == nil {
				return
			}
			now := time.Now()
			if !last.IsZero() {
				l.Gaps.record(now.Sub(last))
			}
			last = now
		})
		stats.addResult(err)
		if err != nil {
			_ = c.Close()
			c = nil
			_ = sleep(ctx, 100*time.Millisecond)
		}
	}
}

// sleep waits for a duration or the end of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// openLoopLoad sends requests at a fixed rate, regardless of the responses. It reuses idle connections.
type openLoopLoad struct {
	Addr   string
	Direct bool
	Rate   int // requests/s
	Tokens int
	Total  *histogram
	First  *histogram
}

func (l openLoopLoad) run(ctx context.Context, stats *loadStats) {
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
		wg.Go(func() { l.send(i, idle, stats) })
	}
}

func (l openLoopLoad) send(i int, idle chan *conn, stats *loadStats) {
	var c *conn
	select {
	case c = <-idle:
	default:
		var err error
		if c, err = dial(l.Addr, l.Direct, fmt.Sprint("open ", i)); err != nil {
			stats.addResult(err)
			return
		}
	}
	r, err := c.stream(l.Tokens, nil)
	stats.addResult(err)
	stats.addTokens(r.Tokens)
	if err != nil {
		_ = c.Close()
		return
	}
	l.Total.record(r.Total)
	l.First.record(r.FirstToken)
	select {
	case idle <- c:
	default:
		_ = c.Close()
	}
}
