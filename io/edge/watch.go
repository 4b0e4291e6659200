package edge

import (
	"context"
	"errors"
	"time"

	"geraniumsaddle/core/change"
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
	// defaultChangeTime is the time within which a change has to be known if the settings say nothing.
	defaultChangeTime = 2 * time.Second
	// recoveryWatchTimeout is the maximum timeout of the first watch after a failure.
	recoveryWatchTimeout = 50 * time.Millisecond
)

// errWatchRestarted means that a watch was canceled because another one has failed.
var errWatchRestarted = errors.New("watch was restarted")

// syncPoint says what a router knows of the objects of one kind.
type syncPoint struct {
	// version is the version up to which it knows all changes, or zero before the objects are listed.
	version ident.ObjectVersion
	// confirmed is the uptime of the VM until which there were no later changes.
	confirmed time.Duration
}

// watchKind lists the objects of a kind and then watches their changes until the context ends. It lists them again if
// changes may have been missed.
func (s *Server) watchKind(ctx context.Context, kind object.Kind, handler watchHandler) {
	var known syncPoint
	failures := 0
	wasCut := false
	for ctx.Err() == nil {
		var err error
		if known.version == 0 {
			known, err = s.listAll(ctx, kind, handler)
		} else {
			known, err = s.pollOnce(ctx, kind, known, s.watchTimeout(kind, known, failures, wasCut), handler)
		}
		isCut := errors.Is(err, store.ErrWatchCut)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errWatchRestarted):
			continue
		case isCut && !wasCut:
			s.deps.Log.Debug("watch was cut off; watching again", "kind", kind, "error", err)
			wasCut = true // The next watch tells whether the store is reachable.
			continue
		}
		wasCut = false
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

// uptime returns the uptime of the VM, which dates what a router knows: unlike the process's clock it goes on while the VM is
// suspended.
func (s *Server) uptime() time.Duration { return s.deps.VMClock.Now().Uptime }

