package escrow

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"geraniumsaddle/core/ident"
)

// The fleet of the measurement: four failure domains of two routers, ten organisations of which two are
// large. Two domains are cut off from everything for an hour.
const (
	simDomains  = 4
	simRouters  = 2 * simDomains
	simOrgs     = 10
	simStep     = 100 * time.Millisecond
	simWarm     = 20 * time.Minute
	simCut      = time.Hour
	simWait     = 5    // steps that a request waits before it is refused
	simReport   = 50   // steps between regular reports
	simAsks     = 4    // rounds of asks in a step
	simRequest  = 20   // steps that a request runs
	simTokens   = 2000 // mean reservation
	simUsedPart = 0.6  // mean part of the reservation that is billed
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

// sim runs real accounts and the real writer over simulated time.
type sim struct {
	rand     *rand.Rand
	policy   Policy
	shift    time.Duration // how often demand moves to another domain
	shard    Shard
	accounts [simRouters][simOrgs]*Account
	waiting  []simWaiting
	running  [simRequest + 1][]simRunning
	step     int
	version  ident.ObjectVersion
	cut      bool

	requests, refused int
	inDomain          int // refused while the routers of the domain held enough
	inReach           int // refused while those and the platform in reach held enough
	anywhere          int // refused while all routers and the platform held enough
	calls             int
	stranded, paid    float64
}

func simRate(org int) float64 { // requests/s
	if org < 2 {
		return 12
	}
	return 1
}

func newSim(p Policy, seed uint64, supply float64, shift time.Duration) *sim {
	s := &sim{rand: rand.New(rand.NewPCG(seed, 1)), policy: p, shift: shift, shard: NewShard()}
	for o := range simOrgs {
		demand := simRate(o) * simTokens * simUsedPart * (simWarm + simCut).Seconds()
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

func (s *sim) now() time.Time { return time.Unix(1e9, 0).Add(time.Duration(s.step) * simStep) }

// isolated reports whether a router's domain is cut off.
func (s *sim) isolated(router int) bool { return s.cut && router%simDomains >= simDomains/2 }

func (s *sim) run() {
	steps := int((simWarm + simCut) / simStep)
	for s.step = range steps {
		s.cut = s.step >= int(simWarm/simStep)
		s.arrivals()
		s.settle()
		// An ask and its answer take 4 ms inside a domain, so a step has time for several.
		for range simAsks {
			s.gather()
			s.startWaiting()
		}
		s.refuseLate()
		s.control()
	}
}

// arrivals draws requests. Seven tenths of an organisation's demand are in one domain, which changes.
func (s *sim) arrivals() {
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
				account: s.accounts[router][o], router: router, org: o, until: s.step + simWait,
				tokens: ident.Tokens(1 + s.rand.IntN(2*simTokens)),
			}
			if !s.start(w) {
				w.account.addWaiting(w.tokens)
				s.waiting = append(s.waiting, w)
			}
		}
	}
}

func (s *sim) start(w simWaiting) bool {
	if !w.account.Hold(w.tokens) {
		return false
	}
	used := ident.Tokens(float64(w.tokens) * min(1, 2*simUsedPart*s.rand.Float64()))
	i := (s.step + simRequest) % len(s.running)
	s.running[i] = append(s.running[i], simRunning{account: w.account, tokens: w.tokens, used: used})
	return true
}

func (s *sim) settle() {
	i := s.step % len(s.running)
	for _, r := range s.running[i] {
		r.account.Settle(r.tokens, r.used)
	}
	s.running[i] = s.running[i][:0]
}

func (s *sim) gather() {
	for r := range simRouters {
		for o := range simOrgs {
			s.ask(r, o)
		}
	}
}

func (s *sim) startWaiting() {
	kept := s.waiting[:0]
	for _, w := range s.waiting {
		if s.start(w) {
			w.account.removeWaiting(w.tokens)
		} else {
			kept = append(kept, w)
		}
	}
	s.waiting = kept
}

func (s *sim) refuseLate() {
	kept := s.waiting[:0]
	for _, w := range s.waiting {
		if s.step < w.until {
			kept = append(kept, w)
			continue
		}
		w.account.removeWaiting(w.tokens)
		_ = w.account.refuse(w.tokens, nil)
		s.count(w)
	}
	s.waiting = kept
}

// count classifies a refusal by where the tokens were.
func (s *sim) count(w simWaiting) {
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
		s.inDomain++
	}
	if reach >= w.tokens {
		s.inReach++
	}
	if all >= w.tokens {
		s.anywhere++
	}
	s.stranded += float64(all-reach) / s.paid
}

