package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
)

// Malformed selects how each connection of an event stream is corrupted at its second event.
type Malformed string

// The kinds of malformed streams.
const (
	// MalformedJSON sends data that is not JSON.
	MalformedJSON Malformed = "json"
	// MalformedTruncated cuts the connection in the middle of an event.
	MalformedTruncated Malformed = "truncated"
	// MalformedOversized sends an event of 1 MB.
	MalformedOversized Malformed = "oversized"
	// MalformedCrossed sends a chunk with the ID of another request.
	MalformedCrossed Malformed = "crossed"
	// MalformedOffset skips an event, so that the offsets have a gap.
	MalformedOffset Malformed = "offset"
)

// Faults are the fault switches. PUT /faults replaces all of them.
type Faults struct {
	// ErrorRate is the share of requests that fail with 500 before they run.
	ErrorRate float64 `json:"error_rate"`
	// SlowMS is added to the interval between tokens, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// Stuck accepts requests but generates no tokens.
	Stuck bool `json:"stuck"`
	// Pause blocks generation and every call, except those for statistics and faults, until it is switched off.
	Pause bool `json:"pause"`
	// Capacity replaces the configured capacity unless it is zero.
	Capacity int `json:"capacity"`
	// FailUnderLoad fails a request with 500 when at least this many others are in flight; zero means never.
	FailUnderLoad int `json:"fail_under_load"`
	// FailRoute fails requests whose X-Route header has this value with 500.
	FailRoute string `json:"fail_route"`
	// Malformed corrupts event streams; empty leaves them intact.
	Malformed Malformed `json:"malformed"`
	// CutAfter cuts each connection of a stream after this number of events, unless the stream ends there; zero means
	// never.
	CutAfter int `json:"cut_after"`
	// NoUsage omits the usage from answers.
	NoUsage bool `json:"no_usage"`
	// OverBound makes the usage report this many output tokens more than the request allows; zero reports the true
	// number.
	OverBound int `json:"over_bound"`
	// CacheGap is the number of upcoming cache events to drop.
	CacheGap int `json:"cache_gap"`
	// OrderDelayMS delays the effect of an order, in milliseconds.
	OrderDelayMS int `json:"order_delay_ms"`
	// LoseReply is the number of upcoming orders whose reply is lost after they have taken effect.
	LoseReply int `json:"lose_reply"`
	// Versions overrides the switches for the requests of a version. Pause, Capacity and the switches for cache
	// events and orders have no effect there.
	Versions map[string]Faults `json:"versions,omitempty"`
}

// forVersion returns the switches that apply to the requests of a version.
func (f Faults) forVersion(version string) Faults {
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
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
	s.wakeLoop()
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, f)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10)).Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_faults", err.Error())
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// pausable wraps a handler so that its calls block while the engine is paused.
func (s *Server) pausable(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !readBody(w, r) {
			return
		}
		for {
			s.mu.Lock()
			paused, changed := s.faults.Pause, s.faultsChanged
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

// readBody buffers the whole body before the handler runs, because net/http detects that a client has disconnected only
// after the body is read. It reports whether the body was read.
func readBody(w http.ResponseWriter, r *http.Request) bool {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		writeError(w, http.StatusRequestEntityTooLarge, "too_large", "the body exceeds 4 MB")
	}
	r.Body = io.NopCloser(bytes.NewReader(b))
	return err == nil
}
