package plain

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// reservationRequest is the body of POST /reservations.
type reservationRequest struct {
	Item     string `json:"item"`
	Quantity int    `json:"quantity"`
}

// reservationReply is the reply to POST /reservations.
type reservationReply struct {
	ReservationID string `json:"reservation_id"`
	Item          string `json:"item"`
	Quantity      int    `json:"quantity"`
	Left          int    `json:"left"`
}

// stockReply is the reply to GET /stock/{item}.
type stockReply struct {
	Item string `json:"item"`
	Left int    `json:"left"`
}

// withAdmission wraps a handler so that its calls count against the capacity and are subject to the switches Pause,
// SlowMS and ErrorRate before they take effect.
func (s *Server) withAdmission(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !readBody(w, r) {
			return
		}
		if !s.acquire() {
			w.Header().Set("Retry-After", "1")
			writeError(w, http.StatusServiceUnavailable, "over_capacity", "the service holds as many calls as it can")
			return
		}
		defer s.release()
		if !s.applyDelays(r) {
			return
		}
		s.mu.Lock()
		failed := s.faults.ErrorRate > 0 && s.rand.Float64() < s.faults.ErrorRate
		s.mu.Unlock()
		if failed {
			writeError(w, http.StatusInternalServerError, "injected", "the error rate chose this call")
			return
		}
		next(w, r)
	}
}

// readBody buffers the whole body before the handler runs, because net/http detects that a client has disconnected only
// after the body is read. It reports whether the body was read.
func readBody(w http.ResponseWriter, r *http.Request) bool {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		writeError(w, http.StatusRequestEntityTooLarge, "too_large", "the body exceeds 64 KB")
	}
	r.Body = io.NopCloser(bytes.NewReader(b))
	return err == nil
}

// acquire counts a call as in flight, or reports false and counts a breach when the service is at its capacity.
func (s *Server) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight >= s.cfg.Capacity {
		s.breaches++
		return false
	}
	s.inFlight++
	s.peak = max(s.peak, s.inFlight)
	s.loadHistory.record(s.clock.Now(), s.inFlight, s.cfg.LoadLag)
	return true
}

// release ends a call that acquire has counted.
func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.loadHistory.record(s.clock.Now(), s.inFlight, s.cfg.LoadLag)
}

// applyDelays waits while Pause is on and then for SlowMS. It reports false if the client disconnects meanwhile.
func (s *Server) applyDelays(r *http.Request) bool {
	for {
		s.mu.Lock()
		paused, changed, slow := s.faults.Pause, s.faultsChanged, s.faults.SlowMS
		s.mu.Unlock()
		if paused {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return false
			}
		}
		if slow <= 0 {
			return true
		}
		select {
		case <-s.clock.After(time.Duration(slow) * time.Millisecond):
			return true
		case <-r.Context().Done():
			return false
		}
	}
}

func (s *Server) reserve(w http.ResponseWriter, r *http.Request) {
	var in reservationRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_body", err.Error())
		return
	}
	if in.Item == "" || in.Quantity < 1 {
		writeError(w, http.StatusBadRequest, "invalid_body", "item and a positive quantity are required")
		return
	}
	out, ok, lost := s.takeStock(in, r.Header.Get("Idempotency-Key"))
	if lost {
		// net/http closes the connection without a reply.
		panic(http.ErrAbortHandler)
	}
	if !ok {
		writeError(w, http.StatusConflict, "out_of_stock", fmt.Sprintf("%d left of item %s", out.Left, in.Item))
		return
	}
	writeJSON(w, http.StatusCreated, out)
}

// takeStock runs one reservation and reports whether there was enough stock. If lost is true, a fault switch lost the
// request or its reply, and the caller must cut the connection.
func (s *Server) takeStock(in reservationRequest, key string) (out reservationReply, ok, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseRequest > 0 {
		s.faults.LoseRequest--
		return reservationReply{}, false, true
	}
	s.runs[key]++
	left := s.remaining(in.Item)
	if ok = left >= in.Quantity; ok {
		left -= in.Quantity
		s.stock[in.Item] = left
		s.lastReservation++
	}
	if s.faults.LoseReply > 0 {
		s.faults.LoseReply--
		lost = true
	}
	id := fmt.Sprintf("res-%d", s.lastReservation)
	return reservationReply{ReservationID: id, Item: in.Item, Quantity: in.Quantity, Left: left}, ok, lost
}

// remaining returns the quantity left of an item. The caller holds the lock.
func (s *Server) remaining(item string) int {
	n, ok := s.stock[item]
	if !ok {
		n = s.cfg.DefaultStock
	}
	return n
}

func (s *Server) getStock(w http.ResponseWriter, r *http.Request) {
	item := r.PathValue("item")
	s.mu.Lock()
	out := stockReply{Item: item, Left: s.remaining(item)}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

func (s *Server) getLoad(w http.ResponseWriter, r *http.Request) {
	if !s.applyDelays(r) {
		return
	}
	s.mu.Lock()
	at, inFlight := s.loadHistory.lagged(s.clock.Now(), s.cfg.LoadLag)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, loadReply{Running: inFlight, Capacity: s.cfg.Capacity, AsOf: at})
}
