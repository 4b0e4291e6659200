package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/fakes/engine"
)

const (
	minReleaseWindow     = 12 * time.Second
	releaseRequests      = 10_000 // a version is shown good by a number of requests, at low shares first
	paceSample           = 300    // requests over which the pace of the load is measured
	paceTimeout          = time.Minute
	verdictGrace         = 20 * time.Second // time after the window for the verdicts to be recorded
	loadWorkersPerRouter = 4
	loadMaxTokens        = 4
)

// load sends short chat completions to all routers.
type load struct {
	cancel        context.CancelFunc
	workers       sync.WaitGroup
	sent, refused atomic.Int64 // a request that fails or is not run counts as refused
}

// startLoad starts a load that the caller must stop.
func (t *tour) startLoad(ctx context.Context) *load {
	ctx, cancel := context.WithCancel(ctx)
	l := &load{cancel: cancel}
	for i, r := range t.fleet.Routers {
		c := t.fleet.caller(r, loadKey)
		for w := range loadWorkersPerRouter {
			l.workers.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					rep, err := c.chat(ctx, fmt.Sprintf("conversation %d-%d-%d", i, w, n), loadMaxTokens, "")
					if ctx.Err() != nil {
						return
					}
					l.sent.Add(1)
					if err != nil || rep.Outcome == ident.OutcomeNotRun {
						l.refused.Add(1)
					}
				}
			})
		}
	}
	return l
}

func (l *load) stop() {
	l.cancel()
	l.workers.Wait()
}

// releaseWindow returns the time that the load takes for releaseRequests at its pace, and minReleaseWindow at least.
func (l *load) releaseWindow(ctx context.Context) (time.Duration, error) {
	start, sent := time.Now(), l.sent.Load()
	err := waitUntil(ctx, paceTimeout, func() bool { return l.sent.Load() >= sent+paceSample })
	return max(minReleaseWindow, time.Since(start)*releaseRequests/paceSample), err
}

// publishRelease writes a release whose window starts now, and in which v replaces a version.
func (t *tour) publishRelease(ctx context.Context, id ident.ReleaseID, v, replaces ident.VersionID, window time.Duration) error {
	now := time.Now().UTC()
	return t.fleet.putObject(ctx, object.Release{
		Format: 1, ID: id, Changed: []object.ReleaseChange{{Version: v, Replaces: replaces}},
		StartAt: now, FinishAt: now.Add(window), Note: "demonstration",
	})
}

// waitForVerdicts waits until the recorded outcome has a final verdict for each failure domain.
func (t *tour) waitForVerdicts(ctx context.Context, id ident.ReleaseID, window time.Duration) (object.ReleaseOutcome, error) {
	var o object.ReleaseOutcome
	err := waitUntil(ctx, window+verdictGrace, func() bool {
		raw, err := t.fleet.store.Get(ctx, object.Key{Kind: object.KindOutcome, Name: string(id)})
		if err != nil || json.Unmarshal(raw.Value, &o) != nil || len(o.Domains) < len(t.fleet.domains) {
			return false
		}
		for _, d := range o.Domains {
			if d.Verdict == object.VerdictRunning {
				return false
			}
		}
		return true
	})
	return o, err
}

// requireVerdict returns an error if a failure domain has another verdict.
func requireVerdict(o object.ReleaseOutcome, want object.Verdict) error {
	for _, d := range o.Domains {
		if d.Verdict != want {
			return fmt.Errorf("%s: %s (%s)", d.Domain, d.Verdict, d.Reason)
		}
	}
	return nil
}

func (t *tour) goodRelease(ctx context.Context) (string, error) {
	return t.runRelease(ctx, "demo-good", versionGood, versionOld, object.VerdictCompleted)
}

func (t *tour) badRelease(ctx context.Context) (string, error) {
	t.fleet.setFaults(engine.Faults{Versions: map[string]engine.Faults{string(versionBad): {ErrorRate: 0.5}}})
	defer t.fleet.setFaults(engine.Faults{})
	return t.runRelease(ctx, "demo-bad", versionBad, versionGood, object.VerdictTakenBack)
}

// runRelease plays a release under load and describes its outcome.
func (t *tour) runRelease(ctx context.Context, id ident.ReleaseID, v, replaces ident.VersionID, want object.Verdict) (string, error) {
	l := t.startLoad(ctx)
	var o object.ReleaseOutcome
	window, err := l.releaseWindow(ctx)
	if err == nil {
		err = t.publishRelease(ctx, id, v, replaces, window)
	}
	if err == nil {
		o, err = t.waitForVerdicts(ctx, id, window)
	}
	l.stop()
	if err == nil {
		err = requireVerdict(o, want)
	}
	return fmt.Sprintf("%s in %d failure domains, %d requests, %d refused", want, len(o.Domains), l.sent.Load(), l.refused.Load()), err
}
