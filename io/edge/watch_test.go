package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/platform"
	"geraniumsaddle/platform/stand"
)

// TestReturnOfStore guards against a router that hears only at the end of a long watch that the store is back. It would
// refuse the claims of other routers until then.
func TestReturnOfStore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorldSet(t, func(cfg *platform.Settings, d *Deps) {
		peerSettings(50, 0)(cfg, d)
		d.Waits = Waits{platform.KindConfig: time.Hour, platform.KindTarget: time.Hour, platform.KindRelease: time.Hour}
	})
	w.store.SetFault(faultAll(stand.Unavailable))
	w.store.Put("config", "main", stand.Config(2, 20_000, 1_000_000)) // ends the watch of the configuration
	w.await("the loss", w.server.link.isAway)
	w.store.SetFault(nil)
	w.await("the return", func() bool { return !w.server.link.isAway() })
	is.True(w.server.writer.serves() == nil)
}
