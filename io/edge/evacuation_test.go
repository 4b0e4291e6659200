package edge

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/platform"
	"geraniumsaddle/platform/fakes"
)

const testEvacuationTime = 5 * time.Second

func withEvacuations(cfg *platform.Settings, _ *Deps) { cfg.Bounds.EvacuationTime = testEvacuationTime }

// addServing does the same as addTargetIn and waits until the router uses the target.
func (env *testEnv) addServing(domain, id, service string) *fakes.Engine {
	n := env.server.targets.ServingCount(ident.ServiceID(service))
	e := env.addTargetIn(domain, id, service)
	env.waitFor("the target", func() bool { return env.server.targets.ServingCount(ident.ServiceID(service)) > n })
	return e
}

func (env *testEnv) isEvacuated(domain string) func() bool {
	return func() bool {
		for _, id := range env.server.targets.Evacuated() {
			if id == ident.DomainID(domain) {
				return true
			}
		}
		return false
	}
}

// TestEvacuation guards against requests to the targets of an evacuated failure domain, against an evacuation that is never
// ended, and against one that is missed because the store drops its history, or because it was ordered or ended while the
// store was away.
func TestEvacuation(t *testing.T) {
	for name, disturb := range map[string]struct{ before, after func(env *testEnv) }{
		"calm":            {func(*testEnv) {}, func(*testEnv) {}},
		"history dropped": {func(*testEnv) {}, func(env *testEnv) { env.store.Compact() }},
		"store away": {
			func(env *testEnv) {
				env.store.SetFault(faultAll(fakes.Unavailable))
				env.putConfig(env.configVersion()+1, 20_000, 1_000_000) // ends a watch
				env.waitFor("the store to be away", env.server.storeMonitor.isUnreachable)
			},
			func(env *testEnv) { env.store.SetFault(nil) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			env := newTestEnvWith(t, withEvacuations)
			other := env.addServing("b", "desk-2", "desk")
			is.Equal(env.server.targets.ServingCount("desk"), 2)
			disturb.before(env)
			env.store.Put("evacuations", "b", "{}")
			disturb.after(env)
			ordered := time.Now()
			env.waitFor("the evacuation", env.isEvacuated("b"))
			is.True(time.Since(ordered) < testEvacuationTime)
			time.Sleep(50 * time.Millisecond) // requests that were sent before arrive
			count := other.RequestCount()
			for range 30 {
				is.Equal(env.do(look).status, http.StatusOK)
			}
			is.Equal(other.RequestCount(), count)
			disturb.before(env)
			env.store.Delete("evacuations", "b")
			disturb.after(env)
			env.waitFor("the end of the evacuation", func() bool { return !env.isEvacuated("b")() })
			env.targets["desk-1"].SetMode(fakes.Shed)
			env.waitFor("a request to the failure domain", func() bool {
				env.do(look)
				return other.RequestCount() > count
			})
		})
	}
}

// TestEvacuationWhileRequestRuns guards against a stream that resumes, and a request that is tried again, at a target of an
// evacuated failure domain.
func TestEvacuationWhileRequestRuns(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	env := newTestEnvWith(t, withEvacuations)
	other := env.addServing("b", "llm-2", "llm")
	otherDesk := env.addServing("b", "desk-2", "desk")
	env.store.Put("evacuations", "b", "{}")
	env.waitFor("the evacuation", env.isEvacuated("b"))
	env.targets["llm-1"].SetMode(fakes.Truncate)
	a := env.do(resume)
	is.True(a.err != nil || a.status != http.StatusOK)
	env.targets["desk-1"].SetMode(fakes.Fail)
	is.Equal(env.do(look).status, http.StatusInternalServerError)
	is.Equal(other.RequestCount()+otherDesk.RequestCount(), 0)
}

// TestEvacuationOfSingleDomain guards against callers that get no answer, or one that promises nothing, while all targets
// are evacuated.
func TestEvacuationOfSingleDomain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	env := newTestEnvWith(t, withEvacuations)
	env.store.Put("evacuations", "a", "{}")
	env.waitFor("the evacuation", env.isEvacuated("a"))
	a := env.do(look)
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.True(a.header.Get("Retry-After") != "")
}

// TestEvacuationThroughWatcher guards against a router that gets its changes from another one, and learns of an evacuation
// too late or not at all while it can't reach the store.
func TestEvacuationThroughWatcher(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	envs, counters, follower := newWatchedFleetWith(t, 95, withEvacuations)
	env := envs[follower]
	evacuate := func(on bool) {
		if on {
			env.store.Put("evacuations", "b", "{}")
		} else {
			env.store.Delete("evacuations", "b")
		}
		start := time.Now()
		env.waitFor("the change", func() bool { return env.isEvacuated("b")() == on })
		is.True(time.Since(start) < testEvacuationTime)
	}
	env.waitFor("a change without a call of the store", func() bool {
		polls := counters[follower].polls.Load()
		evacuate(true)
		evacuate(false)
		return counters[follower].polls.Load() == polls
	})
	counters[follower].away.Store(true)
	evacuate(true)
	evacuate(false)
}

// TestNoEvacuationsWithoutBound guards against watches that are paid for on a deployment without evacuations.
func TestNoEvacuationsWithoutBound(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	env := newTestEnv(t)
	env.waitFor("the watch of the releases", func() bool { return env.store.WaitingWatches("rollouts") > 0 })
	is.Equal(env.store.WaitingWatches("evacuations"), 0)
	cfg := env.server.cfg
	cfg.Bounds.EvacuationTime = testEvacuationTime
	env.server.Reload(cfg)
	env.waitFor("the watch of the evacuations", func() bool { return env.store.WaitingWatches("evacuations") > 0 })
}

