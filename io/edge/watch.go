package edge

import (
	"context"
	"errors"
	"time"

	"geraniumsaddle/core/cold"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/store"
	"geraniumsaddle/platform"
)

// watchHandler applies the objects of one kind and their changes.
type watchHandler interface {
	// applyList applies a complete list of the objects of the kind.
	applyList(objects []store.Object)
	// applyEvent applies one change.
	applyEvent(e store.Event)
}

// WatchTimeouts holds, for each kind of object, the time after which the store answers a watch if nothing has changed.
type WatchTimeouts map[object.Kind]time.Duration

// defaultWatchTimeouts suits a store with a latency of a few milliseconds. If the store compacts its history, a watch
// may get no answer. A change of the configuration has to be known within 2 s, so the watch of the configuration is
// short, and its failure restarts the other watches. Evacuations have a bound of the same size. largeWatchTimeouts are for a large fleet, whose calls cost more.
var defaultWatchTimeouts = WatchTimeouts{
	platform.KindConfig:     2 * time.Second,
	platform.KindEvacuation: 2 * time.Second,
	platform.KindTarget:     4 * time.Second,
	platform.KindRelease:    10 * time.Second,
}

var largeWatchTimeouts = WatchTimeouts{
	platform.KindConfig:     5 * time.Second,
	platform.KindEvacuation: 5 * time.Second,
	platform.KindTarget:     25 * time.Second,
	platform.KindRelease:    25 * time.Second,
}

const (
	// coalesceDelay is the pause after the answer to a watch, so that one call returns many changes. It adds to the
	// time until a change is known. In a large fleet, whose calls cost more, coalesceDelayWatcher is the pause of a
	// watcher, and coalesceDelayLarge that of a router that has no watcher to follow.
	coalesceDelay        = 200 * time.Millisecond
	coalesceDelayWatcher = 400 * time.Millisecond
	coalesceDelayLarge   = 900 * time.Millisecond
	// recoveryWatchTimeout is the maximum timeout of the first watch after a failure.
	recoveryWatchTimeout = 50 * time.Millisecond
)

// errWatchRestarted means that a watch was canceled because another one has failed.
var errWatchRestarted = errors.New("watch was restarted")

// watchKind lists the objects of a kind and then watches their changes until the context ends. It lists them again if
// changes may have been missed.
func (s *Server) watchKind(ctx context.Context, kind object.Kind, handler watchHandler) {
	var from ident.ObjectVersion
	failures := 0
	for ctx.Err() == nil {
		var err error
		if from == 0 {
			from, err = s.listAll(ctx, kind, handler)
		} else {
			from, err = s.pollOnce(ctx, kind, from, s.watchTimeout(kind, failures), handler)
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errWatchRestarted) {
			continue
		}
		s.storeMonitor.observe(err)
		if err == nil {
			failures = 0
			s.sleep(ctx, s.coalesceDelayFor(kind))
			continue
		}
		s.deps.Log.Debug("store call failed", "kind", kind, "error", err)
		s.storeMonitor.backOff(ctx, failures)
		failures++
	}
}

// isLargeFleet reports whether the fleet has more than DirectFleet routers. Their calls of the store are then costly.
func (s *Server) isLargeFleet() bool { return s.accounts.RouterCount() > s.deps.DirectFleet }

// coalesceDelayFor returns the pause after the answer to a watch. It is longer only for targets, because changes of the
// configuration are rare and have to be known soon, and not for changes that a watcher passes on.
func (s *Server) coalesceDelayFor(kind object.Kind) time.Duration {
	feed := s.changes.Load()
	switch {
	case !s.isLargeFleet() || kind != platform.KindTarget || feed.follows():
		return coalesceDelay
	case feed.watches():
		return coalesceDelayWatcher
	}
	return coalesceDelayLarge
}

