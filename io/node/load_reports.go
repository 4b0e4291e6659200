package node

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/member"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/target"
	"geraniumsaddle/io/engine"
	"geraniumsaddle/io/peer"
)

const (
	loadShareInterval = time.Second
	// totalsInterval is short enough that one message may be lost before a total counts as stale.
	totalsInterval = 4 * time.Second
	// fullRateRouters is the number of routers of a failure domain up to which targets are polled at the full rate. Larger
	// domains poll less often, because each report is sent to every router of the domain.
	fullRateRouters = 16
	// maxLoadRows bounds the rows of one message.
	maxLoadRows = 64
	// maxCacheRouters is the number of routers of a failure domain up to which cache events are shared, because there are
	// many more of them than load reports.
	maxCacheRouters = 8
	// maxSharedCacheEvents bounds the cache events of one row. The newest ones are kept.
	maxSharedCacheEvents = 256
)

// loadReports shares the load, state and cache events of targets, each of which one router polls, with the other
// routers of the failure domain, and capacity totals with routers of other failure domains. It belongs to the control
// goroutine.
type loadReports struct {
	n *Node
	// assignedTargets is the last result of assigned. It is valid for roster and view.
	roster          *roster
	view            *view
	assignedTargets []object.Target
	lastCacheSeqs   map[ident.TargetID]uint64 // sequence number of the last cache event of each target
	unsent          []peer.LoadRow
	sharedAt        time.Time
	totalsAt        time.Time
}

func newLoadReports(n *Node) *loadReports {
	return &loadReports{n: n, lastCacheSeqs: make(map[ident.TargetID]uint64)}
}

// assigned returns the targets that rendezvous hashing gives this router to poll. The result is cached until the roster
// or the view changes.
func (r *loadReports) assigned() []object.Target {
	ros, v := r.n.members.roster.Load(), r.n.view.Load()
	if ros == r.roster && v == r.view {
		return r.assignedTargets
	}
	r.roster, r.view, r.assignedTargets = ros, v, nil
	for id, t := range v.targets {
		if t.Domain == r.n.domain && member.Rank("load/"+string(id), ros.ownDomain)[0] == r.n.id {
			r.assignedTargets = append(r.assignedTargets, t)
		}
	}
	for id := range r.lastCacheSeqs {
		if _, ok := v.targets[id]; !ok {
			delete(r.lastCacheSeqs, id)
		}
	}
	return r.assignedTargets
}

// pollInterval returns the time between two polls of a target.
func (r *loadReports) pollInterval() time.Duration {
	return targetPollInterval * time.Duration(max(1, len(r.n.members.roster.Load().ownDomain)/fullRateRouters))
}

// tick sends the reports and totals that are due.
func (r *loadReports) tick(now time.Time) {
	if now.Sub(r.sharedAt) >= loadShareInterval {
		r.sharedAt = now
		r.shareLoads()
	}
	if now.Sub(r.totalsAt) >= totalsInterval {
		r.totalsAt = now
		r.shareTotals()
	}
}

// shareLoads sends the results of recent polls to the other routers of the failure domain.
func (r *loadReports) shareLoads() {
	rows := r.unsent
	r.unsent = nil
	for len(rows) > 0 {
		count := min(len(rows), maxLoadRows)
		for _, id := range r.n.members.roster.Load().ownDomain {
			if id != r.n.id {
				r.n.sendToRouter(id, peer.Load{Domain: r.n.domain, Rows: rows[:count]})
			}
		}
		rows = rows[count:]
	}
}

// shareTotals sends the pool totals to the routers of other failure domains that rendezvous hashing assigns to this
// router.
func (r *loadReports) shareTotals() {
	ros := r.n.members.roster.Load()
	m := peer.Load{Domain: r.n.domain}
	for _, t := range r.n.pools.registry.Totals() {
		m.Pools = append(m.Pools, peer.PoolRow{Model: t.Key.Model, Service: t.Key.Service, Active: t.Active, Capacity: t.Capacity,
			Busy: t.Busy, AsOf: peer.UnixMilli(t.AsOf)})
	}
	for _, row := range ros.members {
		if row.Usable() && row.Domain != r.n.domain && member.Rank("totals/"+string(row.ID), ros.ownDomain)[0] == r.n.id {
			r.n.sendToRouter(row.ID, m)
		}
	}
}

