package desk

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

type reservation struct {
	Item     string `json:"item"`
	Quantity int    `json:"quantity"`
}

type reserved struct {
	ReservationID string `json:"reservation_id"`
	Item          string `json:"item"`
	Quantity      int    `json:"quantity"`
	Left          int    `json:"left"`
}

type stock struct {
	Item string `json:"item"`
	Left int    `json:"left"`
}

// hold counts a call as held while it runs and applies the faults that come before the effect.
func (s *Server) hold(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !readBody(w, r) {
			return
		}
		if !s.enter() {
			w.Header().Set("Retry-After", "1")
			fail(w, http.StatusServiceUnavailable, "over_capacity", "the service holds as many calls as it can")
			return
		}
		defer s.leave()
		if !s.wait(r) {
			return
		}
		s.mu.Lock()
		failed := s.faults.ErrorRate > 0 && s.rand.Float64() < s.faults.ErrorRate
		s.mu.Unlock()
		if failed {
			fail(w, http.StatusInternalServerError, "injected", "the error rate chose this call")
			return
		}
		next(w, r)
	}
}

// readBody reads the whole body before the call runs. net/http sees that a client has left only after that.
func readBody(w http.ResponseWriter, r *http.Request) bool {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		fail(w, http.StatusRequestEntityTooLarge, "too_large", "the body exceeds 64 KB")
	}
	r.Body = io.NopCloser(bytes.NewReader(b))
	return err == nil
}

func (s *Server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held >= s.cfg.Capacity {
		s.breaches++
		return false
	}
	s.held++
	s.peak = max(s.peak, s.held)
	s.load.add(s.clock.Now(), s.held, s.cfg.LoadLag)
	return true
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held--
	s.load.add(s.clock.Now(), s.held, s.cfg.LoadLag)
}

// wait applies the pause and the delay. It reports whether the client is still there.
func (s *Server) wait(r *http.Request) bool {
	for {
		s.mu.Lock()
		paused, changed, slow := s.faults.Pause, s.changed, s.faults.SlowMS
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
	var in reservation
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		fail(w, http.StatusBadRequest, "invalid_body", err.Error())
		return
	}
	if in.Item == "" || in.Quantity < 1 {
		fail(w, http.StatusBadRequest, "invalid_body", "item and a positive quantity are required")
		return
	}
	out, ok, lost := s.take(in, r.Header.Get("Idempotency-Key"))
	if lost {
		// net/http closes the connection without a reply.
		panic(http.ErrAbortHandler)
	}
	if !ok {
		fail(w, http.StatusConflict, "out_of_stock", fmt.Sprintf("%d left of item %s", out.Left, in.Item))
		return
	}
	reply(w, http.StatusCreated, out)
}

// take runs one reservation. The result is lost when a fault switch cuts the reply.
func (s *Server) take(in reservation, key string) (out reserved, ok, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseRequest > 0 {
		s.faults.LoseRequest--
		return reserved{}, false, true
	}
	s.runs[key]++
	left := s.left(in.Item)
	if ok = left >= in.Quantity; ok {
		left -= in.Quantity
		s.stock[in.Item] = left
		s.next++
	}
	if s.faults.LoseReply > 0 {
		s.faults.LoseReply--
		lost = true
	}
	id := fmt.Sprintf("res-%d", s.next)
	return reserved{ReservationID: id, Item: in.Item, Quantity: in.Quantity, Left: left}, ok, lost
}

func (s *Server) left(item string) int {
	n, ok := s.stock[item]
	if !ok {
		n = s.cfg.DefaultStock
	}
	return n
}

func (s *Server) getStock(w http.ResponseWriter, r *http.Request) {
	item := r.PathValue("item")
	s.mu.Lock()
	out := stock{Item: item, Left: s.left(item)}
	s.mu.Unlock()
	reply(w, http.StatusOK, out)
}

func (s *Server) getLoad(w http.ResponseWriter, r *http.Request) {
	if !s.wait(r) {
		return
	}
	s.mu.Lock()
	at, held := s.load.get(s.clock.Now(), s.cfg.LoadLag)
	s.mu.Unlock()
	reply(w, http.StatusOK, loadReply{Running: held, Capacity: s.cfg.Capacity, AsOf: at})
}