// watchTimeout returns the time after which the store answers a watch without changes. After a failure it is short,
// because the answer shows that the store is reachable again.
func (s *Server) watchTimeout(kind object.Kind, failures int) time.Duration {
	if failures > 0 {
		return min(recoveryWatchTimeout, s.watchTimeouts[kind])
	}
	if s.isLargeFleet() && !s.changes.Load().watches() {
		return largeWatchTimeouts[kind]
	}
	return s.watchTimeouts[kind]
}

// listAll passes all objects of a kind to the handler and returns the version from which to watch.
func (s *Server) listAll(ctx context.Context, kind object.Kind, handler watchHandler) (ident.ObjectVersion, error) {
	var objects []store.Object
	var version ident.ObjectVersion
	after := ""
	for {
		p, err := s.deps.Store.List(ctx, kind, after)
		s.deps.Metrics.countStoreCall("list "+string(kind), err)
		if err != nil {
			return 0, err
		}
		if p.Unreadable > 0 {
			s.deps.Log.Warn("unreadable objects skipped", "kind", kind, "objects", p.Unreadable)
		}
		if version == 0 {
			version = p.Version
		}
		objects = append(objects, p.Objects...)
		if p.Next == "" {
			handler.applyList(objects)
			return version, nil
		}
		after = p.Next
	}
}

// pollOnce passes the next changes of a kind to the handler and returns the version from which to continue, or zero if
// the objects have to be listed again.
func (s *Server) pollOnce(ctx context.Context, kind object.Kind, from ident.ObjectVersion, wait time.Duration,
	handler watchHandler,
) (ident.ObjectVersion, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	restart := s.watchRestart.channel()
	go func() {
		select {
		case <-restart:
			cancel(errWatchRestarted)
		case <-ctx.Done():
		}
	}()
	ev, err := s.nextChanges(ctx, kind, from, wait)
	switch {
	case errors.Is(context.Cause(ctx), errWatchRestarted):
		return from, errWatchRestarted
	case errors.Is(err, store.ErrCompacted):
		s.deps.Log.Info("history of changes was compacted; listing the objects again", "kind", kind, "from", from)
		s.watchRestart.wakeAll()
		return 0, nil
	case errors.Is(err, context.DeadlineExceeded):
		// The next watch tells whether the store was unreachable or has compacted its history.
		s.watchRestart.wakeAll()
		return from, err
	case err != nil:
		return from, err
	}
	if ev.Unreadable > 0 {
		s.deps.Log.Warn("unreadable changes skipped", "kind", kind, "changes", ev.Unreadable)
	}
	for _, e := range ev.Events {
		handler.applyEvent(e)
	}
	return max(from, ev.Version), nil
}

// nextChanges returns the next changes of a kind: from the store in a small fleet and on a watcher, otherwise from a
// watcher if there is one that has them.
func (s *Server) nextChanges(ctx context.Context, kind object.Kind, from ident.ObjectVersion, wait time.Duration) (store.PollResult, error) {
	feed := s.changes.Load()
	switch {
	case feed == nil:
		return s.pollStore(ctx, kind, from, wait)
	case feed.watches():
		feed.append(kind, from, store.PollResult{Version: from})
		res, err := s.pollStore(ctx, kind, from, wait)
		if err == nil {
			feed.append(kind, from, res)
		}
		return res, err
	}
	res, err := feed.follow(ctx, kind, from)
	feed.following.Store(err == nil)
	switch {
	case err == nil || ctx.Err() != nil:
		return res, err
	case errors.Is(err, errStoreAway) && feed.trustsStoreAway(kind):
		return res, &store.Error{Kind: store.ErrUnavailable, Call: "watch " + string(kind), Err: err}
	}
	if !errors.Is(err, errNoWatcher) {
		wait = followerWait // a watcher answers, so this router follows it again after one call
	}
	res, err = s.pollStore(ctx, kind, from, wait)
	if ctx.Err() == nil {
		feed.recordStoreCall(kind, err)
	}
	return res, err
}

