package member

import "time"

const (
	// lateAfter is a delay of the local loop that is more than ordinary scheduling.
	lateAfter = 250 * time.Millisecond
	// pauseAfter is a delay after which the own view of the fleet is out of date.
	pauseAfter = 5 * time.Second
	// recoverEvery is the time without a fault after which the score falls by one.
	recoverEvery = 5 * time.Second
	maxScore     = 8
)

// health is the local health score of Lifeguard: a router whose own loop is slow gives others more time
// before it suspects them.
type health struct {
	score int
	at    time.Time // last change
}

// observe takes the delay of the local loop. It reports whether the delay is a fault.
func (h *health) observe(by time.Duration, now time.Time) bool {
	if by >= lateAfter {
		h.worsen(now)
		return true
	}
	if h.score > 0 && now.Sub(h.at) >= recoverEvery {
		h.score--
		h.at = now
	}
	return false
}

func (h *health) worsen(now time.Time) {
	h.score = min(h.score+1, maxScore)
	h.at = now
}

func (h *health) scale(d time.Duration) time.Duration { return d * time.Duration(1+h.score) }
