package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/platform"
	"geraniumsaddle/platform/fakes"
)

// TestStoreRecoveryNoticed guards against a router that notices only at the end of a long watch that the store is
// reachable again. It would refuse the claims of other routers until then.
func TestStoreRecoveryNoticed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	env := newTestEnvWith(t, func(cfg *platform.Settings, d *Deps) {
		peerSettings(50, 0)(cfg, d)
		d.WatchTimeouts = WatchTimeouts{
			platform.KindConfig: time.Hour, platform.KindTarget: time.Hour, platform.KindRelease: time.Hour,
		}
	})
	env.store.SetFault(faultAll(fakes.Unavailable))
	env.store.Put("config", "main", fakes.Config(2, 20_000, 1_000_000)) // ends the watch of the configuration
	env.waitFor("the store to be unreachable", env.server.storeMonitor.isUnreachable)
	env.store.SetFault(nil)
	env.waitFor("the store to be reachable", func() bool { return !env.server.storeMonitor.isUnreachable() })
	is.True(env.server.writer.checkServing() == nil)
}

// TestConfigAfterManyChanges guards against a router that keeps an old configuration because the changes that it has
// missed do not arrive within the time limit of a watch.
func TestConfigAfterManyChanges(t *testing.T) {
	t.Parallel()
	var counter pollCounter
	env := newTestEnvWith(t, func(_ *platform.Settings, d *Deps) {
		counter.PollingStore = d.Store
		d.Store = &counter
	})
	counter.late.Store(true)
	// The watch that waits already brings the first change.
	for range 2 {
		want := env.configVersion() + 1
		env.putConfig(want, 20_000, 1_000_000)
		env.waitFor("the configuration", func() bool { return env.configVersion() == want })
	}
}
