package conns

import (
	"context"
	"time"

	"geraniumsaddle/core/budget"
	"geraniumsaddle/core/ident"
)

// shareScanPause is the time between two searches for stalled bodies, so that many refused requests don't each look through
// all connections.
const shareScanPause = 10 * time.Millisecond

// ReserveShare repeats a reservation of an organisation's share that has failed with the given error. For up to roomWait it
// evicts connections whose bodies hold a part of such a share and hardly arrive: first those of the same organisation, each
// the longest stalled first. It returns the last error of reserve.
func (s *Set) ReserveShare(ctx context.Context, org ident.OrgID, err error, reserve func() error) error {
	if s.cfg.Memory == nil {
		return err
	}
	t := s.cfg.Clock.NewTimer(roomWait)
	defer t.Stop()
	for err != nil {
		room := s.cfg.Memory.Room()
		if err = reserve(); err == nil || !s.evictStalledBody(org) {
			return err
		}
		select {
		case <-room:
		case <-t.Chan():
			return err
		case <-ctx.Done():
			return err
		}
	}
	return nil
}

// stalledBody is a connection whose body hardly arrives.
type stalledBody struct {
	conn   *conn
	holder budget.Holder
	org    ident.OrgID
	since  time.Time
}

// evictStalledBody evicts the connection with the body that has stalled for longest. It reports whether there was one, or
// one was being evicted, at the last search, which is at most shareScanPause ago.
func (s *Set) evictStalledBody(org ident.OrgID) bool {
	s.evicting.Lock()
	defer s.evicting.Unlock()
	if now := s.cfg.Clock.Now(); now.Sub(s.shareScan) >= shareScanPause {
		s.shareScan, s.shareFreed = now, s.findStalledBody(org)
	}
	return s.shareFreed
}

// findStalledBody is evictStalledBody without the pause. The caller holds s.evicting.
func (s *Set) findStalledBody(org ident.OrgID) bool {
	var victim *stalledBody
	pending := false
	for _, c := range s.all() {
		b, evicted := c.stalledBody()
		pending = pending || evicted
		if b != nil && (victim == nil || b.before(victim, org)) {
			victim = b
		}
	}
	if victim == nil || !victim.conn.evict(victim.holder) {
		return pending || victim != nil
	}
	s.evictions[budget.ReadingBody].Add(1)
	return true
}

// before reports whether b is evicted before other to make room for an organisation.
func (b *stalledBody) before(other *stalledBody, org ident.OrgID) bool {
	if own := b.org == org; own != (other.org == org) {
		return own
	}
	return b.since.Before(other.since)
}

// stalledBody returns the body of the connection if it holds a part of a share and hardly arrives, or nil. evicted says
// that the connection with such a body is being evicted.
func (c *conn) stalledBody() (b *stalledBody, evicted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := &c.memory
	if !m.holdsShare || m.closed {
		return nil, false
	}
	if m.stage != budget.ReadingBody || c.set.cfg.Clock.Since(m.stepSince) < bodyStall {
		return nil, m.stage == budget.Evicted
	}
	h := budget.Holder{Stage: m.stage, LastRead: m.lastRead}
	return &stalledBody{conn: c, holder: h, org: m.share, since: m.stepSince}, false
}
