package plain

import "time"

// loadReply is the body of GET /v1/load.
type loadReply struct {
	Running  int       `json:"running"`
	Queued   int       `json:"queued"`
	Capacity int       `json:"capacity"`
	AsOf     time.Time `json:"as_of"`
}

// loadHistory retains recent numbers of calls in flight, so that a report can lag.
type loadHistory struct {
	samples []loadSample
}

type loadSample struct {
	at       time.Time
	inFlight int
}

// maxSamples bounds a loadHistory, which drops its older half when full.
const maxSamples = 1024

// record adds a sample. Without a lag, it replaces the only sample.
func (l *loadHistory) record(now time.Time, inFlight int, lag time.Duration) {
	n := len(l.samples)
	if lag <= 0 && n > 0 {
		l.samples[n-1] = loadSample{now, inFlight}
		return
	}
	if n >= maxSamples {
		l.samples = append(l.samples[:0], l.samples[n/2:]...)
	}
	l.samples = append(l.samples, loadSample{now, inFlight})
}

// lagged returns the time and value of the load as it was one lag ago, or those of the oldest retained sample.
func (l *loadHistory) lagged(now time.Time, lag time.Duration) (time.Time, int) {
	for i := len(l.samples) - 1; i > 0; i-- {
		if s := l.samples[i]; now.Sub(s.at) >= lag {
			return now.Add(-lag), s.inFlight
		}
	}
	return l.samples[0].at, l.samples[0].inFlight
}
