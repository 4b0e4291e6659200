package edge

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// idleMargin is added to the configured idle timeout, so that a connection is never closed on a caller that observes
// the timeout.
const idleMargin = time.Second

// idleConns closes idle connections of callers. The configured timeout may change while connections are open, which
// http.Server.IdleTimeout does not support.
type idleConns struct {
	clock clockwork.Clock

	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
}

func newIdleConns(clock clockwork.Clock) *idleConns {
	return &idleConns{clock: clock, idleSince: make(map[net.Conn]time.Time)}
}

// trackState records when a connection becomes idle.
func (c *idleConns) trackState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.idleSince[conn] = c.clock.Now()
		return
	}
	delete(c.idleSince, conn)
}

// closeExpired closes the connections that have been idle for longer than the limit plus idleMargin. Zero means no
// limit.
func (c *idleConns) closeExpired(now time.Time, limit time.Duration) {
	if limit <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, idleSince := range c.idleSince {
		if now.Sub(idleSince) > limit+idleMargin {
			delete(c.idleSince, conn)
			_ = conn.Close()
		}
	}
}
