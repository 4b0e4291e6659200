package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"geraniumsaddle/platform/fakes"
)

const (
	// eventsPerStream is the number of events of each stream.
	eventsPerStream = 5
	// startTimeout and startShare for each router bound the wait until all routers are ready.
	startTimeout = 20 * time.Second
	startShare   = 300 * time.Millisecond
)

// testEnv holds the fakes, proxies and routers of one run.
type testEnv struct {
	cfg           config
	rng           *rand.Rand
	store         *fakes.Store
	routers       []*router
	engines       []*fakes.Engine
	engineProxies []*proxy // one in front of each engine
	configVersion int
	// config is the current configuration, and entries holds the registry entries of the targets.
	config     string
	entries    map[string]string
	background sync.WaitGroup

	mu         sync.Mutex
	faults     map[string]int
	violations []string // found during the run
	// stopping holds the routers that planned work has sent SIGTERM and not started again.
	stopping map[*router]bool
}

// run runs one seed and checks the outcomes.
func run(cfg config) (summary, error) {
	if cfg.Dir == "" {
		dir, err := os.MkdirTemp("", "soak")
		if err != nil {
			return summary{}, err
		}
		cfg.Dir = dir
	}
	env := &testEnv{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), store: fakes.NewStore(5), faults: make(map[string]int), stopping: make(map[*router]bool)}
	if cfg.Rewinds {
		env.store.SetEra(1)
	}
	storeServer := httptest.NewServer(env.store)
	defer storeServer.Close()
	defer env.store.Close()
	defer env.close()
	if err := env.prepare(storeServer.Listener.Addr().String()); err != nil {
		return summary{}, err
	}
	if cfg.Herd {
		return env.runHerd()
	}
	if _, err := env.startAll(); err != nil {
		return summary{}, err
	}
	return env.runFaults()
}

// runFaults sends load and injects faults for cfg.Length, and checks the outcomes.
func (env *testEnv) runFaults() (summary, error) {
	load := &loadGenerator{routers: env.routers, slow: env.cfg.Planned, stop: make(chan struct{})}
	loadDone := make(chan struct{})
	go func() {
		load.run(env.cfg.Callers, env.cfg.Seed)
		close(loadDone)
	}()
	partial := make(chan struct{})
	var err error
	if env.cfg.Starts {
		err = env.disturbStarts(partial)
	} else {
		err = env.injectFaults()
	}
	close(load.stop)
	<-loadDone
	if env.cfg.Starts && err == nil {
		env.checkServed(load)
	}
	close(partial)
	env.background.Wait()
	if err != nil {
		return summary{}, err
	}
	env.stopRouters()
	return env.summarize(load.outcomes), nil
}

// start prepares the fakes and routers, and starts the routers.
func (env *testEnv) start(storeAddr string) error {
	if err := env.prepare(storeAddr); err != nil {
		return err
	}
	_, err := env.startAll()
	return err
}

// prepare starts the fakes and sets up the routers.
func (env *testEnv) prepare(storeAddr string) error {
	env.putConfig()
	for n := range 5 {
		if err := env.addEngine(n); err != nil {
			return err
		}
	}
	for n := range env.cfg.Routers {
		r, err := newRouter(env.cfg, n, storeAddr)
		if err != nil {
			return err
		}
		env.routers = append(env.routers, r)
	}
	return nil
}

