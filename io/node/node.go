package node

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/target"
	"geraniumsaddle/io/caller"
	"geraniumsaddle/io/flags"
	"geraniumsaddle/io/metric"
	"geraniumsaddle/io/peer"
	"geraniumsaddle/io/store"
)

// Deps are what a router needs from its process.
type Deps struct {
	Clock    clockwork.Clock
	Log      *slog.Logger
	Registry *prometheus.Registry
	// Seed fixes the random choices of the control goroutine.
	Seed uint64
	// Certs authenticate this router to its peers. Without them it has no peers.
	Certs *peer.Certs
	// Cuts drops packets between routers, in tests only.
	Cuts *peer.PacketFilter
}

// Node is a router process.
type Node struct {
	cfg    flags.Router
	id     ident.RouterID
	domain ident.DomainID
	clock  clockwork.Clock
	log    *slog.Logger
	store  *store.Client

	metrics  *metric.Recorder
	registry *prometheus.Registry

	// life ends when the process stops at once; stopped is closed when the control goroutine has ended.
	life     context.Context
	kill     context.CancelFunc
	events   chan event
	stopped  chan struct{}
	ended    chan struct{}
	workers  sync.WaitGroup
	lastTick atomic.Int64
	dropped  atomic.Int64

	view  atomic.Pointer[view]
	table atomic.Pointer[target.Table]

	// The following belong to the control goroutine unless they say otherwise.
	feeds     *feeds
	decoder   *decoder
	ledger    *ledgerClient
	pools     *pools
	members   *members
	transfers *transfers
	recovery  *recovery
	releases  *releases
	rollUps   *rollUps
	idle      *idleAccounts
	wire      wireCounts
	orders    *orders
	reports   *reports
	vmList    *vmList
	dirty     bool
	// firstObjects is when the first objects arrived; loaded, which any goroutine reads, says that all have.
	firstObjects time.Time
	loaded       atomic.Bool
	slowTick     time.Time
	vmsAt        time.Time
	vmsRunning   bool

	accounts  *accounts
	writers   *writers
	gates     *gates
	traffic   *traffic
	journal   *journal
	replicas  *replicas
	claims    *claims
	holds     *holds
	bills     *bills
	keyed     keyed
	transport *peer.Transport

	lastReply atomic.Int64
	switches  *switches

	callers *http.Server
	admins  *http.Server
	callerL net.Listener
	adminL  net.Listener
}

// New opens the listeners of a router. Run serves them.
func New(cfg flags.Router, d Deps) (*Node, error) {
	if err := cfg.Validate().Err(); err != nil {
		return nil, trace.BadParameter("settings: %v", err)
	}
	sw := newSwitches(cfg.Faults, &d)
	st, err := store.New(store.Config{URL: cfg.PlatformURL, Transport: sw.transport()}, d.Clock)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	epoch := uint64(d.Clock.Now().UnixMilli()) //nolint:gosec // times before 1970 do not occur
	n := &Node{
		cfg: cfg, id: ident.NewRouterID(cfg.Name, epoch), domain: cfg.DomainID(),
		clock: d.Clock, log: d.Log.With("router", cfg.Name, "domain", cfg.Domain), store: st,
		metrics: metric.New(d.Registry), registry: d.Registry, switches: sw,
		events: make(chan event, eventQueue), stopped: make(chan struct{}), ended: make(chan struct{}),
	}
	n.life, n.kill = context.WithCancel(context.Background())
	rng := rand.New(rand.NewPCG(d.Seed, epoch)) //nolint:gosec // not for secrets
	n.view.Store(newView())
	n.decoder = newDecoder()
	n.accounts = newAccounts(n.id)
	n.writers = newWriters(n)
	n.gates = newGates(n)
	n.traffic = newTraffic(n)
	n.feeds = newFeeds(n, rng)
	n.ledger = newLedgerClient(n)
	n.pools = newPools(n, rng)
	if err := n.connect(d); err != nil {
		n.kill()
		return nil, trace.Wrap(err)
	}
	n.members = newMembers(n, rng)
	n.journal = newJournal(n)
	n.replicas = newReplicas(n)
	n.claims = newClaims(n)
	n.holds = newHolds()
	n.bills = newBills(n)
	n.transfers = newTransfers(n)
	n.recovery = newRecovery(n)
	n.releases = newReleases(n)
	n.idle = newIdleAccounts(n)
	n.rollUps = &rollUps{n: n, at: n.clock.Now()}
	n.orders = newOrders(n)
	n.reports = newReports(n)
	n.vmList = newVMList(n)
	n.table.Store(n.pools.registry.Build(n.clock.Now()))
	if err := n.listen(); err != nil {
		n.kill()
		return nil, trace.Wrap(err)
	}
	return n, nil
}

