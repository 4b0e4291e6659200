package order

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"geraniumsaddle/core/ident"
)

// IssuerConfig holds the timing parameters of an issuer.
type IssuerConfig struct {
	// MaxDelay is the maximum time from writing an order to the network until it takes effect.
	MaxDelay time.Duration
	// SendWithin is the maximum time from Step until an order is written. After that it must be dropped.
	SendWithin time.Duration
	// ResendAfter is the time after which an unanswered order or read is repeated, and a target that failed an order is
	// tried again.
	ResendAfter time.Duration
	// RereadAfter is the age at which the state of a target is read again.
	RereadAfter time.Duration
}

// Action is Read or Send.
type Action interface{ action() }

// Read asks for the state of a target.
type Read struct {
	Target ident.TargetID
	Seq    uint64 // must be passed to HandleState
}

// Send delivers an order. The order must not be written to the network after NotAfter.
type Send struct {
	Order    Order
	NotAfter time.Time
}

func (Read) action() {}
func (Send) action() {}

// Status is the result of an order, as its target reports it.
type Status uint8

// The results of an order.
const (
	StatusOK     Status = iota
	StatusStale         // the target has seen a higher fencing number
	StatusFailed        // the order is to be tried again
)

// Issuer brings targets to the state of a plan while the lease is held. It is not safe for concurrent use.
type Issuer struct {
	cfg     IssuerConfig
	lease   *Lease
	fence   uint64 // the fencing number under which the progress in targets was made
	seq     uint64
	targets []*targetProgress // sorted by target
	// latestNotAfter is the latest NotAfter of all orders to any target.
	latestNotAfter time.Time
}

// targetProgress tracks how far one target has been brought to its desired state.
type targetProgress struct {
	desired DesiredState
	// quietUntil is the time from which no order of an earlier holder or plan can arrive any more. Until then the issuer
	// sends nothing to the target.
	quietUntil time.Time
	// latestNotAfter is the latest NotAfter of the orders of this issuer to the target.
	latestNotAfter time.Time
	order          *Order
	sentAt         time.Time
	state          *State
	stateAt        time.Time
	readSeq        uint64
	readAt         time.Time
	// fenceConfirmed is set once the target has confirmed an order with the current fencing number.
	fenceConfirmed bool
	// pausedUntil delays the next request to a target that failed an order.
	pausedUntil time.Time
	movesDone   int // number of moves that were answered
}

// NewIssuer returns an issuer that sends orders while l is held.
func NewIssuer(cfg IssuerConfig, l *Lease) *Issuer { return &Issuer{cfg: cfg, lease: l} }

// SetPlan replaces the plan. For each target whose desired state changes, the issuer waits until no order of the old
// plan can arrive any more, because the target accepts old orders under the same fencing number.
func (is *Issuer) SetPlan(plan []DesiredState) {
	plan = slices.Clone(plan)
	slices.SortFunc(plan, func(a, b DesiredState) int { return strings.Compare(string(a.Target), string(b.Target)) })
	targets := make([]*targetProgress, 0, len(plan))
	for _, desired := range plan {
		targets = append(targets, is.carryOver(desired))
	}
	is.targets = targets
}

