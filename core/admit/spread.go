package admit

import "time"

const (
	// rateWindow is the time over which the requests that targets take are counted.
	rateWindow = time.Second
	// minRateWindow is the shortest time from which the first rate is taken.
	minRateWindow = 100 * time.Millisecond
	// minRate is the number of requests per second that are assumed to find room while none is known to.
	minRate = 4
	// minReturn and maxReturn bound the time after which a refused caller may come back. A longer time would outlast the
	// deadlines of most callers.
	minReturn = 100 * time.Millisecond
	maxReturn = 3 * time.Second
)

// spread gives refused callers different times to come back, at the rate at which targets take requests.
type spread struct {
	// taken counts the requests that targets took since windowStart, and rate is that of the last whole window.
	taken       int
	windowStart time.Time
	rate        float64
	// slot is the time that the last refused caller was given.
	slot time.Time
}

// record counts a request that a target has taken.
func (s *spread) record(now time.Time) {
	if age := now.Sub(s.windowStart); age >= rateWindow {
		s.rate = float64(s.taken) / age.Seconds()
		s.windowStart, s.taken = now, 0
	}
	s.taken++
}

// rateAt returns the number of requests per second that targets took lately.
func (s *spread) rateAt(now time.Time) float64 {
	age := now.Sub(s.windowStart)
	switch {
	case age > 2*rateWindow:
		return 0
	case s.rate == 0 && age > 0:
		return float64(s.taken) / max(age, minRateWindow).Seconds()
	}
	return s.rate
}

// next returns the time after which the next refused caller may come back. room is when the targets may have room.
func (s *spread) next(now, room time.Time) time.Duration {
	s.slot = s.slot.Add(time.Duration(float64(time.Second) / max(s.rateAt(now), minRate)))
	if s.slot.Before(room) {
		s.slot = room
	}
	if last := now.Add(maxReturn); s.slot.After(last) {
		// The times are used up: the next round of callers shares them.
		s.slot = room
	}
	return max(s.slot.Sub(now), minReturn)
}
