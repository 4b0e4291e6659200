package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/fakes/engine"
)

const (
	releaseWindow        = 12 * time.Second
	verdictGrace         = 20 * time.Second // time after the window for the verdicts to be recorded
	loadWorkersPerRouter = 4
	loadMaxTokens        = 4
)

// startLoad sends short chat completions to all routers until stop is called. A request that fails or is not run counts
// as refused.
func (t *tour) startLoad(ctx context.Context) (stop func() (sent, refused int)) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	var mu sync.Mutex
	sent, refused := 0, 0
	for i, r := range t.fleet.Routers {
		c := t.fleet.caller(r, loadKey)
		for w := range loadWorkersPerRouter {
			wg.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					rep, err := c.chat(ctx, fmt.Sprintf("conversation %d-%d-%d", i, w, n), loadMaxTokens, "")
					if ctx.Err() != nil {
						return
					}
					mu.Lock()
					sent++
					if err != nil || rep.Outcome == ident.OutcomeNotRun {
						refused++
					}
					mu.Unlock()
				}
			})
		}
	}
	return func() (int, int) {
		cancel()
		wg.Wait()
		return sent, refused
	}
}

// publishRelease writes a release whose window starts now, in which v replaces a version.
func (t *tour) publishRelease(ctx context.Context, id ident.ReleaseID, v, replaces ident.VersionID) error {
	now := time.Now().UTC()
	return t.fleet.putObject(ctx, object.Release{
		Format: 1, ID: id, Changed: []object.ReleaseChange{{Version: v, Replaces: replaces}},
		StartAt: now, FinishAt: now.Add(releaseWindow), Note: "demonstration",
	})
}

// waitForVerdicts waits until the recorded outcome has a final verdict for each failure domain.
func (t *tour) waitForVerdicts(ctx context.Context, id ident.ReleaseID) (object.ReleaseOutcome, error) {
	var o object.ReleaseOutcome
	err := waitUntil(ctx, releaseWindow+verdictGrace, func() bool {
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
	stop := t.startLoad(ctx)
	err := t.publishRelease(ctx, "demo-good", versionGood, versionOld)
	var o object.ReleaseOutcome
	if err == nil {
		o, err = t.waitForVerdicts(ctx, "demo-good")
	}
	sent, refused := stop()
	if err == nil {
		err = requireVerdict(o, object.VerdictCompleted)
	}
	return fmt.Sprintf("completed in %d failure domains, %d requests, %d refused", len(o.Domains), sent, refused), err
}

func (t *tour) badRelease(ctx context.Context) (string, error) {
	t.fleet.setFaults(engine.Faults{Versions: map[string]engine.Faults{string(versionBad): {ErrorRate: 0.5}}})
	defer t.fleet.setFaults(engine.Faults{})
	stop := t.startLoad(ctx)
	err := t.publishRelease(ctx, "demo-bad", versionBad, versionGood)
	var o object.ReleaseOutcome
	if err == nil {
		o, err = t.waitForVerdicts(ctx, "demo-bad")
	}
	sent, refused := stop()
	if err == nil {
		err = requireVerdict(o, object.VerdictTakenBack)
	}
	return fmt.Sprintf("taken back in %d failure domains, %d requests, %d refused", len(o.Domains), sent, refused), err
}
