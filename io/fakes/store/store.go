// Package store provides a fake platform: an object service with versions, conditional updates and watches, a VM list
// that lags, and a rate-limited weight store. It keeps its state in memory.
package store

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// MaxValue is the maximum size of an object's value in bytes.
const MaxValue = 1 << 20

// Config configures a Server.
type Config struct {
	// WritesPerSecond and ReadsPerSecond limit the rates of calls; zero means no limit. A burst of one second's
	// calls is accepted.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// WeightsPerSecond limits the rate at which the weight store grants transfer slots; zero means no limit.
	WeightsPerSecond float64
	// History is the number of events retained for the watches of each kind; zero means 4096.
	History int
	// VMs is the initial VM list.
	VMs []VM
	// VMLag is the age at which a change becomes visible in the VM list.
	VMLag time.Duration
	// Seed seeds the random choices of Faults.ErrorRate.
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
	// Outage fails every call with 503 and ends the watches. The calls for call counts and faults still work.
	Outage bool `json:"outage"`
	// DelayMS delays each call before it takes effect, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseReply is the number of upcoming writes whose reply is lost after they have taken effect.
	LoseReply int `json:"lose_reply"`
	// ErrorRate is the share of calls that fail with 500 before they take effect.
	ErrorRate float64 `json:"error_rate"`
}

// Object is a stored object. Version is the store-wide version number of its last change.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Server is the fake platform. It is an HTTP handler.
type Server struct {
	cfg   Config
	clock clockwork.Clock
	mux   *http.ServeMux

	mu          sync.Mutex
	rand        *rand.Rand
	faults      Faults
	calls       map[string]int
	writes      tokenBucket
	reads       tokenBucket
	weights     tokenBucket
	slots       int                    // transfer slots granted so far
	version     uint64                 // of the newest change
	collections map[string]*collection // by kind
	vmHistory   map[string][]vmChange  // by VM name, oldest change first
	closed      bool
	done        chan struct{}
	changed     chan struct{} // closed and replaced by notify
}

// New returns a Server. Close ends its watches and delayed calls.
func New(cfg Config, clock clockwork.Clock) *Server {
	if cfg.History <= 0 {
		cfg.History = 4096
	}
	now := clock.Now()
	s := &Server{
		cfg: cfg, clock: clock, mux: http.NewServeMux(),
		rand:        rand.New(rand.NewPCG(cfg.Seed, 1)),
		calls:       make(map[string]int),
		writes:      newTokenBucket(cfg.WritesPerSecond, now),
		reads:       newTokenBucket(cfg.ReadsPerSecond, now),
		weights:     newTokenBucket(cfg.WeightsPerSecond, now),
		collections: make(map[string]*collection),
		vmHistory:   make(map[string][]vmChange),
		done:        make(chan struct{}),
		changed:     make(chan struct{}),
	}
	for _, vm := range cfg.VMs {
		s.vmHistory[vm.Name] = []vmChange{{at: now.Add(-cfg.VMLag), vm: vm}}
	}
	s.mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.withRateLimit("get", &s.reads, s.get))
	s.mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.withRateLimit("put", &s.writes, s.put))
	s.mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.withRateLimit("delete", &s.writes, s.remove))
	s.mux.HandleFunc("GET /v1/objects/{kind}", s.withRateLimit("list", &s.reads, s.list))
	s.mux.HandleFunc("GET /v1/watch/{kind}", s.withRateLimit("watch", &s.reads, s.watch))
	s.mux.HandleFunc("GET /v1/vms", s.withRateLimit("vms", &s.reads, s.listVMs))
	s.mux.HandleFunc("PUT /v1/vms/{name}", s.withRateLimit("put_vm", &s.writes, s.putVM))
	s.mux.HandleFunc("POST /v1/weights/{version}", s.withRateLimit("weights", nil, s.takeSlot))
	s.mux.HandleFunc("GET /v1/calls", s.getCalls)
	s.mux.HandleFunc("GET /faults", s.getFaults)
	s.mux.HandleFunc("PUT /faults", s.putFaults)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Close ends all watches, and delayed calls without effect. Later ones end at once.
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

// Calls returns the number of calls by kind of call. A call over the limit of reads or writes is counted under its kind
// and again as "limited".
func (s *Server) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.calls))
	for k, n := range s.calls {
		out[k] = n
	}
	return out
}

// notify wakes all watches. The caller holds the lock.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Calls())
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