// startAll starts all routers and returns the time until all are ready.
func (env *testEnv) startAll() (time.Duration, error) {
	began := time.Now()
	for _, r := range env.routers {
		if err := r.start(); err != nil {
			return 0, err
		}
	}
	limit := startTimeout + time.Duration(len(env.routers))*startShare
	for !env.allReady() {
		if env.stopped() {
			return 0, errStopped
		}
		if time.Since(began) > limit {
			return 0, fmt.Errorf("routers are not ready; logs in %s", env.cfg.Dir)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began), nil
}

func (env *testEnv) allReady() bool {
	for _, r := range env.routers {
		if !r.isReady() {
			return false
		}
	}
	return true
}

// defaultIdleTimeoutMS is the idle timeout of callers' connections in milliseconds.
const defaultIdleTimeoutMS = 15_000

func (env *testEnv) putConfig() { env.putConfigWithIdleTimeout(defaultIdleTimeoutMS) }

func (env *testEnv) putConfigWithIdleTimeout(timeoutMS int) {
	env.configVersion++
	config := fakes.Config(env.configVersion, 4000, env.prepaid())
	env.config = fakes.WithIdleTimeout(config, timeoutMS)
	env.store.Put("config", "main", env.config)
}

// prepaid returns what organisation org1 has prepaid. Planned work is to be seen beside running requests, so that its
// tokens last.
func (env *testEnv) prepaid() int {
	if env.cfg.Planned {
		return 100 * prepaidTokens
	}
	return prepaidTokens
}

// addEngine starts an engine behind a proxy and registers it. The first three serve the model service, the others the
// plain service.
func (env *testEnv) addEngine(index int) error {
	service := "llm"
	if index >= 3 {
		service = "desk"
	}
	id := fmt.Sprint("target-", index)
	e, err := fakes.NewEngine(id)
	if err != nil {
		return err
	}
	e.EventCount, e.EventInterval = eventsPerStream, 10*time.Millisecond
	p, err := newProxy(e.Addr())
	if err != nil {
		return err
	}
	env.engines = append(env.engines, e)
	env.engineProxies = append(env.engineProxies, p)
	entry := e.RegistryEntry(service, "a", "ready")
	if env.entries == nil {
		env.entries = make(map[string]string)
	}
	env.entries[id] = strings.Replace(entry, e.Addr(), p.addr(), 1)
	env.store.Put("servers", id, env.entries[id])
	return nil
}

// errStopped means that a signal has ended the run early.
var errStopped = errors.New("stopped by a signal")

// stopped reports whether the run is to end early.
func (env *testEnv) stopped() bool {
	select {
	case <-env.cfg.Stop:
		return true
	default:
		return false
	}
}

// injectFaults injects faults, several of which can be active at once, for cfg.Length and ends all of them.
func (env *testEnv) injectFaults() error {
	deadline := time.Now().Add(env.cfg.Length)
	var undo []func() error
	inject := env.injectFault
	if env.cfg.Planned {
		inject = env.injectPlannedWork
	}
	for time.Now().Before(deadline) {
		if env.stopped() {
			return errStopped
		}
		if env.cfg.Rewinds && env.rng.IntN(rewindShare) == 0 {
			env.injectRewind()
		}
		undo = append(undo, inject())
		time.Sleep(time.Duration(100+env.rng.IntN(700)) * time.Millisecond)
		for len(undo) > 0 && (len(undo) > 3 || env.rng.IntN(2) == 0) {
			if err := undo[0](); err != nil {
				return err
			}
			undo = undo[1:]
		}
	}
	for _, end := range undo {
		if err := end(); err != nil {
			return err
		}
	}
	return nil
}

// injectFault starts a random fault and returns the function that ends it.
func (env *testEnv) injectFault() func() error {
	r := env.routers[env.rng.IntN(len(env.routers))]
	engine := env.rng.IntN(len(env.engines))
	mode := proxyMode(1 + env.rng.IntN(4))
	switch env.rng.IntN(7) {
	case 0:
		env.countFault("kill")
		r.signal(syscall.SIGKILL)
		return func() error { r.waitExit(); return r.start() }
	case 1:
		env.countFault("pause")
		r.signal(syscall.SIGSTOP)
		return func() error { r.signal(syscall.SIGCONT); return nil }
	case 2:
		env.countFault("term")
		r.signal(syscall.SIGTERM)
		// If another fault has paused the process, it handles SIGTERM only after SIGCONT.
		return func() error { r.signal(syscall.SIGCONT); r.waitExit(); return r.start() }
	case 3:
		env.countFault("store_" + modeNames[mode])
		r.storeProxy.setMode(mode)
		return func() error { r.storeProxy.setMode(modePass); return nil }
	case 4:
		env.countFault("target_" + modeNames[mode])
		env.engineProxies[engine].setMode(mode)
		return func() error { env.engineProxies[engine].setMode(modePass); return nil }
	case 5:
		engineModes := []fakes.Mode{fakes.Shed, fakes.Fail, fakes.CloseAfterRun, fakes.Truncate, fakes.DuplicateResponse, fakes.Unframed, fakes.UnframedReset}
		env.countFault("target_faulty")
		env.engines[engine].SetMode(engineModes[env.rng.IntN(len(engineModes))])
		return func() error { env.engines[engine].SetMode(fakes.Serve); return nil }
	default:
		env.countFault("configuration")
		env.putConfig()
		r.signal(syscall.SIGHUP)
		return func() error { return nil }
	}
}

// injectPlannedWork starts a random piece of planned work and returns the function that ends it.
func (env *testEnv) injectPlannedWork() func() error {
	r := env.routers[env.rng.IntN(len(env.routers))]
	switch env.rng.IntN(4) {
	case 0:
		env.countFault("term")
		r.signal(syscall.SIGTERM)
		if env.stopping[r] {
			break // The first signal's end waits for the exit.
		}
		env.stopping[r] = true
		return func() error {
			delete(env.stopping, r)
			r.waitExit()
			return r.start()
		}
	case 1:
		env.countFault("hup")
		r.signal(syscall.SIGHUP)
	default:
		env.countFault("idle_timeout")
		// The router adds a second to the limit.
		env.putConfigWithIdleTimeout([]int{1, defaultIdleTimeoutMS}[env.rng.IntN(2)])
	}
	return func() error { return nil }
}

func (env *testEnv) countFault(fault string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.faults[fault]++
}

// runCount returns the number of requests that engines have started to run.
func (env *testEnv) runCount() int {
	n := 0
	for _, e := range env.engines {
		n += len(e.Runs())
	}
	return n
}

func (env *testEnv) summarize(outcomes []outcome) summary {
	runCounts := make(map[string]int)
	for _, e := range env.engines {
		for _, r := range e.Runs() {
			runCounts[r.ID]++
		}
	}
	s := summary{Seed: env.cfg.Seed, Requests: len(outcomes), Answers: make(map[string]int), Faults: env.faults}
	for _, o := range outcomes {
		s.Answers[o.label()]++
	}
	s.Broken = checkOutcomes(outcomes, runCounts, eventsPerStream, env.prepaid())
	if env.cfg.Planned {
		s.Broken = append(s.Broken, checkAnswered(outcomes, runCounts)...)
	}
	if env.cfg.Starts || env.cfg.Herd {
		env.summarizeEnds(&s, outcomes)
	}
	s.OK = len(s.Broken) == 0
	return s
}

// summarizeEnds adds how the processes ended.
func (env *testEnv) summarizeEnds(s *summary, outcomes []outcome) {
	var ends []processEnd
	for _, r := range env.routers {
		ends = append(ends, r.ends...)
	}
	s.Ends = make(map[string]int)
	for _, e := range ends {
		s.Ends[e.label()]++
		s.PeakMB = max(s.PeakMB, e.peakMemory>>20)
		if !wasAskedFor(e) {
			s.OwnEnds++
		}
	}
	s.Lost = countLost(outcomes, ends)
	s.Broken = append(s.Broken, env.violations...)
	s.Broken = append(s.Broken, checkEnds(ends, int64(env.cfg.MemoryMB)<<20)...)
}

// stopRouters stops all routers that run, after their last requests.
func (env *testEnv) stopRouters() {
	for _, r := range env.routers {
		r.signal(syscall.SIGTERM)
	}
	for _, r := range env.routers {
		r.waitExit()
	}
}

func (env *testEnv) close() {
	for _, r := range env.routers {
		r.signal(syscall.SIGKILL)
		r.waitExit()
		r.storeProxy.close()
		if r.watch != nil {
			r.watch.close()
		}
	}
	for _, p := range env.engineProxies {
		p.close()
	}
	for _, e := range env.engines {
		e.Close()
	}
}
