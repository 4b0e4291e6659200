// Package engine provides a fake model engine with continuous batching. The text of an answer depends on the request
// body alone, so a test can check it byte for byte and detect an answer that belongs to another request.
package engine

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// maxBody bounds a request body in bytes.
const maxBody = 4 << 20

// Config configures a Server. A zero field takes the default that its comment names.
type Config struct {
	// Capacity is the maximum number of requests in flight, queued or running; the default is 64. A request above it
	// gets 503 and is counted in Stats.Breaches.
	Capacity int
	// BatchSize is the maximum number of requests that run at once; the default is Capacity.
	BatchSize int
	// TokenInterval is the time between two tokens of a request. Zero generates the whole answer at once.
	TokenInterval time.Duration
	// PrefillPerBlock is the prefill time of each uncached block of the prompt; the default is 0.
	PrefillPerBlock time.Duration
	// StreamRetention is how long a stream can be resumed after its last reader has left; the default is 30 s. A
	// request that is still in flight at the end is cancelled.
	StreamRetention time.Duration
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// CacheLag is the age at which a cache event becomes visible.
	CacheLag time.Duration
	// CacheBlocks is the size of the prompt-prefix cache; the default is 4096.
	CacheBlocks int
	// Versions are the model versions loaded at the start, the first of which serves. With an empty list, requests
	// for any version are accepted.
	Versions []string
	// MaxVersions is the number of versions that can be loaded at once; zero sets no limit.
	MaxVersions int
	// LoadTime is the time that it takes to load a version that is not loaded yet.
	LoadTime time.Duration
	// ChecksFence makes the engine reject orders with an old fencing token.
	ChecksFence bool
	// Seed seeds the random choices of Faults.ErrorRate.
	Seed uint64
}

// Server is the fake engine. It is an HTTP handler.
type Server struct {
	cfg      Config
	clock    clockwork.Clock
	mux      *http.ServeMux
	started  time.Time
	loopWake chan struct{}

	mu            sync.Mutex
	rand          *rand.Rand
	faults        Faults
	faultsChanged chan struct{}
	closed        bool
	loopRunning   bool
	lastArrival   int
	queue         []*request // by priority, then arrival
	running       []*request
	streams       map[string]*request // by request ID
	stats         Stats
	loadHistory   loadHistory
	cache         *cache
	orderState    orderState
}

// Stats holds the counters of the fake engine.
type Stats struct {
	// Held is the number of requests in flight, queued or running.
	Held int `json:"held"`
	// Peak is the highest value of Held so far.
	Peak int `json:"peak"`
	// Breaches counts the requests rejected because the engine was at its capacity.
	Breaches int `json:"breaches"`
	// Failed counts the requests that a fault switch failed before they ran.
	Failed int `json:"failed"`
	// Cancelled counts the requests that were cancelled before their answer was complete.
	Cancelled int `json:"cancelled"`
	// Runs counts the accepted requests by request ID.
	Runs map[string]int `json:"runs"`
	// Versions counts, by version, the requests that were accepted or that a fault switch failed.
	Versions map[string]int `json:"versions"`
}

// New returns a Server. Close cancels its requests.
func New(cfg Config, clock clockwork.Clock) *Server {
	if cfg.Capacity <= 0 {
		cfg.Capacity = 64
	}
	if cfg.BatchSize <= 0 {
		cfg.BatchSize = cfg.Capacity
	}
	if cfg.StreamRetention <= 0 {
		cfg.StreamRetention = 30 * time.Second
	}
	if cfg.CacheBlocks <= 0 {
		cfg.CacheBlocks = 4096
	}
	s := &Server{
		cfg: cfg, clock: clock, mux: http.NewServeMux(), started: clock.Now(),
		loopWake: make(chan struct{}, 1), faultsChanged: make(chan struct{}),
		rand:       rand.New(rand.NewPCG(cfg.Seed, 1)),
		streams:    make(map[string]*request),
		stats:      Stats{Runs: make(map[string]int), Versions: make(map[string]int)},
		cache:      newCache(cfg.CacheBlocks),
		orderState: newOrderState(cfg.Versions, cfg.MaxVersions),
	}
	s.loadHistory.record(s.started, 0, 0, cfg.LoadLag)
	s.mux.HandleFunc("POST /v1/chat/completions", s.pausable(s.chat))
	s.mux.HandleFunc("GET /v1/streams/{id}", s.pausable(s.resume))
	s.mux.HandleFunc("DELETE /v1/streams/{id}", s.pausable(s.cancelStream))
	s.mux.HandleFunc("GET /v1/requests/{id}", s.pausable(s.getRequest))
	s.mux.HandleFunc("GET /v1/load", s.pausable(s.getLoad))
	s.mux.HandleFunc("GET /v1/cache/events", s.pausable(s.getCacheEvents))
	s.mux.HandleFunc("GET /v1/kv/{prefix}", s.pausable(s.exportKV))
	s.mux.HandleFunc("PUT /v1/kv/{prefix}", s.pausable(s.importKV))
	s.mux.HandleFunc("POST /v1/orders", s.pausable(s.applyOrder))
	s.mux.HandleFunc("GET /v1/state", s.pausable(s.getState))
	s.mux.HandleFunc("GET /v1/stats", s.getStats)
	s.mux.HandleFunc("GET /faults", s.getFaults)
	s.mux.HandleFunc("PUT /faults", s.putFaults)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Close cancels all requests, cuts their streams and makes the server reject new requests.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, r := range s.streams {
		s.cancel(r)
		r.stopExpiry()
	}
	s.wakeLoop()
}

// Stats returns a copy of the counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.stats
	out.Held = s.inFlight()
	out.Runs = maps.Clone(s.stats.Runs)
	out.Versions = maps.Clone(s.stats.Versions)
	return out
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Stats())
}

// errorReply is the error object of the OpenAI API.
type errorReply struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type    string `json:"type"`
	Code    string `json:"code"`
	Message string `json:"message"`
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	kind := "invalid_request_error"
	if status >= http.StatusInternalServerError {
		kind = "server_error"
	}
	writeJSON(w, status, errorReply{errorDetail{Type: kind, Code: code, Message: message}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // An error means that the client has disconnected.
}
