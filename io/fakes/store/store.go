// Package store is a stand-in for the platform: an object service with versions, conditional updates and watches, a
// VM list that lags, and a weight store with a bounded rate. It keeps its state in memory.
package store

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// MaxValue is the largest value of an object in bytes.
const MaxValue = 1 << 20

// Config describes the stand-in.
type Config struct {
	// WritesPerSecond and ReadsPerSecond bound the rates of calls; zero means no bound. A burst of one second's
	// calls is accepted.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// WeightsPerSecond bounds the transfer slots of the weight store; zero means no bound.
	WeightsPerSecond float64
	// History is the number of events kept for the watches of each kind; zero means 4096.
	History int
	// VMs is the initial VM list.
	VMs []VM
	// VMLag is the age of the VM list.
	VMLag time.Duration
	// Seed fixes the choices of the error rate.
	Seed uint64
}

// VM is an entry of the VM list. State is "live", "leaving" or "gone".
type VM struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	State  string `json:"state"`
}

// Faults are the fault switches. PUT /faults replaces all of them.
type Faults struct {
	// Outage refuses every call with 503 and ends the watches.
	Outage bool `json:"outage"`
	// DelayMS delays each call before its effect, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseReply is the number of next writes whose reply is lost after the effect.
	LoseReply int `json:"lose_reply"`
	// ErrorRate is the share of calls that fail with 500 before any effect.
	ErrorRate float64 `json:"error_rate"`
}

// Object is a stored object. Its version is the global version of its last change.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Server is the stand-in as an HTTP handler.
type Server struct {
	cfg   Config
	clock clockwork.Clock
	mux   *http.ServeMux

	mu      sync.Mutex
	rand    *rand.Rand
	faults  Faults
	calls   map[string]int
	writes  bucket
	reads   bucket
	weights bucket
	slots   int
	version uint64
	kinds   map[string]*collection
	vms     map[string][]vmChange
	closed  bool
	done    chan struct{}
	wake    chan struct{}
}

// New returns a stand-in. Close ends its watches and delayed calls.
func New(cfg Config, clock clockwork.Clock) *Server {
	if cfg.History <= 0 {
		cfg.History = 4096
	}
	now := clock.Now()
	s := &Server{
		cfg: cfg, clock: clock, mux: http.NewServeMux(),
		rand:    rand.New(rand.NewPCG(cfg.Seed, 1)),
		calls:   make(map[string]int),
		writes:  newBucket(cfg.WritesPerSecond, now),
		reads:   newBucket(cfg.ReadsPerSecond, now),
		weights: newBucket(cfg.WeightsPerSecond, now),
		kinds:   make(map[string]*collection),
		vms:     make(map[string][]vmChange),
		done:    make(chan struct{}),
		wake:    make(chan struct{}),
	}
	for _, vm := range cfg.VMs {
		s.vms[vm.Name] = []vmChange{{at: now.Add(-cfg.VMLag), vm: vm}}
	}
	s.mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.call("get", &s.reads, s.get))
	s.mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.call("put", &s.writes, s.put))
	s.mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.call("delete", &s.writes, s.remove))
	s.mux.HandleFunc("GET /v1/objects/{kind}", s.call("list", &s.reads, s.list))
	s.mux.HandleFunc("GET /v1/watch/{kind}", s.call("watch", &s.reads, s.watch))
	s.mux.HandleFunc("GET /v1/vms", s.call("vms", &s.reads, s.listVMs))
	s.mux.HandleFunc("PUT /v1/vms/{name}", s.call("put_vm", &s.writes, s.putVM))
	s.mux.HandleFunc("POST /v1/weights/{version}", s.call("weights", nil, s.takeSlot))
	s.mux.HandleFunc("GET /v1/calls", s.getCalls)
	s.mux.HandleFunc("GET /faults", s.getFaults)
	s.mux.HandleFunc("PUT /faults", s.putFaults)
	return s
}

// ServeHTTP serves one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Close ends all watches and delayed calls and refuses new watches.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	close(s.done)
	s.notify()
}

// SetFaults replaces the fault switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notify()
}

// Calls returns a copy of the number of calls by kind of call. Calls refused over the rate are counted under their
// kind and again as "limited".
func (s *Server) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.calls))
	for k, n := range s.calls {
		out[k] = n
	}
	return out
}

// notify wakes the watches. The caller holds the lock.
func (s *Server) notify() {
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, s.Calls()) }

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
