package target_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/target"
)

// TestUnloadedVersion guards against traffic for a version that no target has loaded yet, against requests to a target
// that has not loaded their version, and against not using a target because it does not report its loaded versions.
func TestUnloadedVersion(t *testing.T) {
	versions := []ident.VersionID{"v1", "v2", "added"}
	for name, tc := range map[string]struct {
		loaded [][]ident.VersionID // by target
		want   map[ident.VersionID]int
	}{
		"nothing new":   {[][]ident.VersionID{{"v1"}, {"v1"}}, map[ident.VersionID]int{"v1": 2}},
		"one target":    {[][]ident.VersionID{{"v1"}, {"v1", "v2", "added"}}, map[ident.VersionID]int{"v1": 2, "v2": 1, "added": 1}},
		"only added":    {[][]ident.VersionID{{"v1"}, {"added"}}, map[ident.VersionID]int{"v1": 1, "added": 1}},
		"empty targets": {[][]ident.VersionID{{}, {}}, map[ident.VersionID]int{}},
		"no lists":      {[][]ident.VersionID{nil, nil}, map[ident.VersionID]int{"v1": 2, "v2": 2, "added": 2}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, now := target.New(target.Config{Domain: "a", Router: "r.1", Start: testStart}, rand.New(rand.NewPCG(1, 1))), testStart.Add(time.Minute)
			for _, v := range versions {
				r.PutVersion(object.Version{ID: v, Model: "chat", Serving: v == "v1"})
			}
			for i, l := range tc.loaded {
				id := ident.TargetID(fmt.Sprint("t", i))
				r.PutTarget(object.Target{ID: id, Domain: "a", Kind: object.TargetEngine, Versions: versions, Capacity: 1000, State: object.TargetActive})
				r.SetLoaded(id, l)
			}
			r.SetShares(chatPool, target.Shares{Lines: []target.Line{{Version: "v1", Weight: 1}},
				Shifts: []target.TrafficShift{{Version: "v2", Replaces: "v1", Share: 0.5}, {Version: "added", Share: 0.3}}})
			p := r.Build(now).Pool(chatPool)
			seen := map[ident.VersionID]map[ident.TargetID]bool{}
			for i := range 300 {
				c, err := p.Choose(target.Request{Sticky: fmt.Sprint(i), Now: now, Rand: uint64(i) * 0x9e3779b97f4a7c15}, unlimitedSlots{})
				if len(tc.want) == 0 {
					is.True(errors.Is(err, target.ErrNoTarget))
					continue
				}
				is.NoErr(err)
				if seen[c.Version] == nil {
					seen[c.Version] = map[ident.TargetID]bool{}
				}
				seen[c.Version][c.Target] = true
				c.Release(target.ResultOK)
			}
			is.Equal(len(seen), len(tc.want))
			for v, n := range tc.want {
				is.Equal(len(seen[v]), n)
			}
		})
	}
}
