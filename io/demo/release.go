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
	releaseWindow = 12 * time.Second
	releaseGrace  = 20 * time.Second
	loadWorkers   = 4 // for each router
	loadTokens    = 4
)

// load sends short conversations to all live routers until the result is called. It counts refusals.
func (t *tour) load(ctx context.Context) (stop func() (sent, refused int)) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	var mu sync.Mutex
	sent, refused := 0, 0
	for i, r := range t.f.Routers {
		c := t.f.caller(r, loadKey)
		for w := range loadWorkers {
			wg.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					rep, err := c.chat(ctx, fmt.Sprintf("conversation %d-%d-%d", i, w, n), loadTokens, "")
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

// publish writes a release note whose window starts now.
func (t *tour) publish(ctx context.Context, id ident.ReleaseID, v, replaces ident.VersionID) error {
	now := time.Now().UTC()
	return t.f.put(ctx, object.Release{
		Format: 1, ID: id, Changed: []object.ReleaseChange{{Version: v, Replaces: replaces}},
		StartAt: now, FinishAt: now.Add(releaseWindow), Note: "demonstration",
	})
}

// outcome waits for the recorded verdicts of all failure domains.
func (t *tour) outcome(ctx context.Context, id ident.ReleaseID) (object.Outcome, error) {
	var o object.Outcome
	err := until(ctx, releaseWindow+releaseGrace, func() bool {
		raw, err := t.f.store.Get(ctx, object.Key{Kind: object.KindOutcome, Name: string(id)})
		if err != nil || json.Unmarshal(raw.Value, &o) != nil || len(o.Domains) < len(t.f.domains) {
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

// verdicts returns an error unless every failure domain has the verdict.
func verdicts(o object.Outcome, want object.Verdict) error {
	for _, d := range o.Domains {
		if d.Verdict != want {
			return fmt.Errorf("%s: %s (%s)", d.Domain, d.Verdict, d.Reason)
		}
	}
	return nil
}

func (t *tour) goodRelease(ctx context.Context) (string, error) {
	stop := t.load(ctx)
	err := t.publish(ctx, "demo-good", versionGood, versionOld)
	var o object.Outcome
	if err == nil {
		o, err = t.outcome(ctx, "demo-good")
	}
	sent, refused := stop()
	if err == nil {
		err = verdicts(o, object.VerdictCompleted)
	}
	return fmt.Sprintf("completed in %d failure domains, %d requests, %d refused", len(o.Domains), sent, refused), err
}

func (t *tour) badRelease(ctx context.Context) (string, error) {
	t.f.setFaults(engine.Faults{Versions: map[string]engine.Faults{string(versionBad): {ErrorRate: 0.5}}})
	defer t.f.setFaults(engine.Faults{})
	stop := t.load(ctx)
	err := t.publish(ctx, "demo-bad", versionBad, versionGood)
	var o object.Outcome
	if err == nil {
		o, err = t.outcome(ctx, "demo-bad")
	}
	sent, refused := stop()
	if err == nil {
		err = verdicts(o, object.VerdictTakenBack)
	}
	return fmt.Sprintf("taken back in %d failure domains, %d requests, %d refused", len(o.Domains), sent, refused), err
}
