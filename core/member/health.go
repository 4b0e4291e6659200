package member

import "time"

const (
	// minLoopDelay is the shortest delay of the local loop that ordinary scheduling does not explain.
	minLoopDelay = 250 * time.Millisecond
	// minPause is the delay of the local loop from which on this router's member table is out of date.
	minPause = 5 * time.Second
	// scoreDecayInterval is the time without a fault after which the score falls by one.
	scoreDecayInterval = 5 * time.Second
	maxScore           = 8
)

// health is the local health score of the Lifeguard extensions to SWIM: a router whose own loop is slow gives
// others more time before it suspects them.
type health struct {
	score     int
	changedAt time.Time // last change of score
}

// observeDelay updates the score with the delay of the local loop. It reports whether the delay is at least
// minLoopDelay.
func (h *health) observeDelay(delay time.Duration, now time.Time) bool {
	if delay >= minLoopDelay {
		h.worsen(now)
		return true
	}
	if h.score > 0 && now.Sub(h.changedAt) >= scoreDecayInterval {
		h.score--
		h.changedAt = now
	}
	return false
}

func (h *health) worsen(now time.Time) {
	h.score = min(h.score+1, maxScore)
	h.changedAt = now
}

func (h *health) scale(d time.Duration) time.Duration { return d * time.Duration(1+h.score) }
