package edge

import (
	"context"
	"errors"

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

// follow feeds the follower until the context ends: all objects first, then their changes, and all objects again when
// the history of changes is lost.
func (s *Server) follow(ctx context.Context, kind object.Kind, f follower) {
	var from ident.ObjectVersion
	failures := 0
	for ctx.Err() == nil {
		var err error
		if from == 0 {
			from, err = s.listAll(ctx, kind, f)
		} else {
			from, err = s.pollOnce(ctx, kind, from, f)
		}
		if ctx.Err() != nil {
			return
		}
		s.link.result(err)
		s.deps.Metrics.storeCall("watch "+string(kind), err)
		if err == nil {
			failures = 0
			continue
		}
		s.deps.Log.Debug("store call failed", "kind", kind, "error", err)
		s.link.pause(ctx, failures)
		failures++
	}
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

func (s *Server) pollOnce(ctx context.Context, kind object.Kind, from ident.ObjectVersion, f follower) (ident.ObjectVersion, error) {
	ev, err := s.deps.Store.Poll(ctx, kind, from)
	if errors.Is(err, store.ErrCompacted) {
		s.deps.Log.Info("history of changes is gone; listing again", "kind", kind, "from", from)
		return 0, nil
	}
	if err != nil {
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
