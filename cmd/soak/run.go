package main

import (
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"time"

	"geraniumsaddle/platform/stand"
)

const (
	// streamEvents is the number of events of each stream.
	streamEvents = 5
	// startWait bounds the wait until all routers are ready.
	startWait = 20 * time.Second
)

// world is one run: stand-ins, proxies and routers.
type world struct {
	cfg     config
	rnd     *rand.Rand
	store   *stand.Store
	routers []*router
	engines []*stand.Engine
	proxies []*proxy // before the engines
	version int
	faults  map[string]int
}

// run plays one seed.
func run(cfg config) (summary, error) {
	if cfg.Dir == "" {
		dir, err := os.MkdirTemp("", "soak")
		if err != nil {
			return summary{}, err
		}
		cfg.Dir = dir
	}
	w := &world{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 1)), store: stand.NewStore(5), faults: make(map[string]int)}
	srv := httptest.NewServer(w.store)
	defer srv.Close()
	defer w.store.Close()
	defer w.close()
	if err := w.start(srv.Listener.Addr().String()); err != nil {
		return summary{}, err
	}
	l := &load{fleet: w.routers, stop: make(chan struct{})}
	done := make(chan struct{})
	go func() {
		l.run(cfg.Callers, cfg.Seed)
		close(done)
	}()
	err := w.play()
	close(l.stop)
	<-done
	if err != nil {
		return summary{}, err
	}
	return w.sum(l.outcomes), nil
}

func (w *world) start(store string) error {
	w.configure()
	for n := range 5 {
		if err := w.addEngine(n); err != nil {
			return err
		}
	}
	for n := range w.cfg.Routers {
		r, err := newRouter(w.cfg, n, store)
		if err != nil {
			return err
		}
		w.routers = append(w.routers, r)
		if err := r.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(startWait); !w.allReady(); {
		if time.Now().After(end) {
			return fmt.Errorf("routers are not ready; logs in %s", w.cfg.Dir)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

func (w *world) allReady() bool {
	for _, r := range w.routers {
		if !r.isReady() {
			return false
		}
	}
	return true
}

func (w *world) configure() {
	w.version++
	w.store.Put("config", "main", stand.Config(w.version, 4000, prepaid))
}

// addEngine starts an engine behind a proxy: three of the model service, the others of the plain one.
func (w *world) addEngine(n int) error {
	service := "llm"
	if n >= 3 {
		service = "desk"
	}
	id := fmt.Sprint("target-", n)
	e, err := stand.NewEngine(id)
	if err != nil {
		return err
	}
	e.EventCount, e.EventInterval = streamEvents, 10*time.Millisecond
	p, err := newProxy(e.Addr())
	if err != nil {
		return err
	}
	w.engines = append(w.engines, e)
	w.proxies = append(w.proxies, p)
	entry := e.RegistryEntry(service, "a", "ready")
	w.store.Put("servers", id, strings.Replace(entry, e.Addr(), p.addr(), 1))
	return nil
}

// play injects faults, also several at a time, and ends all of them.
func (w *world) play() error {
	end := time.Now().Add(w.cfg.Length)
	var undo []func() error
	for time.Now().Before(end) {
		undo = append(undo, w.inject())
		time.Sleep(time.Duration(100+w.rnd.IntN(700)) * time.Millisecond)
		for len(undo) > 0 && (len(undo) > 3 || w.rnd.IntN(2) == 0) {
			if err := undo[0](); err != nil {
				return err
			}
			undo = undo[1:]
		}
	}
	for _, f := range undo {
		if err := f(); err != nil {
			return err
		}
	}
	return nil
}

// inject begins a fault and returns what ends it.
func (w *world) inject() func() error {
	r := w.routers[w.rnd.IntN(len(w.routers))]
	n := w.rnd.IntN(len(w.engines))
	m := mode(1 + w.rnd.IntN(4))
	switch w.rnd.IntN(7) {
	case 0:
		w.count("kill")
		r.signal(syscall.SIGKILL)
		return func() error { r.gone(); return r.start() }
	case 1:
		w.count("pause")
		r.signal(syscall.SIGSTOP)
		return func() error { r.signal(syscall.SIGCONT); return nil }
	case 2:
		w.count("term")
		r.signal(syscall.SIGTERM)
		return func() error { r.signal(syscall.SIGCONT); r.gone(); return r.start() }
	case 3:
		w.count("store_" + modeNames[m])
		r.store.set(m)
		return func() error { r.store.set(pass); return nil }
	case 4:
		w.count("target_" + modeNames[m])
		w.proxies[n].set(m)
		return func() error { w.proxies[n].set(pass); return nil }
	case 5:
		modes := []stand.Mode{stand.Shed, stand.Fail, stand.CloseAfterRun, stand.Truncate, stand.DuplicateResponse, stand.Unframed, stand.UnframedReset}
		w.count("target_faulty")
		w.engines[n].SetMode(modes[w.rnd.IntN(len(modes))])
		return func() error { w.engines[n].SetMode(stand.Serve); return nil }
	default:
		w.count("configuration")
		w.configure()
		r.signal(syscall.SIGHUP)
		return func() error { return nil }
	}
}

func (w *world) count(name string) { w.faults[name]++ }

func (w *world) sum(outcomes []outcome) summary {
	runs := make(map[string]int)
	for _, e := range w.engines {
		for _, r := range e.Runs() {
			runs[r.ID]++
		}
	}
	s := summary{Seed: w.cfg.Seed, Requests: len(outcomes), Answers: make(map[string]int), Faults: w.faults}
	for _, o := range outcomes {
		s.Answers[o.name()]++
	}
	s.Broken = check(outcomes, runs, streamEvents)
	s.OK = len(s.Broken) == 0
	return s
}

func (w *world) close() {
	for _, r := range w.routers {
		r.signal(syscall.SIGKILL)
		r.gone()
		r.store.close()
	}
	for _, p := range w.proxies {
		p.close()
	}
	for _, e := range w.engines {
		e.Close()
	}
}
