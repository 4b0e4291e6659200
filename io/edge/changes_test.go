package edge

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/store"
	"geraniumsaddle/platform"
)

// pollCounter counts the polls of a store.
type pollCounter struct {
	store.PollingStore
	polls atomic.Int64
}

func (c *pollCounter) Poll(ctx context.Context, kind object.Kind, from ident.ObjectVersion, wait time.Duration) (store.PollResult, error) {
	c.polls.Add(1)
	return c.PollingStore.Poll(ctx, kind, from, wait)
}

// TestWatchers guards against routers of a large fleet that all watch the store, and against changes that do not reach a
// router whose watchers have gone.
func TestWatchers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const routers = 6
	counters := make([]pollCounter, routers)
	envs := newDomainFleet(t, 70, routers, func(i int, _ *platform.Settings, d *Deps) {
		counters[i].PollingStore = d.Store
		d.Store = &counters[i]
	})
	// The last router knows all members. It follows unless it is a watcher itself, and then the one before it follows.
	follower := -1
	for i := routers - 1; i > 0 && follower < 0; i-- {
		envs[i].waitFor("the watchers", func() bool { return envs[i].server.changes.Load() != nil })
		if !envs[i].server.changes.Load().isWatcher {
			follower = i
		}
	}
	is.True(follower > 0)
	env := envs[follower]
	env.waitFor("a watcher that answers", env.server.changes.Load().follows)

	configVersion := func() int { return int(env.server.table.Load().Version()) }
	polls := counters[follower].polls.Load()
	env.putConfig(configVersion()+1, 1500, 5000)
	want := configVersion() + 1
	env.waitFor("the configuration through a watcher", func() bool { return configVersion() == want })
	is.Equal(counters[follower].polls.Load(), polls) // the follower did not call the store

	for i, other := range envs {
		if i != follower {
			is.NoErr(other.server.peerTransport.Close())
		}
	}
	env.putConfig(want+1, 1500, 5000)
	env.waitFor("the configuration without a watcher", func() bool { return configVersion() == want+1 })
}