// control reports, asks and rebalances as the control loop of each router does.
func (s *sim) control() {
	regular := s.step%simReport == 0
	for d := range simDomains {
		var b Batch
		for r := d; r < simRouters; r += simDomains {
			for _, a := range s.accounts[r] {
				if s.step%10 == 0 {
					a.Tick(s.now())
				}
				if !s.isolated(r) && (regular || a.Short()) {
					a.Rebalance()
					b.Reports = append(b.Reports, a.Report())
				}
			}
		}
		b.Now, b.Flush = s.now(), s.step%(12*simReport) == 0
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

// ask sends the lack of an account to its peers: its own domain first, then the domains in reach.
func (s *sim) ask(router, org int) {
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

// BenchmarkPartition measures refusals through a one-hour partition. Each iteration is another seed.
//
//	refused_pct   refused requests, of all
//	domain_pct    refused while the routers of the failure domain held enough
//	reach_pct     refused while those and the platform in reach held enough: the false refusals
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
				var t sim
				for i := range b.N {
					s := newSim(policy.p, uint64(i+1), supply.part, shift)
					s.run()
					t.requests += s.requests
					t.refused += s.refused
					t.inDomain += s.inDomain
					t.inReach += s.inReach
					t.anywhere += s.anywhere
					t.stranded += s.stranded
					t.calls += s.calls
				}
				pct := func(n int) float64 { return 100 * float64(n) / float64(t.requests) }
				b.ReportMetric(pct(t.refused), "refused_pct")
				b.ReportMetric(pct(t.inDomain), "domain_pct")
				b.ReportMetric(pct(t.inReach), "reach_pct")
				b.ReportMetric(pct(t.anywhere), "anywhere_pct")
				b.ReportMetric(100*t.stranded/float64(max(1, t.refused)), "stranded_pct")
				b.ReportMetric(float64(t.calls)/float64(b.N), "calls")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkBudgets measures the slope over the number of budgets for six domains with one holder each.
// The demand of the fleet is the same, so that budgets share it. The hour after the first is counted.
//
//	B/budget     memory of one router for each account with demand
//	calls/s      conditional updates, at most one for each shard, domain and 5 s
//	flushes/s    those of them that only write settlements, once a minute
//	shard_bytes  size of the largest shard
func BenchmarkBudgets(b *testing.B) {
	for _, budgets := range []int{100, 1000, 18000} {
		b.Run(fmt.Sprint(budgets), func(b *testing.B) {
			for range b.N {
				benchBudgets(b, budgets)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func benchBudgets(b *testing.B, budgets int) {
	const domains, perSecond, every = 6, 520_000, 5
	// Shards do not depend on each other, so one in eight is run and the calls are multiplied.
	const sampled = 8
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	accounts := make([][domains]*Account, budgets)
	for i := range accounts {
		for d := range domains {
			accounts[i][d] = NewAccount(AccountConfig{
				Entry: EntryID(fmt.Sprintf("budget-%05d", i)), Holder: HolderID(fmt.Sprintf("router-%d.1", d)), Policy: DefaultRecall,
			})
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	var shards [ShardCount]Shard
	var members [ShardCount][]int
	share := ident.Tokens(perSecond / domains / budgets)
	for i := range accounts {
		id := accounts[i][0].Entry()
		n := ShardNumber(id)
		shards[n] = Shard{Format: Format, Entries: append(shards[n].Entries, Entry{ID: id, Paid: 10_000 * domains * (share + 1)})}
		members[n] = append(members[n], i)
	}
	calls, flushes, size := 0, 0, 0
	for sec := 0; sec < 7200; sec += every {
		now := time.Unix(1e9+int64(sec), 0)
		for n := 0; n < ShardCount; n += sampled {
			for d := range domains {
				batch := Batch{Now: now}
				for _, i := range members[n] {
					a := accounts[i][d]
					used := share * every
					if a.Hold(used) {
						a.Settle(used, used)
					} else {
						a.refused.Add(int64(used))
					}
					a.Tick(now)
					batch.Reports = append(batch.Reports, a.Report())
				}
				next, changed := Writer{Policy: DefaultRecall}.Apply(shards[n], batch)
				if !changed && sec%60 == 0 {
					batch.Flush = true
					next, changed = Writer{Policy: DefaultRecall}.Apply(shards[n], batch)
				}
				if !changed {
					continue
				}
				shards[n] = next
				if batch.Flush && sec >= 3600 {
					flushes++
				}
				for k, i := range members[n] {
					accounts[i][d].ApplyEntry(ident.ObjectVersion(sec+1), &next.Entries[k], now)
				}
				if sec >= 3600 {
					calls++
				}
			}
		}
	}
	for n := range shards {
		out, err := shards[n].Encode()
		if err != nil {
			b.Fatal(err)
		}
		size = max(size, len(out))
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(budgets*domains), "B/budget")
	b.ReportMetric(sampled*float64(calls)/3600, "calls/s")
	b.ReportMetric(sampled*float64(flushes)/3600, "flushes/s")
	b.ReportMetric(float64(size), "shard_bytes")
}
