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
	"geraniumsaddle/io/conns"
	"geraniumsaddle/io/flags"
	"geraniumsaddle/io/metric"
	"geraniumsaddle/io/peer"
	"geraniumsaddle/io/store"
)

// Deps are the dependencies that the process passes to a router.
type Deps struct {
	Clock    clockwork.Clock
	Log      *slog.Logger
	Registry *prometheus.Registry
	// Seed is the seed of the control goroutine's random choices.
	Seed uint64
	// Certs authenticate this router to its peers. Without them it has no peers.
	Certs *peer.Certs
	// PacketFilter drops packets between routers, for tests and fault switches.
	PacketFilter *peer.PacketFilter
	// Listen listens on a TCP address for callers or operators; nil selects net.Listen.
	Listen func(addr string) (net.Listener, error)
}

// Node is a router process.
type Node struct {
	cfg      flags.Router
	id       ident.RouterID
	domain   ident.DomainID
	clock    clockwork.Clock
	log      *slog.Logger
	platform *store.Client

	metrics  *metric.Recorder
	registry *prometheus.Registry

	// ctx is cancelled when the router stops; controlDone is closed when the control goroutine has ended, and runDone
	// when Run returns.
	ctx           context.Context
	cancel        context.CancelFunc
	events        chan event
	controlDone   chan struct{}
	runDone       chan struct{}
	workers       sync.WaitGroup
	lastTick      atomic.Int64 // Unix time in nanoseconds
	droppedEvents atomic.Int64

	view  atomic.Pointer[view]
	table atomic.Pointer[target.Table]

	// The following fields belong to the control goroutine, except where a comment says otherwise.
	feeds        *feeds
	decoder      *decoder
	ledger       *ledgerClient
	pools        *pools
	members      *members
	transfers    *transfers
	recovery     *recovery
	releases     *releases
	rollUps      *rollUps
	idleAccounts *idleAccounts
	peerBytes    peerByteMetrics
	orders       *orders
	loadReports  *loadReports
	vmList       *vmList
	viewOutdated bool
	// firstOrgsAt is when the first organisations arrived. configLoaded is set once the configuration is complete;
	// any goroutine may read it.
	firstOrgsAt    time.Time
	configLoaded   atomic.Bool
	slowTickAt     time.Time
	vmListPolledAt time.Time
	vmListPolling  bool

	accounts   *accounts
	writers    *shardWriters
	poolQueues *poolQueues
	traffic    *traffic
	journal    *journal
	replicas   *replicas
	claims     *claims
	holds      *holds
	bills      *bills
	keyLocks   keyLocks
	transport  *peer.Transport

	lastPlatformReply atomic.Int64 // Unix time in nanoseconds
	faultSwitches     *faultSwitches

	callerServer *http.Server
	adminServer  *http.Server
	// callers holds the connections that callerListener accepts.
	callers        *conns.Set
	callerListener net.Listener
	adminListener  net.Listener
}