// carryOver returns the progress towards a new desired state. It keeps the old progress if the state is unchanged.
func (is *Issuer) carryOver(desired DesiredState) *targetProgress {
	old := is.progressOf(desired.Target)
	switch {
	case is.fence == 0:
		return &targetProgress{desired: desired}
	case old == nil:
		// Orders of an earlier plan to this target may still arrive.
		return &targetProgress{desired: desired, quietUntil: later(is.quietUntil(desired), is.latestNotAfter.Add(is.cfg.MaxDelay))}
	case reflect.DeepEqual(old.desired, desired):
		return old
	case old.latestNotAfter.IsZero():
		return &targetProgress{desired: desired, quietUntil: old.quietUntil}
	}
	return &targetProgress{
		desired:        desired,
		quietUntil:     later(old.quietUntil, old.latestNotAfter.Add(is.cfg.MaxDelay)),
		latestNotAfter: old.latestNotAfter,
		fenceConfirmed: old.fenceConfirmed,
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (is *Issuer) progressOf(id ident.TargetID) *targetProgress {
	i, ok := slices.BinarySearchFunc(is.targets, id, func(p *targetProgress, id ident.TargetID) int {
		return strings.Compare(string(p.desired.Target), string(id))
	})
	if !ok {
		return nil
	}
	return is.targets[i]
}

// quietUntil returns the time from which no order of an earlier holder can arrive at a target. For a target that checks
// the fencing number no wait is needed.
func (is *Issuer) quietUntil(desired DesiredState) time.Time {
	if desired.ChecksFence {
		return time.Time{}
	}
	return is.lease.EarlierHoldersEnd().Add(is.cfg.MaxDelay)
}

// Step returns the actions that are due. It returns none while the lease is not held.
func (is *Issuer) Step(now time.Time) []Action {
	if !is.lease.Held(now) {
		return nil
	}
	if f := is.lease.Fence(); f != is.fence {
		is.fence = f
		for _, p := range is.targets {
			*p = targetProgress{desired: p.desired, quietUntil: is.quietUntil(p.desired)}
		}
	}
	var out []Action
	for _, p := range is.targets {
		if a := is.nextAction(p, now); a != nil {
			out = append(out, a)
		}
	}
	return out
}

// nextAction returns the action that is due for a target, or nil. A request without an answer is repeated after
// ResendAfter. The state of the target is read before its next order.
func (is *Issuer) nextAction(p *targetProgress, now time.Time) Action {
	switch {
	case now.Before(p.quietUntil), now.Before(p.pausedUntil):
		return nil
	case p.order != nil:
		if now.Sub(p.sentAt) < is.cfg.ResendAfter {
			return nil
		}
		return is.sendOrder(p, *p.order, now)
	case p.state == nil || now.Sub(p.stateAt) >= is.cfg.RereadAfter:
		return is.requestState(p, now)
	}
	if !p.fenceConfirmed && p.desired.ChecksFence {
		if o, ok := p.desired.fencingOrder(p.state); ok {
			return is.sendOrder(p, is.assignID(p, o), now)
		}
	}
	if o, ok := p.desired.nextOrder(p.state, now); ok {
		return is.sendOrder(p, is.assignID(p, o), now)
	}
	if p.movesDone < len(p.desired.Moves) {
		m := p.desired.Moves[p.movesDone]
		return is.sendOrder(p, is.assignID(p, Order{Kind: KindMove, Prefix: m.Prefix, Source: m.Source}), now)
	}
	return nil
}

func (is *Issuer) requestState(p *targetProgress, now time.Time) Action {
	if p.readSeq != 0 && now.Sub(p.readAt) < is.cfg.ResendAfter {
		return nil
	}
	is.seq++
	p.readSeq, p.readAt = is.seq, now
	return Read{Target: p.desired.Target, Seq: is.seq}
}

func (is *Issuer) assignID(p *targetProgress, o Order) Order {
	is.seq++
	o.ID = fmt.Sprintf("%s-%d-%d", is.lease.cfg.Self, is.fence, is.seq)
	o.Fence, o.Target = is.fence, p.desired.Target
	return o
}

func (is *Issuer) sendOrder(p *targetProgress, o Order, now time.Time) Action {
	p.order, p.sentAt, p.readSeq = &o, now, 0
	notAfter := now.Add(is.cfg.SendWithin)
	if end := is.lease.End(); end.Before(notAfter) {
		notAfter = end
	}
	p.latestNotAfter = later(p.latestNotAfter, notAfter)
	is.latestNotAfter = later(is.latestNotAfter, notAfter)
	return Send{Order: o, NotAfter: notAfter}
}

// HandleReply processes the answer to an order. The state of the target is read again before the next order.
func (is *Issuer) HandleReply(now time.Time, id ident.TargetID, orderID string, s Status) {
	p := is.progressOf(id)
	if p == nil || p.order == nil || p.order.ID != orderID {
		return
	}
	switch s {
	case StatusStale:
		is.lease.Lose()
	case StatusOK:
		p.fenceConfirmed = p.fenceConfirmed || p.order.Kind != KindMove
	case StatusFailed:
		p.pausedUntil = now.Add(is.cfg.ResendAfter)
	}
	if p.order.Kind == KindMove {
		p.movesDone++
	}
	p.order, p.state = nil, nil
}

// HandleState processes the answer to a read. It ignores the answer to any read but the last one, because an order may
// have changed the state since.
func (is *Issuer) HandleState(now time.Time, id ident.TargetID, seq uint64, s State) {
	p := is.progressOf(id)
	if p == nil || seq == 0 || p.readSeq != seq {
		return
	}
	p.state, p.stateAt, p.readSeq = &s, now, 0
}

// Settled reports whether the state read from the target is the desired state, except for loads that are not yet due,
// and no order of an earlier holder can change it any more.
func (is *Issuer) Settled(now time.Time, id ident.TargetID) bool {
	p := is.progressOf(id)
	if p == nil || p.state == nil || p.order != nil || !is.lease.Held(now) || is.fence != is.lease.Fence() {
		return false
	}
	if _, due := p.desired.nextOrder(p.state, now); due {
		return false
	}
	return p.fenceConfirmed || !p.desired.ChecksFence
}
