package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
)

// Malformed names a way in which an event stream is broken at its second chunk.
type Malformed string

// The ways of breaking a stream.
const (
	// MalformedJSON sends data that is not JSON.
	MalformedJSON Malformed = "json"
	// MalformedTruncated ends the answer in the middle of an event.
	MalformedTruncated Malformed = "truncated"
	// MalformedOversized sends an event of 1 MB.
	MalformedOversized Malformed = "oversized"
	// MalformedCrossed sends a chunk of another request.
	MalformedCrossed Malformed = "crossed"
	// MalformedOffset leaves out a chunk.
	MalformedOffset Malformed = "offset"
)

// Faults are the fault switches. PUT /faults replaces all of them.
type Faults struct {
	// ErrorRate is the share of requests that fail with 500 before they run.
	ErrorRate float64 `json:"error_rate"`
	// SlowMS is added to the interval between tokens, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// Stuck accepts requests and generates nothing.
	Stuck bool `json:"stuck"`
	// Pause holds every call and all generation until it is switched off.
	Pause bool `json:"pause"`
	// Capacity replaces the configured capacity unless it is zero.
	Capacity int `json:"capacity"`
	// FailUnderLoad fails a request with 500 while more than this number are held; zero means never.
	FailUnderLoad int `json:"fail_under_load"`
	// FailRoute fails requests whose header X-Route has this value with 500.
	FailRoute string `json:"fail_route"`
	// Malformed breaks event streams.
	Malformed Malformed `json:"malformed"`
	// CutAfter cuts each connection of a stream after this number of chunks; zero means never.
	CutAfter int `json:"cut_after"`
	// NoUsage leaves out the usage.
	NoUsage bool `json:"no_usage"`
	// OverBound is the number of output tokens above the bound that the usage reports; zero reports the true number.
	OverBound int `json:"over_bound"`
	// CacheGap is the number of next cache events that are dropped.
	CacheGap int `json:"cache_gap"`
	// OrderDelayMS delays the effect of an order, in milliseconds.
	OrderDelayMS int `json:"order_delay_ms"`
	// LoseReply is the number of next orders whose reply is lost after the effect.
	LoseReply int `json:"lose_reply"`
	// Versions replaces the switches for the requests of a version. Pause, Capacity and the switches of cache
	// events and orders have no effect there.
	Versions map[string]Faults `json:"versions,omitempty"`
}

// of returns the switches for the requests of a version.
func (f Faults) of(version string) Faults {
	if v, ok := f.Versions[version]; ok {
		return v
	}
	return f
}

// SetFaults replaces the fault switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
	s.poke()
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	reply(w, http.StatusOK, f)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10)).Decode(&f); err != nil {
		fail(w, http.StatusBadRequest, "invalid_faults", err.Error())
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// pausable holds a call while the engine is paused.
func (s *Server) pausable(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !readBody(w, r) {
			return
		}
		for {
			s.mu.Lock()
			paused, changed := s.faults.Pause, s.changed
			s.mu.Unlock()
			if !paused {
				next(w, r)
				return
			}
			select {
			case <-changed:
			case <-r.Context().Done():
				return
			}
		}
	}
}

// readBody reads the whole body before the call runs. net/http sees that a client has left only after that.
func readBody(w http.ResponseWriter, r *http.Request) bool {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		fail(w, http.StatusRequestEntityTooLarge, "too_large", "the body exceeds 4 MB")
	}
	r.Body = io.NopCloser(bytes.NewReader(b))
	return err == nil
}
