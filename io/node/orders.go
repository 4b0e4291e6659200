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
	// leaseTimeout bounds a call that reads or writes the lease. It is shorter than leaseRenew, so that the result of a
	// renewal is known before the next one.
	leaseTimeout    = 2 * time.Second
	orderSendWithin = time.Second
	// orderResend is longer than the timeout of the engine's client, so that an order is not sent again while its call
	// is running.
	orderResend  = 6 * time.Second
	orderReread  = 10 * time.Second
	planInterval = time.Second
)

// orders issues the orders to the engines of the own failure domain while this router holds the lease. It belongs to
// the control goroutine.
type orders struct {
	n        *Node
	leaseKey object.Key
	lease    *order.Lease
	issuer   *order.Issuer
	// leaseCallRunning is set while a call that reads or writes the lease is running; leaseReadAt is when the last read
	// started.
	leaseCallRunning bool
	leaseReadAt      time.Time
	plannedAt        time.Time
	plan             loadPlan
	targets          map[ident.TargetID]object.Target
	// weightGrants holds the loads for which the weight store has granted a transfer and that are not confirmed yet.
	weightGrants map[loadKey]bool
}

func newOrders(n *Node) *orders {
	name := "orders-" + string(n.domain)
	l := order.NewLease(order.LeaseConfig{Name: name, Self: n.id, TTL: leaseTTL, Margin: leaseMargin, RenewInterval: leaseRenew})
	return &orders{
		n: n, leaseKey: object.Key{Kind: object.KindLease, Name: name}, lease: l,
		issuer: order.NewIssuer(order.IssuerConfig{
			MaxDelay: n.cfg.OrderDelay, SendWithin: orderSendWithin, ResendAfter: orderResend, RereadAfter: orderReread}, l),
		targets: make(map[ident.TargetID]object.Target), weightGrants: make(map[loadKey]bool),
	}
}

// tick maintains the lease and starts the reads and orders that are due. Only the routers that watch the platform
// compete for the lease, so that the number of lease reads does not grow with the fleet.
func (o *orders) tick(now time.Time) {
	if o.n.traffic.leaving.Load() {
		return
	}
	if !o.n.isWatcher() {
		o.releaseLease(now)
		return
	}
	o.maintainLease(now)
	if !o.lease.Held(now) {
		// The holder of the lease requests its own transfers at the weight store.
		clear(o.weightGrants)
		return
	}
	if now.Sub(o.plannedAt) >= planInterval {
		o.plannedAt = now
		o.issuer.SetPlan(o.desiredStates(now))
	}
	for _, a := range o.issuer.Step(now) {
		switch a := a.(type) {
		case order.Read:
			o.readState(a)
		case order.Send:
			o.sendOrder(a)
		}
	}
}

// maintainLease renews the lease, acquires a free one, or reads it. At most one call runs at a time.
func (o *orders) maintainLease(now time.Time) {
	if o.leaseCallRunning {
		return
	}
	if a, ok := o.lease.Attempt(now); ok {
		o.leaseCallRunning = true
		o.n.spawn(func(ctx context.Context) { o.writeLease(ctx, a) })
		return
	}
	if !o.lease.Held(now) && now.Sub(o.leaseReadAt) >= leaseRenew {
		o.leaseCallRunning, o.leaseReadAt = true, now
		o.n.spawn(o.readLease)
	}
}

// writeLease writes an attempt to renew or acquire the lease. After an error it reads the lease, because the write may
// have taken effect.
func (o *orders) writeLease(ctx context.Context, a order.Attempt) {
	v, err := o.putLease(ctx, a)
	if err != nil {
		o.readLease(ctx)
		return
	}
	o.n.post(funcEvent{func() {
		o.leaseCallRunning = false
		o.lease.Confirm(a, v)
	}})
}

func (o *orders) putLease(ctx context.Context, a order.Attempt) (ident.ObjectVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	raw, err := json.Marshal(a.Lease)
	if err != nil {
		return 0, err
	}
	v, err := o.n.platform.Put(ctx, o.leaseKey, raw, store.Match(a.IfVersion))
	o.n.recordPlatformCall("put_leases", err)
	return v, err
}

// readLease reads the lease and passes it to the lease logic.
func (o *orders) readLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	obj, err := o.n.platform.Get(ctx, o.leaseKey)
	o.n.recordPlatformCall("get_leases", err)
	var l object.Lease
	absent := errors.Is(err, store.ErrAbsent)
	if err == nil {
		err = json.Unmarshal(obj.Value, &l)
	}
	o.n.post(funcEvent{func() {
		o.leaseCallRunning = false
		if err == nil || absent {
			o.lease.Observe(o.n.clock.Now(), l, obj.Version)
		}
	}})
}

