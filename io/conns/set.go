package conns

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"geraniumsaddle/core/link"
)

const (
	// idleMargin is added to the idle limit, so that a connection is never closed on a caller that observes the limit.
	idleMargin = time.Second
	// expirySpread is the time over which connections that a lower limit expires at once are closed, so that their
	// goroutines don't all compete with requests for the processor.
	expirySpread = 500 * time.Millisecond
	// firstRequestGrace is how long a shutdown waits for the first request of a connection that a caller has just opened.
	firstRequestGrace = time.Second
)

// Config configures a Set. Clock is required.
type Config struct {
	// Clock gives the times from which deadlines are computed. The deadlines themselves are in real time.
	Clock clockwork.Clock
	// Meter counts the bytes in both directions. It may be nil.
	Meter *link.Meter
	// HeadTimeout returns how long a caller may take to send the head of a request. It may be nil, and zero means that
	// only the server's own timeout applies.
	HeadTimeout func() time.Duration
}

// Set is the set of open connections of an http.Server. It is safe for concurrent use.
type Set struct {
	cfg Config
	// idleLimit is in nanoseconds; zero means no limit.
	idleLimit atomic.Int64
	// idleClosed is set once idle connections are closed without regard to the limit.
	idleClosed atomic.Bool
	// bodyLimits holds the limits of a shutdown on the reading of bodies, or nil.
	bodyLimits atomic.Pointer[bodyLimits]

	mu    sync.Mutex
	conns map[*conn]struct{}
	// removed is signaled when a connection has been closed.
	removed chan struct{}
}

// bodyLimits says that a body whose deadline is later than end must have been read by the time until.
type bodyLimits struct{ until, end time.Time }

// New returns an empty set.
func New(cfg Config) *Set {
	return &Set{cfg: cfg, conns: make(map[*conn]struct{}), removed: make(chan struct{}, 1)}
}

// Listener returns a listener whose connections are in the set. The server that accepts them must have TrackState as its
// ConnState hook, and a ReadHeaderTimeout.
func (s *Set) Listener(ln net.Listener) net.Listener { return listener{ln, s} }

type listener struct {
	net.Listener
	set *Set
}

// Accept returns the next connection.
func (l listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.set.add(raw), nil
}

func (s *Set) add(raw net.Conn) *conn {
	c := &conn{Conn: raw, set: s, state: http.StateNew, waiting: true, waitingSince: s.cfg.Clock.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	return c
}

func (s *Set) remove(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	select {
	case s.removed <- struct{}{}:
	default:
	}
}

// Len returns the number of open connections.
func (s *Set) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// TrackState is the ConnState hook of the server.
func (s *Set) TrackState(raw net.Conn, state http.ConnState) {
	if c, ok := raw.(*conn); ok {
		c.setState(state)
	}
}

// SetIdleLimit sets how long a connection may wait for the next request, also for connections that wait already. Zero
// means no limit.
func (s *Set) SetIdleLimit(limit time.Duration) {
	if s.idleLimit.Swap(int64(limit)) != int64(limit) {
		s.updateDeadlines(expirySpread)
	}
}

// LimitBodies lets requests whose own deadline is after end wait for the rest of their bodies only until the given time.
func (s *Set) LimitBodies(until, end time.Time) {
	s.bodyLimits.Store(&bodyLimits{until, end})
	s.updateDeadlines(0)
}

// CloseIdle closes connections on which no request has begun, now and when they become idle.
func (s *Set) CloseIdle() {
	s.idleClosed.Store(true)
	s.updateDeadlines(0)
}

// updateDeadlines applies changed limits to all connections. Deadlines that have passed are spread over a time. No lock
// is held that the requests of other connections need.
func (s *Set) updateDeadlines(spread time.Duration) {
	s.mu.Lock()
	all := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	s.mu.Unlock()
	for i, c := range all {
		c.updateDeadline(spread * time.Duration(i) / time.Duration(len(all)))
	}
}

// Wait waits until all connections are closed. It returns the error of the context if that ends before.
func (s *Set) Wait(ctx context.Context) error {
	for s.Len() > 0 {
		select {
		case <-s.removed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