// pollStore polls the store itself. If the configuration does not arrive in time it is read instead: the changes of an
// outage are many whole configurations, of which only the last one matters.
func (s *Server) pollStore(ctx context.Context, kind object.Kind, from ident.ObjectVersion, wait time.Duration) (store.PollResult, error) {
	res, err := s.deps.Store.Poll(ctx, kind, from, wait)
	s.deps.Metrics.countStoreCall("watch "+string(kind), err)
	if kind != platform.KindConfig || !errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil {
		return res, err
	}
	o, getErr := s.deps.Store.Get(ctx, platform.ConfigKey)
	s.deps.Metrics.countStoreCall("get "+string(kind), getErr)
	if getErr != nil || o.Version < from {
		return res, err
	}
	return store.PollResult{Version: o.Version, Events: []store.Event{{Object: o}}}, nil
}

// configHandler applies changes of the operator's configuration.
type configHandler struct{ s *Server }

func (s *Server) watchConfig(ctx context.Context) {
	s.watchKind(ctx, platform.KindConfig, configHandler{s})
}

func (h configHandler) applyList(objects []store.Object) {
	for _, o := range objects {
		h.s.putConfig(o)
	}
}

func (h configHandler) applyEvent(e store.Event) {
	if !e.Deleted {
		h.s.putConfig(e.Object)
	}
}

// targetHandler applies changes of the targets' registry entries.
type targetHandler struct{ s *Server }

func (s *Server) watchTargets(ctx context.Context) {
	s.watchKind(ctx, platform.KindTarget, targetHandler{s})
}

func (h targetHandler) applyList(objects []store.Object) {
	listed := make(map[ident.TargetID]bool, len(objects))
	for _, o := range objects {
		listed[ident.TargetID(o.Key.Name)] = true
		h.s.putTarget(o)
	}
	for _, id := range h.s.targets.IDs() {
		if !listed[id] {
			h.s.removeTarget(id)
		}
	}
}

func (h targetHandler) applyEvent(e store.Event) {
	if e.Deleted {
		h.s.removeTarget(ident.TargetID(e.Object.Key.Name))
		return
	}
	h.s.putTarget(e.Object)
}

// putConfig decodes and applies a stored configuration. One that cannot be decoded is logged and ignored.
func (s *Server) putConfig(o store.Object) {
	if o.Key != platform.ConfigKey {
		return
	}
	cfg, err := platform.DecodeConfig(o.Value)
	if err != nil {
		s.deps.Log.Error("configuration cannot be decoded; keeping the current one", "revision", o.Version, "error", err)
		return
	}
	s.applyConfig(cfg, o.Version)
}

// putTarget adds or updates a target. A target whose entry cannot be decoded is removed.
func (s *Server) putTarget(o store.Object) {
	t, err := platform.DecodeTarget(o.Key.Name, o.Value)
	if err != nil {
		s.deps.Log.Warn("target entry cannot be decoded; removing the target", "target", o.Key.Name,
			"revision", o.Version, "error", err)
		s.targets.Remove(ident.TargetID(o.Key.Name), s.deps.Clock.Now())
		return
	}
	s.targets.RecordEntry(t.ID, cold.Entry{
		Version: o.Version, Born: t.Born, Remaining: t.ColdRemaining, Known: t.ColdKnown,
	}, s.deps.Clock.Now())
	s.targets.Put(t)
	s.deps.Log.Debug("target entry received", "target", t.ID, "service", t.Service, "addr", t.Addr, "state", t.State,
		"version", t.Version, "born", t.Born, "cold_ms", t.ColdRemaining.Milliseconds(), "revision", o.Version)
}

func (s *Server) removeTarget(id ident.TargetID) {
	s.targets.Remove(id, s.deps.Clock.Now())
	s.deps.Log.Info("target entry removed", "target", id)
}
