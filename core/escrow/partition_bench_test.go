package escrow

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"geraniumsaddle/core/ident"
)

// The simulated fleet has four failure domains of two routers, and ten organisations of which two are large. Two
// domains are cut off from the platform and from all other domains for an hour.
const (
	simDomains      = 4
	simRouters      = 2 * simDomains
	simOrgs         = 10
	simStep         = 100 * time.Millisecond
	simWarmUp       = 20 * time.Minute
	simCut          = time.Hour
	simWaitSteps    = 5    // steps that a request waits before it is refused
	simReportSteps  = 50   // steps between regular reports
	simAskRounds    = 4    // rounds of asks in a step
	simRequestSteps = 20   // steps that a request runs
	simMeanTokens   = 2000 // mean reservation
	simUsedFraction = 0.6  // mean part of the reservation that is billed
)

// simWaiting is a request that waits for tokens.
type simWaiting struct {
	account *Account
	router  int
	org     int
	tokens  ident.Tokens
	until   int
}

// simRunning is a request in progress.
type simRunning struct {
	account *Account
	tokens  ident.Tokens
	used    ident.Tokens
}

// partitionSim runs the package's accounts and its writer over simulated time.
type partitionSim struct {
	rand     *rand.Rand
	policy   Policy
	shift    time.Duration // how often demand moves to another domain
	shard    Shard
	accounts [simRouters][simOrgs]*Account
	waiting  []simWaiting
	running  [simRequestSteps + 1][]simRunning
	step     int
	version  ident.ObjectVersion
	cut      bool

	requests, refused int
	refusedInDomain   int // refused while the routers of the domain held enough
	refusedInReach    int // refused while those and the platform, if reachable, held enough
	refusedAnywhere   int // refused while all routers and the platform held enough
	calls             int
	stranded, paid    float64
}

func simRate(org int) float64 { // requests/s
	if org < 2 {
		return 12
	}
	return 1
}

func newPartitionSim(p Policy, seed uint64, supply float64, shift time.Duration) *partitionSim {
	s := &partitionSim{rand: rand.New(rand.NewPCG(seed, 1)), policy: p, shift: shift, shard: NewShard()}
	for o := range simOrgs {
		demand := simRate(o) * simMeanTokens * simUsedFraction * (simWarmUp + simCut).Seconds()
		e := Entry{ID: EntryID(fmt.Sprintf("budget-%02d", o)), Paid: ident.Tokens(demand * supply)}
		s.paid += float64(e.Paid)
		s.shard = s.shard.With(e)
		for r := range simRouters {
			id := HolderID(fmt.Sprintf("router-%d.1", r))
			s.accounts[r][o] = NewAccount(AccountConfig{Entry: e.ID, Holder: id, Policy: p})
		}
	}
	return s
}

func (s *partitionSim) now() time.Time { return time.Unix(1e9, 0).Add(time.Duration(s.step) * simStep) }

// isolated reports whether a router's domain is cut off.
func (s *partitionSim) isolated(router int) bool { return s.cut && router%simDomains >= simDomains/2 }

func (s *partitionSim) run() {
	steps := int((simWarmUp + simCut) / simStep)
	for s.step = range steps {
		s.cut = s.step >= int(simWarmUp/simStep)
		s.generateRequests()
		s.settleEnded()
		// An ask and its answer take 4 ms inside a domain, so a step has time for several.
		for range simAskRounds {
			s.sendAsks()
			s.startWaiting()
		}
		s.refuseTimedOut()
		s.runControl()
	}
}

// generateRequests generates requests. Seven tenths of an organisation's demand go to one domain, which changes over time.
func (s *partitionSim) generateRequests() {
	for o := range simOrgs {
		hot := (s.step/int(s.shift/simStep)*3 + o) % simDomains
		for n := simRate(o) * simStep.Seconds(); n > 0; n-- {
			if s.rand.Float64() >= n {
				continue
			}
			domain := hot
			if s.rand.Float64() >= 0.7 {
				domain = s.rand.IntN(simDomains)
			}
			router := domain + simDomains*s.rand.IntN(2)
			s.requests++
			w := simWaiting{
				account: s.accounts[router][o], router: router, org: o, until: s.step + simWaitSteps,
				tokens: ident.Tokens(1 + s.rand.IntN(2*simMeanTokens)),
			}
			if !s.startRequest(w) {
				w.account.addWaiting(w.tokens)
				s.waiting = append(s.waiting, w)
			}
		}
	}
}

func (s *partitionSim) startRequest(w simWaiting) bool {
	if !w.account.Hold(w.tokens) {
		return false
	}
	used := ident.Tokens(float64(w.tokens) * min(1, 2*simUsedFraction*s.rand.Float64()))
	i := (s.step + simRequestSteps) % len(s.running)
	s.running[i] = append(s.running[i], simRunning{account: w.account, tokens: w.tokens, used: used})
	return true
}

func (s *partitionSim) settleEnded() {
	i := s.step % len(s.running)
	for _, r := range s.running[i] {
		r.account.Settle(r.tokens, r.used)
	}
	s.running[i] = s.running[i][:0]
}

func (s *partitionSim) sendAsks() {
	for r := range simRouters {
		for o := range simOrgs {
			s.ask(r, o)
		}
	}
}

