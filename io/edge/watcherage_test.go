package edge

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/store"
	"geraniumsaddle/platform"
)

// storeFault says how the polls of the store fail on one VM.
type storeFault int32

const (
	noFault storeFault = iota
	// silentStore answers no poll, not even those that are already waiting, until the fault ends.
	silentStore
	// slowStore delays each poll and its answer.
	slowStore
)

// faultyPolls is a store whose polls may fail for one router.
type faultyPolls struct {
	store.PollingStore
	fault atomic.Int32
}

func (s *faultyPolls) Poll(ctx context.Context, kind object.Kind, from ident.ObjectVersion, wait time.Duration) (store.PollResult, error) {
	const delay = 2 * time.Second // more than half of the bound, in each direction
	if storeFault(s.fault.Load()) == slowStore {
		time.Sleep(delay)
	}
	res, err := s.PollingStore.Poll(ctx, kind, from, wait)
	switch storeFault(s.fault.Load()) {
	case silentStore:
		for storeFault(s.fault.Load()) == silentStore && ctx.Err() == nil {
			time.Sleep(2 * time.Millisecond)
		}
		return store.PollResult{}, &store.Error{Kind: store.ErrUnavailable, Call: "poll", Err: context.DeadlineExceeded}
	case slowStore:
		time.Sleep(delay)
	}
	return res, err
}

// TestWatchersOutOfTouch guards against a router in touch with the store that keeps an old configuration, or sends to a target
// that leaves, for as long as a watcher that is not in touch says that nothing has changed.
func TestWatchersOutOfTouch(t *testing.T) {
	t.Parallel()
	const knownWithin = 4 * time.Second // config_ms and drain_ms of the large fleet
	cases := []struct {
		name     string
		host     int
		fault    storeFault
		watchers int // how many of the two
	}{
		{"one is silent", 150, silentStore, 1},
		{"both are silent", 160, silentStore, 2},
		{"both are slow", 170, slowStore, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			stores := make(map[string]*faultyPolls)
			envs, _, follower := newWatchedFleetWith(t, c.host, func(cfg *platform.Settings, d *Deps) {
				cfg.Bounds.ConfigTime, cfg.Bounds.DrainTime = knownWithin, knownWithin
				stores[cfg.VM] = &faultyPolls{PollingStore: d.Store}
				d.Store = stores[cfg.VM]
			})
			env := envs[follower]
			for round := range 2 {
				env.waitFor("a watcher that answers", env.server.changes.Load().follows)
				leaving := env.addTarget("leaving", "desk")
				env.waitFor("the target", func() bool { return slices.Contains(env.server.targets.IDs(), "leaving") })
				for _, w := range env.server.changes.Load().watchers[:c.watchers] {
					stores[string(w.VM)].fault.Store(int32(c.fault))
				}
				serving := env.server.targets.ServingCount("desk")
				version := env.configVersion() + 1
				env.putConfig(version, 1500, 5000)
				env.store.Put("servers", "leaving", leaving.RegistryEntry("desk", "a", "draining"))
				start := time.Now()
				env.waitFor("the changes", func() bool {
					return env.configVersion() == version && env.server.targets.ServingCount("desk") < serving
				})
				took := time.Since(start)
				t.Logf("round %d: known after %v", round, took)
				is.True(took < knownWithin)
				for _, s := range stores {
					s.fault.Store(int32(noFault))
				}
				env.store.Delete("servers", "leaving")
				env.waitFor("the removal", func() bool { return !slices.Contains(env.server.targets.IDs(), "leaving") })
			}
		})
	}
}
