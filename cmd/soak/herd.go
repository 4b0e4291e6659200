package main

import (
	"syscall"
	"time"
)

// runHerd starts all routers at once, kills all of them right after the store has acknowledged a configuration, as a loss
// of power does, and starts all of them again, beside callers for half of cfg.Length before and after the loss.
func (env *testEnv) runHerd() (summary, error) {
	first, err := env.startAll()
	if err != nil {
		return summary{}, err
	}
	load := &loadGenerator{routers: env.routers, stop: make(chan struct{})}
	env.background.Go(func() { load.run(env.cfg.Callers, env.cfg.Seed) })
	time.Sleep(env.cfg.Length / 2)
	second, err := env.losePower()
	if err == nil {
		time.Sleep(env.cfg.Length / 2)
	}
	close(load.stop)
	env.background.Wait()
	if err != nil {
		return summary{}, err
	}
	env.checkServed(load)
	env.stopRouters()
	s := env.summarize(load.outcomes)
	s.ReadyMS = []int64{first.Milliseconds(), second.Milliseconds()}
	return s, nil
}

// losePower changes the configuration, kills all routers and starts them again. It returns the time until all are ready.
func (env *testEnv) losePower() (time.Duration, error) {
	env.putConfig()
	env.countFault("power")
	for _, r := range env.routers {
		r.signal(syscall.SIGKILL)
	}
	for _, r := range env.routers {
		r.waitExit()
	}
	return env.startAll()
}
