package place

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/digest"
	"geraniumsaddle/core/ident"
)

// fakeEngine is a model engine of a simulated failure domain. It reads prompts one after the other and then produces the
// output of its running requests, the slower the more there are.
type fakeEngine struct {
	target Target
	// slowness is how long work takes in relation to the usual engine.
	slowness float64
	// lies says that the engine reports no load, whatever it has.
	lies   bool
	cache  map[string]bool
	freeAt time.Duration // when it has read all prompts that it has
	ends   []time.Duration
	// busy is the time integral of its requests, and sharedRead the number of tokens of shared parts that it has read.
	busy       time.Duration
	sharedRead int
}

// The figures of the engines follow the sheet of a deployment with 112 of them.
const (
	simSlots         = 24
	simQueue         = 6
	simTokensPerMs   = 49.6
	simStep          = 5180 * time.Microsecond
	simTokensByEvent = 5
)

// load returns the number of requests at the engine.
func (e *fakeEngine) load(now time.Duration) int {
	e.ends = slices.DeleteFunc(e.ends, func(end time.Duration) bool { return end <= now })
	return len(e.ends)
}

// serve takes a request and returns the times of its first output and its end, or false if the engine is full.
func (e *fakeEngine) serve(p *Prompt, output int, now time.Duration) (first, end time.Duration, ok bool) {
	n := e.load(now)
	if n >= simSlots+simQueue {
		return 0, 0, false
	}
	start := max(now, e.freeAt)
	if n >= simSlots { // it waits until enough others have ended
		slices.Sort(e.ends)
		start = max(start, e.ends[n-simSlots])
	}
	tokens, cached := 0, true
	parts := slices.Collect(p.Parts.All())
	for i, part := range parts {
		cached = cached && e.cache[part.ID]
		if !cached {
			tokens += int(part.Tokens)
			if i+1 < len(parts) {
				e.sharedRead += int(part.Tokens)
			}
		}
		e.cache[part.ID] = true
	}
	share := float64(min(n, simSlots)) / simSlots
	readTime := time.Duration(float64(tokens) / simTokensPerMs * (1 + 0.4*share) * e.slowness * float64(time.Millisecond))
	first = start + readTime + simStep
	e.freeAt = start + readTime
	end = first + time.Duration(float64(output)*float64(simStep)*(1+0.5*share)*e.slowness)
	e.ends = append(e.ends, end)
	e.busy += end - now
	return first, end, true
}

// simEvent is something that happens at a time of a simulation.
type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simQueueOfEvents []simEvent

func (q simQueueOfEvents) Len() int { return len(q) }
func (q simQueueOfEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueueOfEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueueOfEvents) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueueOfEvents) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simClass is a kind of request.
type simClass struct {
	route              string
	perSecond          float64
	common, shared     ident.Tokens // parts that requests share
	parts              int          // number of different shared parts
	own, output        int
	goal               time.Duration
	served, late, lost int
}

// simFleet is a failure domain with routers that choose targets by what they know.
type simFleet struct {
	rng     *rand.Rand
	now     time.Duration
	events  simQueueOfEvents
	seq     int
	engines map[ident.TargetID]*fakeEngine
	order   []*fakeEngine
	routers []*Fleet
	heard   [][]int // routers that each router sends its digests to
	classes []*simClass
	// hearsDigest decides whether a digest arrives. alter may change what a router tells.
	hearsDigest func(from, to int) bool
	alter       func(from int, rows []digest.Row) []digest.Row

	sends, refused int
}

// newSimFleet returns a failure domain of the size of one of three with 66 routers and 112 engines.
func newSimFleet(load float64) *simFleet {
	const routers, engines, neighbors = 22, 37, 12
	s := &simFleet{
		rng: rand.New(rand.NewPCG(11, 12)), engines: map[ident.TargetID]*fakeEngine{},
		hearsDigest: func(int, int) bool { return true },
		alter:       func(_ int, rows []digest.Row) []digest.Row { return rows },
		classes: []*simClass{
			{route: "history", perSecond: 86 * load, common: 2500, shared: 3800, parts: 60, own: 2890, output: 50, goal: 600 * time.Millisecond},
			{route: "quote", perSecond: 97 * load, common: 200, shared: 368, parts: 80, own: 1800, output: 25, goal: 500 * time.Millisecond},
			{route: "chat", perSecond: 37 * load, common: 72, shared: 100, parts: 80, own: 543, output: 280, goal: 400 * time.Millisecond},
		},
	}
	for i := range engines {
		id := ident.TargetID(fmt.Sprintf("e%02d", i))
		e := &fakeEngine{slowness: 0.8 + 0.5*s.rng.Float64(), cache: map[string]bool{}}
		e.target = Target{ID: id, Service: "llm", Addr: string(id), Domain: "a", Slots: simSlots}
		s.engines[id] = e
		s.order = append(s.order, e)
	}
	for i := range routers {
		f := New(Config{Domain: "a", RemovalGrace: time.Second, VM: ident.VMID(fmt.Sprint("r", i))})
		f.SetEngine("llm", Engine{KVCapacity: 414_446})
		f.SetPeers(Peers{Index: i, Routers: routers, Heard: neighbors})
		for _, e := range s.order {
			f.Put(e.target)
		}
		s.routers = append(s.routers, f)
		var to []int
		for k := range neighbors {
			to = append(to, (i+1+k*(routers-1)/neighbors)%routers)
		}
		s.heard = append(s.heard, to)
	}
	return s
}

func (s *simFleet) time() time.Time { return testStart.Add(s.now) }

func (s *simFleet) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now + d, s.seq, do})
}

