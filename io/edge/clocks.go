package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"geraniumsaddle/core/elect"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/quota"
)

const (
	// clockReportInterval is the pause between two questions for another router's clock. A known clock stays exact,
	// because it goes on with this VM's uptime; all of a small fleet are asked within livenessTimeout.
	clockReportInterval = time.Second
	// maxFirstClocks is the number of routers that are asked at the start.
	maxFirstClocks = 5
)

// runClockReports asks the other routers of a small fleet for their clocks until the context ends. Rows of the ledgers show
// clocks too, but late by up to the interval of writes, and after a loss of power that time counts as time in which
// the lost process went on spending.
func (s *Server) runClockReports(ctx context.Context, members []elect.Member) {
	others := slices.DeleteFunc(slices.Clone(members), func(m elect.Member) bool {
		return m.Addr == "" || m.VM == s.selfMember().VM
	})
	if len(others) == 0 {
		return
	}
	var first sync.WaitGroup
	for _, m := range others[:min(len(others), maxFirstClocks)] {
		first.Go(func() { s.runTask("clock", func() { s.askClock(ctx, m) }) })
	}
	first.Wait()
	for i := 0; s.sleep(ctx, clockReportInterval); i++ {
		s.askClock(ctx, others[i%len(others)])
	}
}

// askClock asks a router for its clock. One that does not answer is asked again in its turn.
func (s *Server) askClock(ctx context.Context, m elect.Member) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answer, err := s.sendClaim(ctx, m, &quota.Claim{Router: s.self, Probe: true, AsksClock: true})
	if err != nil {
		s.deps.Log.Debug("clock of another router not known", "vm", m.VM, "error", err)
		return
	}
	s.accounts.RecordClocks(answer.Clocks, s.deps.VMClock.Now().Uptime)
}

// clockAnswer answers a question for this router's clock.
func (s *Server) clockAnswer() *quota.Outcome {
	return &quota.Outcome{Clocks: map[ident.VMID]int64{ident.VMID(s.cfg.VM): s.deps.VMClock.Now().Wall}}
}
