package edge

import (
	"context"
	"errors"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/store"
	"geraniumsaddle/platform"
)

// follower takes the objects of one kind.
type watchHandler interface {
	// reset takes all objects of the kind, as of a version.
	replaceAll(objects []store.Object)
	// apply takes one change.
	apply(e store.Event)
}

// Waits are the times after which the store answers a watch without changes, by kind.
type WatchTimeouts map[object.Kind]time.Duration

// defaultWaits is for a store some milliseconds away. A watch can end without notice
// when the history is dropped, and a change of the configuration has to be known within 2 s, so that the watch of the
// configuration is short and its failure renews the others.
var defaultWatchTimeouts = WatchTimeouts{
	platform.KindConfig:  2 * time.Second,
	platform.KindTarget:  4 * time.Second,
	platform.KindRelease: 10 * time.Second,
}

const (
	// gatherFor is the time after the answer to a watch in which further changes gather, so that many changes take few
	// calls. It adds to the time until a change is known. gatherLarge is that of a large fleet, whose calls cost more.
	coalesceDelay      = 200 * time.Millisecond
	coalesceDelayLarge = 600 * time.Millisecond
	// returnWait is the wait of the first watch after a failure.
	recoveryWatchTimeout = 50 * time.Millisecond
	// patienceLarge is the number of times that a large fleet waits longer for the answer to a watch.
	largeFleetFactor = 2.5
)

// errRenewed means that a watch was given up because another one has failed.
var errWatchRestarted = errors.New("watch was renewed")

// follow feeds the follower until the context ends: all objects first, then their changes, and all objects again when
// changes may have been missed.
func (s *Server) watch(ctx context.Context, kind object.Kind, handler watchHandler) {
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
		s.deps.Metrics.storeCall("watch "+string(kind), err)
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

// large reports whether the fleet has so many routers that their calls of the store are dear.
func (s *Server) isLargeFleet() bool { return s.accounts.RouterCount() > s.deps.DirectFleet }

// gatherFor returns the time in which changes gather. Those of the configuration come seldom and are awaited.
func (s *Server) coalesceDelayFor(kind object.Kind) time.Duration {
	if s.isLargeFleet() && kind == platform.KindTarget {
		return coalesceDelayLarge
	}
	return coalesceDelay
}

// watchWait returns the time after which a watch without changes is answered. After a failure it is short, because its
// answer is what shows that the store is back.
func (s *Server) watchTimeout(kind object.Kind, failures int) time.Duration {
	if failures > 0 {
		return min(recoveryWatchTimeout, s.watchTimeouts[kind])
	}
	if s.isLargeFleet() {
		return time.Duration(float64(s.watchTimeouts[kind]) * largeFleetFactor)
	}
	return s.watchTimeouts[kind]
}

func (s *Server) listAll(ctx context.Context, kind object.Kind, handler watchHandler) (ident.ObjectVersion, error) {
	var objects []store.Object
	var version ident.ObjectVersion
	after := ""
	for {
		p, err := s.deps.Store.List(ctx, kind, after)
		if err != nil {
			return 0, err
		}
		if p.Unreadable > 0 {
			s.deps.Log.Warn("unreadable objects left out", "kind", kind, "objects", p.Unreadable)
		}
		if version == 0 {
			version = p.Version
		}
		objects = append(objects, p.Objects...)
		if p.Next == "" {
			handler.replaceAll(objects)
			return version, nil
		}
		after = p.Next
	}
}

func (s *Server) pollOnce(ctx context.Context, kind object.Kind, from ident.ObjectVersion, wait time.Duration, handler watchHandler) (
	ident.ObjectVersion, error,
) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	restart := s.watchRestart.wait()
	go func() {
		select {
		case <-restart:
			cancel(errWatchRestarted)
		case <-ctx.Done():
		}
	}()
	ev, err := s.deps.Store.Poll(ctx, kind, from, wait)
	switch {
	case errors.Is(context.Cause(ctx), errWatchRestarted):
		return 0, errWatchRestarted
	case errors.Is(err, store.ErrCompacted):
		s.deps.Log.Info("history of changes is gone; listing again", "kind", kind, "from", from)
		s.watchRestart.send()
		return 0, nil
	case errors.Is(err, context.DeadlineExceeded):
		s.watchRestart.send()
		return 0, err
	case err != nil:
		return from, err
	}
	if ev.Unreadable > 0 {
		s.deps.Log.Warn("unreadable changes left out", "kind", kind, "changes", ev.Unreadable)
	}
	for _, e := range ev.Events {
		handler.apply(e)
	}
	return max(from, ev.Version), nil
}

// configFollower applies the operator's configuration.
type configHandler struct{ s *Server }

func (s *Server) watchConfig(ctx context.Context) {
	s.watch(ctx, platform.KindConfig, configHandler{s})
}

func (f configHandler) replaceAll(objects []store.Object) {
	for _, o := range objects {
		f.s.putConfig(o)
	}
}

func (f configHandler) apply(e store.Event) {
	if !e.Deleted {
		f.s.putConfig(e.Object)
	}
}

// targetFollower keeps the fleet of targets.
type targetHandler struct{ s *Server }

func (s *Server) watchTargets(ctx context.Context) {
	s.watch(ctx, platform.KindTarget, targetHandler{s})
}

func (f targetHandler) replaceAll(objects []store.Object) {
	listed := make(map[ident.TargetID]bool, len(objects))
	for _, o := range objects {
		listed[ident.TargetID(o.Key.Name)] = true
		f.s.putTarget(o)
	}
	for _, id := range f.s.fleet.IDs() {
		if !listed[id] {
			f.s.removeTarget(id)
		}
	}
}

func (f targetHandler) apply(e store.Event) {
	if e.Deleted {
		f.s.removeTarget(ident.TargetID(e.Object.Key.Name))
		return
	}
	f.s.putTarget(e.Object)
}

// applyConfig puts a configuration into force unless it is older than the present one.
func (s *Server) putConfig(o store.Object) {
	if o.Key != platform.ConfigKey {
		return
	}
	cfg, err := platform.DecodeConfig(o.Value)
	if err != nil {
		s.deps.Log.Error("configuration cannot be read; the present one stays", "revision", o.Version, "error", err)
		return
	}
	s.applyConfig(cfg, o.Version)
}

func (s *Server) putTarget(o store.Object) {
	t, err := platform.DecodeTarget(o.Key.Name, o.Value)
	if err != nil {
		s.deps.Log.Warn("target entry left out", "target", o.Key.Name, "revision", o.Version, "error", err)
		s.fleet.Remove(ident.TargetID(o.Key.Name), s.deps.Clock.Now())
		return
	}
	s.fleet.Put(t)
	s.deps.Log.Debug("target known", "target", t.ID, "service", t.Service, "addr", t.Addr, "state", t.State,
		"version", t.Version, "born", t.Born, "revision", o.Version)
}

func (s *Server) removeTarget(id ident.TargetID) {
	s.fleet.Remove(id, s.deps.Clock.Now())
	s.deps.Log.Info("target entry removed", "target", id)
}
