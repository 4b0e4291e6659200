package edge

import (
	"context"
	"errors"
	"hash/fnv"
	"math"
	"net"
	"slices"
	"sync"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/place"
	"geraniumsaddle/core/poison"
	"geraniumsaddle/io/engine/send"
)

const (
	// lossCollectTime is the time after a broken connection within which the other requests at the target fail too, if the
	// target has ended.
	lossCollectTime = 30 * time.Millisecond
	// lossDialTimeout bounds the attempt to connect to a target that may have ended.
	lossDialTimeout = 150 * time.Millisecond
	// poisonInterval is the interval of decisions on the evidence without news, and newsDelay collects the news that are
	// passed on in one message.
	poisonInterval = 100 * time.Millisecond
	newsDelay      = 20 * time.Millisecond
	// beginningEvents is the number of events from which a target has survived the beginning of its answer.
	beginningEvents = 2
)

// errQuarantined means that a part of the prompt is quarantined.
var errQuarantined = errors.New("a part of the prompt is quarantined")

// poisonGuard keeps requests that crash targets from reaching further targets. It decides on what this router and others
// have seen.
type poisonGuard struct {
	s *Server
	// wake is signaled when there may be something to decide or to pass on.
	wake chan struct{}
	// saveNow is signaled when the quarantine is to be written to the store.
	saveNow chan struct{}

	mu      sync.Mutex
	tracker *poison.Tracker
	// suspects holds the prompts that targets left unanswered when a connection broke, until it is known whether the
	// targets have ended.
	suspects map[poison.Target][]poison.Prompt
}

func newPoisonGuard(s *Server) *poisonGuard {
	return &poisonGuard{
		s: s, wake: make(chan struct{}, 1), saveNow: make(chan struct{}, 1), tracker: poison.New(poison.DefaultPolicy(termSpread(s.self))),
		suspects: make(map[poison.Target][]poison.Prompt),
	}
}

// now returns the uptime of the VM as a time. It goes on while the VM is suspended, so that what a router reports after a
// suspension has its true age.
func (g *poisonGuard) now() time.Time { return time.Unix(0, 0).Add(g.s.deps.VMClock.Now().Uptime) }

// termSpread returns a number between 0 and 1 that differs between routers.
func termSpread(id ident.RouterID) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // Writes to a hash never fail.
	return float64(h.Sum32()) / math.MaxUint32
}

// quarantined returns the quarantined part of a request's prompt, if there is one.
func (g *poisonGuard) quarantined(service ident.ServiceID, p poison.Prompt) (poison.Part, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Quarantined(service, p)
}

// recordAnswer records that a target has answered a request with the prompt.
func (g *poisonGuard) recordAnswer(service ident.ServiceID, p poison.Prompt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.RecordAnswer(service, p, g.now())
}

// suspect records that a connection to a target broke before it began to answer a request with the prompt. If the target
// accepts no new connection, it has ended.
func (g *poisonGuard) suspect(t place.Target, p poison.Prompt) {
	key := poison.Target{ID: t.ID, Born: t.Born}
	at := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	_, checking := g.suspects[key]
	g.suspects[key] = append(g.suspects[key], p)
	if !checking {
		go g.checkLoss(key, t, at)
	}
}

// checkLoss finds out whether a target has ended, and records its loss if so.
func (g *poisonGuard) checkLoss(key poison.Target, t place.Target, at time.Time) {
	g.s.deps.Clock.Sleep(lossCollectTime)
	conn, err := (&net.Dialer{Timeout: lossDialTimeout}).Dial("tcp", t.Addr)
	g.mu.Lock()
	prompts := g.suspects[key]
	delete(g.suspects, key)
	now := g.now()
	if err != nil {
		g.tracker.RecordLoss(poison.Loss{Target: key, Service: t.Service, Age: now.Sub(at), Prompts: prompts}, now)
	}
	g.mu.Unlock()
	if err == nil {
		_ = conn.Close()
		g.s.deps.Log.Debug("connection broke, but the target goes on", "target", t.ID, "requests", len(prompts))
		return
	}
	g.s.deps.Metrics.countLoss(t.Service)
	g.s.deps.Log.Info("target ended with unanswered requests", "target", t.ID, "service", t.Service, "born", t.Born,
		"requests", len(prompts), "prompts", loggedPrompts(prompts), "error", err)
	trigger(g.wake)
}

// maxLoggedPrompts bounds the prompts in a log line.
const maxLoggedPrompts = 4

// loggedPrompts returns the first parts of the first prompts for the log.
func loggedPrompts(prompts []poison.Prompt) []poison.Prompt {
	var logged []poison.Prompt
	for _, p := range prompts[:min(len(prompts), maxLoggedPrompts)] {
		logged = append(logged, p[:min(len(p), maxLoggedParts)])
	}
	return logged
}

