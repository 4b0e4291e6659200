//go:build review

// Command standins-2 runs one case of the second review: stand-ins of the platform's store, of engines and of callers,
// and routers as separate processes. It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"geraniumsaddle/platform"
	"geraniumsaddle/platform/fakes"
)

// fleet is the platform's store and the routers.
type fleet struct {
	dir     string
	store   *fakes.Store
	gate    *storeGate
	routers []*router
	record  *record
}

// router is one router process.
type router struct {
	name, zone, front, ready, settings string
	// gate carries the router's calls of the store.
	gate   *routerGate
	cmd    *exec.Cmd
	exited chan struct{}
}

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{f: f, start: time.Now()}, err
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// storeGate passes the calls of the routers on to the store. It can cut off the watches of one kind that wait.
type storeGate struct {
	next http.Handler

	mu      sync.Mutex
	waiting map[string]map[context.Context]waitingWatch
}

// waitingWatch is a watch that waits for changes.
type waitingWatch struct {
	since time.Time
	cut   context.CancelFunc
}

type cutWriter struct {
	http.ResponseWriter
	mu  sync.Mutex
	cut bool
}

func (w *cutWriter) WriteHeader(status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut {
		panic(http.ErrAbortHandler)
	}
	w.ResponseWriter.WriteHeader(status)
}

// ServeHTTP serves one call.
func (g *storeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || !r.URL.Query().Has("watch") {
		g.next.ServeHTTP(w, r)
		return
	}
	kind := strings.TrimPrefix(r.URL.Path, "/objects/")
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	cw := &cutWriter{ResponseWriter: w}
	g.mu.Lock()
	if g.waiting[kind] == nil {
		g.waiting[kind] = make(map[context.Context]waitingWatch)
	}
	g.waiting[kind][ctx] = waitingWatch{time.Now(), func() {
		cw.mu.Lock()
		cw.cut = true
		cw.mu.Unlock()
		cancel()
	}}
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(g.waiting[kind], ctx)
		g.mu.Unlock()
	}()
	g.next.ServeHTTP(cw, r.WithContext(ctx))
	cw.mu.Lock()
	cut := cw.cut
	cw.mu.Unlock()
	if cut {
		panic(http.ErrAbortHandler) // the connection of the watch ends without an answer
	}
}

// cutWatches cuts off the watches of a kind that wait, and returns their number.
func (g *storeGate) cutWatches(kind string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := len(g.waiting[kind])
	for _, w := range g.waiting[kind] {
		w.cut()
	}
	return n
}

// awaitWatches waits until n watches of a kind wait, each since after, and returns when the last of them began.
func (g *storeGate) awaitWatches(kind string, n int, after time.Time) time.Time {
	for {
		found, last := 0, time.Time{}
		g.mu.Lock()
		for _, w := range g.waiting[kind] {
			if w.since.After(after) {
				found++
				if w.since.After(last) {
					last = w.since
				}
			}
		}
		g.mu.Unlock()
		if found >= n {
			return last
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// routerGate passes the calls of one router on. While the router is cut off, its calls get no answer.
type routerGate struct {
	next http.Handler

	mu  sync.Mutex
	cut bool
	// since is when the last watch of each kind began, and watches counts those of the configuration.
	since   map[string]time.Time
	watches int
}

func (g *routerGate) setCut(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = cut
}

func (g *routerGate) isCut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cut
}

// watchOf returns when the last watch of a kind began.
func (g *routerGate) watchOf(kind string) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.since[kind]
}

// watchCount returns the number of watches of the configuration.
func (g *routerGate) watchCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.watches
}

// ServeHTTP serves one call.
func (g *routerGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if kind, ok := strings.CutPrefix(r.URL.Path, "/objects/"); ok && r.URL.Query().Has("watch") {
		g.mu.Lock()
		g.since[kind] = time.Now()
		if kind == "config" {
			g.watches++
		}
		g.mu.Unlock()
	}
	if g.isCut() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	g.next.ServeHTTP(&gatedWriter{ResponseWriter: w, g: g, r: r}, r)
}

// gatedWriter holds back the answers that a cut has caught.
type gatedWriter struct {
	http.ResponseWriter
	g *routerGate
	r *http.Request
}

func (w *gatedWriter) WriteHeader(status int) {
	if w.g.isCut() {
		<-w.r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.ResponseWriter.WriteHeader(status)
}

// fleetConfig says how routers are started.
type fleetConfig struct {
	routers  int
	memoryMB int
	maxFDs   int
	graceS   float64
	zones    []string
	// grown selects the bounds of the grown sheet.
	grown bool
}

// newFleet starts a store. It listens on the loopback interface.
func newFleet(dir string, rec *record) (*fleet, error) {
	f := &fleet{dir: dir, record: rec, store: fakes.NewStore(500)}
	f.gate = &storeGate{next: f.store, waiting: make(map[string]map[context.Context]waitingWatch)}
	return f, nil
}

// loopbackIP returns an address of the loopback network that other runs don't use.
func loopbackIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 1+pid/250%250, 1+pid%250)
}