// run plays the given time of traffic.
func (s *simFleet) run(d time.Duration) {
	const interval = 200 * time.Millisecond
	for i := range s.routers {
		s.after(time.Duration(s.rng.Int64N(int64(interval))), func() { s.sendDigests(i, 1, interval) })
	}
	for _, c := range s.classes {
		s.after(0, func() { s.arrive(c, d) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if s.now = e.at; s.now > d {
			return
		}
		e.do()
	}
}

func (s *simFleet) sendDigests(i int, seq uint64, interval time.Duration) {
	rows := s.alter(i, s.routers[i].Work())
	d := digest.Digest{Seq: seq, Domain: "a", Packed: digest.Pack(rows)}
	for _, to := range s.heard[i] {
		if s.hearsDigest(i, to) {
			s.after(2*time.Millisecond, func() {
				_ = s.routers[to].ApplyDigest(ident.NewRouterID(fmt.Sprint("r", i), 1), d, s.time())
			})
		}
	}
	s.after(interval, func() { s.sendDigests(i, seq+1, interval) })
}

// arrive lets a request arrive and plans the next one of its class.
func (s *simFleet) arrive(c *simClass, until time.Duration) {
	s.after(time.Duration(s.rng.ExpFloat64()/c.perSecond*float64(time.Second)), func() { s.arrive(c, until) })
	// The traffic of routers is uneven, and some parts are asked for more than others.
	router := min(s.rng.IntN(len(s.routers)), s.rng.IntN(len(s.routers)))
	part := min(s.rng.IntN(c.parts), s.rng.IntN(c.parts), s.rng.IntN(c.parts))
	output := max(int(float64(c.output)*(0.5+s.rng.Float64())), 1)
	p := &Prompt{
		Input: c.common + c.shared + ident.Tokens(c.own), MaxOutput: ident.Tokens(2 * c.output),
		OutputHint: ident.Tokens(float64(output) * (0.4 + 1.2*s.rng.Float64())),
		Parts: NewParts(Part{c.route, c.common}, Part{fmt.Sprint(c.route, part), c.shared},
			Part{fmt.Sprint("own", s.seq), ident.Tokens(c.own)}),
	}
	s.offer(c, router, p, output, s.now, nil)
}

// offer sends a request to a target, and to another one if it is refused.
func (s *simFleet) offer(c *simClass, router int, p *Prompt, output int, arrived time.Duration, tried []ident.TargetID) {
	f := s.routers[router]
	choice, err := f.Choose(Request{Service: "llm", Route: c.route, Goal: c.goal, Prompt: p, Exclude: tried, Now: s.time()})
	if err != nil || len(tried) == 4 {
		c.lost++
		return
	}
	s.sends++
	id := choice.Target.ID
	e := s.engines[id]
	first, end, ok := e.serve(p, output, s.now)
	if !ok {
		s.refused++
		s.after(2*time.Millisecond, func() {
			s.report(f, e)
			choice.Done(ResultFull, s.time())
			s.offer(c, router, p, output, arrived, append(tried, id))
		})
		return
	}
	s.after(first-s.now, func() {
		s.report(f, e)
		choice.FirstOutput(s.time())
		c.served++
		if s.now-arrived > c.goal {
			c.late++
		}
	})
	s.after(end-s.now, func() {
		choice.Output = ident.Tokens(output)
		choice.Done(ResultOK, s.time())
	})
}

// report lets a router learn the load of an engine from an answer.
func (s *simFleet) report(f *Fleet, e *fakeEngine) {
	l := Load{Running: min(e.load(s.now), simSlots), Slots: simSlots, Pace: 100}
	l.Waiting = e.load(s.now) - l.Running
	if e.lies {
		l.Running, l.Waiting = 0, 0
	}
	f.ReportLoad(e.target.ID, l, s.time())
}

// simResult sums up what callers got.
type simResult struct {
	served, late, lost int
	// refusedShare is the share of sends that met a full engine, and spread the requests at the busiest engine in relation to
	// the mean.
	refusedShare, spread float64
	// sharedRead is the number of tokens of shared parts that engines have read, in millions.
	sharedRead float64
}

func (s *simFleet) result() simResult {
	var r simResult
	for _, c := range s.classes {
		r.served, r.late, r.lost = r.served+c.served, r.late+c.late, r.lost+c.lost
	}
	r.refusedShare = float64(s.refused) / float64(s.sends)
	var sum, most time.Duration
	for _, e := range s.order {
		sum += e.busy
		r.sharedRead += float64(e.sharedRead) / 1e6
		most = max(most, e.busy)
	}
	r.spread = float64(most) * float64(len(s.order)) / float64(sum)
	return r
}

func (r simResult) lateShare() float64 { return float64(r.late) / float64(max(r.served, 1)) }

func (r simResult) String() string {
	return fmt.Sprintf("%d served, %.2f%% late, %d lost, %.2f%% of sends met a full engine, busiest/mean %.2f, %.2fM tokens of shared parts read",
		r.served, 100*r.lateShare(), r.lost, 100*r.refusedShare, r.spread, r.sharedRead)
}

// TestManyRouters guards against routers that choose targets by what little each has heard itself, so that some engines are
// full while others are idle. At twice the usual traffic each caller's first output must be in time, but for a few.
func TestManyRouters(t *testing.T) {
	for _, load := range []float64{1, 2} {
		t.Run(fmt.Sprint("load", load), func(t *testing.T) {
			is := is.New(t)
			s := newSimFleet(load)
			s.run(20 * time.Second)
			r := s.result()
			t.Log(r)
			is.Equal(r.lost, 0)
			is.True(r.lateShare() < 0.02)      // first outputs come in time
			is.True(r.refusedShare < 0.01)     // sends to full engines
			is.True(r.spread < 1.5)            // busiest engine in relation to the mean
			is.True(r.served > int(3500*load)) // the traffic was played
		})
	}
}
