package conns

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"geraniumsaddle/core/budget"
	"geraniumsaddle/core/ident"
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
	// HeadLimit returns the maximum size of method, path and headers of a request in bytes. It may be nil, and zero means
	// that only the server's own limit applies.
	HeadLimit func() ident.Bytes
	// Memory is the budget for connections and what they hold. It may be nil.
	Memory *budget.Budget
	// MaxConns is the number of connections that use up the budget, if their memory alone would allow for more. Zero
	// means no such number.
	MaxConns int
	// Refusal returns the bytes of an answer that refuses a request whose head isn't whole. If it is nil, the connection
	// is closed without an answer.
	Refusal func(Refusal) []byte
}

// Refusal says why a request is refused whose head isn't whole.
type Refusal int

// The reasons.
const (
	HeadTooLarge Refusal = iota
	NoMemory
)

// Set is the set of open connections of an http.Server. It is safe for concurrent use.
type Set struct {
	cfg Config
	// idleLimit is in nanoseconds; zero means no limit.
	idleLimit atomic.Int64
	// idleClosed is set once idle connections are closed without regard to the limit.
	idleClosed atomic.Bool
	// bodyLimits holds the limits of a shutdown on the reading of bodies, or nil.
	bodyLimits atomic.Pointer[bodyLimits]

	// evicting is held while connections are chosen for eviction, and evictions counts them by stage.
	evicting  sync.Mutex
	evictions [budget.Evicted + 1]atomic.Uint64
	// shareScan is when stalled bodies were last searched for, and shareFreed whether there were any. evicting guards them.
	shareScan  time.Time
	shareFreed bool
	// rejected counts the connections that were closed at once.
	rejected atomic.Uint64
	// rejecting holds a value for each connection that is being refused.
	rejecting chan struct{}

	mu    sync.Mutex
	conns map[*conn]struct{}
	// removed is signaled when a connection has been closed.
	removed chan struct{}
}

// bodyLimits says that a body whose deadline is later than end must have been read by the time until.
type bodyLimits struct{ until, end time.Time }

// New returns an empty set.
func New(cfg Config) *Set {
	return &Set{cfg: cfg, conns: make(map[*conn]struct{}), removed: make(chan struct{}, 1), rejecting: make(chan struct{}, maxRejecting)}
}

// connCost returns what a connection takes of the budget. Descriptors are as scarce as memory on some VMs, so that a
// connection takes its share of both.
func (s *Set) connCost() ident.Bytes {
	if s.cfg.MaxConns <= 0 || s.cfg.Memory == nil {
		return budget.ConnectionCost
	}
	return max(budget.ConnectionCost, s.cfg.Memory.Limit()/ident.Bytes(s.cfg.MaxConns))
}

// Listener returns a listener whose connections are in the set. The server that accepts them must have TrackState as its
// ConnState hook, and a ReadHeaderTimeout.
func (s *Set) Listener(ln net.Listener) net.Listener { return listener{RetryAccept(ln), s} }

type listener struct {
	net.Listener
	set *Set
}

// Accept returns the next connection. A connection for which there is no memory is refused.
func (l listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.set.Reserve(context.Background(), budget.Connections, l.set.connCost(), roomWait) == nil {
			return l.set.add(raw), nil
		}
		l.set.reject(raw)
	}
}

func (s *Set) add(raw net.Conn) *conn {
	now := s.cfg.Clock.Now()
	c := &conn{Conn: raw, set: s, state: http.StateNew, waiting: true, waitingSince: now}
	c.memory = memory{stage: budget.Idle, lastRead: now}
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
	all := s.all()
	for i, c := range all {
		c.updateDeadline(spread * time.Duration(i) / time.Duration(len(all)))
	}
}

// all returns the open connections.
func (s *Set) all() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	return all
}

// headLimit returns how many bytes may be read until a head is whole, or zero.
func (s *Set) headLimit() ident.Bytes {
	if s.cfg.HeadLimit == nil {
		return 0
	}
	if limit := s.cfg.HeadLimit(); limit > 0 {
		return limit + headForm + readAhead
	}
	return 0
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