// New opens the listeners of a router. Run serves them.
func New(cfg flags.Router, deps Deps) (*Node, error) {
	if err := cfg.Validate().Err(); err != nil {
		return nil, trace.BadParameter("settings: %v", err)
	}
	switches := newFaultSwitches(cfg.EnableFaultSwitches, &deps)
	client, err := store.New(store.Config{URL: cfg.PlatformURL, Transport: switches.transport()}, deps.Clock)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	epoch := uint64(deps.Clock.Now().UnixMilli()) //nolint:gosec // times before 1970 do not occur
	n := &Node{
		cfg: cfg, id: ident.NewRouterID(cfg.Name, epoch), domain: cfg.DomainID(),
		clock: deps.Clock, log: deps.Log.With("router", cfg.Name, "domain", cfg.Domain), platform: client,
		metrics: metric.New(deps.Registry), registry: deps.Registry, faultSwitches: switches,
		events: make(chan event, eventQueueSize), controlDone: make(chan struct{}), runDone: make(chan struct{}),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	rng := rand.New(rand.NewPCG(deps.Seed, epoch)) //nolint:gosec // not for secrets
	n.view.Store(newView())
	n.decoder = newDecoder()
	n.accounts = newAccounts(n.id)
	n.writers = newShardWriters(n)
	n.poolQueues = newPoolQueues(n)
	n.traffic = newTraffic(n)
	n.feeds = newFeeds(n, rng)
	n.ledger = newLedgerClient(n)
	n.pools = newPools(n, rng)
	if err := n.openTransport(deps); err != nil {
		n.cancel()
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
	n.idleAccounts = newIdleAccounts(n)
	n.rollUps = &rollUps{n: n, startedAt: n.clock.Now()}
	n.orders = newOrders(n)
	n.loadReports = newLoadReports(n)
	n.vmList = newVMList(n)
	n.table.Store(n.pools.registry.Build(n.clock.Now()))
	if err := n.listen(deps.Listen); err != nil {
		n.cancel()
		return nil, trace.Wrap(err)
	}
	return n, nil
}

// ID returns the router identifier, which contains the epoch of this process.
func (n *Node) ID() ident.RouterID { return n.id }

// CallerAddr returns the address that callers use.
func (n *Node) CallerAddr() string { return n.callerListener.Addr().String() }

// AdminAddr returns the address that operators use.
func (n *Node) AdminAddr() string { return n.adminListener.Addr().String() }

// openTransport opens the transport to the other routers, if there are certificates.
func (n *Node) openTransport(deps Deps) error {
	if deps.Certs == nil {
		return nil
	}
	t, err := peer.New(peer.Config{
		Self: n.id, Addr: n.cfg.PeerAddr, Certs: deps.Certs, Handler: inbox{n}, Clock: n.clock, Log: n.log, Filter: deps.PacketFilter,
	})
	n.transport = t
	return trace.Wrap(err)
}

// PeerAddr returns the address that other routers use, or an empty string without peers.
func (n *Node) PeerAddr() string { return n.peerAddr() }

func (n *Node) listen(listen func(addr string) (net.Listener, error)) error {
	if listen == nil {
		listen = func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	}
	var err error
	if n.callerListener, err = listen(n.cfg.CallerAddr); err != nil {
		return trace.ConvertSystemError(err)
	}
	if n.adminListener, err = listen(n.cfg.AdminAddr); err != nil {
		return trace.NewAggregate(trace.ConvertSystemError(err), n.callerListener.Close())
	}
	n.callerServer = n.newServer(n.callerHandler())
	n.callerServer.ConnContext = caller.BoundSendBuffer
	n.callers = conns.New(conns.Config{Clock: n.clock})
	n.callerServer.ConnState = n.callers.TrackState
	n.adminServer = n.newServer(n.adminHandler())
	return nil
}

func (n *Node) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: n.cfg.HeaderTimeout,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    n.cfg.MaxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
}

// Run serves until ctx is cancelled and then shuts down gracefully. Kill ends it at once.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.runDone)
	go n.controlLoop()
	served, errs := make(chan error, 1), make(chan error, 1)
	go func() { served <- n.callerServer.Serve(n.callers.Listener(n.callerListener)) }()
	go func() { errs <- n.adminServer.Serve(n.adminListener) }()
	n.log.Info("router started", "id", n.id, "caller_addr", n.CallerAddr(), "admin_addr", n.AdminAddr())
	var err error
	select {
	case <-ctx.Done():
		n.drain(served)
	case <-n.ctx.Done():
	case err = <-served:
	case err = <-errs:
	}
	n.Kill()
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	return trace.Wrap(err)
}

// Wait blocks until Run has returned.
func (n *Node) Wait() { <-n.runDone }

// Kill stops the router without a graceful shutdown, as a crash would.
func (n *Node) Kill() {
	n.cancel()
	_ = n.callerServer.Close()
	_ = n.adminServer.Close()
	if n.transport != nil {
		_ = n.transport.Close()
	}
	<-n.controlDone
	n.workers.Wait()
}

// spawn runs f on a goroutine that Kill waits for.
func (n *Node) spawn(f func(ctx context.Context)) {
	n.workers.Go(func() { f(n.ctx) })
}

// recordPlatformCall counts a call of the platform by its result. It records the time of a successful answer, which
// includes ErrAbsent and ErrConflict.
func (n *Node) recordPlatformCall(call string, err error) {
	result := "ok"
	switch {
	case err == nil, errors.Is(err, store.ErrAbsent), errors.Is(err, store.ErrConflict):
		n.lastPlatformReply.Store(n.clock.Now().UnixNano())
	case errors.Is(err, store.ErrRateLimited):
		result = "limited"
	case errors.Is(err, store.ErrUnknown):
		result = "unknown"
	default:
		result = "unavailable"
	}
	n.metrics.PlatformCall(call, result)
}

// poolTargets returns the active targets of a pool in the own failure domain.
func (n *Node) poolTargets(k target.Key) []ident.TargetID {
	v := n.view.Load()
	var out []ident.TargetID
	for id, t := range v.targets {
		if t.Domain == n.domain && t.State == object.TargetActive && v.inPool(t, k) {
			out = append(out, id)
		}
	}
	return out
}
