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

// tokenBucket is a token bucket whose burst size is one second's calls, but at least one. A zero rate means no limit.
type tokenBucket struct {
	rate    float64
	tokens  float64
	updated time.Time
}

func newTokenBucket(rate float64, now time.Time) tokenBucket {
	return tokenBucket{rate: rate, tokens: max(rate, 1), updated: now}
}

// take consumes a token and reports whether there was one. If not, wait is the time until the next token.
func (b *tokenBucket) take(now time.Time) (wait time.Duration, ok bool) {
	if b == nil || b.rate <= 0 {
		return 0, true
	}
	b.tokens = min(max(b.rate, 1), b.tokens+b.rate*now.Sub(b.updated).Seconds())
	b.updated = now
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	return time.Duration((1 - b.tokens) / b.rate * float64(time.Second)), false
}

// withRateLimit wraps a handler so that its calls are counted under name and are subject to the rate limit, which may
// be nil, and to the fault switches.
func (s *Server) withRateLimit(name string, limit *tokenBucket, next http.HandlerFunc) http.HandlerFunc {
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
			writeRateLimited(w, wait)
			return
		}
		if delay > 0 {
			// A delayed call takes effect even when its client has disconnected, like a write in flight.
			select {
			case <-s.clock.After(delay):
			case <-s.done:
				return
			}
		}
		if !s.writeInjectedFailure(w) {
			next(w, r)
		}
	}
}

// readBody buffers the whole body before the handler runs, because net/http detects that a client has disconnected only
// after the body is read. It reports whether the body was read.
func readBody(w http.ResponseWriter, r *http.Request) bool {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValue))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		writeError(w, http.StatusRequestEntityTooLarge, "too_large", "the value exceeds 1 MB")
	}
	r.Body = io.NopCloser(bytes.NewReader(b))
	return err == nil
}

// writeInjectedFailure writes an error if the Outage or ErrorRate switch fails the call, and reports whether it did.
func (s *Server) writeInjectedFailure(w http.ResponseWriter) bool {
	s.mu.Lock()
	outage := s.faults.Outage
	failed := s.faults.ErrorRate > 0 && s.rand.Float64() < s.faults.ErrorRate
	s.mu.Unlock()
	switch {
	case outage:
		writeError(w, http.StatusServiceUnavailable, "outage", "the platform is not available")
	case failed:
		writeError(w, http.StatusInternalServerError, "injected", "the error rate chose this call")
	}
	return outage || failed
}

// loseReply cuts the connection of a write that has taken effect, if the LoseReply switch says so, and counts it down.
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

// writeRateLimited writes the error of a call over the rate limit, with Retry-After in whole seconds, rounded up.
func writeRateLimited(w http.ResponseWriter, wait time.Duration) {
	w.Header().Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(wait.Seconds())))))
	writeError(w, http.StatusTooManyRequests, "rate_limited", "the rate of calls is exceeded")
}

// errorReply is an error object like that of the OpenAI API. Version is the current version of the object, if the
// condition of a write did not match it.
type errorReply struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Version uint64 `json:"version,omitempty"`
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, errorReply{errorDetail{Code: code, Message: message}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // An error means that the client has disconnected.
}
