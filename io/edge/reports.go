package edge

import (
	"context"
	"sync"

	"geraniumsaddle/core/elect"
	"geraniumsaddle/io/report"
)

// startReports begins to exchange digests of the work in progress with the other routers of the failure domain, and returns
// a function that waits for its end. Small fleets do without: each of their routers hears often from every target.
func (s *Server) startReports(ctx context.Context, members []elect.Member) (wait func()) {
	e := report.New(report.Config{
		Clock: s.deps.Clock, Log: s.deps.Log, Sender: s.peerTransport, Targets: s.targets, Metrics: s.deps.Metrics.reports,
		Self: s.selfMember(), Members: members,
	})
	s.reports.Store(e)
	var task sync.WaitGroup
	task.Go(func() { s.runTask("work digests", func() { e.Run(ctx) }) })
	return task.Wait
}
