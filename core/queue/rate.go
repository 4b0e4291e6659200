package queue

import (
	"time"

	"geraniumsaddle/core/ident"
)

// rateWindow is the minimum length of one sample of the dispatch rate.
const rateWindow = 2 * time.Second

// rateMeter measures how many tokens per second are dispatched while items wait.
type rateMeter struct {
	perSecond    float64 // smoothed rate, zero before the first sample
	windowStart  time.Time
	windowTokens ident.Tokens
}

// recordDispatch counts a dispatched item and completes a sample after rateWindow. more says whether further items
// wait; if none do, an incomplete sample is discarded.
func (r *rateMeter) recordDispatch(now time.Time, cost ident.Tokens, more bool) {
	if r.windowStart.IsZero() {
		if more {
			r.windowStart = now
		}
		return
	}
	r.windowTokens += cost
	if d := now.Sub(r.windowStart); d >= rateWindow {
		sample := float64(r.windowTokens) / d.Seconds()
		if r.perSecond == 0 {
			r.perSecond = sample
		} else {
			r.perSecond = (r.perSecond + sample) / 2
		}
		r.windowStart, r.windowTokens = now, 0
	}
	if !more {
		r.reset()
	}
}

// reset discards the current sample, because an empty queue says nothing about the capacity.
func (r *rateMeter) reset() { r.windowStart, r.windowTokens = time.Time{}, 0 }
