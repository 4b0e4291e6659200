package node

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"geraniumsaddle/io/engine/reach"
	"geraniumsaddle/io/peer"
)

// Faults are the fault switches of a router, for tests. PUT /faults on the admin address replaces all of them.
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

// directions are the names of the directions of a cut.
var directions = map[string]peer.Direction{"to": peer.ToPeer, "from": peer.FromPeer, "both": peer.Both}

const (
	maxFaults    = 64 << 10
	platformDial = 2 * time.Second
	platformIdle = 32
)

var errCut = errors.New("the platform is cut off by a fault switch")

// switches applies the fault switches. It is nil unless they are enabled.
type switches struct {
	cuts *peer.PacketFilter

	mu     sync.Mutex
	outage bool
	conns  map[net.Conn]struct{}
}

// newSwitches returns the switches, or nil. It sets the cuts of d unless the caller has.
func newSwitches(enabled bool, d *Deps) *switches {
	if !enabled {
		return nil
	}
	if d.Cuts == nil {
		d.Cuts = &peer.PacketFilter{}
	}
	return &switches{cuts: d.Cuts, conns: make(map[net.Conn]struct{})}
}

// transport returns the transport to the platform; nil is the default one.
func (s *switches) transport() *reach.Transport {
	if s == nil {
		return nil
	}
	return reach.New(reach.Config{MaxIdlePerHost: platformIdle, Dial: s.dial})
}

func (s *switches) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if s.cutOff() {
		return nil, errCut
	}
	c, err := (&net.Dialer{Timeout: platformDial}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return nil, errors.Join(errCut, c.Close())
	}
	s.conns[c] = struct{}{}
	return &platformConn{Conn: c, s: s}, nil
}

func (s *switches) cutOff() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage
}

// platformConn is a connection that the switches can close.
type platformConn struct {
	net.Conn
	s *switches
}

// Close closes the connection and forgets it.
func (c *platformConn) Close() error {
	c.s.mu.Lock()
	delete(c.s.conns, c.Conn)
	c.s.mu.Unlock()
	return c.Conn.Close()
}

func (s *switches) set(f Faults) {
	s.cuts.Clear()
	for _, c := range f.Cut {
		s.cuts.Set(c.Addr, directions[c.Direction])
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

// ServeHTTP replaces the switches.
func (s *switches) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var f Faults
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaults)).Decode(&f)
	for _, c := range f.Cut {
		if directions[c.Direction] == 0 {
			err = errors.Join(err, errors.New("direction must be to, from or both"))
		}
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.set(f)
	w.WriteHeader(http.StatusNoContent)
}