func listen() (net.Listener, error) { return net.Listen("tcp", loopbackIP()+":0") }

// heldAddrs keeps free addresses from being handed out twice until releaseAddrs.
var heldAddrs []io.Closer

// freeAddr returns a free address of the loopback interface.
func freeAddr() (string, error) {
	ln, err := listen()
	if err != nil {
		return "", err
	}
	heldAddrs = append(heldAddrs, ln)
	return ln.Addr().String(), nil
}

func freeUDPPort() (int, error) {
	c, err := net.ListenPacket("udp", loopbackIP()+":0")
	if err != nil {
		return 0, err
	}
	heldAddrs = append(heldAddrs, c)
	return c.LocalAddr().(*net.UDPAddr).Port, nil
}

func releaseAddrs() {
	for _, c := range heldAddrs {
		_ = c.Close()
	}
	heldAddrs = nil
}

// start starts the store's server and the routers, and waits until all are ready.
func (f *fleet) start(cfg fleetConfig) error {
	for i := range cfg.routers {
		ln, err := listen()
		if err != nil {
			return err
		}
		gate := &routerGate{next: f.gate, since: make(map[string]time.Time)}
		go func() { _ = (&http.Server{Handler: gate}).Serve(ln) }()
		zone := cfg.zones[i%len(cfg.zones)]
		r := &router{name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, gate: gate}
		if r.front, err = freeAddr(); err != nil {
			return err
		}
		if r.ready, err = freeAddr(); err != nil {
			return err
		}
		peerPort, err := freeUDPPort()
		if err != nil {
			return err
		}
		r.settings = filepath.Join(f.dir, r.name+".json")
		text := fmt.Sprintf(`{"node":%q,"role":"edge","class":"edge","serves":["edge"],"ip":%q,"zone":%q,"region":"r1",
"zones":{"z1":"r1","z2":"r1","z3":"r1"},"listen":{"front":%q,"ready":%q},"port_range":[%d,%d],"bootstrap":true,
"limits":{"cpu_share":0.4,"cores":1,"memory_mb":%d,"max_fds":%d,"link_mbps":1000.0,"disk_mb":0},"heartbeat_ms":1200,
"bounds":{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,"grace_s":%g,"loss_slack_ms":200,"config_ms":2000,"regress_slack_ms":250,"outer_ms":5000,"retry_budget_ratio":0.2,"budget_window_s":10,"retry_budget_slack":58,"exposure_share":0.1,"exposure_slack":50,"rollback_ms":5000,"recover_s":12,"pass_ms":120,"reuse_window_s":7.1,"settle_ms":1500},
"provider":{"address":%q,"form":"objects","writes_per_s":400,"reads_per_s":2000,"history_s":20,"value_bytes":1048576,"ttl_min_ms":1000}}`,
			r.name, loopbackIP(), zone, r.front, r.ready, peerPort, peerPort, cfg.memoryMB, cfg.maxFDs, cfg.graceS, ln.Addr())
		if cfg.grown {
			text = strings.NewReplacer(`"contact_ms":3000`, `"contact_ms":4000`, `"drain_ms":2000`, `"drain_ms":3000`, `"config_ms":2000`, `"config_ms":3000`).Replace(text)
		}
		if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
			return err
		}
		f.routers = append(f.routers, r)
	}
	releaseAddrs()
	for _, r := range f.routers {
		if err := f.startRouter(r); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, r := range f.routers {
		for !r.isReady() {
			if time.Now().After(deadline) {
				return errors.New("a router is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// startRouter starts the process with the command of the deploy file.
func (f *fleet) startRouter(r *router) error {
	out, err := os.OpenFile(filepath.Join(f.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command("target/geraniumsaddle", "edge")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+r.settings)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	r.cmd, r.exited = cmd, make(chan struct{})
	go func() {
		_ = cmd.Wait()
		f.record.printf("router %s ended: %v", r.name, cmd.ProcessState)
		close(r.exited)
	}()
	return nil
}

// restart starts a process that has ended, with the settings of a fleet that has started before.
func (f *fleet) restart(r *router) error {
	b, err := os.ReadFile(r.settings)
	if err != nil {
		return err
	}
	text := strings.Replace(string(b), `"bootstrap":true`, `"bootstrap":false`, 1)
	if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
		return err
	}
	return f.startRouter(r)
}

func (r *router) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + r.ready + "/readyz")
	return err == nil && resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

// stop ends the routers.
func (f *fleet) stop() {
	for _, r := range f.routers {
		if r.cmd == nil {
			continue
		}
		_ = r.cmd.Process.Kill()
		<-r.exited
	}
	f.store.Close()
}

// isRunning reports whether the process of a router has not ended.
func (r *router) isRunning() bool {
	select {
	case <-r.exited:
		return false
	default:
		return true
	}
}
