package demo

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/spf13/pflag"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/io/fakes/engine"
	"geraniumsaddle/io/fakes/plain"
	fakestore "geraniumsaddle/io/fakes/store"
	"geraniumsaddle/io/flags"
	"geraniumsaddle/io/node"
	"geraniumsaddle/io/peer"
	"geraniumsaddle/io/store"
)

// Config holds the settings of the demo.
type Config struct {
	Routers       int
	CallerAddr    string // address of the first router; the others use the following ports
	AdminAddr     string // address of the first router; the others use free ports
	OperatorToken string
	// TokenInterval is the time between two tokens of a request at an engine.
	TokenInterval time.Duration
	Log           *slog.Logger
	Clock         clockwork.Clock
}

const (
	enginesPerDomain = 2
	routersPerDomain = 2
	engineCapacity   = 64
	demoKey          = "demo-key"
	demoOrg          = "demo"
	loadKey          = "demo-load-key"
	loadOrg          = "demo-load"
	demoBudget       = ident.Tokens(100000)
	loadBudget       = ident.Tokens(50000000)
	keyValidity      = 24 * time.Hour
)

// Router is one router of the fleet.
type Router struct {
	Name   string
	Domain ident.DomainID
	Node   *node.Node
	stop   context.CancelFunc
	done   chan error
}

// Fleet is a running demo: the routers and the stand-ins of the platform, the engines and the services.
type Fleet struct {
	cfg      Config
	platform *fakestore.Server
	engines  map[ident.TargetID]*engine.Server
	services map[ident.TargetID]*plain.Server
	urls     map[ident.TargetID]string
	domains  []ident.DomainID
	store    *store.Client
	ca       peer.KeyPair
	servers  []*http.Server
	wg       sync.WaitGroup

	mu      sync.Mutex
	Routers []*Router
}

// Start starts the stand-ins and the routers.
func Start(cfg Config) (*Fleet, error) {
	f := &Fleet{
		cfg: cfg, engines: make(map[ident.TargetID]*engine.Server), services: make(map[ident.TargetID]*plain.Server),
		urls: make(map[ident.TargetID]string),
	}
	err := f.start()
	if err != nil {
		f.Stop()
		return nil, trace.Wrap(err)
	}
	return f, nil
}

func (f *Fleet) start() error {
	n := max(1, (f.cfg.Routers+routersPerDomain-1)/routersPerDomain)
	for i := range n {
		f.domains = append(f.domains, ident.DomainID(fmt.Sprintf("d%d", i+1)))
	}
	f.platform = fakestore.New(fakestore.Config{}, f.cfg.Clock)
	url, err := f.serveStandIn(f.platform)
	if err != nil {
		return err
	}
	if f.store, err = store.New(store.Config{URL: url}, f.cfg.Clock); err != nil {
		return err
	}
	if err := f.startTargets(); err != nil {
		return err
	}
	if err := f.seed(context.Background()); err != nil {
		return err
	}
	if f.ca, err = peer.NewAuthority("demo", f.cfg.Clock.Now(), keyValidity); err != nil {
		return err
	}
	for i := range f.cfg.Routers {
		if _, err := f.StartRouter(i, url); err != nil {
			return err
		}
	}
	return nil
}

// serveStandIn serves a stand-in on a free loopback port and returns its URL.
func (f *Fleet) serveStandIn(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	f.servers = append(f.servers, srv)
	f.wg.Go(func() { _ = srv.Serve(l) })
	return "http://" + l.Addr().String(), nil
}

func (f *Fleet) startTargets() error {
	for i, d := range f.domains {
		for j := range enginesPerDomain {
			id := ident.TargetID(fmt.Sprintf("engine-%s-%d", d, j+1))
			s := engine.New(engine.Config{Capacity: engineCapacity, TokenInterval: f.cfg.TokenInterval, Seed: uint64(10*i + j)}, f.cfg.Clock)
			url, err := f.serveStandIn(s)
			if err != nil {
				return err
			}
			f.engines[id], f.urls[id] = s, url
		}
		id := ident.TargetID("orders-" + string(d))
		s := plain.New(plain.Config{DefaultStock: 1000}, f.cfg.Clock)
		url, err := f.serveStandIn(s)
		if err != nil {
			return err
		}
		f.services[id], f.urls[id] = s, url
	}
	return nil
}

