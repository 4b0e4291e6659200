package node

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"geraniumsaddle/io/engine/send"
	"geraniumsaddle/io/peer"
)

// Faults are the faults to inject into a router, for tests. PUT /faults on the admin address replaces all of them.
type Faults struct {
	// Cut blocks packets between this router and others.
	Cut []FaultCut `json:"cut"`
	// PlatformOutage closes the connections to the platform and refuses new ones.
	PlatformOutage bool `json:"platform_outage"`
}

// FaultCut blocks packets to or from a peer address. Direction is "to", "from" or "both", as seen from this router.
type FaultCut struct {
	Addr      string `json:"addr"`
	Direction string `json:"direction"`
}

// directions maps the names of the directions of a cut.
var directions = map[string]peer.Direction{"to": peer.ToPeer, "from": peer.FromPeer, "both": peer.Both}

const (
	maxFaultsBytes       = 64 << 10
	platformDialTimeout  = 2 * time.Second
	platformMaxIdleConns = 32
)

var errPlatformOutage = errors.New("the platform is cut off by a fault switch")

// faultSwitches injects the faults that are set. It is nil unless fault injection is enabled.
type faultSwitches struct {
	packetFilter *peer.PacketFilter

	mu     sync.Mutex
	outage bool
	conns  map[net.Conn]struct{}
}

// newFaultSwitches returns the switches, or nil if they are not enabled. If they are enabled, it sets
// d.PacketFilter unless the caller has set it.
func newFaultSwitches(enabled bool, d *Deps) *faultSwitches {
	if !enabled {
		return nil
	}
	if d.PacketFilter == nil {
		d.PacketFilter = &peer.PacketFilter{}
	}
	return &faultSwitches{packetFilter: d.PacketFilter, conns: make(map[net.Conn]struct{})}
}

// transport returns the transport to the platform, or nil for the default one.
func (s *faultSwitches) transport() *send.Transport {
	if s == nil {
		return nil
	}
	return send.New(send.Config{MaxIdlePerHost: platformMaxIdleConns, Dial: s.dial})
}

func (s *faultSwitches) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if s.platformDown() {
		return nil, errPlatformOutage
	}
	c, err := (&net.Dialer{Timeout: platformDialTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return nil, errors.Join(errPlatformOutage, c.Close())
	}
	s.conns[c] = struct{}{}
	return &platformConn{Conn: c, s: s}, nil
}

func (s *faultSwitches) platformDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage
}

// platformConn is a connection to the platform that an injected outage can close.
type platformConn struct {
	net.Conn
	s *faultSwitches
}

// Close closes the connection and removes it from the switches.
func (c *platformConn) Close() error {
	c.s.mu.Lock()
	delete(c.s.conns, c.Conn)
	c.s.mu.Unlock()
	return c.Conn.Close()
}

// apply replaces the injected faults. An outage closes the open connections to the platform.
func (s *faultSwitches) apply(f Faults) {
	s.packetFilter.Clear()
	for _, c := range f.Cut {
		s.packetFilter.Set(c.Addr, directions[c.Direction])
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = f.PlatformOutage
	if !s.outage {
		return
	}
	for c := range s.conns {
		_ = c.Close()
		delete(s.conns, c)
	}
}

// ServeHTTP replaces the injected faults with those in the request body.
func (s *faultSwitches) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var f Faults
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultsBytes)).Decode(&f)
	for _, c := range f.Cut {
		if directions[c.Direction] == 0 {
			err = errors.Join(err, errors.New("direction must be to, from or both"))
		}
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.apply(f)
	w.WriteHeader(http.StatusNoContent)
}
