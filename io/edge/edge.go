package edge

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"github.com/justinas/alice"

	"geraniumsaddle/core/budget"
	"geraniumsaddle/core/drain"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/link"
	"geraniumsaddle/core/place"
	"geraniumsaddle/core/quota"
	"geraniumsaddle/core/retry"
	"geraniumsaddle/core/route"
	"geraniumsaddle/core/stream"
	"geraniumsaddle/io/conns"
	"geraniumsaddle/io/gate"
	"geraniumsaddle/io/life"
	"geraniumsaddle/io/peer"
	"geraniumsaddle/io/relay"
	"geraniumsaddle/io/report"
	"geraniumsaddle/io/store"
	"geraniumsaddle/platform"
)

const (
	// holdOff is how long after its last write to the ledger a router spends no more than its allowance. A killed
	// router usually restarts within this time, and the new process then returns all tokens beyond the allowance.
	holdOff = 1300 * time.Millisecond
	// spareHorizon and grantHorizon are the times of current demand that a router's allowance and its grant cover. The
	// allowance is lost in a crash, but has to last between two writes. The grant has to last through an outage of the
	// store.
	spareHorizon = 800 * time.Millisecond
	grantHorizon = 25 * time.Second
	// lowHorizon is the time of current demand that a grant must cover; a smaller one is renewed.
	lowHorizon = 10 * time.Second
	// idleShare is the share of an organisation's tokens that is granted to all routers together without demand, for
	// the first requests during an outage of the store.
	idleShare = 0.4
	// livenessTimeout is how long a router counts in the division of tokens after its last write to the ledger.
	livenessTimeout = 15 * time.Second
	// maxHeadTimeout limits how long a caller may take to send the head of a request. The configuration may set less.
	maxHeadTimeout = 10 * time.Second
	// maxReadyConns is the maximum number of connections for readiness checks and metrics, and readyMemory what they and
	// their heads may hold, in bytes.
	maxReadyConns             = 128
	readyMemory   ident.Bytes = 4 << 20
)

// Deps holds the dependencies of a Server.
type Deps struct {
	Clock clockwork.Clock
	Log   *slog.Logger
	Store store.PollingStore
	// VMClock reads the uptime and the wall clock of the VM.
	VMClock VMClock
	Metrics *Metrics
	// WatchTimeouts holds the timeouts of the watches; nil selects the defaults.
	WatchTimeouts WatchTimeouts
	// DirectFleet is the largest number of routers that each write the ledgers themselves.
	DirectFleet int
}

// Server is one router process.
type Server struct {
	cfg           platform.Settings
	deps          Deps
	self          ident.RouterID
	watchTimeouts WatchTimeouts

	table    atomic.Pointer[route.Table]
	targets  *place.Fleet
	accounts *quota.Accounts
	pool     *relay.Pool
	// gates order the requests that find every target of their service full.
	gates   *gate.Gates
	callers *conns.Set
	// checkers holds the connections for readiness checks and metrics.
	checkers *conns.Set
	// memory limits what callers and targets can make the process hold, and buffers what one organisation's large bodies
	// and answers can.
	memory  *budget.Budget
	buffers *stream.Limiter
	// linkMeter measures the traffic on the VM's network link, and shedder decides when the link is busy or full.
	linkMeter    *link.Meter
	shedder      *link.Shedder
	storeMonitor *storeMonitor
	rewinds      *rewinds
	releases     *releases
	// peerTransport connects to other routers, and claims sends them this router's claims; both are nil in a small fleet.
	// writer serves the claims of other routers.
	peerTransport *peer.Transport
	claims        *claimSender
	writer        *claimWriter
	// lending is set once a large fleet spends tokens through the holders of each organisation.
	lending atomic.Pointer[lending]
	// changes is set once a large fleet reads the changes of the store through few watchers.
	changes atomic.Pointer[changeFeed]
	// poison keeps requests that crash targets from further targets. gossip is set once the router has joined a fleet with
	// other routers.
	poison *poisonGuard
	gossip atomic.Pointer[gossip]
	// reports is set once a large fleet exchanges digests of the work in progress at targets.
	reports       atomic.Pointer[report.Exchange]
	tokensChanged *broadcast
	// watchRestart makes all watches list their objects again.
	watchRestart *broadcast
	// grantsNow and allowancesNow trigger a write of the ledgers or of the allowances before the next regular one.
	grantsNow, allowancesNow chan struct{}
	// drainPlan is the schedule of the shutdown, or nil.
	drainPlan       atomic.Pointer[drain.Plan]
	runningRequests atomic.Int64

	callerListener, readyListener net.Listener
	// taskFailed receives the error of a background task that panicked.
	taskFailed chan error

	mu sync.Mutex
	// bounds holds the bounds of the newest settings, which Reload replaces.
	bounds       platform.Bounds
	retryBudgets map[ident.ServiceID]*retry.Budget
}

