package store

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"
)

// bucket is a token bucket that holds one second's calls. A zero rate means no bound.
type bucket struct {
	rate float64
	have float64
	at   time.Time
}

func newBucket(rate float64, now time.Time) bucket {
	return bucket{rate: rate, have: max(rate, 1), at: now}
}

// take reports whether a call is within the rate, or else how long to wait.
func (b *bucket) take(now time.Time) (wait time.Duration, ok bool) {
	if b == nil || b.rate <= 0 {
		return 0, true
	}
	b.have = min(max(b.rate, 1), b.have+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.have >= 1 {
		b.have--
		return 0, true
	}
	return time.Duration((1 - b.have) / b.rate * float64(time.Second)), false
}

// call counts a call, applies its rate and the fault switches, and then runs it.
func (s *Server) call(name string, limit *bucket, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !readBody(w, r) {
			return
		}
		s.mu.Lock()
		s.calls[name]++
		delay := time.Duration(s.faults.DelayMS) * time.Millisecond
		wait, ok := limit.take(s.clock.Now())
		if !ok {
			s.calls["limited"]++
		}
		s.mu.Unlock()
		if !ok {
			limited(w, wait)
			return
		}
		if delay > 0 {
			// A delayed call takes effect even when its client has left, as a write in flight does.
			select {
			case <-s.clock.After(delay):
			case <-s.done:
				return
			}
		}
		if !s.failed(w) {
			next(w, r)
		}
	}
}

// readBody reads the whole body before the call runs. net/http sees that a client has left only after that.
func readBody(w http.ResponseWriter, r *http.Request) bool {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValue))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		fail(w, http.StatusRequestEntityTooLarge, "too_large", "the value exceeds 1 MB")
	}
	r.Body = io.NopCloser(bytes.NewReader(b))
	return err == nil
}

// failed answers a call that the outage or the error rate refuses.
func (s *Server) failed(w http.ResponseWriter) bool {
	s.mu.Lock()
	outage := s.faults.Outage
	failed := s.faults.ErrorRate > 0 && s.rand.Float64() < s.faults.ErrorRate
	s.mu.Unlock()
	switch {
	case outage:
		fail(w, http.StatusServiceUnavailable, "outage", "the platform is not available")
	case failed:
		fail(w, http.StatusInternalServerError, "injected", "the error rate chose this call")
	}
	return outage || failed
}

// loseReply cuts the connection of a write after its effect, if the fault switch says so.
func (s *Server) loseReply() {
	s.mu.Lock()
	lost := s.faults.LoseReply > 0
	if lost {
		s.faults.LoseReply--
	}
	s.mu.Unlock()
	if lost {
		// net/http closes the connection without a reply.
		panic(http.ErrAbortHandler)
	}
}

func limited(w http.ResponseWriter, wait time.Duration) {
	w.Header().Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(wait.Seconds())))))
	fail(w, http.StatusTooManyRequests, "rate_limited", "the rate of calls is exceeded")
}

// errorReply is the error object of the OpenAI API with the current version of the object.
type errorReply struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Version uint64 `json:"version,omitempty"`
}

func fail(w http.ResponseWriter, status int, code, message string) {
	reply(w, status, errorReply{errorDetail{Code: code, Message: message}})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // An error means that the client has left.
}
