package place

import (
	"slices"
	"time"

	"geraniumsaddle/core/cost"
	"geraniumsaddle/core/ident"
)

const (
	// viewInterval is the longest age of what a pool has counted over all of its targets.
	viewInterval = 100 * time.Millisecond
	// domainTargets is the number of serving targets in the own failure domain from which a service does without the others:
	// each shared part has owners in each domain, and requests leave the domain only if its targets are late.
	domainTargets = 8
	// subsetTargets is the number of targets that one router compares at random. Fewer routers share each of them, so that a
	// router's own counts tell more, and it keeps fewer connections.
	subsetTargets = 16
)

// pool holds the targets of a service and what their answers have taught. It is guarded by Fleet.mu.
type pool struct {
	members []*member // sorted by ID
	// capacity is the number of tokens in the KV cache of an engine, or zero if unknown.
	capacity ident.Tokens
	rates    cost.Rates
	lengths  *cost.Lengths
	reads    readLog
	ownerMap map[ownerKey]owners

	// What follows is the view, as of viewAt; changed says that a target has come, gone or changed since. home holds the
	// serving targets that requests stay among, subset the ones of these that the router compares at random, and far the
	// others. selfSufficient says that home is the own failure domain.
	viewAt            time.Time
	changed           bool
	home, far, subset []*member
	selfSufficient    bool
	viewHash          uint64
	// ownRunning is the number of this router's requests at home, and otherRunning the estimate of those of others.
	// domainRunning is the number of those that other routers of the own failure domain have told.
	ownRunning    int
	otherRunning  float64
	domainRunning float64

	outlook   Outlook
	outlookAt time.Time
}

func newPool() *pool {
	return &pool{rates: cost.NewRates(), lengths: cost.NewLengths(), ownerMap: make(map[ownerKey]owners)}
}

func (p *pool) add(m *member) {
	p.members = append(p.members, m)
	slices.SortFunc(p.members, func(a, b *member) int { return compareIDs(a.ID, b.ID) })
	p.forgetView()
}

func (p *pool) remove(m *member) {
	p.members = slices.DeleteFunc(p.members, func(o *member) bool { return o == m })
	m.home = false
	p.forgetView()
}

// forgetView drops what refers to targets that may have gone.
func (p *pool) forgetView() {
	p.changed = true
	clear(p.ownerMap)
}

// meanRequests returns the estimated number of requests at the mean target of home.
func (p *pool) meanRequests() float64 {
	return (float64(p.ownRunning) + p.otherRunning) / float64(max(len(p.home), 1))
}

// bound returns the number of requests of the own failure domain beyond which an engine leaves requests with shared parts to
// the next owner.
func (p *pool) bound() float64 {
	return boundRatio*(float64(p.ownRunning)+p.domainRunning)/float64(max(len(p.home), 1)) + boundSlack
}

// refresh counts over all targets of a pool anew, unless that was done a short while ago. The caller holds f.mu.
func (f *Fleet) refresh(p *pool, now time.Time) {
	if age := now.Sub(p.viewAt); !p.changed && age >= 0 && age < viewInterval {
		return
	}
	p.viewAt, p.changed = now, false
	f.others.Expire(now)
	near := 0
	for _, m := range p.members {
		if m.available() && m.Domain == f.cfg.Domain {
			near++
		}
	}
	p.selfSufficient = near >= domainTargets && len(p.members) > smallPool
	p.home, p.far = p.home[:0], p.far[:0]
	p.ownRunning, p.otherRunning, p.domainRunning = 0, 0, 0
	hash := uint64(0)
	for _, m := range p.members {
		m.home = m.available() && (!p.selfSufficient || m.Domain == f.cfg.Domain)
		switch {
		case m.home:
			p.home = append(p.home, m)
			hash ^= m.hash
			p.ownRunning += m.own.Running
			p.domainRunning += f.domainRequestsAt(m) - float64(m.own.Running)
			p.otherRunning += f.requestsAt(m, now) - float64(m.own.Running)
		case m.available():
			hash ^= m.hash
			p.far = append(p.far, m)
		}
	}
	if hash != p.viewHash {
		p.viewHash = hash
		clear(p.ownerMap)
	}
	p.subset = f.subsetOf(p.home, p.subset[:0])
}

// subsetOf appends the targets that this router compares at random. Together the routers of a failure domain cover all
// targets evenly.
func (f *Fleet) subsetOf(home, subset []*member) []*member {
	if len(home) <= subsetTargets {
		return append(subset, home...)
	}
	start := f.peers.Index * len(home) / max(f.peers.Routers, 1)
	for i := range subsetTargets {
		subset = append(subset, home[(start+i)%len(home)])
	}
	return subset
}