// New returns a server with the given settings. It does not listen yet.
func New(cfg platform.Settings, deps Deps) *Server {
	now := deps.VMClock.Now()
	linkMeter := new(link.Meter)
	self := ident.NewRouterID(cfg.VM, uint64(deps.Clock.Now().UnixMicro()))
	s := &Server{
		cfg:           cfg,
		deps:          deps,
		self:          self,
		watchTimeouts: deps.WatchTimeouts,
		targets: place.New(place.Config{
			Domain: ident.DomainID(cfg.Domain), RemovalGrace: cfg.Bounds.RegistryRestoreTime, VM: ident.VMID(cfg.VM),
		}),
		accounts: quota.NewAccounts(quota.Config{
			Self: self, VM: ident.VMID(cfg.VM),
			HoldOff: holdOff, SpareHorizon: spareHorizon, GrantHorizon: grantHorizon, LowHorizon: lowHorizon,
			IdleShare: idleShare, LivenessTimeout: livenessTimeout,
		}),
		pool:          relay.New(relay.Config{Clock: deps.Clock, Meter: linkMeter}),
		gates:         gate.New(deps.Clock),
		linkMeter:     linkMeter,
		shedder:       link.NewShedder(cfg.LinkRate),
		releases:      newReleases(),
		tokensChanged: newBroadcast(),
		watchRestart:  newBroadcast(),
		grantsNow:     make(chan struct{}, 1),
		taskFailed:    make(chan error, 1),
		allowancesNow: make(chan struct{}, 1),
		retryBudgets:  make(map[ident.ServiceID]*retry.Budget),
		bounds:        cfg.Bounds,
	}
	if s.watchTimeouts == nil {
		s.watchTimeouts = defaultWatchTimeouts
	}
	s.targets.SetColdBounds(coldBoundsOf(cfg.Bounds))
	s.targets.SetRegions(cfg.Regions)
	s.buffers = newBufferLimiter(cfg.MemoryBytes)
	s.memory = newMemoryBudget(cfg.MemoryBytes)
	maxConns, err := maxCallerConns(cfg.MaxDescriptors)
	if err != nil {
		deps.Log.Warn("connections of callers are limited by memory alone", "error", err)
	}
	s.callers = conns.New(conns.Config{
		Clock: deps.Clock, Meter: linkMeter, HeadTimeout: s.headTimeout, HeadLimit: s.headLimit, Memory: s.memory, Refusal: refusedHead,
		MaxConns: maxConns,
	})
	s.checkers = conns.New(conns.Config{Clock: deps.Clock, Memory: budget.New(readyMemory), MaxConns: maxReadyConns})
	deps.Metrics.observeMemory(s.memory, s.callers)
	s.writer = newClaimWriter(s)
	s.poison = newPoisonGuard(s)
	deps.Metrics.setShutdownGrace(cfg.Bounds.ShutdownGrace)
	s.storeMonitor = newStoreMonitor(deps.Clock, deps.Log, s.storeChanged)
	s.rewinds = newRewinds(s)
	deps.Store.OnRewind(s.rewinds.observe)
	deps.Log.Info("router starts", "router", self, "vm", cfg.VM, "domain", cfg.Domain,
		"uptime_ms", now.Uptime.Milliseconds(), "boot", now.Boot, "first_start", cfg.FirstStart)
	return s
}

// storeChanged handles a store that has become unreachable or reachable.
func (s *Server) storeChanged(unreachable bool, now time.Time) {
	s.targets.SetStoreUnreachable(unreachable, now)
	if feed := s.changes.Load(); feed != nil {
		feed.changed.wakeAll()
	}
}

// busyWaiter waits for the addresses that a predecessor on this VM may still hold.
func (s *Server) busyWaiter() life.Waiter {
	return life.Waiter{Clock: s.deps.Clock, Log: s.deps.Log, Bound: s.gracePeriod() + life.ExitWait}
}

// Listen listens on the addresses for callers and for readiness checks. It must be called before Run. It waits for busy
// addresses for up to the grace period of a predecessor and life.ExitWait each, unless the context ends.
func (s *Server) Listen(ctx context.Context) error {
	// A predecessor holds the address of readiness checks until it exits, and that of callers for a part of this time only.
	// Callers that connect before both are free would wait for nothing.
	ready, err := s.busyWaiter().Listen(ctx, s.cfg.ReadyAddr)
	if err != nil {
		return trace.Wrap(err, "listen for readiness checks")
	}
	callers, err := s.busyWaiter().Listen(ctx, s.cfg.CallerAddr)
	if err != nil {
		return trace.NewAggregate(trace.Wrap(err, "listen for callers"), ready.Close())
	}
	s.callerListener, s.readyListener = callers, ready
	return nil
}

