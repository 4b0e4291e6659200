// Package engine is a stand-in for a model engine with continuous batching. Its answers follow from the prompt alone,
// so a test can check an answer byte for byte and see an answer that belongs to another request.
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

// Config describes the stand-in. Zero fields take the defaults named at each field.
type Config struct {
	// Capacity is the number of requests held at once, queued or running; 64. A request above it gets 503 and
	// counts a breach.
	Capacity int
	// BatchSize is the number of requests that run at once; Capacity.
	BatchSize int
	// TokenInterval is the time between two tokens of a request. Zero generates a whole answer at once.
	TokenInterval time.Duration
	// PrefillPerBlock is the time to read one uncached block of the prompt; 0.
	PrefillPerBlock time.Duration
	// StreamRetention is how long a stream is kept after its last reader left; 30 s. A request that still runs then is
	// cancelled.
	StreamRetention time.Duration
	// LoadLag and CacheLag are the ages of load reports and of cache events.
	LoadLag  time.Duration
	CacheLag time.Duration
	// CacheBlocks is the size of the prompt-prefix cache; 4096.
	CacheBlocks int
	// Versions are the loaded versions. An empty list accepts any version.
	Versions []string
	// MaxVersions is the number of versions that fit at once; zero sets no limit.
	MaxVersions int
	// LoadTime is the time that an order to load a version takes.
	LoadTime time.Duration
	// ChecksFence refuses orders with an old fencing number.
	ChecksFence bool
	// Seed fixes the choices of the error rate.
	Seed uint64
}

// Server is the stand-in as an HTTP handler.
type Server struct {
	cfg     Config
	clock   clockwork.Clock
	mux     *http.ServeMux
	started time.Time
	kick    chan struct{}

	mu      sync.Mutex
	rand    *rand.Rand
	faults  Faults
	changed chan struct{}
	closed  bool
	looping bool
	arrival int
	queue   []*request // in the order of service
	running []*request
	streams map[string]*request
	stats   Stats
	load    loads
	cache   *cache
	control control
}

// Stats are the counters of the stand-in.
type Stats struct {
	// Held is the number of requests queued or running, and Peak the largest such number.
	Held int `json:"held"`
	Peak int `json:"peak"`
	// Breaches counts the requests refused over the capacity.
	Breaches int `json:"breaches"`
	// Failed counts the requests that a fault switch refused before they ran.
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
	// Runs counts the runs of each request id.
	Runs map[string]int `json:"runs"`
	// Versions counts the requests of each version that were accepted or that a fault switch refused.
	Versions map[string]int `json:"versions"`
}

// New returns a stand-in. Close cancels its requests.
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
		kick: make(chan struct{}, 1), changed: make(chan struct{}),
		rand:    rand.New(rand.NewPCG(cfg.Seed, 1)),
		streams: make(map[string]*request),
		stats:   Stats{Runs: make(map[string]int), Versions: make(map[string]int)},
		cache:   newCache(cfg.CacheBlocks),
		control: newControl(cfg.Versions, cfg.MaxVersions),
	}
	s.load.add(s.started, 0, 0, cfg.LoadLag)
	s.mux.HandleFunc("POST /v1/chat/completions", s.pausable(s.chat))
	s.mux.HandleFunc("GET /v1/streams/{id}", s.pausable(s.resume))
	s.mux.HandleFunc("DELETE /v1/streams/{id}", s.pausable(s.cancelStream))
	s.mux.HandleFunc("GET /v1/requests/{id}", s.pausable(s.getRequest))
	s.mux.HandleFunc("GET /v1/load", s.pausable(s.getLoad))
	s.mux.HandleFunc("GET /v1/cache/events", s.pausable(s.getCacheEvents))
	s.mux.HandleFunc("GET /v1/kv/{prefix}", s.pausable(s.exportKV))
	s.mux.HandleFunc("PUT /v1/kv/{prefix}", s.pausable(s.importKV))
	s.mux.HandleFunc("POST /v1/orders", s.pausable(s.order))
	s.mux.HandleFunc("GET /v1/state", s.pausable(s.getState))
	s.mux.HandleFunc("GET /v1/stats", s.getStats)
	s.mux.HandleFunc("GET /faults", s.getFaults)
	s.mux.HandleFunc("PUT /faults", s.putFaults)
	return s
}

// ServeHTTP serves one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Close cancels all requests and cuts their streams.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, r := range s.streams {
		s.cancel(r)
		r.stopTimer()
	}
	s.poke()
}

// Stats returns a copy of the counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.stats
	out.Held = s.held()
	out.Runs = maps.Clone(s.stats.Runs)
	out.Versions = maps.Clone(s.stats.Versions)
	return out
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, s.Stats()) }

// errorReply is the error object of the OpenAI API.
type errorReply struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type    string `json:"type"`
	Code    string `json:"code"`
	Message string `json:"message"`
}

func fail(w http.ResponseWriter, status int, code, message string) {
	kind := "invalid_request_error"
	if status >= http.StatusInternalServerError {
		kind = "server_error"
	}
	reply(w, status, errorReply{errorDetail{Type: kind, Code: code, Message: message}})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // An error means that the client has left.
}
