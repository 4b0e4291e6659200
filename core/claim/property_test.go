package claim

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/record"
)

// fleet is a model of routers, the platform and a target.
type fleet struct {
	t          *rapid.T
	now        time.Time
	epochs     [3]uint64
	routers    [3]*Registry
	platform   map[string]object.Claim
	outage     bool
	lateClaims []object.Claim // creations whose reply was lost and that may still land
	pending    []*attempt
	keys       []string
	runs       map[string]int
	bodies     map[string]record.Hash
	requests   int
}

// attempt is one arrival at a router incarnation and its next step. Steps of attempts interleave freely, which also
// models paused routers.
type attempt struct {
	a      Attempt
	router int
	epoch  uint64
	next   Decision
	origin *attempt // attempt that was forwarded here
	sent   bool
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t, now: time.Unix(1e6, 0), platform: map[string]object.Claim{}, runs: map[string]int{}, bodies: map[string]record.Hash{}, keys: []string{"k1", "k2"}}
	for i := range f.routers {
		f.restart(i)
	}
	return f
}

func (f *fleet) id(i int) ident.RouterID { return ident.NewRouterID(fmt.Sprint("r", i), f.epochs[i]) }

func (f *fleet) restart(i int) {
	f.epochs[i]++
	f.routers[i] = New(f.id(i), []byte("secret"), Limits{Calls: 4, AnswerBytes: 64})
}

func (f *fleet) begin(router int, a Attempt, origin *attempt) {
	f.requests++
	a.Request = ident.RequestID(fmt.Sprint("q", f.requests))
	p := &attempt{a: a, router: router, epoch: f.epochs[router], origin: origin}
	f.applyDecision(p, f.routers[router].Begin(a, f.now))
}

func (f *fleet) handle(p *attempt, e Event) { f.applyDecision(p, f.routers[p.router].Handle(e, f.now)) }

// applyDecision checks a decision and queues the step that it asks for.
func (f *fleet) applyDecision(p *attempt, d Decision) {
	switch d := d.(type) {
	case Run, Send, Create, AskHome:
		p.next = d
		f.pending = append(f.pending, p)
		return
	case Refuse:
		if d.Outcome == ident.OutcomeNotRun && f.runs[p.a.Key] > 0 {
			f.t.Fatalf("not_run (%s) for %s, which ran", d.Reason, p.a.Key)
		}
		if d.Outcome == ident.OutcomeRun || !d.Outcome.Valid() {
			f.t.Fatalf("refused with outcome %q", d.Outcome)
		}
	case Replay:
		if f.runs[p.a.Key] != 1 || f.bodies[p.a.Key] != p.a.Body {
			f.t.Fatalf("replayed %s, which ran %d times or with another body", p.a.Key, f.runs[p.a.Key])
		}
	}
	if p.origin != nil {
		f.replyToOrigin(p.origin, d)
	}
}

func (f *fleet) replyToOrigin(o *attempt, d Decision) {
	if o.epoch != f.epochs[o.router] {
		return
	}
	ref := Ref{NewID(o.a.Org, o.a.Key), o.a.Request}
	if rapid.IntRange(0, 4).Draw(f.t, "lose home reply") == 0 {
		f.handle(o, HomeUnreachable{ref})
		return
	}
	f.handle(o, HomeAnswered{ref, d})
}

func (f *fleet) step(t *rapid.T) {
	if len(f.pending) == 0 {
		t.Skip("nothing pending")
	}
	i := rapid.IntRange(0, len(f.pending)-1).Draw(t, "attempt")
	p := f.pending[i]
	f.pending = append(f.pending[:i:i], f.pending[i+1:]...)
	if p.epoch != f.epochs[p.router] {
		return // crashed
	}
	ref := Ref{NewID(p.a.Org, p.a.Key), p.a.Request}
	switch d := p.next.(type) {
	case Create:
		f.create(p, d)
	case AskHome:
		f.forward(p, d)
	case Run:
		if rapid.Bool().Draw(t, "journal refuses") {
			f.handle(p, NotSent{ref})
			return
		}
		f.handle(p, Dispatching{ref})
		if _, ok := f.routers[p.router].Handle(Dispatching{ref}, f.now).(Send); ok {
			t.Fatal("a repeated event allows a second dispatch")
		}
	case Send:
		f.send(p, ref)
	}
}