// releaseLease releases the lease, so that another router can acquire it at once. It does not wait for the write.
func (o *orders) releaseLease(now time.Time) {
	if a, ok := o.lease.Release(now); ok {
		o.n.spawn(func(ctx context.Context) { _, _ = o.putLease(ctx, a) })
	}
}

// handOverLease releases the lease during a shutdown and waits for the write. If the write fails, another router
// acquires the lease after it has expired.
func (o *orders) handOverLease(ctx context.Context) {
	var a order.Attempt
	held := false
	if o.n.runOnControl(ctx, func() { a, held = o.lease.Release(o.n.clock.Now()) }) != nil || !held {
		return
	}
	if _, err := o.putLease(ctx, a); err != nil {
		o.n.log.Warn("lease of the engine orders could not be released", "lease", o.leaseKey.Name, "error", err)
	}
}

// desiredStates returns the desired state of each active engine of the own failure domain, and remembers these targets.
func (o *orders) desiredStates(now time.Time) []order.DesiredState {
	v := o.n.view.Load()
	o.plan.update(o.n, v, now)
	clear(o.targets)
	var out []order.DesiredState
	for id, t := range v.targets {
		if t.Domain != o.n.domain || t.Kind != object.TargetEngine || o.n.pools.registry.State(id) != object.TargetActive {
			continue
		}
		desired := order.DesiredState{Target: id, ChecksFence: t.ChecksFence}
		for _, ver := range t.Versions {
			if version, ok := v.versions[ver]; ok && !version.Withdrawn {
				desired.Loads = append(desired.Loads, order.ScheduledVersion{Version: ver, Start: o.plan.start(id, ver)})
			}
		}
		if len(desired.Loads) > 0 {
			desired.Serve = desired.Loads[0].Version
			out = append(out, desired)
			o.targets[id] = t
		}
	}
	for k := range o.weightGrants {
		if _, ok := o.targets[k.target]; !ok {
			delete(o.weightGrants, k)
		}
	}
	return out
}

// readState reads the state of a target.
func (o *orders) readState(a order.Read) {
	t := o.targets[a.Target]
	o.n.spawn(func(ctx context.Context) {
		c, err := o.n.pools.engineClient(t.URL)
		if err != nil {
			return
		}
		st, err := c.State(ctx)
		if err != nil {
			return // The issuer repeats the read.
		}
		o.n.post(funcEvent{func() {
			o.n.pools.registry.SetLoaded(a.Target, st.Loaded)
			o.issuer.HandleState(o.n.clock.Now(), a.Target, a.Seq, orderState(st, t))
		}})
	})
}

// orderState converts the reported state of an engine. An engine that reports no list of versions serves all versions
// that the configuration lists for it, so nothing has to be loaded.
func orderState(st engine.State, t object.Target) order.State {
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

// sendOrder delivers an order. Before a load it requests a transfer at the weight store, unless an earlier attempt has
// been granted one.
func (o *orders) sendOrder(a order.Send) {
	t := o.targets[a.Order.Target]
	k := loadKey{a.Order.Target, a.Order.Version}
	hasGrant := a.Order.Kind != order.KindLoad || o.weightGrants[k]
	o.n.spawn(func(ctx context.Context) {
		if !hasGrant {
			err := o.n.platform.TakeWeightSlot(ctx, a.Order.Version)
			o.n.recordPlatformCall("weights", err)
			if err != nil {
				o.postReply(a.Order, order.StatusFailed)
				return
			}
			o.n.post(funcEvent{func() { o.weightGrants[k] = true }})
		}
		if s, known := o.deliver(ctx, t, a); known {
			o.postReply(a.Order, s)
		}
	})
}

// postReply passes the result of an order to the issuer on the control goroutine.
func (o *orders) postReply(ord order.Order, s order.Status) {
	o.n.post(funcEvent{func() {
		if s == order.StatusOK && ord.Kind == order.KindLoad {
			delete(o.weightGrants, loadKey{ord.Target, ord.Version})
		}
		o.issuer.HandleReply(o.n.clock.Now(), ord.Target, ord.ID, s)
	}})
}

// deliver sends an order, unless it cannot be written before NotAfter. known is false if the reply was lost; the issuer
// then sends the order again with the same ID.
func (o *orders) deliver(ctx context.Context, t object.Target, a order.Send) (s order.Status, known bool) {
	left := a.NotAfter.Sub(o.n.clock.Now())
	c, err := o.n.pools.engineClient(t.URL)
	if left <= 0 || err != nil {
		return order.StatusFailed, true
	}
	// The time limit covers only the wait for a connection, because the engine may take longer to answer.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := o.n.clock.AfterFunc(left, cancel)
	defer timer.Stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { timer.Stop() }})
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