// ID returns the identity of this incarnation.
func (n *Node) ID() ident.RouterID { return n.id }

// CallerAddr returns the address that callers use.
func (n *Node) CallerAddr() string { return n.callerL.Addr().String() }

// AdminAddr returns the address that operators use.
func (n *Node) AdminAddr() string { return n.adminL.Addr().String() }

// connect opens the transport to the other routers.
func (n *Node) connect(d Deps) error {
	if d.Certs == nil {
		return nil
	}
	t, err := peer.New(peer.Config{
		Self: n.id, Addr: n.cfg.PeerAddr, Certs: d.Certs, Handler: inbox{n}, Clock: n.clock, Log: n.log, Filter: d.Cuts,
	})
	n.transport = t
	return trace.Wrap(err)
}

// PeerAddr returns the address that other routers use, or an empty string without peers.
func (n *Node) PeerAddr() string { return n.peerAddr() }

func (n *Node) listen() error {
	var err error
	if n.callerL, err = net.Listen("tcp", n.cfg.CallerAddr); err != nil {
		return trace.ConvertSystemError(err)
	}
	if n.adminL, err = net.Listen("tcp", n.cfg.AdminAddr); err != nil {
		return trace.NewAggregate(trace.ConvertSystemError(err), n.callerL.Close())
	}
	n.callers = n.server(n.callerHandler())
	n.callers.ConnContext = caller.BoundSendBuffer
	n.admins = n.server(n.adminHandler())
	return nil
}

func (n *Node) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: n.cfg.HeaderTimeout,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    n.cfg.HeaderBytes,
		ErrorLog:          slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
}

// Run serves until ctx ends and then shuts down gracefully. Kill ends it at once.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.ended)
	go n.control()
	errs := make(chan error, 2)
	go func() { errs <- n.callers.Serve(n.callerL) }()
	go func() { errs <- n.admins.Serve(n.adminL) }()
	n.log.Info("router started", "id", n.id, "caller_addr", n.CallerAddr(), "admin_addr", n.AdminAddr())
	var err error
	select {
	case <-ctx.Done():
		n.drain()
	case <-n.life.Done():
	case err = <-errs:
	}
	n.Kill()
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	return trace.Wrap(err)
}

// Wait returns when Run has ended.
func (n *Node) Wait() { <-n.ended }

// Kill stops the router at once, as a crash does.
func (n *Node) Kill() {
	n.kill()
	_ = n.callers.Close()
	_ = n.admins.Close()
	if n.transport != nil {
		_ = n.transport.Close()
	}
	<-n.stopped
	n.workers.Wait()
}

// spawn runs f on a goroutine that Kill waits for.
func (n *Node) spawn(f func(ctx context.Context)) {
	n.workers.Go(func() { f(n.life) })
}

// platformCall counts a call of the platform and remembers when it last answered.
func (n *Node) platformCall(call string, err error) {
	result := "ok"
	switch {
	case err == nil, errors.Is(err, store.ErrAbsent), errors.Is(err, store.ErrConflict):
		n.lastReply.Store(n.clock.Now().UnixNano())
	case errors.Is(err, store.ErrRateLimited):
		result = "limited"
	case errors.Is(err, store.ErrUnknown):
		result = "unknown"
	default:
		result = "unavailable"
	}
	n.metrics.PlatformCall(call, result)
}

// poolTargets returns the targets of a pool in the own failure domain.
func (n *Node) poolTargets(k target.Key) []ident.TargetID {
	v := n.view.Load()
	var out []ident.TargetID
	for id, t := range v.targets {
		if t.Domain == n.domain && t.State == object.TargetActive && v.serves(t, k) {
			out = append(out, id)
		}
	}
	return out
}
