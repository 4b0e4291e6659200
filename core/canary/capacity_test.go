package canary_test

import (
	"fmt"
	"testing"
	"time"

	"geraniumsaddle/core/canary"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// BenchmarkDomain reports the time in which the controller of a failure domain merges the evidence of all its routers
// and judges it. Each router has the cells of 2 versions, 4 bands and the given number of routes.
func BenchmarkDomain(b *testing.B) {
	for _, c := range []struct{ routers, routes int }{{2, 5}, {8, 5}, {64, 5}, {64, 25}} {
		b.Run(fmt.Sprintf("routers=%d/routes=%d", c.routers, c.routes), func(b *testing.B) {
			ctl := canary.New(canary.Config{Domain: "a", Policy: canary.DefaultPolicy()})
			ctl.PutVersion(object.Version{ID: "old", Model: "chat", Serving: true})
			ctl.PutVersion(object.Version{ID: "new", Model: "chat"})
			ctl.PutRelease(1, object.Release{ID: "rel", StartAt: t0, FinishAt: t0.Add(1e6 * time.Hour),
				Changed: []object.ReleaseChange{{Version: "new", Replaces: "old"}}})
			recs := make([]*canary.Recorder, c.routers)
			for i := range recs {
				recs[i] = canary.NewRecorder(ident.NewRouterID(fmt.Sprintf("r%d", i), 1), 0)
			}
			cells, now := 0, t0
			for range b.N {
				b.StopTimer()
				var all [][]canary.Cell
				cells = 0
				for _, rec := range recs {
					for i := range 8 * c.routes {
						rec.Record(canary.Sample{Version: []ident.VersionID{"old", "new"}[i%2], Route: fmt.Sprintf("/r%d", i/8),
							Band: uint8(i / 2 % 4), FirstToken: 200 * time.Millisecond})
					}
					all = append(all, rec.Export())
					cells += len(all[len(all)-1])
				}
				now = now.Add(time.Second)
				b.StartTimer()
				for _, one := range all {
					ctl.MergeEvidence(one)
				}
				ctl.Tick(now)
			}
			b.ReportMetric(float64(cells), "cells")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*cells), "ns/cell")
		})
	}
}
