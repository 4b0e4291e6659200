package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/target"
	"geraniumsaddle/io/engine"
	"geraniumsaddle/io/engine/send"
	"geraniumsaddle/io/plain"
	"geraniumsaddle/io/store"
)

const (
	targetPollInterval = 2 * time.Second
	targetPollTimeout  = 1 * time.Second
	tableBuildInterval = 200 * time.Millisecond
	vmListPollInterval = 1 * time.Second
)

// pools owns the target registry. It belongs to the control goroutine, apart from the clients.
type pools struct {
	n            *Node
	registry     *target.Registry
	polledAt     map[ident.TargetID]time.Time
	polling      map[ident.TargetID]bool
	tableBuiltAt time.Time
	// targets and versions are those that the registry has.
	targets  map[ident.TargetID]object.Target
	versions map[ident.VersionID]bool

	mu             sync.RWMutex
	engineClients  map[string]*engine.Client
	serviceClients map[string]*plain.Client
	transport      *send.Transport
}

func newPools(n *Node, rng *rand.Rand) *pools {
	return &pools{
		n: n, registry: target.New(target.Config{Domain: n.domain, Router: n.id, Start: n.clock.Now()}, rng),
		polledAt: make(map[ident.TargetID]time.Time), polling: make(map[ident.TargetID]bool),
		targets: make(map[ident.TargetID]object.Target), versions: make(map[ident.VersionID]bool),
		engineClients: make(map[string]*engine.Client), serviceClients: make(map[string]*plain.Client),
		transport: send.New(send.Config{MaxIdlePerHost: 1024, HeaderTimeout: n.cfg.RequestTimeout}),
	}
}

// configure applies the targets and versions of a view and publishes a new table.
func (p *pools) configure(v *view, now time.Time) {
	for id := range p.targets {
		if _, ok := v.targets[id]; !ok {
			p.registry.DeleteTarget(id)
			delete(p.targets, id)
		}
	}
	var own []ident.TargetID
	for id, t := range v.targets {
		p.registry.PutTarget(t)
		p.targets[id] = t
		if t.Domain == p.n.domain {
			own = append(own, id)
		}
	}
	p.n.accounts.openSlotAccounts(p.n.domain, own)
	for id := range p.versions {
		if _, ok := v.versions[id]; !ok {
			p.registry.DeleteVersion(id)
			delete(p.versions, id)
		}
	}
	for id, ver := range v.versions {
		p.registry.PutVersion(ver)
		p.versions[id] = true
	}
	p.publishTable(now)
}

// publishTable builds the target table from the registry and makes it current.
func (p *pools) publishTable(now time.Time) {
	p.tableBuiltAt = now
	p.n.table.Store(p.registry.Build(now))
}

// tick polls the assigned targets and rebuilds the target table, each when it is due.
func (p *pools) tick(now time.Time) {
	if now.Sub(p.tableBuiltAt) >= tableBuildInterval {
		p.publishTable(now)
	}
	interval := p.n.loadReports.pollInterval()
	for _, t := range p.n.loadReports.assigned() {
		if p.polling[t.ID] || now.Sub(p.polledAt[t.ID]) < interval || !p.mayPoll(t.ID) {
			continue
		}
		p.polling[t.ID], p.polledAt[t.ID] = true, now
		after := p.n.loadReports.lastCacheSeqs[t.ID]
		p.n.spawn(func(ctx context.Context) { p.poll(ctx, t, after) })
	}
}

func (p *pools) mayPoll(id ident.TargetID) bool {
	return p.registry.State(id) != object.TargetGone
}

// poll fetches the load of a target and, from an engine, its state and its cache events after the given number.
func (p *pools) poll(ctx context.Context, t object.Target, after uint64) {
	ctx, cancel := context.WithTimeout(ctx, targetPollTimeout)
	defer cancel()
	l, err := p.fetchLoad(ctx, t)
	st, cache := p.fetchState(ctx, t, after)
	p.n.post(pollEvent{load: l, loadFailed: err != nil, target: t.ID, state: st, cache: cache})
}

func (p *pools) fetchLoad(ctx context.Context, t object.Target) (target.Load, error) {
	if t.Kind == object.TargetService {
		c, err := p.serviceClient(t.URL)
		if err != nil {
			return target.Load{}, err
		}
		l, err := c.Load(ctx)
		return target.Load{Target: t.ID, Running: l.Running, Queued: l.Queued, AsOf: l.AsOf}, err
	}
	c, err := p.engineClient(t.URL)
	if err != nil {
		return target.Load{}, err
	}
	l, err := c.Load(ctx)
	return target.Load{Target: t.ID, Running: l.Running, Queued: l.Queued, AsOf: l.AsOf}, err
}

// applyPoll applies the answers to a poll of a target.
func (p *pools) applyPoll(ev pollEvent, now time.Time) {
	delete(p.polling, ev.target)
	if !ev.loadFailed {
		p.registry.ReportLoad(ev.load)
	}
	p.n.loadReports.recordPoll(ev, now)
}

// engineClient returns the client of the engine at a URL.
func (p *pools) engineClient(url string) (*engine.Client, error) {
	p.mu.RLock()
	c := p.engineClients[url]
	p.mu.RUnlock()
	if c != nil {
		return c, nil
	}
	c, err := engine.New(engine.Config{URL: url, Transport: p.transport}, p.n.clock)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engineClients[url] = c
	return c, nil
}

// serviceClient returns the client of the plain service at a URL.
func (p *pools) serviceClient(url string) (*plain.Client, error) {
	p.mu.RLock()
	c := p.serviceClients[url]
	p.mu.RUnlock()
	if c != nil {
		return c, nil
	}
	c, err := plain.New(plain.Config{URL: url, Transport: p.transport})
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serviceClients[url] = c
	return c, nil
}

// pollVMList requests the VM list from the platform when it is due.
func (n *Node) pollVMList(now time.Time) {
	if n.vmListPolling || now.Sub(n.vmListPolledAt) < vmListPollInterval || !n.isWatcher() {
		return
	}
	n.vmListPolling, n.vmListPolledAt = true, now
	n.spawn(func(ctx context.Context) {
		vms, err := n.platform.VMs(ctx)
		n.recordPlatformCall("vms", err)
		n.post(vmListEvent{vms, err})
	})
}

// targetStates maps the states of VMs to those of their targets.
var targetStates = map[store.VMState]object.TargetState{
	store.VMLive: object.TargetActive, store.VMLeaving: object.TargetLeaving, store.VMGone: object.TargetGone,
}

// applyVMList applies the VM list of the platform to the targets and the members, and shares it with the other routers
// of the failure domain.
func (n *Node) applyVMList(ev vmListEvent, now time.Time) {
	n.vmListPolling = false
	if ev.err != nil {
		return
	}
	for _, vm := range ev.vms {
		if s, ok := targetStates[vm.State]; ok {
			n.pools.registry.SetVMState(vm.Name, s)
		}
	}
	n.pools.publishTable(now)
	n.members.setVMs(ev.vms, now)
	n.vmList.update(ev.vms, now)
}