// ageLimits returns the limits on the age of what a router knows of a kind of objects through watchers.
func (s *Server) ageLimits(kind object.Kind) change.AgeLimits {
	s.mu.Lock()
	defer s.mu.Unlock()
	knownWithin := defaultChangeTime
	switch kind {
	case platform.KindConfig:
		knownWithin = s.bounds.ConfigTime
	case platform.KindTarget:
		knownWithin = s.bounds.DrainTime
	case platform.KindEvacuation:
		knownWithin = s.bounds.EvacuationTime
	case platform.KindRelease:
		knownWithin = s.bounds.RollbackTime
	}
	if knownWithin <= 0 {
		knownWithin = defaultChangeTime
	}
	return change.NewAgeLimits(knownWithin)
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

// watchTimeout returns the time after which the store answers a watch without changes. After a failure or a cut it is short,
// because the answer shows that the store is reachable again. A watcher has what it knows confirmed in time for the routers
// that follow it.
func (s *Server) watchTimeout(kind object.Kind, known syncPoint, failures int, wasCut bool) time.Duration {
	feed := s.changes.Load()
	switch {
	case failures > 0 || wasCut:
		return min(recoveryWatchTimeout, s.watchTimeouts[kind])
	case feed.watches():
		return min(s.watchTimeouts[kind], s.ageLimits(kind).WatchWait(s.uptime()-known.confirmed))
	case s.isLargeFleet():
		return largeWatchTimeouts[kind]
	}
	return s.watchTimeouts[kind]
}

// listAll passes all objects of a kind to the handler and returns the point from which to watch.
func (s *Server) listAll(ctx context.Context, kind object.Kind, handler watchHandler) (syncPoint, error) {
	var objects []store.Object
	known := syncPoint{confirmed: s.uptime()}
	after := ""
	for {
		p, err := s.deps.Store.List(ctx, kind, after)
		s.deps.Metrics.countStoreCall("list "+string(kind), err)
		if err != nil {
			return syncPoint{}, err
		}
		if p.Unreadable > 0 {
			s.deps.Log.Warn("unreadable objects skipped", "kind", kind, "objects", p.Unreadable)
		}
		if known.version == 0 {
			known.version = p.Version
		}
		objects = append(objects, p.Objects...)
		if p.Next == "" {
			handler.applyList(objects)
			return known, nil
		}
		after = p.Next
	}
}

// pollOnce passes the next changes of a kind to the handler and returns the point from which to continue, or the zero value
// if the objects have to be listed again.
func (s *Server) pollOnce(ctx context.Context, kind object.Kind, known syncPoint, wait time.Duration,
	handler watchHandler,
) (syncPoint, error) {
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
	ev, confirmed, err := s.nextChanges(ctx, kind, known, wait)
	switch {
	case errors.Is(context.Cause(ctx), errWatchRestarted):
		return known, errWatchRestarted
	case errors.Is(err, store.ErrCompacted):
		s.deps.Log.Info("history of changes was compacted; listing the objects again", "kind", kind, "from", known.version)
		s.watchRestart.wakeAll()
		return syncPoint{}, nil
	case errors.Is(err, context.DeadlineExceeded):
		// The next watch tells whether the store was unreachable or has compacted its history.
		s.watchRestart.wakeAll()
		return known, err
	case err != nil:
		return known, err
	}
	if ev.Unreadable > 0 {
		s.deps.Log.Warn("unreadable changes skipped", "kind", kind, "changes", ev.Unreadable)
	}
	for _, e := range ev.Events {
		handler.applyEvent(e)
	}
	return syncPoint{max(known.version, ev.Version), confirmed}, nil
}

// nextChanges returns the next changes of a kind and the uptime until which there were no others: from the store in a small
// fleet and on a watcher, otherwise from a watcher if there is one that has them.
func (s *Server) nextChanges(ctx context.Context, kind object.Kind, known syncPoint, wait time.Duration) (store.PollResult, time.Duration, error) {
	feed := s.changes.Load()
	switch {
	case feed == nil:
		return s.pollStore(ctx, kind, known.version, wait)
	case feed.watches():
		feed.append(kind, known.version, store.PollResult{Version: known.version}, known.confirmed)
		res, confirmed, err := s.pollStore(ctx, kind, known.version, wait)
		if err == nil {
			feed.append(kind, known.version, res, confirmed)
		}
		return res, confirmed, err
	}
	res, confirmed, err := feed.follow(ctx, kind, known)
	feed.following.Store(err == nil)
	switch {
	case err == nil || ctx.Err() != nil:
		return res, confirmed, err
	case errors.Is(err, errStoreAway) && feed.trustsStoreAway(kind):
		return res, 0, &store.Error{Kind: store.ErrUnavailable, Call: "watch " + string(kind), Err: err}
	}
	if !errors.Is(err, errNoWatcher) {
		wait = followerWait // a watcher answers, so this router follows it again after one call
	}
	res, confirmed, err = s.pollStore(ctx, kind, known.version, wait)
	if ctx.Err() == nil && !errors.Is(err, store.ErrWatchCut) {
		feed.recordStoreCall(kind, err)
	}
	return res, confirmed, err
}

// pollStore polls the store itself. If the configuration does not arrive in time it is read instead: the changes of an
// outage are many whole configurations, of which only the last one matters. The result was complete when the call began,
// and also when the store had waited as long as it may without a change.
func (s *Server) pollStore(ctx context.Context, kind object.Kind, from ident.ObjectVersion, wait time.Duration) (store.PollResult, time.Duration, error) {
	wait = wait.Truncate(time.Millisecond) // as the store counts
	confirmed := s.uptime()
	res, err := s.deps.Store.Poll(ctx, kind, from, wait)
	s.deps.Metrics.countStoreCall("watch "+string(kind), err)
	if err == nil && len(res.Events) == 0 && s.uptime()-confirmed >= wait {
		confirmed += wait
	}
	if kind != platform.KindConfig || !errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil {
		return res, confirmed, err
	}
	confirmed = s.uptime()
	o, getErr := s.deps.Store.Get(ctx, platform.ConfigKey)
	s.deps.Metrics.countStoreCall("get "+string(kind), getErr)
	if getErr != nil || o.Version < from {
		return res, confirmed, err
	}
	return store.PollResult{Version: o.Version, Events: []store.Event{{Object: o}}}, confirmed, nil
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