// CallerAddr returns the address for callers. It may be called only after Listen.
func (s *Server) CallerAddr() string { return s.callerListener.Addr().String() }

// ReadyAddr returns the address for readiness checks. It may be called only after Listen.
func (s *Server) ReadyAddr() string { return s.readyListener.Addr().String() }

// Run serves until the context ends. It then accepts no new callers, and lets running requests finish within the grace
// period.
func (s *Server) Run(ctx context.Context) error {
	taskCtx, stopTasks := context.WithCancel(context.Background())
	defer stopTasks()
	server := s.callerServer()
	requestCtx, cutRequests := context.WithCancelCause(context.Background())
	defer cutRequests(nil)
	server.BaseContext = func(net.Listener) context.Context { return requestCtx }
	readyServer := s.readyServer()
	served, failed := make(chan error, 1), make(chan error, 1)
	go func() { served <- server.Serve(s.callers.Listener(s.callerListener)) }()
	go func() { failed <- readyServer.Serve(s.checkers.Listener(s.readyListener)) }()
	var tasks sync.WaitGroup
	s.startTasks(taskCtx, &tasks)
	var failure error
	select {
	case err := <-served:
		failure = trace.Wrap(err, "serve callers")
		served <- err
	case err := <-failed:
		failure = trace.Wrap(err, "serve readiness checks")
	case failure = <-s.taskFailed:
		// A lock that the task held may keep the shutdown from ending.
		s.deps.Clock.AfterFunc(s.gracePeriod()+life.ExitWait, func() { os.Exit(life.ExitFailure) })
	case <-ctx.Done():
	}
	s.shutdown(server, served, cutRequests)
	stopTasks()
	tasks.Wait()
	if l := s.lending.Load(); l != nil {
		l.waitSettled()
		l.close()
	}
	s.returnTokens()
	if s.peerTransport != nil {
		_ = s.peerTransport.Close()
	}
	_ = readyServer.Close()
	s.deps.Log.Info("router stopped", "router", s.self)
	return failure
}

// Reload applies changed settings. The bounds take effect immediately; changes of the addresses, the VM's name and the
// store need a restart, which the log line reports.
func (s *Server) Reload(cfg platform.Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.bounds
	s.bounds = cfg.Bounds
	s.deps.Metrics.setShutdownGrace(cfg.Bounds.ShutdownGrace)
	s.targets.SetColdBounds(coldBoundsOf(cfg.Bounds))
	s.targets.SetRegions(cfg.Regions)
	for _, b := range s.retryBudgets {
		b.Configure(s.retryConfig())
	}
	s.deps.Log.Info("settings reloaded", "bounds_changed", old != cfg.Bounds,
		"needs_restart", cfg.CallerAddr != s.cfg.CallerAddr || cfg.ReadyAddr != s.cfg.ReadyAddr ||
			cfg.Store.Addr != s.cfg.Store.Addr || cfg.VM != s.cfg.VM)
}

// gracePeriod returns the time between SIGTERM and SIGKILL.
func (s *Server) gracePeriod() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bounds.ShutdownGrace
}

// startTasks starts the background goroutines.
func (s *Server) startTasks(ctx context.Context, tasks *sync.WaitGroup) {
	for _, task := range []struct {
		name string
		run  func(context.Context)
	}{
		{"watch of the configuration", s.watchConfig}, {"watch of the targets", s.watchTargets},
		{"watch of the releases", s.watchReleases}, {"releases", s.advanceReleases}, {"tokens", s.runTokenSync},
		{"watch of the evacuations", s.watchEvacuations}, {"list of routers", s.runRouterRefresh},
		{"rewinds of the store", s.rewinds.run}, {"maintenance", s.runMaintenance}, {"quarantine", s.poison.run}, {"saves of the quarantine", s.poison.runSaves},
	} {
		tasks.Go(func() { s.runTask(task.name, func() { task.run(ctx) }) })
	}
}

func (s *Server) callerServer() *http.Server {
	const maxHeader = 64 << 10 // bytes; the configuration may set less
	return &http.Server{
		Handler:           alice.New(s.abortAtPanic, s.countRunningRequests).Then(http.HandlerFunc(s.serveCaller)),
		MaxHeaderBytes:    maxHeader,
		ReadHeaderTimeout: maxHeadTimeout,
		ConnState:         s.callers.TrackState,
		ConnContext:       s.callers.ConnContext,
		ErrorLog:          slog.NewLogLogger(s.deps.Log.Handler(), slog.LevelDebug),
	}
}

