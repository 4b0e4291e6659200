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
	shareEvery = time.Second
	// totalsEvery leaves room for a lost message before a total counts as stale.
	totalsEvery = 4 * time.Second
	// loadRouters is the number of routers of a failure domain above which targets are polled less often, because each
	// report goes to every one of them.
	loadRouters = 16
	// loadRows bounds the rows of one message.
	loadRows = 64
	// cacheRouters is the number of routers up to which cache events are shared. They are many more than load reports.
	cacheRouters = 8
	cacheShare   = 256
)

// reports shares what one router of the failure domain learns of a target with the others, and totals with the routers of
// other failure domains. It belongs to the control goroutine.
type reports struct {
	n        *Node
	roster   *roster
	view     *view
	mine     []object.Target
	after    map[ident.TargetID]uint64 // the last cache event
	rows     []peer.LoadRow
	sharedAt time.Time
	totalsAt time.Time
}

func newReports(n *Node) *reports { return &reports{n: n, after: make(map[ident.TargetID]uint64)} }

// assigned returns the targets that this router polls.
func (r *reports) assigned() []object.Target {
	ros, v := r.n.members.roster.Load(), r.n.view.Load()
	if ros == r.roster && v == r.view {
		return r.mine
	}
	r.roster, r.view, r.mine = ros, v, nil
	for id, t := range v.targets {
		if t.Domain == r.n.domain && member.Rank("load/"+string(id), ros.domain)[0] == r.n.id {
			r.mine = append(r.mine, t)
		}
	}
	for id := range r.after {
		if _, ok := v.targets[id]; !ok {
			delete(r.after, id)
		}
	}
	return r.mine
}

// every returns the interval between the polls of a target.
func (r *reports) every() time.Duration {
	return loadEvery * time.Duration(max(1, len(r.n.members.roster.Load().domain)/loadRouters))
}

// tick sends the reports and totals that are due.
func (r *reports) tick(now time.Time) {
	if now.Sub(r.sharedAt) >= shareEvery {
		r.sharedAt = now
		r.share()
	}
	if now.Sub(r.totalsAt) >= totalsEvery {
		r.totalsAt = now
		r.shareTotals()
	}
}

func (r *reports) share() {
	rows := r.rows
	r.rows = nil
	for len(rows) > 0 {
		n := min(len(rows), loadRows)
		for _, id := range r.n.members.roster.Load().domain {
			if id != r.n.id {
				r.n.sendTo(id, peer.Load{Domain: r.n.domain, Rows: rows[:n]})
			}
		}
		rows = rows[n:]
	}
}

// shareTotals sends the totals to the routers of other failure domains that rendezvous hashing gives to this one.
func (r *reports) shareTotals() {
	ros := r.n.members.roster.Load()
	m := peer.Load{Domain: r.n.domain}
	for _, t := range r.n.pools.registry.Totals() {
		m.Pools = append(m.Pools, peer.PoolRow{Model: t.Key.Model, Service: t.Key.Service, Active: t.Active, Capacity: t.Capacity,
			Busy: t.Busy, AsOf: peer.UnixMilli(t.AsOf)})
	}
	for _, row := range ros.rows {
		if row.Usable() && row.Domain != r.n.domain && member.Rank("totals/"+string(row.ID), ros.domain)[0] == r.n.id {
			r.n.sendTo(row.ID, m)
		}
	}
}

// polled takes the answers of a target and keeps them for the other routers.
func (r *reports) polled(ev loadEvent, now time.Time) {
	reg := r.n.pools.registry
	if ev.state != nil {
		reg.SetLoaded(ev.targets, ev.state.Loaded)
	}
	row := peer.LoadRow{Target: ev.targets, Running: ev.load.Running, Queued: ev.load.Queued, AsOf: peer.UnixMilli(ev.load.AsOf)}
	if ev.cache != nil {
		row.Cache, row.Reset = cacheEvents(ev.cache)
		r.after[ev.targets] = ev.cache.Next
		r.cache(row, now)
	}
	if len(r.n.members.roster.Load().domain) > cacheRouters {
		row.Cache = nil
	}
	// The routers that receive only the newest events see a gap and drop their older hints.
	row.Cache = row.Cache[max(0, len(row.Cache)-cacheShare):]
	loaded := reg.Loaded(ev.targets)
	row.Lists, row.Loaded = loaded != nil, loaded
	if !ev.failed || ev.state != nil || ev.cache != nil {
		r.rows = append(r.rows, row)
	}
}

// cacheEvents returns cache events in the form of core/target. Events with a malformed prefix are left out.
func cacheEvents(in *engine.CacheEvents) (out []peer.CacheEvent, gap bool) {
	for _, e := range in.Events {
		if p, err := strconv.ParseUint(e.Prefix, 16, 64); err == nil {
			out = append(out, peer.CacheEvent{Seq: e.Seq, Prefix: p, Evicted: e.Type == "evicted"})
		}
	}
	return out, in.Gap
}

func (r *reports) cache(row peer.LoadRow, now time.Time) {
	if row.Reset {
		r.n.pools.registry.ResetCache(row.Target)
	}
	events := make([]target.CacheEvent, 0, len(row.Cache))
	for _, e := range row.Cache {
		events = append(events, target.CacheEvent(e))
	}
	r.n.pools.registry.ApplyCacheEvents(row.Target, events, now)
}

// receive takes the reports of another router.
func (r *reports) receive(m peer.Load, now time.Time) {
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
			reg.Report(target.Load{Target: row.Target, Running: row.Running, Queued: row.Queued, AsOf: time.UnixMilli(row.AsOf)})
		}
		if row.State != "" {
			reg.SetState(row.Target, row.State)
		}
		loaded := row.Loaded
		if row.Lists && loaded == nil {
			loaded = []ident.VersionID{}
		}
		reg.SetLoaded(row.Target, loaded)
		r.cache(row, now)
	}
}

// ask asks a target for its state and its cache events.
func (p *pools) ask(ctx context.Context, t object.Target, after uint64) (st *engine.State, cache *engine.CacheEvents) {
	c, err := p.engine(t.URL)
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

// promptBlocks bounds the cache blocks that a request is matched by.
const promptBlocks = 32

// prefixOf returns the hash by which a request is matched with cache events: that of the last whole cache block in the
// start of its prompt. A shorter start has no block, and its own hash keeps it at one target.
func prefixOf(prefix []byte) uint64 {
	blocks := engine.PrefixHashes(string(prefix), promptBlocks)
	if len(blocks) > 0 {
		if h, err := strconv.ParseUint(blocks[len(blocks)-1], 16, 64); err == nil {
			return h
		}
	}
	return xxhash.Sum64(prefix)
}