func (s *partitionSim) startWaiting() {
	kept := s.waiting[:0]
	for _, w := range s.waiting {
		if s.startRequest(w) {
			w.account.removeWaiting(w.tokens)
		} else {
			kept = append(kept, w)
		}
	}
	s.waiting = kept
}

func (s *partitionSim) refuseTimedOut() {
	kept := s.waiting[:0]
	for _, w := range s.waiting {
		if s.step < w.until {
			kept = append(kept, w)
			continue
		}
		w.account.removeWaiting(w.tokens)
		_ = w.account.refuse(w.tokens, nil)
		s.countRefusal(w)
	}
	s.waiting = kept
}

// countRefusal classifies a refusal by where the tokens were.
func (s *partitionSim) countRefusal(w simWaiting) {
	s.refused++
	var domain, all ident.Tokens
	for r := range simRouters {
		free := s.accounts[r][w.org].Free()
		all += free
		if r%simDomains == w.router%simDomains {
			domain += free
		}
	}
	unallotted := s.shard.Entry(w.account.Entry()).Unallotted()
	reach := domain
	if !s.isolated(w.router) {
		reach += unallotted
	}
	all += unallotted
	if domain >= w.tokens {
		s.refusedInDomain++
	}
	if reach >= w.tokens {
		s.refusedInReach++
	}
	if all >= w.tokens {
		s.refusedAnywhere++
	}
	s.stranded += float64(all-reach) / s.paid
}

// runControl samples the demand, rebalances and reports as the control loop of each router does.
func (s *partitionSim) runControl() {
	regular := s.step%simReportSteps == 0
	for d := range simDomains {
		var b Batch
		for r := d; r < simRouters; r += simDomains {
			for _, a := range s.accounts[r] {
				if s.step%10 == 0 {
					a.Tick(s.now())
				}
				if !s.isolated(r) && (regular || a.LacksTokens()) {
					a.Rebalance()
					b.Reports = append(b.Reports, a.Report())
				}
			}
		}
		b.Now, b.Flush = s.now(), s.step%(12*simReportSteps) == 0
		next, changed := Writer{Policy: s.policy}.Apply(s.shard, b)
		if !changed {
			continue
		}
		s.calls++
		s.version++
		s.shard = next
		for r := range simRouters {
			for o, a := range s.accounts[r] {
				if !s.isolated(r) {
					a.ApplyEntry(s.version, &s.shard.Entries[o], s.now())
				}
			}
		}
	}
}

// ask asks other routers for the tokens that an account lacks, first in its own domain, then in the reachable ones.
func (s *partitionSim) ask(router, org int) {
	a := s.accounts[router][org]
	if _, ok := a.Ask(); !ok {
		return
	}
	for _, local := range []bool{true, false} {
		for r := range simRouters {
			ask, ok := a.Ask()
			same := r%simDomains == router%simDomains
			if !ok || r == router || same != local || !same && (s.isolated(r) || s.isolated(router)) {
				continue
			}
			if tr, ok := s.accounts[r][org].Answer(ask); ok {
				a.TransferIn(tr.From, tr.Total)
			}
		}
	}
}

// BenchmarkPartition measures refusals through a one-hour partition. Each iteration uses another seed.
//
//	refused_pct   refused requests, of all
//	domain_pct    refused while the routers of the failure domain held enough
//	reach_pct     refused while those and the platform, if reachable, held enough: the false refusals
//	anywhere_pct  refused while the whole fleet held enough
//	stranded_pct  tokens out of reach at a refusal, of all paid
//	calls         conditional updates
func BenchmarkPartition(b *testing.B) {
	policies := []struct {
		name string
		p    Policy
	}{{"equal", EqualSplit{Holders: simRouters}}, {"cover", DefaultCover}, {"recall", DefaultRecall}}
	supplies := []struct {
		name string
		part float64
	}{{"ample", 4}, {"medium", 1.5}, {"tight", 1.05}}
	shifts := []time.Duration{10 * time.Minute, 40 * time.Minute}
	for i := range len(supplies) * len(shifts) {
		supply, shift := supplies[i/len(shifts)], shifts[i%len(shifts)]
		for _, policy := range policies {
			b.Run(fmt.Sprintf("%s/%v/%s", supply.name, shift, policy.name), func(b *testing.B) {
				var t partitionSim
				for i := range b.N {
					s := newPartitionSim(policy.p, uint64(i+1), supply.part, shift)
					s.run()
					t.requests += s.requests
					t.refused += s.refused
					t.refusedInDomain += s.refusedInDomain
					t.refusedInReach += s.refusedInReach
					t.refusedAnywhere += s.refusedAnywhere
					t.stranded += s.stranded
					t.calls += s.calls
				}
				pct := func(n int) float64 { return 100 * float64(n) / float64(t.requests) }
				b.ReportMetric(pct(t.refused), "refused_pct")
				b.ReportMetric(pct(t.refusedInDomain), "domain_pct")
				b.ReportMetric(pct(t.refusedInReach), "reach_pct")
				b.ReportMetric(pct(t.refusedAnywhere), "anywhere_pct")
				b.ReportMetric(100*t.stranded/float64(max(1, t.refused)), "stranded_pct")
				b.ReportMetric(float64(t.calls)/float64(b.N), "calls")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
