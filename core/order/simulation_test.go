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
	// maxDelay is the maximum delay of an order. It exceeds the TTL of the lease, so that orders arrive after their
	// issuer has lost the lease.
	maxDelay = 5 * time.Second
	// platformDelay is the maximum delay of the platform, of reads and of replies.
	platformDelay = 500 * time.Millisecond
)

var issuerConfig = order.IssuerConfig{MaxDelay: maxDelay, SendWithin: 500 * time.Millisecond, ResendAfter: time.Second, RereadAfter: 2 * time.Second}

// engine simulates a target with room for two versions.
type engine struct {
	checksFence bool
	fence       uint64
	loaded      []ident.VersionID
	serving     ident.VersionID
}

func (e *engine) apply(o order.Order) order.Status {
	if e.checksFence && o.Fence < e.fence {
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
	lease       *order.Lease
	issuer      *order.Issuer
	desired     map[ident.TargetID]order.DesiredState
	planNumber  int
	pausedUntil time.Time // simulates a stopped process
	cutOffUntil time.Time // the platform is unreachable until then
}

// simulation runs a platform, routers, engines and a network that delays, repeats and loses messages.
type simulation struct {
	t           *rapid.T
	rnd         *rand.Rand
	now         time.Time
	faultsOff   bool
	lease       object.Lease
	version     ident.ObjectVersion
	holder      *router // with the highest fencing number
	routers     []*router
	engines     map[ident.TargetID]*engine
	targetIDs   []ident.TargetID
	planOfOrder map[string]int // plan number of each order
	// effectivePlan holds, for each target, the plan number under which the newest holder has settled it or delivered
	// an order to it. From then on no order may take away a version of that plan.
	effectivePlan map[ident.TargetID]int
	events        map[time.Time][]func()
	planCount     int
}

func (w *simulation) chance(p float64) bool { return !w.faultsOff && w.rnd.Float64() < p }

// runWithin runs f at a random later time, at most limit from now.
func (w *simulation) runWithin(limit time.Duration, f func()) {
	at := w.now.Add(time.Duration(w.rnd.IntN(int(limit/tick))+1) * tick)
	w.events[at] = append(w.events[at], f)
}

// reply delivers an answer unless it is lost. A paused router receives it when it runs again.
func (w *simulation) reply(r *router, f func()) {
	if w.chance(0.2) {
		return
	}
	w.runWithin(platformDelay, func() { w.receive(r, f) })
}

func (w *simulation) receive(r *router, f func()) {
	if w.now.Before(r.pausedUntil) {
		w.events[r.pausedUntil] = append(w.events[r.pausedUntil], f)
		return
	}
	f()
}

func (w *simulation) setPlan(r *router) {
	w.planCount++
	r.planNumber = w.planCount
	r.desired = make(map[ident.TargetID]order.DesiredState)
	var plan []order.DesiredState
	for _, id := range w.targetIDs {
		v := w.rnd.Perm(4)
		want := order.DesiredState{Target: id, ChecksFence: w.engines[id].checksFence}
		for _, i := range v[:2] {
			want.Loads = append(want.Loads, order.ScheduledVersion{Version: ident.VersionID(fmt.Sprint("v", i))})
		}
		want.Serve = want.Loads[0].Version
		plan = append(plan, want)
		r.desired[id] = want
	}
	r.issuer.SetPlan(plan)
}

func (w *simulation) stepRouter(r *router) {
	if w.now.Before(r.pausedUntil) {
		return
	}
	if w.chance(0.01) {
		r.pausedUntil = w.now.Add(time.Duration(w.rnd.IntN(80)) * tick)
	}
	if r == w.holder && w.chance(0.02) {
		r.cutOffUntil = w.now.Add(8 * time.Second)
	}
	connected := !w.now.Before(r.cutOffUntil)
	if connected && w.rnd.IntN(5) == 0 {
		w.runWithin(tick, func() {
			seen, version := w.lease, w.version
			w.reply(r, func() { r.lease.Observe(w.now, seen, version) })
		})
	}
	if a, ok := r.lease.Attempt(w.now); ok && connected {
		w.runWithin(platformDelay, func() { w.write(r, a) })
	}
	for _, a := range r.issuer.Step(w.now) {
		switch a := a.(type) {
		case order.Read:
			w.runWithin(platformDelay, func() {
				e := w.engines[a.Target]
				s := order.State{Loaded: slices.Clone(e.loaded), Serving: e.serving}
				w.reply(r, func() { r.issuer.HandleState(w.now, a.Target, a.Seq, s) })
			})
		case order.Send:
			w.planOfOrder[a.Order.ID] = r.planNumber
			w.send(r, a)
		}
	}
}

// send writes an order after a short or long delay and delivers it once or twice. An order past its NotAfter is
// dropped.
func (w *simulation) send(r *router, a order.Send) {
	wait := tick
	if w.chance(0.2) {
		wait = 3 * time.Second
	}
	w.runWithin(wait, func() {
		if w.now.After(a.NotAfter) {
			return
		}
		for range 1 + w.rnd.IntN(2) {
			w.runWithin(maxDelay, func() { w.deliver(r, a.Order) })
		}
	})
}

func (w *simulation) write(r *router, a order.Attempt) {
	if a.IfVersion != w.version {
		seen, version := w.lease, w.version
		w.reply(r, func() { r.lease.Observe(w.now, seen, version) })
		return
	}
	if a.Lease.Fence != w.lease.Fence {
		w.holder = r
		clear(w.effectivePlan)
	}
	w.lease = a.Lease
	w.version++
	version := w.version
	w.reply(r, func() { r.lease.Confirm(a, version) })
}

// deliver applies an order and checks that it evicts no version of the newest plan.
func (w *simulation) deliver(r *router, o order.Order) {
	e := w.engines[o.Target]
	before := slices.Clone(e.loaded)
	s := e.apply(o)
	if w.planOfOrder[o.ID] == w.holder.planNumber && o.Fence == w.lease.Fence {
		w.effectivePlan[o.Target] = w.holder.planNumber
	}
	for _, v := range w.holder.desired[o.Target].Loads {
		if w.effectivePlan[o.Target] == w.holder.planNumber && slices.Contains(before, v.Version) && !slices.Contains(e.loaded, v.Version) {
			w.t.Fatalf("order %+v of plan %d took %s from the newest plan %d", o, w.planOfOrder[o.ID], v.Version, w.holder.planNumber)
		}
	}
	w.reply(r, func() { r.issuer.HandleReply(w.now, o.Target, o.ID, s) })
}

func (w *simulation) step() {
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
		w.stepRouter(r)
	}
	if w.holder != nil {
		for _, id := range w.targetIDs {
			if w.holder.issuer.Settled(w.now, id) {
				w.effectivePlan[id] = w.holder.planNumber
			}
		}
		if w.chance(0.005) {
			w.setPlan(w.holder)
			clear(w.effectivePlan)
		}
	}
	// Engines sometimes evict a version on their own, so that the holder has orders to send.
	if e := w.engines[w.targetIDs[w.rnd.IntN(len(w.targetIDs))]]; w.chance(0.1) && len(e.loaded) > 0 {
		e.loaded = slices.Delete(e.loaded, 0, 1)
	}
	w.now = w.now.Add(tick)
}