// recordPoll applies the answers of a polled target and queues them for the other routers.
func (r *loadReports) recordPoll(ev pollEvent, now time.Time) {
	reg := r.n.pools.registry
	if ev.state != nil {
		reg.SetLoaded(ev.target, ev.state.Loaded)
	}
	row := peer.LoadRow{Target: ev.target, Running: ev.load.Running, Queued: ev.load.Queued, AsOf: peer.UnixMilli(ev.load.AsOf)}
	if ev.cache != nil {
		row.Cache, row.Reset = toPeerCacheEvents(ev.cache)
		r.lastCacheSeqs[ev.target] = ev.cache.Next
		r.applyCacheEvents(row, now)
	}
	if len(r.n.members.roster.Load().ownDomain) > maxCacheRouters {
		row.Cache = nil
	}
	// Routers that receive only the newest events see a gap in the numbers and drop their older hints.
	row.Cache = row.Cache[max(0, len(row.Cache)-maxSharedCacheEvents):]
	loaded := reg.Loaded(ev.target)
	row.HasLoaded, row.Loaded = loaded != nil, loaded
	if !ev.loadFailed || ev.state != nil || ev.cache != nil {
		r.unsent = append(r.unsent, row)
	}
}

// toPeerCacheEvents converts the cache events of an engine for peer messages. It skips events with a malformed prefix.
func toPeerCacheEvents(in *engine.CacheEvents) (out []peer.CacheEvent, gap bool) {
	for _, e := range in.Events {
		if p, err := strconv.ParseUint(e.Prefix, 16, 64); err == nil {
			out = append(out, peer.CacheEvent{Seq: e.Seq, Prefix: p, Evicted: e.Type == "evicted"})
		}
	}
	return out, in.Gap
}

// applyCacheEvents applies the cache events of a row to the target registry.
func (r *loadReports) applyCacheEvents(row peer.LoadRow, now time.Time) {
	if row.Reset {
		r.n.pools.registry.ResetCache(row.Target)
	}
	events := make([]target.CacheEvent, 0, len(row.Cache))
	for _, e := range row.Cache {
		events = append(events, target.CacheEvent(e))
	}
	r.n.pools.registry.ApplyCacheEvents(row.Target, events, now)
}

// receive applies the load reports of a router of the same failure domain, or the totals of another domain.
func (r *loadReports) receive(m peer.Load, now time.Time) {
	reg := r.n.pools.registry
	if m.Domain != r.n.domain {
		for _, p := range m.Pools {
			reg.ReportTotal(target.PoolTotal{Key: target.Key{Model: p.Model, Service: p.Service, Domain: m.Domain}, Active: p.Active,
				Capacity: p.Capacity, Busy: p.Busy, AsOf: time.UnixMilli(p.AsOf)})
		}
		return
	}
	for _, row := range m.Rows {
		if row.AsOf != 0 {
			reg.ReportLoad(target.Load{Target: row.Target, Running: row.Running, Queued: row.Queued, AsOf: time.UnixMilli(row.AsOf)})
		}
		if row.State != "" {
			reg.ReportState(row.Target, row.State)
		}
		loaded := row.Loaded
		if row.HasLoaded && loaded == nil {
			loaded = []ident.VersionID{}
		}
		reg.SetLoaded(row.Target, loaded)
		r.applyCacheEvents(row, now)
	}
}

// fetchState asks an engine for its state and its cache events after the given number. A result is nil if the engine
// did not answer, and both are nil for a plain service.
func (p *pools) fetchState(ctx context.Context, t object.Target, after uint64) (st *engine.State, cache *engine.CacheEvents) {
	c, err := p.engineClient(t.URL)
	if t.Kind != object.TargetEngine || err != nil {
		return nil, nil
	}
	if s, err := c.State(ctx); err == nil {
		st = &s
	}
	if e, err := c.CacheEvents(ctx, after); err == nil {
		cache = &e
	}
	return st, cache
}

// maxPrefixBlocks bounds the cache blocks of a prompt that are hashed to match a request with cache events.
const maxPrefixBlocks = 32

// prefixHash returns the hash by which a request is matched with cache events: that of the last whole cache block in
// the prefix of its prompt. A prefix shorter than a block is hashed directly, which keeps equal prefixes at one target.
func prefixHash(prefix []byte) uint64 {
	blocks := engine.PrefixHashes(string(prefix), maxPrefixBlocks)
	if len(blocks) > 0 {
		if h, err := strconv.ParseUint(blocks[len(blocks)-1], 16, 64); err == nil {
			return h
		}
	}
	return xxhash.Sum64(prefix)
}
