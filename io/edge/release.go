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

// evidenceInterval is the interval at which routers synchronize the evidence of a running release.
const evidenceInterval = 500 * time.Millisecond

// release is a release that the operator has ordered, with its trial.
type release struct {
	order    platform.Release
	key      object.Key
	revision ident.ObjectVersion
	trial    *trial.Release
	evidence cachedObject
	// final is the first final outcome that the store has shown or confirmed, and finalEra the era in which it did. The
	// platform has acted on it, so that it stays although the store may lose it.
	final    platform.Outcome
	finalEra ident.Era
}

// recordOutcome ends the release with an outcome that was stored in an era. Of two outcomes the one of the earlier era holds.
func (rel *release) recordOutcome(outcome platform.Outcome, era ident.Era) {
	state, isFinal := finalStates[outcome]
	if !isFinal || rel.final != "" && rel.finalEra < era {
		return
	}
	rel.final, rel.finalEra = outcome, era
	rel.trial.RecordOutcome(state)
}

// isRunning reports whether the store shows no final outcome, or another than the one that holds.
func (rel *release) isRunning() bool {
	_, isFinal := finalStates[rel.order.Outcome]
	return !isFinal || rel.final != rel.order.Outcome
}

var finalStates = map[platform.Outcome]trial.State{
	platform.OutcomeCompleted:  trial.Completed,
	platform.OutcomeRolledBack: trial.RolledBack,
}

// releases holds the newest release of each service. It determines which versions may serve each request.
type releases struct {
	mu        sync.Mutex
	byService map[ident.ServiceID]*release
}

func newReleases() *releases {
	return &releases{byService: make(map[ident.ServiceID]*release)}
}

// putOrder adds or updates an order as stored. It reports whether the order is new.
func (r *releases) putOrder(order platform.Release, o store.Object, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rel := r.byService[order.Service]
	isNew := rel == nil || rel.trial.Version() != order.Version
	if isNew {
		rel = &release{trial: trial.New(order.Version, order.Window, now)}
		r.byService[order.Service] = rel
	}
	rel.order, rel.key, rel.revision = order, o.Key, o.Version
	rel.recordOutcome(order.Outcome, o.Version.Era())
	return isNew
}

// pickVersions returns which versions may serve a request. It selects the new version at random, with the share that
// the trial gives it.
func (r *releases) pickVersions(service ident.ServiceID, now time.Time) place.VersionFilter {
	r.mu.Lock()
	defer r.mu.Unlock()
	rel := r.byService[service]
	if rel == nil {
		return place.VersionFilter{}
	}
	decision := rel.trial.Decide(now, false)
	if rand.Float64() < decision.Share {
		return place.VersionFilter{Only: rel.order.Version}
	}
	return place.VersionFilter{Not: rel.order.Version}
}

// recordAnswer counts an answer of a target in the trial of the service's release.
func (r *releases) recordAnswer(service ident.ServiceID, version ident.VersionID, failed, slow bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rel := r.byService[service]; rel != nil {
		rel.trial.RecordAnswer(version == rel.order.Version, failed, slow)
	}
}

// running returns the releases without a final outcome.
func (r *releases) running() []*release {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*release
	for _, rel := range r.byService {
		if rel.isRunning() {
			list = append(list, rel)
		}
	}
	return list
}

// releaseHandler applies changes of the operator's releases.
type releaseHandler struct{ s *Server }

func (s *Server) watchReleases(ctx context.Context) {
	s.watchKind(ctx, platform.KindRelease, releaseHandler{s})
}

func (h releaseHandler) applyList(objects []store.Object) {
	for _, o := range objects {
		h.putOrder(o)
	}
}

func (h releaseHandler) applyEvent(e store.Event) {
	if !e.Deleted {
		h.putOrder(e.Object)
	}
}

