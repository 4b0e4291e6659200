package order_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/order"
)

const (
	tick = 100 * time.Millisecond
	// maxDelay is that of an order. It is longer than a lease, so that orders outlive their issuer.
	maxDelay = 5 * time.Second
	// platformDelay is that of the platform, of reads and of replies.
	platformDelay = 500 * time.Millisecond
)

var issuing = order.Config{MaxDelay: maxDelay, SendWithin: 500 * time.Millisecond, Resend: time.Second, Reread: 2 * time.Second}

// engine is a target with room for two versions.
type engine struct {
	checks  bool
	fence   uint64
	loaded  []ident.VersionID
	serving ident.VersionID
}

func (e *engine) apply(o order.Order) order.Status {
	if e.checks && o.Fence < e.fence {
		return order.StatusStale
	}
	e.fence = max(e.fence, o.Fence)
	has := slices.Contains(e.loaded, o.Version)
	switch {
	case o.Kind == order.KindLoad && !has:
		if len(e.loaded) == 2 {
			i := slices.Index(e.loaded, o.Replaces)
			if i < 0 {
				return order.StatusFailed
			}
			e.loaded = slices.Delete(e.loaded, i, i+1)
		}
		e.loaded = append(e.loaded, o.Version)
	case o.Kind == order.KindVersion && has:
		e.serving = o.Version
	}
	return order.StatusOK
}

type router struct {
	lease  *order.Lease
	issuer *order.Issuer
	plan   map[ident.TargetID]order.DesiredState
	gen    int
	paused time.Time // end of the pause
	cut    time.Time // end of the loss of the platform
}

// world simulates a platform, routers, engines and a network that delays, repeats and loses messages.
type world struct {
	t       *rapid.T
	rnd     *rand.Rand
	now     time.Time
	calm    bool
	lease   object.Lease
	version ident.ObjectVersion
	holder  *router // of the newest number
	routers []*router
	engines map[ident.TargetID]*engine
	names   []ident.TargetID
	gens    map[string]int // plan of each order
	// firm holds the plan under which the newest holder has read a target or ordered something.
	firm   map[ident.TargetID]int
	events map[time.Time][]func()
	plans  int
}

func (w *world) chance(p float64) bool { return !w.calm && w.rnd.Float64() < p }

// after runs f at a later time, at most limit from now.
func (w *world) after(limit time.Duration, f func()) {
	at := w.now.Add(time.Duration(w.rnd.IntN(int(limit/tick))+1) * tick)
	w.events[at] = append(w.events[at], f)
}

// reply delivers an answer unless it is lost. A paused router gets it when it runs again.
func (w *world) reply(r *router, f func()) {
	if w.chance(0.2) {
		return
	}
	w.after(platformDelay, func() { w.receive(r, f) })
}

func (w *world) receive(r *router, f func()) {
	if w.now.Before(r.paused) {
		w.events[r.paused] = append(w.events[r.paused], f)
		return
	}
	f()
}

func (w *world) setPlan(r *router) {
	w.plans++
	r.gen = w.plans
	r.plan = make(map[ident.TargetID]order.DesiredState)
	var plan []order.DesiredState
	for _, id := range w.names {
		v := w.rnd.Perm(4)
		want := order.DesiredState{Target: id, ChecksFence: w.engines[id].checks}
		for _, i := range v[:2] {
			want.Loads = append(want.Loads, order.VersionAt{Version: ident.VersionID(fmt.Sprint("v", i))})
		}
		want.Serve = want.Loads[0].Version
		plan = append(plan, want)
		r.plan[id] = want
	}
	r.issuer.SetPlan(plan)
}

func (w *world) run(r *router) {
	if w.now.Before(r.paused) {
		return
	}
	if w.chance(0.01) {
		r.paused = w.now.Add(time.Duration(w.rnd.IntN(80)) * tick)
	}
	if r == w.holder && w.chance(0.02) {
		r.cut = w.now.Add(8 * time.Second)
	}
	reach := !w.now.Before(r.cut)
	if reach && w.rnd.IntN(5) == 0 {
		w.after(tick, func() {
			seen, version := w.lease, w.version
			w.reply(r, func() { r.lease.Observe(w.now, seen, version) })
		})
	}
	if a, ok := r.lease.Attempt(w.now); ok && reach {
		w.after(platformDelay, func() { w.write(r, a) })
	}
	for _, a := range r.issuer.Step(w.now) {
		switch a := a.(type) {
		case order.Read:
			w.after(platformDelay, func() {
				e := w.engines[a.Target]
				s := order.State{Loaded: slices.Clone(e.loaded), Serving: e.serving}
				w.reply(r, func() { r.issuer.StateRead(w.now, a.Target, a.Seq, s) })
			})
		case order.Send:
			w.gens[a.Order.ID] = r.gen
			w.send(r, a)
		}
	}
}