// merge adds the report of another router.
func (g *poisonGuard) merge(r poison.Report) {
	g.mu.Lock()
	g.tracker.Merge(r, g.now())
	g.mu.Unlock()
	trigger(g.wake)
}

// run decides on the evidence and passes it on until the context ends.
func (g *poisonGuard) run(ctx context.Context) {
	var summaryAt time.Time
	for g.waitForWork(ctx) {
		now := g.now()
		g.mu.Lock()
		events := g.tracker.Advance(now)
		news := g.tracker.News(now)
		list := g.tracker.List(now)
		interval := summaryInterval(g.tracker, now)
		g.mu.Unlock()
		g.logEvents(events)
		g.s.deps.Metrics.setQuarantined(len(list))
		gossip := g.s.gossip.Load()
		if len(events) > 0 && gossip != nil && gossip.keeper {
			trigger(g.saveNow)
		}
		gossip.sendNews(news)
		if now.Sub(summaryAt) >= interval {
			summaryAt = now
			gossip.sendNews(g.summary())
		}
	}
}

// waitForWork waits for news, and while there is evidence for the next decision. It returns false if the context ends first.
func (g *poisonGuard) waitForWork(ctx context.Context) bool {
	var next <-chan time.Time
	if !g.idle() {
		next = g.s.deps.Clock.After(poisonInterval)
	}
	select {
	case <-ctx.Done():
		return false
	case <-next:
		return true
	case <-g.wake:
		return g.s.sleep(ctx, newsDelay)
	}
}

func (g *poisonGuard) idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Idle()
}

func (g *poisonGuard) summary() poison.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Summary(g.now())
}

func (g *poisonGuard) logEvents(events []poison.Event) {
	for _, e := range events {
		switch e := e.(type) {
		case poison.Quarantined:
			g.s.deps.Log.Warn("part of prompts quarantined", "service", e.Part.Service, "part", e.Part.ID, "targets", e.Targets,
				"losses", e.Losses, "prompts", e.Prompts, "strikes", e.Strikes, "term_ms", e.Term.Milliseconds(), "age_ms", e.Age.Milliseconds())
		case poison.Released:
			g.s.deps.Log.Warn("part of prompts released", "service", e.Part.Service, "part", e.Part.ID, "reason", e.Reason)
		}
	}
}

// list returns the quarantined parts.
func (g *poisonGuard) list() []poison.Quarantine {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.List(g.now())
}

// lift ends the quarantine of a part at all routers, and reports whether there was one.
func (g *poisonGuard) lift(part poison.Part) bool {
	g.mu.Lock()
	lifted := g.tracker.Lift(part, g.now())
	g.mu.Unlock()
	trigger(g.wake)
	return lifted
}

// promptBuffers holds buffers for the parts of prompts, of which a head may list thousands.
var promptBuffers = sync.Pool{New: func() any { return new(poison.Prompt) }}

// withPrompt calls f with the parts of the request's prompt, unless it has none. f must not keep them.
func (x *exchange) withPrompt(f func(poison.Prompt)) {
	p := x.requestHeaders.Prompt
	if p == nil || x.route == nil || !x.route.UsesEngine || p.Parts == "" {
		return
	}
	buffer := promptBuffers.Get().(*poison.Prompt)
	defer promptBuffers.Put(buffer)
	*buffer = (*buffer)[:0]
	for part := range p.Parts.All() {
		*buffer = append(*buffer, part.ID)
	}
	f(*buffer)
	clear(*buffer) // the IDs are parts of the request's head
}

// quarantined reports whether a part of the request's prompt is quarantined.
func (x *exchange) quarantined() bool {
	found := false
	x.withPrompt(func(p poison.Prompt) {
		var part poison.Part
		if part, found = x.s.poison.quarantined(x.service, p); found {
			x.quarantinedPart = part.ID
		}
	})
	return found
}

// suspectTarget records that the target of a failed send may have ended under the request. A failure of a request that was
// not sent, whose caller has left, or whose answer had begun says nothing about its prompt.
func (x *exchange) suspectTarget(t place.Target, err error) {
	if x.ctx.Err() != nil || x.sendEvents >= beginningEvents || errors.Is(err, send.ErrNotSent) || !isBrokenConn(err) {
		return
	}
	x.withPrompt(func(p poison.Prompt) { x.s.poison.suspect(t, slices.Clone(p)) })
}

// clearPrompt records that a target has answered the request.
func (x *exchange) clearPrompt() {
	x.withPrompt(func(p poison.Prompt) { x.s.poison.recordAnswer(x.service, p) })
}

// isBrokenConn reports whether a send failed because the target closed or reset the connection.
func isBrokenConn(err error) bool {
	return send.EndsConnection(err) || errors.Is(err, errEventTruncated)
}
