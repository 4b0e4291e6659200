package main_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/testscript"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/store"
)

func put(ts *testscript.TestScript, st *store.Client, o object.Value) {
	raw, err := json.Marshal(o)
	ts.Check(err)
	_, err = st.Put(context.Background(), o.Key(), raw, store.Any())
	ts.Check(err)
}

// cmdVersion adds a version of the model and names it at every engine: version PLATFORM_URL VERSION.
func cmdVersion(ts *testscript.TestScript, _ bool, args []string) {
	st, err := store.New(store.Config{URL: args[0]}, clockwork.NewRealClock())
	ts.Check(err)
	id := ident.VersionID(args[1])
	put(ts, st, object.Version{Format: 1, ID: id, Model: "demo-chat"})
	page, err := st.List(context.Background(), object.KindTarget, "", 0)
	ts.Check(err)
	for _, o := range page.Objects {
		var t object.Target
		ts.Check(json.Unmarshal(o.Value, &t))
		if t.Kind == object.TargetEngine {
			t.Versions = append(t.Versions, id)
			put(ts, st, t)
		}
	}
}

// cmdRelease publishes a release whose window starts now: release PLATFORM_URL RELEASE VERSION REPLACES WINDOW.
func cmdRelease(ts *testscript.TestScript, _ bool, args []string) {
	st, err := store.New(store.Config{URL: args[0]}, clockwork.NewRealClock())
	ts.Check(err)
	window, err := time.ParseDuration(args[4])
	ts.Check(err)
	now := time.Now().UTC()
	put(ts, st, object.Release{
		Format: 1, ID: ident.ReleaseID(args[1]), StartAt: now, FinishAt: now.Add(window),
		Changed: []object.ReleaseChange{{Version: ident.VersionID(args[2]), Replaces: ident.VersionID(args[3])}},
	})
}

// cmdOutcome waits until the recorded outcome of a release has a number of failure domains that are not running, and
// prints their verdicts: outcome PLATFORM_URL RELEASE DOMAINS.
func cmdOutcome(ts *testscript.TestScript, _ bool, args []string) {
	st, err := store.New(store.Config{URL: args[0]}, clockwork.NewRealClock())
	ts.Check(err)
	end := time.Now().Add(pollWait)
	for {
		var o object.Outcome
		raw, err := st.Get(context.Background(), object.Key{Kind: object.KindOutcome, Name: args[1]})
		if err == nil {
			ts.Check(json.Unmarshal(raw.Value, &o))
		}
		var out []string
		for _, d := range o.Domains {
			if d.Verdict != object.VerdictRunning {
				out = append(out, string(d.Domain)+" "+string(d.Verdict))
			}
		}
		if fmt.Sprint(len(out)) == args[2] {
			slices.Sort(out)
			_, _ = fmt.Fprintln(ts.Stdout(), strings.Join(out, ", "))
			return
		}
		if time.Now().After(end) {
			ts.Fatalf("outcome of %s: %+v", args[1], o)
		}
		time.Sleep(pollEvery)
	}
}
