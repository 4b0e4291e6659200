package queue

import "time"

// RetryConfig bounds retries. Zero fields take the defaults.
type RetryConfig struct {
	// Share is the number of retries allowed for each first attempt.
	Share float64
	// PerSecond is the number of retries per second that are allowed regardless of traffic.
	PerSecond float64
	// Burst is the maximum number of unused retries that accumulate.
	Burst float64
}

// The defaults of RetryConfig.
const (
	DefaultRetryShare     = 0.1
	DefaultRetryPerSecond = 1
	DefaultRetryBurst     = 20
)

// RetryBudget limits retries to a share of the traffic plus a small constant rate, so that failing
// targets do not get a multiple of their load.
type RetryBudget struct {
	cfg    RetryConfig
	tokens float64
	last   time.Time
}

// NewRetryBudget returns a full budget.
func NewRetryBudget(cfg RetryConfig, now time.Time) *RetryBudget {
	if cfg.Share <= 0 {
		cfg.Share = DefaultRetryShare
	}
	if cfg.PerSecond <= 0 {
		cfg.PerSecond = DefaultRetryPerSecond
	}
	if cfg.Burst <= 0 {
		cfg.Burst = DefaultRetryBurst
	}
	return &RetryBudget{cfg: cfg, tokens: cfg.Burst, last: now}
}

// RecordAttempt counts the first attempt of a request.
func (b *RetryBudget) RecordAttempt() { b.add(b.cfg.Share) }

// Allow reports whether a retry may be sent now, and counts it if so.
func (b *RetryBudget) Allow(now time.Time) bool {
	if d := now.Sub(b.last); d > 0 {
		b.add(d.Seconds() * b.cfg.PerSecond)
		b.last = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *RetryBudget) add(n float64) { b.tokens = min(b.tokens+n, b.cfg.Burst) }
