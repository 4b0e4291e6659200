package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/platform"
	"geraniumsaddle/platform/stand"
)

// TestStoreRecoveryNoticed guards against a router that notices only at the end of a long watch that the store is
// reachable again. It would refuse the claims of other routers until then.
func TestStoreRecoveryNoticed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTestEnvWith(t, func(cfg *platform.Settings, d *Deps) {
		peerSettings(50, 0)(cfg, d)
		d.WatchTimeouts = WatchTimeouts{
			platform.KindConfig: time.Hour, platform.KindTarget: time.Hour, platform.KindRelease: time.Hour,
		}
	})
	w.store.SetFault(faultAll(stand.Unavailable))
	w.store.Put("config", "main", stand.Config(2, 20_000, 1_000_000)) // ends the watch of the configuration
	w.waitFor("the store to be unreachable", w.server.storeMonitor.isUnreachable)
	w.store.SetFault(nil)
	w.waitFor("the store to be reachable", func() bool { return !w.server.storeMonitor.isUnreachable() })
	is.True(w.server.writer.serves() == nil)
}
