package escrow_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
)

const (
	simDomains        = 4
	simPerDomain      = 2
	simHour           = 3600
	simRequestTokens  = 768 // tokens of a reservation
	simRequestSeconds = 10  // time of a request
	simWaitRounds     = 3   // control rounds in which a request waits
)

// simHolder is a holder of one budget in a failure domain. Domain 0 is cut off during the second hour.
type simHolder struct {
	*escrow.Account
	domain int
	ends   [simRequestSeconds]int // requests that end, by second
}

// cutDomainSim runs one budget at eight holders for two hours in steps of one second.
type cutDomainSim struct {
	shard   escrow.Shard
	version ident.ObjectVersion
	policy  escrow.Policy
	holders []*simHolder
	rng     *rand.Rand
	paid    ident.Tokens
	cut     bool
	// requests and falseRefusals count during the cut, first in the cut domain and then elsewhere.
	requests, falseRefusals [2]int
	writes                  int
	stranded                ident.Tokens
}

func newCutDomainSim(p escrow.Policy, paid ident.Tokens, seed uint64) *cutDomainSim {
	s := &cutDomainSim{policy: p, paid: paid, rng: rand.New(rand.NewPCG(seed, 3))}
	s.shard = escrow.NewShard().With(escrow.Entry{ID: "b", Paid: paid})
	for i := range simDomains * simPerDomain {
		id := escrow.NewHolderID(ident.NewRouterID(fmt.Sprintf("r%d", i), 1), 0)
		s.holders = append(s.holders, &simHolder{domain: i / simPerDomain, Account: escrow.NewAccount(
			escrow.AccountConfig{Entry: "b", Holder: id, Policy: p})})
	}
	return s
}

func (s *cutDomainSim) reachable(a, b int) bool { return a == b || !s.cut || a != 0 && b != 0 }

// report writes the reports of the holders that reach the platform.
func (s *cutDomainSim) report(now time.Time, flush bool, only *simHolder) {
	for d := range simDomains {
		var batch []escrow.Report
		for _, h := range s.holders {
			if h.domain == d && (only == nil || h == only) && (!s.cut || d != 0) {
				h.Rebalance()
				batch = append(batch, h.Report())
			}
		}
		next, changed := escrow.Writer{Policy: s.policy}.Apply(s.shard, escrow.Batch{Reports: batch, Now: now, Flush: flush})
		if changed {
			s.shard, s.version = next, s.version+1
			s.writes++
		}
	}
	for _, h := range s.holders {
		if !s.cut || h.domain != 0 {
			h.ApplyEntry(s.version, s.shard.Entry("b"), now)
		}
	}
}

// ask asks the reachable holders for the tokens that waiting requests lack, those of the same failure domain first.
func (s *cutDomainSim) ask(h *simHolder) {
	for _, near := range []bool{true, false} {
		for _, other := range s.holders {
			ask, ok := h.Ask()
			if !ok {
				return
			}
			if other == h || (other.domain == h.domain) != near || !s.reachable(h.domain, other.domain) {
				continue
			}
			if t, ok := other.Answer(ask); ok && h.TransferIn(t.From, t.Total) {
				other.TransferAcked(t.To, t.Total)
			}
		}
	}
}

// request runs one request and reports whether it got its tokens.
func (s *cutDomainSim) request(h *simHolder, now time.Time) bool {
	if h.Hold(simRequestTokens) {
		return true
	}
	defer h.RegisterWaiting(simRequestTokens)()
	for range simWaitRounds {
		s.ask(h)
		s.report(now, false, h)
		if h.Hold(simRequestTokens) {
			return true
		}
	}
	return false
}

// remaining returns the paid tokens that the whole fleet has neither billed nor held.
func (s *cutDomainSim) remaining() ident.Tokens {
	n := s.paid
	for _, h := range s.holders {
		n -= h.Settled() + h.Held()
	}
	return n
}

func (s *cutDomainSim) run(b *testing.B, shift int) {
	for second := range 2 * simHour {
		now := benchmarkTime.Add(time.Duration(second) * time.Second)
		s.cut = second >= simHour
		for _, h := range s.holders {
			for range h.ends[second%simRequestSeconds] {
				h.Settle(simRequestTokens, ident.Tokens(200+s.rng.IntN(200)))
			}
			h.ends[second%simRequestSeconds] = 0
			n := s.rng.IntN(3) // 1 request a second on average
			if s.cut && h.domain == 0 {
				n *= shift
			}
			for range n {
				s.countRequest(h, s.request(h, now), second)
			}
			h.Tick(now)
		}
		s.report(now, second%5 == 0, nil)
		if s.remaining() < 0 {
			b.Fatal("billed and held tokens exceed what was paid")
		}
	}
	for _, h := range s.holders {
		if h.domain == 0 {
			s.stranded += h.Free()
		}
	}
}

// countRequest records the outcome of a request. A refusal is false if the fleet had enough tokens for it.
func (s *cutDomainSim) countRequest(h *simHolder, ok bool, second int) {
	side := min(h.domain, 1)
	if ok {
		h.ends[second%simRequestSeconds]++
	}
	if !s.cut {
		return
	}
	s.requests[side]++
	if !ok && s.remaining() >= simRequestTokens {
		s.falseRefusals[side]++
	}
}

// BenchmarkCutDomain reports, for each policy, the false refusals during an hour in which one of four failure domains
// is cut off: requests that were refused although the fleet had enough tokens for them. %stranded is the percentage of
// the budget that is free in the cut domain at the end. The budget is a multiple of the use of two hours. Run it with
// -benchtime=1x.
func BenchmarkCutDomain(b *testing.B) {
	policies := []struct {
		name string
		p    escrow.Policy
	}{
		{"equal_split", escrow.EqualSplit{Holders: simDomains * simPerDomain}}, {"cover", escrow.DefaultCover}, {"recall", escrow.DefaultRecall},
		{"recall_80m", escrow.Recall{Cover: escrow.Cover{Partition: 80 * time.Minute, Min: 4096}, ReserveTime: time.Minute}},
		{"recall_90m", escrow.Recall{Cover: escrow.Cover{Partition: 90 * time.Minute, Min: 4096}, ReserveTime: time.Minute}},
	}
	const use = 300 * simDomains * simPerDomain * 2 * simHour
	for _, p := range policies {
		for _, shift := range []int{1, 4} {
			for _, tenths := range []int{10, 13, 40} {
				b.Run(fmt.Sprintf("%s/shift=%d/paid=%.1f", p.name, shift, float64(tenths)/10), func(b *testing.B) {
					var asked, refused [2]float64
					var stranded, writes float64
					const seeds = 5
					for range b.N {
						for seed := range uint64(seeds) {
							s := newCutDomainSim(p.p, ident.Tokens(use*tenths/10), seed)
							s.run(b, shift)
							for i := range asked {
								asked[i] += float64(s.requests[i])
								refused[i] += float64(s.falseRefusals[i])
							}
							stranded += 100 * float64(s.stranded) / float64(s.paid)
							writes += float64(s.writes)
						}
					}
					runs := float64(b.N) * seeds
					b.ReportMetric(100*refused[0]/asked[0], "%false-cut")
					b.ReportMetric(100*refused[1]/asked[1], "%false-rest")
					b.ReportMetric(stranded/runs, "%stranded")
					b.ReportMetric(writes/runs/(2*simHour), "writes/s")
				})
			}
		}
	}
}