func (f *fleet) create(p *attempt, d Create) {
	lost := rapid.IntRange(0, 3).Draw(f.t, "reply") == 0
	switch c, exists := f.platform[d.Claim.Hash]; {
	case lost:
		f.lateClaims = append(f.lateClaims, d.Claim)
		f.handle(p, PlatformUnavailable{d.Ref})
	case f.outage:
		f.handle(p, PlatformUnavailable{d.Ref})
	case exists:
		f.handle(p, Exists{d.Ref, c.Holder, c.Request})
	default:
		f.platform[d.Claim.Hash] = d.Claim
		f.handle(p, Created{d.Ref})
	}
}

func (f *fleet) forward(p *attempt, d AskHome) {
	for i := range f.routers {
		if f.id(i) == d.Home && rapid.IntRange(0, 3).Draw(f.t, "reach") > 0 {
			f.begin(i, p.a, p)
			return
		}
	}
	f.handle(p, HomeUnreachable{d.Ref})
}

func (f *fleet) send(p *attempt, ref Ref) {
	if !p.sent && rapid.IntRange(0, 4).Draw(f.t, "connect") == 0 {
		f.handle(p, NotSent{ref})
		return
	}
	if !p.sent {
		p.sent = true
		f.runs[p.a.Key]++
		f.bodies[p.a.Key] = p.a.Body
		if f.runs[p.a.Key] > 1 {
			f.t.Fatalf("%s ran twice", p.a.Key)
		}
	}
	if rapid.IntRange(0, 2).Draw(f.t, "answer") == 0 {
		f.handle(p, LostReply{ref})
		return
	}
	f.handle(p, Finished{ref, &record.Answer{Status: 201, Body: []byte("ok")}})
}

// TestPropertyAtMostOnce guards against a second run of a key and against a not_run for a key that ran, with several
// routers, retries at any of them, platform outages, lost and late effects, pauses, crashes and expiry.
func TestPropertyAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		router := rapid.IntRange(0, len(f.routers)-1)
		arrive := func(t *rapid.T) {
			body := record.Hash{1}
			if rapid.IntRange(0, 7).Draw(t, "body") == 0 {
				body = record.Hash{2}
			}
			f.begin(router.Draw(t, "router"), Attempt{Org: "o", Key: rapid.SampledFrom(f.keys).Draw(t, "key"), Body: body}, nil)
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": arrive, "arrive again": arrive, "step": f.step, "step again": f.step, "step more": f.step,
			"mint": func(t *rapid.T) {
				tok, err := f.routers[router.Draw(t, "router")].MintToken("o", f.now)
				if err != nil {
					t.Fatal(err)
				}
				f.keys = append(f.keys, tok)
			},
			"outage": func(*rapid.T) { f.outage = !f.outage },
			"late effect": func(t *rapid.T) {
				if len(f.lateClaims) == 0 {
					t.Skip("none")
				}
				c := f.lateClaims[0]
				f.lateClaims = f.lateClaims[1:]
				if _, ok := f.platform[c.Hash]; !ok {
					f.platform[c.Hash] = c
				}
			},
			"crash": func(t *rapid.T) { f.restart(router.Draw(t, "router")) },
			"time": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(-90, 70).Draw(t, "minutes")) * time.Minute)
			},
			"": func(t *rapid.T) {
				for _, r := range f.routers {
					if r.Len() > 4 || len(r.expiryQueue) > 4 || r.answerBytes > 64 {
						t.Fatal("registry is above its limits")
					}
				}
			},
		})
	})
}
