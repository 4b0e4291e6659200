package node

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptrace"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/order"
	"geraniumsaddle/io/engine"
	"geraniumsaddle/io/store"
)

const (
	leaseTTL    = 10 * time.Second
	leaseMargin = time.Second
	leaseRenew  = 3 * time.Second
	// leaseTimeout bounds a call for the lease. It is shorter than leaseRenew, so that a renewal is known before the
	// next one.
	leaseTimeout = 2 * time.Second
	orderWithin  = time.Second
	// orderResend is longer than the timeout of the engine's client, so that an order is not sent again while it runs.
	orderResend = 6 * time.Second
	orderReread = 10 * time.Second
	planEvery   = time.Second
)

// orders issues the orders to the engines of the own failure domain while this router holds the lease. It belongs to
// the control goroutine.
type orders struct {
	n      *Node
	key    object.Key
	lease  *order.Lease
	issuer *order.Issuer
	// calling means that a call for the lease runs; readAt is when the last read of it started.
	calling bool
	readAt  time.Time
	planAt  time.Time
	plan    loadPlan
	targets map[ident.TargetID]object.Target
	// slots are the transfers that the weight store has granted for loads that are not confirmed.
	slots map[loadKey]bool
}

func newOrders(n *Node) *orders {
	name := "orders-" + string(n.domain)
	l := order.NewLease(order.LeaseConfig{Name: name, Self: n.id, TTL: leaseTTL, Margin: leaseMargin, Renew: leaseRenew})
	return &orders{
		n: n, key: object.Key{Kind: object.KindLease, Name: name}, lease: l,
		issuer: order.New(order.Config{
			MaxDelay: n.cfg.OrderDelay, SendWithin: orderWithin, Resend: orderResend, Reread: orderReread}, l),
		targets: make(map[ident.TargetID]object.Target), slots: make(map[loadKey]bool),
	}
}

// tick competes for the lease and starts the reads and orders that are due. The routers that watch the platform
// compete, so that the number of reads of the lease does not grow with the fleet.
func (o *orders) tick(now time.Time) {
	if o.n.traffic.leaving.Load() {
		return
	}
	if !o.n.isWatcher() {
		o.release(now)
		return
	}
	o.compete(now)
	if !o.lease.Held(now) {
		// Another holder takes slots of its own.
		clear(o.slots)
		return
	}
	if now.Sub(o.planAt) >= planEvery {
		o.planAt = now
		o.issuer.SetPlan(o.wants(now))
	}
	for _, a := range o.issuer.Step(now) {
		switch a := a.(type) {
		case order.Read:
			o.read(a)
		case order.Send:
			o.send(a)
		}
	}
}

// compete renews the lease, takes a free one, or reads it.
func (o *orders) compete(now time.Time) {
	if o.calling {
		return
	}
	if a, ok := o.lease.Attempt(now); ok {
		o.calling = true
		o.n.spawn(func(ctx context.Context) { o.write(ctx, a) })
		return
	}
	if !o.lease.Held(now) && now.Sub(o.readAt) >= leaseRenew {
		o.calling, o.readAt = true, now
		o.n.spawn(o.observe)
	}
}

// write carries out an attempt. After a failure the object says what became of it.
func (o *orders) write(ctx context.Context, a order.Attempt) {
	v, err := o.put(ctx, a)
	if err != nil {
		o.observe(ctx)
		return
	}
	o.n.post(callEvent{func() {
		o.calling = false
		o.lease.Confirm(a, v)
	}})
}

func (o *orders) put(ctx context.Context, a order.Attempt) (ident.ObjectVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	raw, err := json.Marshal(a.Lease)
	if err != nil {
		return 0, err
	}
	v, err := o.n.store.Put(ctx, o.key, raw, store.Match(a.IfVersion))
	o.n.platformCall("put_leases", err)
	return v, err
}

// observe reads the lease.
func (o *orders) observe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	obj, err := o.n.store.Get(ctx, o.key)
	o.n.platformCall("get_leases", err)
	var l object.Lease
	absent := errors.Is(err, store.ErrAbsent)
	if err == nil {
		err = json.Unmarshal(obj.Value, &l)
	}
	o.n.post(callEvent{func() {
		o.calling = false
		if err == nil || absent {
			o.lease.Observe(o.n.clock.Now(), l, obj.Version)
		}
	}})
}

// release gives the lease up, so that another router takes it over at once.
func (o *orders) release(now time.Time) {
	if a, ok := o.lease.Release(now); ok {
		o.n.spawn(func(ctx context.Context) { _, _ = o.put(ctx, a) })
	}
}

// giveUp releases the lease in a shutdown and waits for the write. Without it another router takes over when the lease
// has run out.
func (o *orders) giveUp(ctx context.Context) {
	var a order.Attempt
	held := false
	if o.n.ask(ctx, func() { a, held = o.lease.Release(o.n.clock.Now()) }) != nil || !held {
		return
	}
	if _, err := o.put(ctx, a); err != nil {
		o.n.log.Warn("lease of the engine orders could not be given up", "lease", o.key.Name, "error", err)
	}
}

