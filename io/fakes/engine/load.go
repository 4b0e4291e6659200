package engine

import (
	"net/http"
	"time"
)

type loadReply struct {
	Running  int       `json:"running"`
	Queued   int       `json:"queued"`
	Capacity int       `json:"capacity"`
	AsOf     time.Time `json:"as_of"`
}

// loads keeps the recent numbers of requests, so that a report can lag.
type loads struct {
	samples []sample
}

type sample struct {
	at      time.Time
	running int
	queued  int
}

// maxSamples bounds the history; a full history drops its oldest half.
const maxSamples = 1024

func (l *loads) add(now time.Time, running, queued int, lag time.Duration) {
	v := sample{now, running, queued}
	n := len(l.samples)
	if lag <= 0 && n > 0 {
		l.samples[n-1] = v
		return
	}
	if n >= maxSamples {
		l.samples = append(l.samples[:0], l.samples[n/2:]...)
	}
	l.samples = append(l.samples, v)
}

// get returns the newest sample that is at least as old as the lag, or the oldest sample.
func (l *loads) get(now time.Time, lag time.Duration) sample {
	for i := len(l.samples) - 1; i > 0; i-- {
		if v := l.samples[i]; now.Sub(v.at) >= lag {
			v.at = now.Add(-lag)
			return v
		}
	}
	return l.samples[0]
}

// sample records the load. The caller holds the lock.
func (s *Server) sample() {
	s.load.add(s.clock.Now(), len(s.running), len(s.queue), s.cfg.LoadLag)
}

func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	v := s.load.get(s.clock.Now(), s.cfg.LoadLag)
	out := loadReply{Running: v.running, Queued: v.queued, Capacity: s.cfg.Capacity, AsOf: v.at}
	if s.faults.Capacity > 0 {
		out.Capacity = s.faults.Capacity
	}
	s.mu.Unlock()
	reply(w, http.StatusOK, out)
}
