// Package desk is a stand-in for a plain service with non-idempotent reservations and a stock list. It keeps its
// state in memory and counts the runs of each idempotency key, so that a test can see a repeated call.
package desk

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// maxBody bounds a request body in bytes.
const maxBody = 64 << 10

// Config describes the stand-in.
type Config struct {
	// Stock is the initial quantity of each item.
	Stock map[string]int
	// DefaultStock is the initial quantity of an item that Stock does not name.
	DefaultStock int
	// Capacity is the number of calls held at once; zero means 64. A call above it gets 503 and counts a breach.
	Capacity int
	// LoadLag is the minimum age of a load report.
	LoadLag time.Duration
	// Seed fixes the choices of the error rate.
	Seed uint64
}

// Faults are the fault switches. PUT /faults replaces all of them.
type Faults struct {
	// ErrorRate is the share of calls that fail with 500 before any effect.
	ErrorRate float64 `json:"error_rate"`
	// SlowMS delays each call before its effect, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// LoseReply is the number of next reservations whose reply is lost after the effect.
	LoseReply int `json:"lose_reply"`
	// LoseRequest is the number of next reservations whose connection is cut before the effect.
	LoseRequest int `json:"lose_request"`
	// Pause holds every call until it is switched off.
	Pause bool `json:"pause"`
}

// Stats are the counters of the stand-in.
type Stats struct {
	Held     int            `json:"held"`
	Peak     int            `json:"peak"`
	Breaches int            `json:"breaches"`
	Runs     map[string]int `json:"runs"`
}

// Server is the stand-in as an HTTP handler.
type Server struct {
	cfg   Config
	clock clockwork.Clock
	mux   *http.ServeMux

	mu       sync.Mutex
	rand     *rand.Rand
	stock    map[string]int
	next     int
	faults   Faults
	changed  chan struct{}
	held     int
	peak     int
	breaches int
	runs     map[string]int
	load     loads
}

// New returns a stand-in.
func New(cfg Config, clock clockwork.Clock) *Server {
	if cfg.Capacity <= 0 {
		cfg.Capacity = 64
	}
	s := &Server{
		cfg: cfg, clock: clock, mux: http.NewServeMux(),
		rand:  rand.New(rand.NewPCG(cfg.Seed, 1)),
		stock: make(map[string]int), changed: make(chan struct{}), runs: make(map[string]int),
	}
	for item, n := range cfg.Stock {
		s.stock[item] = n
	}
	s.load.add(clock.Now(), 0, cfg.LoadLag)
	s.mux.HandleFunc("POST /reservations", s.hold(s.reserve))
	s.mux.HandleFunc("GET /stock/{item}", s.hold(s.getStock))
	s.mux.HandleFunc("GET /v1/load", s.getLoad)
	s.mux.HandleFunc("GET /v1/stats", s.getStats)
	s.mux.HandleFunc("GET /faults", s.getFaults)
	s.mux.HandleFunc("PUT /faults", s.putFaults)
	return s
}

// ServeHTTP serves one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the fault switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// Stats returns a copy of the counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Stats{Held: s.held, Peak: s.peak, Breaches: s.breaches, Runs: make(map[string]int, len(s.runs))}
	for k, n := range s.runs {
		out.Runs[k] = n
	}
	return out
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, s.Stats()) }

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	reply(w, http.StatusOK, f)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&f); err != nil {
		fail(w, http.StatusBadRequest, "invalid_faults", err.Error())
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// errorReply is the error object of the OpenAI API.
type errorReply struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func fail(w http.ResponseWriter, status int, code, message string) {
	reply(w, status, errorReply{errorDetail{Code: code, Message: message}})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // An error means that the client has left.
}
