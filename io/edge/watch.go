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
type follower interface {
	// reset takes all objects of the kind, as of a version.
	reset(objects []store.Object)
	// apply takes one change.
	apply(e store.Event)
}

// Waits are the times after which the store answers a watch without changes, by kind.
type WatchTimeouts map[object.Kind]time.Duration

// defaultWaits is for a store some milliseconds away. A watch can end without notice
// when the history is dropped, and a change of the configuration has to be known within 2 s, so that the watch of the
// configuration is short and its failure renews the others.
var defaultWaits = WatchTimeouts{
	platform.KindConfig:  2 * time.Second,
	platform.KindTarget:  4 * time.Second,
	platform.KindRelease: 10 * time.Second,
}

const (
	// gatherFor is the time after the answer to a watch in which further changes gather, so that many changes take few
	// calls. It adds to the time until a change is known. gatherLarge is that of a large fleet, whose calls cost more.
	gatherFor   = 200 * time.Millisecond
	gatherLarge = 600 * time.Millisecond
	// returnWait is the wait of the first watch after a failure.
	returnWait = 50 * time.Millisecond
	// patienceLarge is the number of times that a large fleet waits longer for the answer to a watch.
	patienceLarge = 2.5
)

// errRenewed means that a watch was given up because another one has failed.
var errRenewed = errors.New("watch was renewed")

// follow feeds the follower until the context ends: all objects first, then their changes, and all objects again when
// changes may have been missed.
func (s *Server) follow(ctx context.Context, kind object.Kind, f follower) {
	var from ident.ObjectVersion
	failures := 0
	for ctx.Err() == nil {
		var err error
		if from == 0 {
			from, err = s.listAll(ctx, kind, f)
		} else {
			from, err = s.pollOnce(ctx, kind, from, s.watchWait(kind, failures), f)
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errRenewed) {
			continue
		}
		s.link.result(err)
		s.deps.Metrics.storeCall("watch "+string(kind), err)
		if err == nil {
			failures = 0
			s.sleep(ctx, s.gatherFor(kind))
			continue
		}
		s.deps.Log.Debug("store call failed", "kind", kind, "error", err)
		s.link.pause(ctx, failures)
		failures++
	}
}

// large reports whether the fleet has so many routers that their calls of the store are dear.
func (s *Server) large() bool { return s.accounts.RouterCount() > s.deps.DirectFleet }

// gatherFor returns the time in which changes gather. Those of the configuration come seldom and are awaited.
func (s *Server) gatherFor(kind object.Kind) time.Duration {
	if s.large() && kind == platform.KindTarget {
		return gatherLarge
	}
	return gatherFor
}

// watchWait returns the time after which a watch without changes is answered. After a failure it is short, because its
// answer is what shows that the store is back.
func (s *Server) watchWait(kind object.Kind, failures int) time.Duration {
	if failures > 0 {
		return min(returnWait, s.waits[kind])
	}
	if s.large() {
		return time.Duration(float64(s.waits[kind]) * patienceLarge)
	}
	return s.waits[kind]
}

func (s *Server) listAll(ctx context.Context, kind object.Kind, f follower) (ident.ObjectVersion, error) {
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
			f.reset(objects)
			return version, nil
		}
		after = p.Next
	}
}

func (s *Server) pollOnce(ctx context.Context, kind object.Kind, from ident.ObjectVersion, wait time.Duration, f follower) (
	ident.ObjectVersion, error,
) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	renew := s.renew.wait()
	go func() {
		select {
		case <-renew:
			cancel(errRenewed)
		case <-ctx.Done():
		}
	}()
	ev, err := s.deps.Store.Poll(ctx, kind, from, wait)
	switch {
	case errors.Is(context.Cause(ctx), errRenewed):
		return 0, errRenewed
	case errors.Is(err, store.ErrCompacted):
		s.deps.Log.Info("history of changes is gone; listing again", "kind", kind, "from", from)
		s.renew.send()
		return 0, nil
	case errors.Is(err, context.DeadlineExceeded):
		s.renew.send()
		return 0, err
	case err != nil:
		return from, err
	}
	if ev.Unreadable > 0 {
		s.deps.Log.Warn("unreadable changes left out", "kind", kind, "changes", ev.Unreadable)
	}
	for _, e := range ev.Events {
		f.apply(e)
	}
	return max(from, ev.Version), nil
}

// configFollower applies the operator's configuration.
type configFollower struct{ s *Server }

func (s *Server) followConfig(ctx context.Context) {
	s.follow(ctx, platform.KindConfig, configFollower{s})
}

func (f configFollower) reset(objects []store.Object) {
	for _, o := range objects {
		f.s.applyConfig(o)
	}
}

func (f configFollower) apply(e store.Event) {
	if !e.Deleted {
		f.s.applyConfig(e.Object)
	}
}

// targetFollower keeps the fleet of targets.
type targetFollower struct{ s *Server }

func (s *Server) followTargets(ctx context.Context) {
	s.follow(ctx, platform.KindTarget, targetFollower{s})
}

func (f targetFollower) reset(objects []store.Object) {
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

func (f targetFollower) apply(e store.Event) {
	if e.Deleted {
		f.s.removeTarget(ident.TargetID(e.Object.Key.Name))
		return
	}
	f.s.putTarget(e.Object)
}

// applyConfig puts a configuration into force unless it is older than the present one.
func (s *Server) applyConfig(o store.Object) {
	if o.Key != platform.ConfigKey {
		return
	}
	cfg, err := platform.DecodeConfig(o.Value)
	if err != nil {
		s.deps.Log.Error("configuration cannot be read; the present one stays", "revision", o.Version, "error", err)
		return
	}
	s.useConfig(cfg, o.Version)
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
