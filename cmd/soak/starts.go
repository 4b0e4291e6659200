package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// readTimeout bounds the time from SIGHUP until the changed settings are read.
	readTimeout = 5 * time.Second
	// settleTime is how long a signal at the start may come after it.
	settleTime = 60 * time.Millisecond
	// restartPause is the time until a process that has ended by itself is started again.
	restartPause = 100 * time.Millisecond
	// maxKilledStarts bounds the starts that are crossed by signals and killed, before one that is to be ready.
	maxKilledStarts = 5
	// maxSignals bounds the signals of one series.
	maxSignals = 20
	// finalRequests is the number of requests that each router has to serve at the end.
	finalRequests = 20
)

// starter starts and stops one router again and again, and sends it signals at random moments of its starts and stops.
type starter struct {
	env *testEnv
	r   *router
	rng *rand.Rand
}

// disturbStarts starts and stops all routers for cfg.Length beside partial requests, and leaves them running. The partial
// requests last until partial is closed.
func (env *testEnv) disturbStarts(partial <-chan struct{}) error {
	deadline := time.Now().Add(env.cfg.Length)
	errs := make(chan error, len(env.routers))
	for n, r := range env.routers {
		s := &starter{env: env, r: r, rng: rand.New(rand.NewPCG(env.cfg.Seed, uint64(n)+1000))}
		env.background.Go(func() { newPartialLoad(r.callerAddr, env.cfg.Seed+uint64(n), partial).run(env.cfg.Partial) })
		go func() { errs <- s.run(deadline) }()
	}
	var err error
	for range env.routers {
		if e := <-errs; e != nil {
			err = e
		}
	}
	return err
}

func (s *starter) run(deadline time.Time) error {
	for time.Now().Before(deadline) {
		if err := s.hangUp(s.rng.IntN(maxSignals), 50*time.Millisecond); err != nil {
			return err
		}
		time.Sleep(s.random(time.Second))
		if err := s.stop(); err != nil {
			return err
		}
		if err := s.restart(); err != nil {
			return err
		}
	}
	return nil
}

// random returns a duration below limit.
func (s *starter) random(limit time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(limit)))
}

// hangUp announces changed settings n times, with random pauses.
func (s *starter) hangUp(n int, maxPause time.Duration) error {
	for range n {
		time.Sleep(s.random(maxPause))
		if err := s.r.writeSettings(); err != nil {
			return err
		}
		s.env.countFault("hup")
		s.r.signal(syscall.SIGHUP)
	}
	return nil
}

// stop ends the process by SIGKILL or by one or more SIGTERM, and sends SIGHUP until it has ended.
func (s *starter) stop() error {
	terms := s.rng.IntN(5)
	if terms == 0 {
		s.env.countFault("kill")
		s.r.signal(syscall.SIGKILL)
		s.r.waitExit()
		return nil
	}
	if p := s.r.process(); p != nil && s.rng.IntN(2) == 0 {
		// The lines of the signals fill the pipe, so that the process waits for its log at its end.
		s.env.countFault("log_stops")
		p.log.stop()
	}
	s.env.countFault("term")
	s.r.signal(syscall.SIGTERM)
	var wg sync.WaitGroup
	pause := s.random(3*time.Millisecond) + 1
	wg.Go(func() {
		for n := 1; s.r.running(); n++ {
			time.Sleep(pause)
			if n < terms {
				s.r.signal(syscall.SIGTERM)
			}
			s.r.signal(syscall.SIGHUP)
		}
	})
	s.r.waitExit()
	wg.Wait()
	return s.r.writeSettings()
}

// restart starts the router until it is ready with the last settings. Signals cross its first starts, the log may lose
// its reader, and a port may be held.
func (s *starter) restart() error {
	s.holdPort()
	for range s.rng.IntN(maxKilledStarts + 1) {
		if err := s.killStart(); err != nil {
			return err
		}
	}
	if err := s.start(); err != nil {
		return err
	}
	s.changeLog()
	if err := s.signalStart(); err != nil {
		return err
	}
	for deadline := time.Now().Add(startTimeout); !s.r.isReady(); time.Sleep(restartPause) {
		if time.Now().After(deadline) {
			s.env.violate(s.r.name + " is not ready")
			return nil
		}
		if err := s.start(); err != nil {
			return err
		}
	}
	s.checkSettingsRead()
	return nil
}