// send writes an order, perhaps after a pause, and delivers it once or twice.
func (w *world) send(r *router, a order.Send) {
	wait := tick
	if w.chance(0.2) {
		wait = 3 * time.Second
	}
	w.after(wait, func() {
		if w.now.After(a.NotAfter) {
			return
		}
		for range 1 + w.rnd.IntN(2) {
			w.after(maxDelay, func() { w.deliver(r, a.Order) })
		}
	})
}

func (w *world) write(r *router, a order.Attempt) {
	if a.IfVersion != w.version {
		seen, version := w.lease, w.version
		w.reply(r, func() { r.lease.Observe(w.now, seen, version) })
		return
	}
	if a.Lease.Fence != w.lease.Fence {
		w.holder = r
		clear(w.firm)
	}
	w.lease = a.Lease
	w.version++
	version := w.version
	w.reply(r, func() { r.lease.Confirm(a, version) })
}

// deliver applies an order and checks that it takes nothing from the newest plan.
func (w *world) deliver(r *router, o order.Order) {
	e := w.engines[o.Target]
	before := slices.Clone(e.loaded)
	s := e.apply(o)
	if w.gens[o.ID] == w.holder.gen && o.Fence == w.lease.Fence {
		w.firm[o.Target] = w.holder.gen
	}
	for _, v := range w.holder.plan[o.Target].Loads {
		if w.firm[o.Target] == w.holder.gen && slices.Contains(before, v.Version) && !slices.Contains(e.loaded, v.Version) {
			w.t.Fatalf("order %+v of plan %d took %s from the newest plan %d", o, w.gens[o.ID], v.Version, w.holder.gen)
		}
	}
	w.reply(r, func() { r.issuer.Replied(w.now, o.Target, o.ID, s) })
}

func (w *world) step() {
	due := w.events[w.now]
	for len(due) > 0 {
		delete(w.events, w.now)
		w.rnd.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
		for _, f := range due {
			f()
		}
		due = w.events[w.now]
	}
	for _, r := range w.routers {
		w.run(r)
	}
	if w.holder != nil {
		for _, id := range w.names {
			if w.holder.issuer.Settled(w.now, id) {
				w.firm[id] = w.holder.gen
			}
		}
		if w.chance(0.005) {
			w.setPlan(w.holder)
			clear(w.firm)
		}
	}
	// An engine that evicts a version by itself keeps the holder busy.
	if e := w.engines[w.names[w.rnd.IntN(len(w.names))]]; w.chance(0.1) && len(e.loaded) > 0 {
		e.loaded = slices.Delete(e.loaded, 0, 1)
	}
	w.now = w.now.Add(tick)
}

// TestNewestPlanWinsProperty guards against orders of an earlier holder or plan that change a target after the
// newest holder has taken it over: paused holders that wake up, two holders, lost replies, repeated and
// delayed orders, and targets that ignore the fencing number.
func TestNewestPlanWinsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			t:       t,
			rnd:     rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
			now:     time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
			engines: make(map[ident.TargetID]*engine),
			gens:    make(map[string]int),
			firm:    make(map[ident.TargetID]int),
			events:  make(map[time.Time][]func()),
		}
		for i := range 4 {
			id := ident.TargetID(fmt.Sprint("t", i))
			w.names = append(w.names, id)
			w.engines[id] = &engine{checks: i%2 == 0, loaded: []ident.VersionID{"v0"}}
		}
		for i := range 3 {
			l := order.NewLease(order.LeaseConfig{Name: "orders", Self: ident.NewRouterID(fmt.Sprint("r", i), 1),
				TTL: 3 * time.Second, Margin: 300 * time.Millisecond, Renew: time.Second})
			r := &router{lease: l, issuer: order.New(issuing, l)}
			w.routers = append(w.routers, r)
			w.setPlan(r)
		}
		for range 1200 {
			w.step()
		}
		w.calm = true
		for range 600 {
			w.step()
		}
		w.final()
	})
}

func (w *world) final() {
	if w.holder == nil {
		w.t.Fatal("nobody holds the lease")
	}
	for _, id := range w.names {
		e, want := w.engines[id], w.holder.plan[id]
		got := slices.Sorted(slices.Values(e.loaded))
		plan := []ident.VersionID{want.Loads[0].Version, want.Loads[1].Version}
		slices.Sort(plan)
		if !slices.Equal(got, plan) || e.serving != want.Serve || !w.holder.issuer.Settled(w.now, id) {
			w.t.Fatalf("%s (checks %v) has %v and serves %s; plan %d wants %v and %s", id, e.checks, got, e.serving, w.holder.gen, plan, want.Serve)
		}
	}
}
