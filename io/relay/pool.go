package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"geraniumsaddle/core/link"
)

// Config configures a Pool. Zero durations and counts take the defaults below; Clock is required.
type Config struct {
	// DialTimeout bounds dialing; the default is 150 ms. Targets are a few milliseconds away, and a short timeout leaves
	// time to send the request to another target.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept; the default is 4 s. That is less than the usual idle timeout
	// of targets, because it is unknown whether a request has run if the target closes the connection as it is sent.
	IdleTimeout time.Duration
	// MaxIdle is the maximum number of idle connections to one target; the default is 32.
	MaxIdle int
	// Clock measures idle times and dates the bytes that Meter counts.
	Clock clockwork.Clock
	// Meter counts the bytes on the connections. It may be nil.
	Meter *link.Meter
}

// Pool sends requests and keeps idle connections to targets. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn // by Request.PoolKey, least recently used first
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	if cfg.DialTimeout <= 0 {
		cfg.DialTimeout = 150 * time.Millisecond
	}
	if cfg.IdleTimeout <= 0 {
		cfg.IdleTimeout = 4 * time.Second
	}
	if cfg.MaxIdle <= 0 {
		cfg.MaxIdle = 32
	}
	keepAlive := net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}
	return &Pool{
		cfg:    cfg,
		dialer: net.Dialer{Timeout: cfg.DialTimeout, KeepAliveConfig: keepAlive},
		idle:   make(map[string][]*conn),
	}
}

// getConn returns an idle connection to a target, or dials one.
func (p *Pool) getConn(ctx context.Context, key, addr string) (*conn, error) {
	for {
		c := p.takeIdle(key)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if c.usable() {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if tcp, ok := raw.(*net.TCPConn); ok {
		// If this fails, the connection works with the default buffer size.
		_ = tcp.SetReadBuffer(receiveBufferSize)
	}
	return newConn(raw, p.cfg), nil
}

// takeIdle removes and returns the most recently used connection, or nil. It closes connections whose idle limit has
// passed, because the target may be closing them too.
func (p *Pool) takeIdle(key string) *conn {
	now := p.cfg.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[key]
	for len(conns) > 0 {
		c := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		p.idle[key] = conns
		if now.Sub(c.idleSince) < p.idleLimit(c) {
			return c
		}
		_ = c.Close()
	}
	delete(p.idle, key)
	return nil
}

// idleLimit returns how long a connection may stay idle. It is at most three quarters of the target's own timeout, as a
// margin for the network delay.
func (p *Pool) idleLimit(c *conn) time.Duration {
	if c.targetIdleTimeout > 0 {
		return min(p.cfg.IdleTimeout, c.targetIdleTimeout*3/4)
	}
	return p.cfg.IdleTimeout
}

// putIdle keeps a connection for reuse, or closes it if the pool has enough for its target.
func (p *Pool) putIdle(key string, c *conn) {
	c.idleSince = p.cfg.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[key]
	if len(conns) >= p.cfg.MaxIdle {
		_ = c.Close()
		return
	}
	p.idle[key] = append(conns, c)
}

// Sweep closes the connections whose idle limit has passed. It takes them out of the pool first, so that requests don't
// wait while they are closed.
func (p *Pool) Sweep() {
	for _, c := range p.takeExpired() {
		_ = c.Close()
	}
}

// takeExpired removes and returns the connections whose idle limit has passed.
func (p *Pool) takeExpired() []*conn {
	var expired []*conn
	now := p.cfg.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Sub(c.idleSince) < p.idleLimit(c) {
				kept = append(kept, c)
				continue
			}
			expired = append(expired, c)
		}
		clear(conns[len(kept):])
		p.idle[key] = kept
		if len(kept) == 0 {
			delete(p.idle, key)
		}
	}
	return expired
}
