package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"geraniumsaddle/core/link"
)

// Config bounds the connections. Zero fields take the defaults named at each field.
type Config struct {
	// DialTimeout bounds the opening of a connection; 150 ms. Targets are a few milliseconds away, and a request can
	// still go to another one in time.
	DialTimeout time.Duration
	// IdleTimeout closes a connection that waits for a request; 4 s, less than the usual timeout of targets, because
	// a request that meets the target's close has an unknown fate.
	IdleTimeout time.Duration
	// MaxIdle is the number of waiting connections to one target; 32.
	MaxIdle int
	// Clock gives the time.
	Clock clockwork.Clock
	// Meter counts what the connections carry, unless it is nil.
	Meter *link.Meter
}

// Pool keeps connections to targets. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn // by target, oldest first
}

// New returns a pool without connections.
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

// get returns a waiting connection to a target, or opens one. Key tells two targets apart that had one address.
func (p *Pool) get(ctx context.Context, key, addr string) (*conn, error) {
	for {
		c := p.take(key)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if c.quiet() {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	c, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok {
		// The default buffer is used when this one cannot be set.
		_ = t.SetReadBuffer(receiveBuffer)
	}
	return newConn(c, p.cfg), nil
}

// take removes the connection that was used last. It drops those that the target may be closing.
func (p *Pool) take(key string) *conn {
	now := p.cfg.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[key] = list
		if now.Sub(c.idleSince) < p.limit(c) {
			return c
		}
		_ = c.Close()
	}
	delete(p.idle, key)
	return nil
}

// limit returns how long a connection may wait: less than the target's own timeout, with a margin for the way.
func (p *Pool) limit(c *conn) time.Duration {
	if c.idleFor > 0 {
		return min(p.cfg.IdleTimeout, c.idleFor*3/4)
	}
	return p.cfg.IdleTimeout
}

func (p *Pool) put(key string, c *conn) {
	c.idleSince = p.cfg.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	if len(list) >= p.cfg.MaxIdle {
		_ = c.Close()
		return
	}
	p.idle[key] = append(list, c)
}

// Sweep closes the connections that have waited too long.
func (p *Pool) Sweep() {
	now := p.cfg.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < p.limit(c) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		clear(list[len(kept):])
		p.idle[key] = kept
		if len(kept) == 0 {
			delete(p.idle, key)
		}
	}
}