// countRunningRequests counts the running requests, and closes the connection after the answer while the router is
// draining or sheds callers.
func (s *Server) countRunningRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conns.RequestOf(r.Context()).Begin()
		s.runningRequests.Add(1)
		defer s.runningRequests.Add(-1)
		if s.isDraining() || s.shedder.CloseNext(s.deps.Clock.Now()) {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// headTimeout returns the configured time limit for the head of a request, or zero without a configuration.
func (s *Server) headTimeout() time.Duration {
	if t := s.table.Load(); t != nil {
		return t.Limits().HeaderTimeout
	}
	return 0
}

// headLimit returns the configured limit on the head of a request, or zero without a configuration.
func (s *Server) headLimit() ident.Bytes {
	if t := s.table.Load(); t != nil {
		return t.Limits().MaxHeader
	}
	return 0
}

// runMaintenance regularly checks the load of the link, closes idle connections to targets, and removes targets whose
// entries were not renewed after an outage of the store.
func (s *Server) runMaintenance(ctx context.Context) {
	const interval = 500 * time.Millisecond
	tick := s.deps.Clock.NewTicker(interval)
	defer tick.Stop()
	var evictions evictionLog
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.Chan():
		}
		s.checkLink()
		evictions.update(s)
		s.pool.Sweep()
		if l := s.lending.Load(); l != nil {
			l.expire()
		}
		s.targets.Expire(s.deps.Clock.Now())
	}
}

// readyServer returns the server of the readiness check and the metrics. Its connections hold little memory, and those that
// send or read nothing end soon, or at once if others need their place.
func (s *Server) readyServer() *http.Server {
	const (
		maxHeader = 4 << 10 // bytes
		timeout   = 2 * time.Second
	)
	server := &http.Server{
		Handler: alice.New(s.abortAtPanic, refuseBody).Then(s.readyHandler()), MaxHeaderBytes: maxHeader,
		ReadHeaderTimeout: time.Second, ReadTimeout: timeout, WriteTimeout: timeout,
		ConnState: s.checkers.TrackState, ConnContext: s.checkers.ConnContext,
		ErrorLog: slog.NewLogLogger(s.deps.Log.Handler(), slog.LevelDebug),
	}
	// Idle connections would keep others waiting.
	server.SetKeepAlivesEnabled(false)
	return server
}

// refuseBody closes the connection of a request with a body, which neither the readiness check nor the metrics have. The
// server would read the body before it answers, and hold the connection for half a second after that.
func refuseBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			// The server reads the rest of the body at a panic, too.
			_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// readyHandler serves the readiness check and the metrics.
func (s *Server) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !s.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	mux.Handle("GET /metrics", s.deps.Metrics.Handler())
	mux.HandleFunc("GET "+QuarantinePath, s.listQuarantine)
	mux.HandleFunc("DELETE "+QuarantinePath, s.liftQuarantine)
	return mux
}

// isReady reports whether the router accepts new callers: it has a configuration, is not draining, and its link is not
// busy.
func (s *Server) isReady() bool {
	return s.table.Load() != nil && !s.isDraining() && !s.shedder.Busy()
}

// retryAllowed reports whether the retry budget allows another send of a request to a service, and counts it if so.
func (s *Server) retryAllowed(id ident.ServiceID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryBudget(id).Allow(s.deps.Clock.Now(), s.estimatedRouterCount())
}

// countRequest counts a request of a service, from which its retry budget is derived.
func (s *Server) countRequest(id ident.ServiceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget(id).RecordRequest(s.deps.Clock.Now())
}

// retryBudget returns the retry budget of a service and creates it on first use. The caller holds s.mu.
func (s *Server) retryBudget(id ident.ServiceID) *retry.Budget {
	b := s.retryBudgets[id]
	if b == nil {
		b = retry.New(s.retryConfig(), s.deps.Clock.Now())
		s.retryBudgets[id] = b
	}
	return b
}

// retryConfig returns the configuration of the retry budgets. The caller holds s.mu.
func (s *Server) retryConfig() retry.Config {
	return retry.Config{
		Window:          s.bounds.RetryWindow,
		Ratio:           s.bounds.RetryRatio,
		Allowance:       s.bounds.RetryAllowance,
		NoRecentRetries: s.cfg.FirstStart,
	}
}

// estimatedRouterCount returns the number of routers that may be alive, including some that this router has not seen
// yet.
func (s *Server) estimatedRouterCount() int {
	const unseen = 2
	return s.accounts.RouterCount() + unseen
}