func withCold(cfg *platform.Settings, _ *Deps) {
	cfg.Bounds.ColdOvershoot, cfg.Bounds.ColdSlack = 1.5, 2
}

// TestColdTarget guards against a cold target that gets more requests than the bound, by its entry and by its answers, and
// against callers that are not told when to come back.
func TestColdTarget(t *testing.T) {
	for _, source := range []string{"entry", "answer"} {
		t.Run(source, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const perSecond, coldMS, bound = 4, 3_600_000, 8
			env := newTestEnvWith(t, withCold)
			version := env.configVersion() + 1
			env.store.Put("config", "main", fakes.WithColdTargets(fakes.Config(version, 20_000, 1_000_000), 3600, perSecond))
			env.waitFor("the configuration", func() bool { return env.configVersion() == version })
			desk := env.targets["desk-1"]
			entry := desk.RegistryEntry("desk", "a", "ready")
			if source == "entry" {
				entry = fakes.WithColdTime(entry, coldMS)
			} else {
				entry = fakes.WithColdTime(entry, 0)
				desk.AnnounceCold(coldMS)
			}
			env.store.Put("servers", "desk-1", entry)
			var a answer
			env.waitFor("a refusal", func() bool {
				a = env.do(look)
				return a.status == http.StatusServiceUnavailable
			})
			is.True(strings.HasPrefix(a.body, refuseTargetsCold.reason))
			is.True(a.header.Get("Retry-After") != "")
			env.waitFor("the end of the pause after the start", func() bool { return env.do(look).status == http.StatusOK })
			begin, count := time.Now(), desk.RequestCount()
			env.waitFor("requests of some seconds", func() bool {
				env.do(look)
				return time.Since(begin) >= 2500*time.Millisecond && desk.RequestCount()-count >= perSecond
			})
			seconds := int(time.Since(begin)/time.Second) + 1
			is.True(desk.RequestCount()-count <= seconds*bound)
		})
	}
}

// TestMembersRefreshed guards against a router that keeps its share of the requests to cold targets when others have joined.
func TestMembersRefreshed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	env := newTestEnvWith(t, withCold)
	is.Equal(env.server.targets.RouterCount(), 1)
	for i := range 3 {
		env.store.Put("members", fmt.Sprint("other-", i), fmt.Sprintf(`{"vm":"other-%d","domain":"a"}`, i))
	}
	is.NoErr(env.server.refreshRouters(t.Context()))
	is.Equal(env.server.targets.RouterCount(), 4)
	env.store.SetFault(faultAll(fakes.Unavailable))
	is.True(env.server.refreshRouters(t.Context()) != nil)
	is.Equal(env.server.targets.RouterCount(), 4)
}

// TestHomes guards against requests to targets outside of the regions that the configuration allows, and against a failure
// domain without a known region that counts as allowed.
func TestHomes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	env := newTestEnvWith(t, func(cfg *platform.Settings, _ *Deps) {
		cfg.Regions = map[ident.DomainID]ident.RegionID{"a": "r1", "b": "r2"}
	})
	inB, inUnknown := env.addServing("b", "desk-2", "desk"), env.addServing("c", "desk-3", "desk")
	home := func(region string) {
		version := env.configVersion() + 1
		env.store.Put("config", "main", fakes.WithHome(fakes.Config(version, 20_000, 1_000_000), region))
		env.waitFor("the configuration", func() bool { return env.configVersion() == version })
	}
	home("r2")
	for range 20 {
		is.Equal(env.do(look).status, http.StatusOK)
	}
	is.Equal(inB.RequestCount(), 20)
	is.Equal(inUnknown.RequestCount(), 0)
	home("r3")
	is.Equal(env.do(look).status, http.StatusServiceUnavailable)
}

// TestReleaseWithColdTargets guards against requests that are refused because the release selects the new version for them
// and its targets are cold, while targets of the old version are free.
func TestReleaseWithColdTargets(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const coldMS = 3_600_000
	env := newTestEnvWith(t, withCold)
	version := env.configVersion() + 1
	env.store.Put("config", "main", fakes.WithColdTargets(fakes.Config(version, 20_000, 1_000_000), 3600, 1))
	env.store.Put("servers", "desk-1", fakes.WithColdTime(env.targets["desk-1"].RegistryEntry("desk", "a", "ready"), 0))
	env.waitFor("the configuration", func() bool { return env.configVersion() == version })
	env.store.Put("rollouts", "desk", `{"service":"desk","target":"v2","duration_s":60}`)
	env.waitFor("the order", func() bool { return len(env.server.releases.running()) == 1 })
	e, err := fakes.NewEngine("desk-2")
	is.NoErr(err)
	t.Cleanup(e.Close)
	e.Version = "v2"
	env.store.Put("servers", "desk-2", fakes.WithColdTime(e.RegistryEntry("desk", "a", "ready"), coldMS))
	env.waitFor("a request to the new version", func() bool {
		is.Equal(env.do(look).status, http.StatusOK)
		return e.RequestCount() > 0
	})
	for range 300 {
		is.Equal(env.do(look).status, http.StatusOK)
	}
}