// killStart sends SIGHUP from the start of a process on and then kills it.
func (s *starter) killStart() error {
	if err := s.start(); err != nil {
		return err
	}
	if err := s.hangUp(1+s.rng.IntN(maxSignals/2), s.startPause()); err != nil {
		return err
	}
	s.env.countFault("kill_at_start")
	s.r.signal(syscall.SIGKILL)
	s.r.waitExit()
	return nil
}

// startPause returns the longest pause between the signals of a start. Short ones are as likely as long ones.
func (s *starter) startPause() time.Duration {
	return s.random(settleTime/4)>>s.rng.IntN(8) + 1
}

// start starts the process unless it is running, half of the time on one processor.
func (s *starter) start() error {
	if s.rng.IntN(2) == 0 {
		return s.r.start("GOMAXPROCS=1")
	}
	return s.r.start()
}

// holdPort holds a port of the router for some hundred milliseconds, half of the time.
func (s *starter) holdPort() {
	addr := []string{s.r.callerAddr, s.r.readyAddr}[s.rng.IntN(2)]
	held := 50*time.Millisecond + s.random(500*time.Millisecond)
	if s.rng.IntN(2) == 0 {
		return
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		s.env.countFault("port_not_held")
		return
	}
	s.env.countFault("port")
	time.AfterFunc(held, func() { _ = ln.Close() })
}

// changeLog lets the reader of the log stop or leave at a random time, in half of the starts.
func (s *starter) changeLog() {
	p := s.r.process()
	after := s.random(time.Second)
	change := s.rng.IntN(4)
	if p == nil {
		return
	}
	switch change {
	case 0:
		s.env.countFault("log_stops")
		time.AfterFunc(after, p.log.stop)
	case 1:
		s.env.countFault("log_leaves")
		time.AfterFunc(after, p.log.leave)
	}
}

// signalStart sends SIGHUP, and sometimes SIGTERM or SIGKILL, from the start of the process on.
func (s *starter) signalStart() error {
	if err := s.hangUp(1+s.rng.IntN(maxSignals), s.startPause()); err != nil {
		return err
	}
	switch s.rng.IntN(6) {
	case 0:
		s.env.countFault("kill_at_start")
		s.r.signal(syscall.SIGKILL)
	case 1:
		s.env.countFault("term_at_start")
		s.r.signal(syscall.SIGTERM)
	default:
		return nil
	}
	s.r.waitExit()
	return nil
}

// checkSettingsRead records a violation if the process has not read the last settings, which SIGHUP or its start
// announced.
func (s *starter) checkSettingsRead() {
	p := s.r.process()
	for deadline := time.Now().Add(readTimeout); !s.r.watch.opened(); time.Sleep(10 * time.Millisecond) {
		if p == nil || s.r.process() != p {
			return // The end of the process is checked by itself.
		}
		if time.Now().After(deadline) {
			s.env.violate(fmt.Sprintf("%s has not read the last settings", s.r.name))
			return
		}
	}
}

// checkServed sends requests to each router beside the partial ones and records those that are not served.
func (env *testEnv) checkServed(load *loadGenerator) {
	for _, r := range env.routers {
		var client http.Client
		for n := range finalRequests {
			o := load.send(&client, r.callerAddr, requestKinds[1], fmt.Sprintf("final-%s-%d", r.name, n), strings.NewReader(""))
			load.outcomes = append(load.outcomes, o)
			if o.label() != "200" {
				env.violate(fmt.Sprintf("%s is not served beside partial requests: %s, %.100q", o.id, o.label(), o.body))
			}
		}
		client.CloseIdleConnections()
	}
}

// violate records a violation that is found during the run.
func (env *testEnv) violate(violation string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.violations = append(env.violations, violation)
}
