package engine

import (
	"net/http"
	"time"
)

// loadReply is the body of GET /v1/load.
type loadReply struct {
	Running  int       `json:"running"`
	Queued   int       `json:"queued"`
	Capacity int       `json:"capacity"`
	AsOf     time.Time `json:"as_of"`
}

// loadHistory retains recent loads, so that a report can lag.
type loadHistory struct {
	samples []loadSample
}

type loadSample struct {
	at      time.Time
	running int
	queued  int
}

// maxSamples bounds a loadHistory, which drops its older half when full.
const maxSamples = 1024

// record adds a sample. Without a lag, it replaces the only sample.
func (l *loadHistory) record(now time.Time, running, queued int, lag time.Duration) {
	v := loadSample{now, running, queued}
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

// lagged returns the load as it was one lag ago, or the oldest retained sample.
func (l *loadHistory) lagged(now time.Time, lag time.Duration) loadSample {
	for i := len(l.samples) - 1; i > 0; i-- {
		if v := l.samples[i]; now.Sub(v.at) >= lag {
			v.at = now.Add(-lag)
			return v
		}
	}
	return l.samples[0]
}

// recordLoad adds the current load to the history. The caller holds the lock.
func (s *Server) recordLoad() {
	s.loadHistory.record(s.clock.Now(), len(s.running), len(s.queue), s.cfg.LoadLag)
}

func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	v := s.loadHistory.lagged(s.clock.Now(), s.cfg.LoadLag)
	out := loadReply{Running: v.running, Queued: v.queued, Capacity: s.cfg.Capacity, AsOf: v.at}
	if s.faults.Capacity > 0 {
		out.Capacity = s.faults.Capacity
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}