func (h releaseHandler) putOrder(o store.Object) {
	order, err := platform.DecodeRelease(o.Value, o.Status)
	if err != nil {
		h.s.deps.Log.Error("release order cannot be decoded; ignoring it", "release", o.Key.Name, "error", err)
		return
	}
	isNew := h.s.releases.putOrder(order, o, h.s.deps.Clock.Now())
	h.s.deps.Log.Info("release order received", "service", order.Service, "version", order.Version,
		"outcome", order.Outcome, "window_ms", order.Window.Milliseconds(), "new", isNew)
}

// advanceReleases synchronizes the evidence of running releases and records their outcomes until the context ends.
func (s *Server) advanceReleases(ctx context.Context) {
	for s.sleep(ctx, evidenceInterval) {
		for _, rel := range s.releases.running() {
			err := s.advanceRelease(ctx, rel)
			if err != nil && ctx.Err() == nil {
				s.storeMonitor.observe(err)
				s.deps.Log.Warn("release not advanced; trying again", "service", rel.order.Service, "error", err)
			}
		}
	}
}

// advanceRelease synchronizes the evidence of a release, and stores its outcome if that has changed.
func (s *Server) advanceRelease(ctx context.Context, rel *release) error {
	if err := s.syncEvidence(ctx, rel); err != nil {
		return err
	}
	s.releases.mu.Lock()
	decision := rel.trial.Decide(s.deps.Clock.Now(), s.hasDrainedOldTargets(rel.order))
	order, key, revision, final := rel.order, rel.key, rel.revision, rel.final
	s.releases.mu.Unlock()
	outcome := outcomes[decision.State]
	if outcome == order.Outcome {
		return nil
	}
	if final == "" && decision.State != trial.Running && s.rewinds.isRecent() {
		// Another router may know an outcome that the store has lost and stores it again.
		return nil
	}
	s.deps.Log.Info("outcome of the release decided", "service", order.Service, "version", order.Version,
		"outcome", outcome, "reason", decision.Reason, "share", decision.Share)
	o, err := s.deps.Store.SetStatus(ctx, key, revision, platform.EncodeOutcome(order.Version, outcome))
	if err == nil {
		s.releases.mu.Lock()
		rel.recordOutcome(outcome, o.Version.Era())
		s.releases.mu.Unlock()
	}
	if errors.Is(err, store.ErrConflict) {
		// Another router has stored an outcome first, which this router learns from the watch.
		return nil
	}
	return err
}

var outcomes = map[trial.State]platform.Outcome{
	trial.Running:    platform.OutcomeRunning,
	trial.Completed:  platform.OutcomeCompleted,
	trial.RolledBack: platform.OutcomeRolledBack,
}

// hasDrainedOldTargets reports whether this router has no running requests at targets of other versions.
func (s *Server) hasDrainedOldTargets(order platform.Release) bool {
	return s.targets.RunningOnOtherVersions(order.Service, order.Version) == 0
}

// syncEvidence reads the evidence of the other routers and writes this router's own. It returns nil if its writes keep
// conflicting with those of other routers; the next round tries again.
func (s *Server) syncEvidence(ctx context.Context, rel *release) error {
	key := object.Key{Kind: platform.KindTrial, Name: string(rel.order.Service)}
	lc := newLedgerClient(s)
	for range maxWriteAttempts {
		if !rel.evidence.known {
			if err := lc.readObject(ctx, key, &rel.evidence); err != nil {
				return err
			}
		}
		evidence := trial.NewEvidence(rel.order.Version)
		if rel.evidence.object.Version != 0 {
			stored, err := trial.Decode(rel.evidence.object.Value)
			if err != nil {
				return err
			}
			if stored.Version == rel.order.Version {
				evidence = stored
			}
		}
		s.releases.mu.Lock()
		rel.trial.Merge(s.self, evidence)
		evidence.Observations[s.self] = rel.trial.OwnObservation(s.hasDrainedOldTargets(rel.order))
		s.releases.mu.Unlock()
		err := lc.writeObject(ctx, key, &rel.evidence, evidence.Encode())
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return nil
}
