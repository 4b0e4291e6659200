package queue

import (
	"time"

	"geraniumsaddle/core/ident"
)

// rateWindow is the time over which the dispatch rate is averaged.
const rateWindow = 2 * time.Second

// rate measures the tokens dispatched per second while items wait.
type rate struct {
	tokens float64 // per second, zero before the first measurement
	from   time.Time
	sum    ident.Tokens
}

// popped counts a dispatched item. A window with less than its length is kept open.
func (r *rate) popped(now time.Time, cost ident.Tokens, more bool) {
	if r.from.IsZero() {
		if more {
			r.from = now
		}
		return
	}
	r.sum += cost
	if d := now.Sub(r.from); d >= rateWindow {
		sample := float64(r.sum) / d.Seconds()
		if r.tokens == 0 {
			r.tokens = sample
		} else {
			r.tokens = (r.tokens + sample) / 2
		}
		r.from, r.sum = now, 0
	}
	if !more {
		r.idle()
	}
}

// idle ends the measurement, because an empty queue says nothing about the capacity.
func (r *rate) idle() { r.from, r.sum = time.Time{}, 0 }
