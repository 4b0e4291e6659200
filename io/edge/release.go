package edge

import (
	"context"

	"geraniumsaddle/io/store"
	"geraniumsaddle/platform"
)

// releaseFollower takes the operator's releases.
type releaseFollower struct{ s *Server }

func (s *Server) followReleases(ctx context.Context) {
	s.follow(ctx, platform.KindRelease, releaseFollower{s})
}

func (f releaseFollower) reset(objects []store.Object) {
	for _, o := range objects {
		f.put(o)
	}
}

func (f releaseFollower) apply(e store.Event) {
	if !e.Deleted {
		f.put(e.Object)
	}
}

func (f releaseFollower) put(o store.Object) {
	r, err := platform.DecodeRelease(o.Value, o.Status)
	if err != nil {
		f.s.deps.Log.Error("release cannot be read", "release", o.Key.Name, "error", err)
		return
	}
	f.s.deps.Log.Info("release known", "service", r.Service, "version", r.Version, "outcome", r.Outcome)
}