// StartRouter starts the router with index i. If it ran before, it gets a new incarnation.
func (f *Fleet) StartRouter(i int, platformURL string) (*Router, error) {
	r := &Router{Name: fmt.Sprintf("router-%d", i+1), Domain: f.domains[i/routersPerDomain], done: make(chan error, 1)}
	pair, err := f.ca.Issue(r.Name, f.cfg.Clock.Now(), keyValidity)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	certs, err := peer.NewCerts(f.cfg.Clock, pair, f.ca.Cert)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	cfg, err := f.routerSettings(i, r, platformURL)
	if err != nil {
		return nil, err
	}
	if err := f.store.PutVM(context.Background(), store.VM{Name: ident.VMID(r.Name), Domain: r.Domain, State: store.VMLive}); err != nil {
		return nil, trace.Wrap(err)
	}
	r.Node, err = node.New(cfg, node.Deps{Clock: f.cfg.Clock, Log: f.cfg.Log, Registry: prometheus.NewRegistry(), Certs: certs, Seed: uint64(i)})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var ctx context.Context
	ctx, r.stop = context.WithCancel(context.Background())
	go func() { r.done <- r.Node.Run(ctx) }()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Routers = append(f.Routers, r)
	return r, nil
}

// routerSettings returns the settings of the router with index i: the defaults of the router command with the values of
// the demo.
func (f *Fleet) routerSettings(i int, r *Router, platformURL string) (flags.Router, error) {
	var cfg flags.Router
	flags.BindRouter(pflag.NewFlagSet("router", pflag.ContinueOnError), &cfg)
	addr, err := addToPort(f.cfg.CallerAddr, i)
	if err != nil {
		return cfg, err
	}
	cfg.Name, cfg.VM, cfg.Domain = r.Name, r.Name, string(r.Domain)
	cfg.CallerAddr, cfg.AdminAddr, cfg.PeerAddr = addr, "127.0.0.1:0", "127.0.0.1:0"
	if i == 0 {
		cfg.AdminAddr = f.cfg.AdminAddr
	}
	cfg.PlatformURL, cfg.OperatorToken, cfg.OperationKey = platformURL, f.cfg.OperatorToken, "demo-operation-key"
	cfg.ReleasePolicy = "small"
	cfg.DrainGrace = 200 * time.Millisecond
	return cfg, nil
}

// addToPort adds n to the port of an address. Port 0, which selects a free port, stays 0.
func addToPort(addr string, n int) (string, error) {
	a, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return "", trace.BadParameter("address %q: %v", addr, err)
	}
	if a.Port != 0 {
		a.Port += n
	}
	return a.String(), nil
}

// Crash stops a router without a shutdown, as a failure of its VM would, and sets the state of the VM to gone.
func (f *Fleet) Crash(r *Router) error {
	r.Node.Kill()
	r.stop()
	if err := <-r.done; err != nil {
		return trace.Wrap(err)
	}
	return f.store.PutVM(context.Background(), store.VM{Name: ident.VMID(r.Name), Domain: r.Domain, State: store.VMGone})
}

// Stop shuts the routers down gracefully and then stops the stand-ins.
func (f *Fleet) Stop() {
	f.mu.Lock()
	routers := f.Routers
	f.mu.Unlock()
	var wg sync.WaitGroup
	for _, r := range routers {
		wg.Go(func() {
			r.stop()
			r.Node.Wait()
		})
	}
	wg.Wait()
	for _, s := range f.engines {
		s.Close()
	}
	if f.platform != nil {
		f.platform.Close()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	f.wg.Wait()
}
