package main_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/testscript"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/store"
)

// putObject writes an object to the platform, whatever version it has there.
func putObject(ts *testscript.TestScript, st *store.Client, obj object.Value) {
	raw, err := json.Marshal(obj)
	ts.Check(err)
	_, err = st.Put(context.Background(), obj.Key(), raw, store.Any())
	ts.Check(err)
}

// cmdVersion creates a version of the model and adds it to the versions of every engine target:
// version PLATFORM_URL VERSION.
func cmdVersion(ts *testscript.TestScript, _ bool, args []string) {
	st, err := store.New(store.Config{URL: args[0]}, clockwork.NewRealClock())
	ts.Check(err)
	id := ident.VersionID(args[1])
	putObject(ts, st, object.Version{Format: 1, ID: id, Model: "demo-chat"})
	page, err := st.List(context.Background(), object.KindTarget, "", 0)
	ts.Check(err)
	for _, obj := range page.Objects {
		var target object.Target
		ts.Check(json.Unmarshal(obj.Value, &target))
		if target.Kind == object.TargetEngine {
			target.Versions = append(target.Versions, id)
			putObject(ts, st, target)
		}
	}
}

// cmdRelease creates a release that starts now and has its finish time WINDOW later. With LOAD and COUNT, the window is
// at least as long as that load takes for COUNT requests, because a version is shown good by a number of requests:
// release PLATFORM_URL RELEASE VERSION REPLACES WINDOW [LOAD COUNT].
func cmdRelease(ts *testscript.TestScript, _ bool, args []string) {
	st, err := store.New(store.Config{URL: args[0]}, clockwork.NewRealClock())
	ts.Check(err)
	window, err := time.ParseDuration(args[4])
	ts.Check(err)
	if len(args) > 5 {
		window = max(window, loadDuration(ts, args[5], args[6]))
	}
	ts.Logf("release %s: window %s", args[1], window)
	now := time.Now().UTC()
	putObject(ts, st, object.Release{
		Format: 1, ID: ident.ReleaseID(args[1]), StartAt: now, FinishAt: now.Add(window),
		Changed: []object.ReleaseChange{{Version: ident.VersionID(args[2]), Replaces: ident.VersionID(args[3])}},
	})
}

// loadDuration returns how long a load takes for a number of requests, which it measures over a sample of them.
func loadDuration(ts *testscript.TestScript, name, count string) time.Duration {
	const sample = 300
	n, err := strconv.Atoi(count)
	ts.Check(err)
	start := time.Now()
	cmdWaitLoad(ts, false, []string{name, "+" + strconv.Itoa(sample)})
	return time.Since(start) * time.Duration(n) / sample
}

// cmdOutcome waits until the recorded outcome of a release has a final verdict for DOMAINS failure domains, at most
// pollTimeout after the finish time, and prints these verdicts: outcome PLATFORM_URL RELEASE DOMAINS.
func cmdOutcome(ts *testscript.TestScript, _ bool, args []string) {
	st, err := store.New(store.Config{URL: args[0]}, clockwork.NewRealClock())
	ts.Check(err)
	var release object.Release
	obj, err := st.Get(context.Background(), object.Key{Kind: object.KindRelease, Name: args[1]})
	ts.Check(err)
	ts.Check(json.Unmarshal(obj.Value, &release))
	deadline := release.FinishAt.Add(pollTimeout)
	for {
		var outcome object.ReleaseOutcome
		obj, err := st.Get(context.Background(), object.Key{Kind: object.KindOutcome, Name: args[1]})
		if err == nil {
			ts.Check(json.Unmarshal(obj.Value, &outcome))
		}
		var verdicts []string
		for _, domain := range outcome.Domains {
			if domain.Verdict != object.VerdictRunning {
				verdicts = append(verdicts, string(domain.Domain)+" "+string(domain.Verdict))
			}
		}
		if fmt.Sprint(len(verdicts)) == args[2] {
			slices.Sort(verdicts)
			_, _ = fmt.Fprintln(ts.Stdout(), strings.Join(verdicts, ", "))
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("release %s did not get the expected number of verdicts: %+v", args[1], outcome)
		}
		time.Sleep(pollInterval)
	}
}