// TestNewestPlanWinsProperty guards against orders of an earlier holder or plan that change a target after the newest
// holder has started to control it. Such orders come from holders that resume after a pause, from two holders at once,
// from lost replies and from repeated and delayed orders. Half of the targets ignore the fencing number.
func TestNewestPlanWinsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{
			t:             t,
			rnd:           rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
			now:           time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
			engines:       make(map[ident.TargetID]*engine),
			planOfOrder:   make(map[string]int),
			effectivePlan: make(map[ident.TargetID]int),
			events:        make(map[time.Time][]func()),
		}
		for i := range 4 {
			id := ident.TargetID(fmt.Sprint("t", i))
			w.targetIDs = append(w.targetIDs, id)
			w.engines[id] = &engine{checksFence: i%2 == 0, loaded: []ident.VersionID{"v0"}}
		}
		for i := range 3 {
			l := order.NewLease(order.LeaseConfig{Name: "orders", Self: ident.NewRouterID(fmt.Sprint("r", i), 1),
				TTL: 3 * time.Second, Margin: 300 * time.Millisecond, RenewInterval: time.Second})
			r := &router{lease: l, issuer: order.NewIssuer(issuerConfig, l)}
			w.routers = append(w.routers, r)
			w.setPlan(r)
		}
		for range 1200 {
			w.step()
		}
		w.faultsOff = true
		for range 600 {
			w.step()
		}
		w.checkConverged()
	})
}

func (w *simulation) checkConverged() {
	if w.holder == nil {
		w.t.Fatal("nobody holds the lease")
	}
	for _, id := range w.targetIDs {
		e, want := w.engines[id], w.holder.desired[id]
		got := slices.Sorted(slices.Values(e.loaded))
		plan := []ident.VersionID{want.Loads[0].Version, want.Loads[1].Version}
		slices.Sort(plan)
		if !slices.Equal(got, plan) || e.serving != want.Serve || !w.holder.issuer.Settled(w.now, id) {
			w.t.Fatalf("%s (checks %v) has %v and serves %s; plan %d wants %v and %s", id, e.checksFence, got, e.serving, w.holder.planNumber, plan, want.Serve)
		}
	}
}
