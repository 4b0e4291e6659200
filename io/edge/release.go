package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/place"
	"geraniumsaddle/core/trial"
	"geraniumsaddle/io/store"
	"geraniumsaddle/platform"
)

// trialInterval is the time between two exchanges of evidence while a release runs.
const trialInterval = 500 * time.Millisecond

// release is an order of the operator with its trial.
type release struct {
	order    platform.Release
	key      object.Key
	revision ident.ObjectVersion
	trial    *trial.Release
	evidence stored
}

// releases holds the newest release of each service. Traffic asks it for the version of each request.
type releases struct {
	mu        sync.Mutex
	byService map[ident.ServiceID]*release
}

func newReleases() *releases {
	return &releases{byService: make(map[ident.ServiceID]*release)}
}

// put takes an order as stored. It returns false for one that is known.
func (r *releases) put(order platform.Release, o store.Object, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rel := r.byService[order.Service]
	fresh := rel == nil || rel.trial.Version() != order.Version
	if fresh {
		rel = &release{trial: trial.New(order.Version, order.Window, now)}
		r.byService[order.Service] = rel
	}
	rel.order, rel.key, rel.revision = order, o.Key, o.Version
	switch order.Outcome {
	case platform.OutcomeCompleted:
		rel.trial.RecordOutcome(trial.Completed)
	case platform.OutcomeRolledBack:
		rel.trial.RecordOutcome(trial.RolledBack)
	}
	return fresh
}

// versions draws which versions may take a request.
func (r *releases) versions(s ident.ServiceID, now time.Time) place.Versions {
	r.mu.Lock()
	defer r.mu.Unlock()
	rel := r.byService[s]
	if rel == nil {
		return place.Versions{}
	}
	step := rel.trial.Decide(now, false)
	if rand.Float64() < step.Share {
		return place.Versions{Only: rel.order.Version}
	}
	return place.Versions{Not: rel.order.Version}
}

// record counts an answer of a target.
func (r *releases) record(s ident.ServiceID, v ident.VersionID, failed, slow bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rel := r.byService[s]; rel != nil {
		rel.trial.Record(v == rel.order.Version, failed, slow)
	}
}

// running returns the releases without a recorded outcome.
func (r *releases) running() []*release {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*release
	for _, rel := range r.byService {
		if rel.order.Outcome == "" || rel.order.Outcome == platform.OutcomeRunning {
			list = append(list, rel)
		}
	}
	return list
}

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
	order, err := platform.DecodeRelease(o.Value, o.Status)
	if err != nil {
		f.s.deps.Log.Error("release cannot be read", "release", o.Key.Name, "error", err)
		return
	}
	fresh := f.s.releases.put(order, o, f.s.deps.Clock.Now())
	f.s.deps.Log.Info("release known", "service", order.Service, "version", order.Version, "outcome", order.Outcome,
		"window_ms", order.Window.Milliseconds(), "new", fresh)
}

// runReleases exchanges evidence and records outcomes until the context ends.
func (s *Server) runReleases(ctx context.Context) {
	for s.sleep(ctx, trialInterval) {
		for _, rel := range s.releases.running() {
			err := s.runRelease(ctx, rel)
			if err != nil && ctx.Err() == nil {
				s.link.result(err)
				s.deps.Log.Warn("release not advanced", "service", rel.order.Service, "error", err)
			}
		}
	}
}

func (s *Server) runRelease(ctx context.Context, rel *release) error {
	if err := s.exchangeEvidence(ctx, rel); err != nil {
		return err
	}
	s.releases.mu.Lock()
	step := rel.trial.Decide(s.deps.Clock.Now(), s.leftOld(rel.order))
	order, key, revision := rel.order, rel.key, rel.revision
	s.releases.mu.Unlock()
	outcome := outcomes[step.State]
	if outcome == order.Outcome {
		return nil
	}
	s.deps.Log.Info("release outcome", "service", order.Service, "version", order.Version, "outcome", outcome,
		"reason", step.Reason, "share", step.Share)
	_, err := s.deps.Store.SetStatus(ctx, key, revision, platform.EncodeOutcome(order.Version, outcome))
	if errors.Is(err, store.ErrConflict) {
		// Another router was first; the watch brings its outcome.
		return nil
	}
	return err
}

var outcomes = map[trial.State]platform.Outcome{
	trial.Running:    platform.OutcomeRunning,
	trial.Completed:  platform.OutcomeCompleted,
	trial.RolledBack: platform.OutcomeRolledBack,
}

// leftOld reports whether this router has no request at targets of other versions.
func (s *Server) leftOld(order platform.Release) bool {
	return s.fleet.RunningOnOtherVersions(order.Service, order.Version) == 0
}

// exchangeEvidence writes this router's evidence and reads that of the others.
func (s *Server) exchangeEvidence(ctx context.Context, rel *release) error {
	key := object.Key{Kind: platform.KindTrial, Name: string(rel.order.Service)}
	t := newLedgerTask(s)
	for range maxConflicts {
		if !rel.evidence.known {
			if err := t.read(ctx, key, &rel.evidence); err != nil {
				return err
			}
		}
		e := trial.NewEvidence(rel.order.Version)
		if rel.evidence.object.Version != 0 {
			stored, err := trial.Decode(rel.evidence.object.Value)
			if err != nil {
				return err
			}
			if stored.Version == rel.order.Version {
				e = stored
			}
		}
		s.releases.mu.Lock()
		rel.trial.Merge(s.self, e)
		e.Observations[s.self] = rel.trial.OwnObservation(s.leftOld(rel.order))
		s.releases.mu.Unlock()
		err := t.write(ctx, key, &rel.evidence, e.Encode())
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return nil
}