// wants returns the state that each engine of the own failure domain is to have.
func (o *orders) wants(now time.Time) []order.DesiredState {
	v := o.n.view.Load()
	o.plan.update(o.n, v, now)
	clear(o.targets)
	var out []order.DesiredState
	for id, t := range v.targets {
		if t.Domain != o.n.domain || t.Kind != object.TargetEngine || o.n.pools.registry.State(id) != object.TargetActive {
			continue
		}
		w := order.DesiredState{Target: id, ChecksFence: t.ChecksFence}
		for _, ver := range t.Versions {
			if row, ok := v.versions[ver]; ok && !row.Withdrawn {
				w.Loads = append(w.Loads, order.VersionAt{Version: ver, Start: o.plan.start(id, ver)})
			}
		}
		if len(w.Loads) > 0 {
			w.Serve = w.Loads[0].Version
			out = append(out, w)
			o.targets[id] = t
		}
	}
	for k := range o.slots {
		if _, ok := o.targets[k.target]; !ok {
			delete(o.slots, k)
		}
	}
	return out
}

// read asks a target for its state.
func (o *orders) read(a order.Read) {
	t := o.targets[a.Target]
	o.n.spawn(func(ctx context.Context) {
		c, err := o.n.pools.engine(t.URL)
		if err != nil {
			return
		}
		st, err := c.State(ctx)
		if err != nil {
			return // The issuer reads again.
		}
		o.n.post(callEvent{func() {
			o.n.pools.registry.SetLoaded(a.Target, st.Loaded)
			o.issuer.StateRead(o.n.clock.Now(), a.Target, a.Seq, stateOf(st, t))
		}})
	})
}

// stateOf returns a reported state. An engine without a list of versions accepts any, so nothing has to be loaded.
func stateOf(st engine.State, t object.Target) order.State {
	out := order.State{Loaded: st.Loaded, Serving: st.Serving, Role: st.Role}
	if st.Loaded == nil {
		out.Loaded = t.Versions
		if len(t.Versions) > 0 {
			out.Serving = t.Versions[0]
		}
	}
	for _, a := range st.Adapters {
		out.Adapters = append(out.Adapters, string(a))
	}
	return out
}

// send delivers an order. A load takes a slot at the weight store first, unless an earlier attempt has one.
func (o *orders) send(a order.Send) {
	t := o.targets[a.Order.Target]
	k := loadKey{a.Order.Target, a.Order.Version}
	slot := a.Order.Kind != order.KindLoad || o.slots[k]
	o.n.spawn(func(ctx context.Context) {
		if !slot {
			err := o.n.store.TakeWeightSlot(ctx, a.Order.Version)
			o.n.platformCall("weights", err)
			if err != nil {
				o.answered(a.Order, order.StatusFailed)
				return
			}
			o.n.post(callEvent{func() { o.slots[k] = true }})
		}
		if s, known := o.deliver(ctx, t, a); known {
			o.answered(a.Order, s)
		}
	})
}

func (o *orders) answered(ord order.Order, s order.Status) {
	o.n.post(callEvent{func() {
		if s == order.StatusOK && ord.Kind == order.KindLoad {
			delete(o.slots, loadKey{ord.Target, ord.Version})
		}
		o.issuer.Replied(o.n.clock.Now(), ord.Target, ord.ID, s)
	}})
}

// deliver sends an order unless it cannot be written in time. The answer is not known when the reply is lost; the issuer
// then repeats the order under the same id.
func (o *orders) deliver(ctx context.Context, t object.Target, a order.Send) (s order.Status, known bool) {
	left := a.NotAfter.Sub(o.n.clock.Now())
	c, err := o.n.pools.engine(t.URL)
	if left <= 0 || err != nil {
		return order.StatusFailed, true
	}
	// The bound ends once there is a connection to write to, because the wait for the answer may be longer.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	late := o.n.clock.AfterFunc(left, cancel)
	defer late.Stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { late.Stop() }})
	_, err = c.Order(ctx, engine.Order{
		ID: a.Order.ID, Fence: a.Order.Fence, Kind: engine.OrderKind(a.Order.Kind), Version: a.Order.Version,
		Replaces: a.Order.Replaces, Role: a.Order.Role,
	})
	var e *engine.Error
	switch {
	case err == nil:
		return order.StatusOK, true
	case errors.As(err, &e) && errors.Is(err, engine.ErrRejected) && e.Status == http.StatusConflict:
		return order.StatusStale, true
	case errors.Is(err, engine.ErrRejected), errors.Is(err, engine.ErrNotSent):
		o.n.log.Warn("engine did not carry out an order", "target", t.ID, "order", a.Order.ID, "kind", a.Order.Kind, "error", err)
		return order.StatusFailed, true
	}
	return order.StatusFailed, false
}
