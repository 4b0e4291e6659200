// Package plain provides a fake of a plain HTTP service with non-idempotent reservations and a stock list. It keeps its
// state in memory and counts the runs of each idempotency key, so that a test can detect a repeated call.
package plain

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

// Config configures a Server.
type Config struct {
	// Stock is the initial quantity of each item.
	Stock map[string]int
	// DefaultStock is the initial quantity of an item that Stock does not name.
	DefaultStock int
	// Capacity is the maximum number of calls in flight; zero means 64. A call above it gets 503 and is counted in
	// Stats.Breaches.
	Capacity int
	// LoadLag is the minimum age of a load report.
	LoadLag time.Duration
	// Seed seeds the random choices of Faults.ErrorRate.
	Seed uint64
}

// Faults are the fault switches. PUT /faults replaces all of them.
type Faults struct {
	// ErrorRate is the share of calls that fail with 500 before they take effect. Load reports never fail.
	ErrorRate float64 `json:"error_rate"`
	// SlowMS delays each call before it takes effect, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// LoseReply is the number of upcoming reservations whose reply is lost after they have run.
	LoseReply int `json:"lose_reply"`
	// LoseRequest is the number of upcoming reservations whose connection is cut before they run.
	LoseRequest int `json:"lose_request"`
	// Pause blocks every call, except those for statistics and faults, until it is switched off.
	Pause bool `json:"pause"`
}

// Stats holds the counters of the fake service.
type Stats struct {
	// Held is the number of calls in flight.
	Held int `json:"held"`
	// Peak is the highest value of Held so far.
	Peak int `json:"peak"`
	// Breaches counts the calls rejected because the service was at its capacity.
	Breaches int `json:"breaches"`
	// Runs counts the reservations that ran, also those that found too little stock, by idempotency key.
	Runs map[string]int `json:"runs"`
}

// Server is the fake service. It is an HTTP handler.
type Server struct {
	cfg   Config
	clock clockwork.Clock
	mux   *http.ServeMux

	mu              sync.Mutex
	rand            *rand.Rand
	stock           map[string]int // quantity left by item
	lastReservation int            // number in the newest reservation ID
	faults          Faults
	faultsChanged   chan struct{}
	inFlight        int
	peak            int
	breaches        int
	runs            map[string]int
	loadHistory     loadHistory
}

// New returns a Server.
func New(cfg Config, clock clockwork.Clock) *Server {
	if cfg.Capacity <= 0 {
		cfg.Capacity = 64
	}
	s := &Server{
		cfg: cfg, clock: clock, mux: http.NewServeMux(),
		rand:  rand.New(rand.NewPCG(cfg.Seed, 1)),
		stock: make(map[string]int), faultsChanged: make(chan struct{}), runs: make(map[string]int),
	}
	for item, n := range cfg.Stock {
		s.stock[item] = n
	}
	s.loadHistory.record(clock.Now(), 0, cfg.LoadLag)
	s.mux.HandleFunc("POST /reservations", s.withAdmission(s.reserve))
	s.mux.HandleFunc("GET /stock/{item}", s.withAdmission(s.getStock))
	s.mux.HandleFunc("GET /v1/load", s.getLoad)
	s.mux.HandleFunc("GET /v1/stats", s.getStats)
	s.mux.HandleFunc("GET /faults", s.getFaults)
	s.mux.HandleFunc("PUT /faults", s.putFaults)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the fault switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// Stats returns a copy of the counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Stats{Held: s.inFlight, Peak: s.peak, Breaches: s.breaches, Runs: make(map[string]int, len(s.runs))}
	for k, n := range s.runs {
		out.Runs[k] = n
	}
	return out
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Stats())
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, f)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_faults", err.Error())
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// errorReply is an error object like that of the OpenAI API.
type errorReply struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, errorReply{errorDetail{Code: code, Message: message}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // An error means that the client has disconnected.
}
