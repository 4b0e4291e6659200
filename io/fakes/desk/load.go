package desk

import "time"

type loadReply struct {
	Running  int       `json:"running"`
	Queued   int       `json:"queued"`
	Capacity int       `json:"capacity"`
	AsOf     time.Time `json:"as_of"`
}

// loads keeps the recent numbers of calls held, so that a report can lag.
type loads struct {
	samples []sample
}

type sample struct {
	at   time.Time
	held int
}

// maxSamples bounds the history; a full history drops its oldest half.
const maxSamples = 1024

func (l *loads) add(now time.Time, held int, lag time.Duration) {
	n := len(l.samples)
	if lag <= 0 && n > 0 {
		l.samples[n-1] = sample{now, held}
		return
	}
	if n >= maxSamples {
		l.samples = append(l.samples[:0], l.samples[n/2:]...)
	}
	l.samples = append(l.samples, sample{now, held})
}

// get returns the newest sample that is at least as old as the lag, or the oldest sample.
func (l *loads) get(now time.Time, lag time.Duration) (time.Time, int) {
	for i := len(l.samples) - 1; i > 0; i-- {
		if s := l.samples[i]; now.Sub(s.at) >= lag {
			return now.Add(-lag), s.held
		}
	}
	return l.samples[0].at, l.samples[0].held
}
