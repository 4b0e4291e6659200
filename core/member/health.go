package member

import "time"

const (
	// lateAfter is the shortest delay of the local loop that ordinary scheduling does not explain.
	lateAfter = 250 * time.Millisecond
	// pauseAfter is the delay of the local loop after which this router's member table is out of date.
	pauseAfter = 5 * time.Second
	// recoverEvery is the time without a fault after which the score falls by one.
	recoverEvery = 5 * time.Second
	maxScore     = 8
)

// health is the local health score of the Lifeguard extensions to SWIM: a router whose own loop is slow gives
// others more time before it suspects them.
type health struct {
	score     int
	changedAt time.Time // last change of score
}

// observeDelay updates the score with the delay of the local loop. It reports whether the delay is at least lateAfter.
func (h *health) observeDelay(delay time.Duration, now time.Time) bool {
	if delay >= lateAfter {
		h.worsen(now)
		return true
	}
	if h.score > 0 && now.Sub(h.changedAt) >= recoverEvery {
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
