package edge

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/store"
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

// cutOnce is a store that cuts off the next watch of a kind that waits.
type cutOnce struct {
	store.PollingStore
	kind object.Kind
	cut  atomic.Bool
}

func (s *cutOnce) Poll(ctx context.Context, kind object.Kind, from ident.ObjectVersion, wait time.Duration) (store.PollResult, error) {
	if kind == s.kind && s.cut.CompareAndSwap(true, false) {
		return store.PollResult{}, &store.Error{Kind: store.ErrUnavailable, Call: "poll", Err: store.ErrWatchCut}
	}
	return s.PollingStore.Poll(ctx, kind, from, wait)
}

// TestCutWatchOfTargets guards against a router that takes the store for unreachable because one watch was cut off, and so
// sends to a target for seconds after its entry was removed.
func TestCutWatchOfTargets(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	cuts := &cutOnce{kind: platform.KindTarget}
	var lines logBuffer
	env := newTestEnvWith(t, func(_ *platform.Settings, d *Deps) {
		cuts.PollingStore = d.Store
		d.Store = cuts
		d.Log = slog.New(slog.NewJSONHandler(&lines, nil))
	})
	env.addTarget("short-lived", "desk")
	serving := func() bool { return slices.Contains(env.server.targets.IDs(), "short-lived") }
	env.waitFor("the target", serving)
	cuts.cut.Store(true)
	env.addTarget("other", "desk") // ends the watch that waits; the next one is cut off
	env.waitFor("the cut", func() bool { return !cuts.cut.Load() })
	env.store.Delete("servers", "short-lived")
	env.waitFor("the removal", func() bool { return !serving() })
	is.Equal(lines.linesContaining("store is unreachable"), "")
}
