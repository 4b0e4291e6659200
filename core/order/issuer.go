package order

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"geraniumsaddle/core/ident"
)

// Config is the timing of orders.
type Config struct {
	// MaxDelay is the largest time from when an order is written to the network until it takes effect.
	MaxDelay time.Duration
	// SendWithin bounds the time from Step until an order is written; later it must be dropped.
	SendWithin time.Duration
	// Resend is the time after which an unanswered order or read is repeated.
	Resend time.Duration
	// Reread is the interval at which the state of a settled target is checked.
	Reread time.Duration
}

// Action is Read or Send.
type Action interface{ action() }

// Read asks for the state of a target.
type Read struct {
	Target ident.TargetID
	Seq    uint64 // to be passed to StateRead
}

// Send delivers an order. It must not be written to the network after NotAfter.
type Send struct {
	Order    Order
	NotAfter time.Time
}

func (Read) action() {}
func (Send) action() {}

// Status is a target's answer to an order.
type Status uint8

// The answers.
const (
	StatusOK     Status = iota
	StatusStale         // a newer fencing number was seen
	StatusFailed        // to be tried again
)

// Issuer brings targets to the state of a plan while the lease is held. It is not safe for concurrent
// use.
type Issuer struct {
	cfg   Config
	lease *Lease
	fence uint64 // of the work below
	seq   uint64
	work  []*work // sorted by target
	// lastSend bounds when orders to any target are written.
	lastSend time.Time
}

// work is the progress with one target.
type work struct {
	want DesiredState
	// quiet is when no order of an earlier holder or plan can arrive any more.
	quiet time.Time
	// lastSend bounds when the orders of this issuer are written.
	lastSend time.Time
	order    *Order
	sentAt   time.Time
	state    *State
	stateAt  time.Time
	readSeq  uint64
	readAt   time.Time
	// fenced says that the target has confirmed an order with the current number.
	fenced bool
	// pause keeps a target that fails orders from being asked at once again.
	pause time.Time
	moved int // moves that were answered
}

// New returns an issuer that works under the lease.
func New(cfg Config, l *Lease) *Issuer { return &Issuer{cfg: cfg, lease: l} }

// SetPlan replaces the plan. Orders of the old plan that may still arrive are waited out for each
// target, because a target accepts them under the same fencing number.
func (is *Issuer) SetPlan(plan []DesiredState) {
	plan = slices.Clone(plan)
	slices.SortFunc(plan, func(a, b DesiredState) int { return strings.Compare(string(a.Target), string(b.Target)) })
	work := make([]*work, 0, len(plan))
	for _, w := range plan {
		work = append(work, is.replace(w))
	}
	is.work = work
}

func (is *Issuer) replace(w DesiredState) *work {
	old := is.find(w.Target)
	switch {
	case is.fence == 0:
		return &work{want: w}
	case old == nil:
		// The target may have been in an earlier plan.
		return &work{want: w, quiet: later(is.quiet(w), is.lastSend.Add(is.cfg.MaxDelay))}
	case reflect.DeepEqual(old.want, w):
		return old
	case old.lastSend.IsZero():
		return &work{want: w, quiet: old.quiet}
	}
	return &work{
		want:     w,
		quiet:    later(old.quiet, old.lastSend.Add(is.cfg.MaxDelay)),
		lastSend: old.lastSend,
		fenced:   old.fenced,
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (is *Issuer) find(id ident.TargetID) *work {
	i, ok := slices.BinarySearchFunc(is.work, id, func(w *work, id ident.TargetID) int {
		return strings.Compare(string(w.want.Target), string(id))
	})
	if !ok {
		return nil
	}
	return is.work[i]
}

// quiet returns when earlier holders' orders to a target are over. A target that checks the number is
// protected by it.
func (is *Issuer) quiet(w DesiredState) time.Time {
	if w.ChecksFence {
		return time.Time{}
	}
	return is.lease.Clear().Add(is.cfg.MaxDelay)
}

// Step returns what to do now. Without the lease that is nothing.
func (is *Issuer) Step(now time.Time) []Action {
	if !is.lease.Held(now) {
		return nil
	}
	if f := is.lease.Fence(); f != is.fence {
		is.fence = f
		for _, w := range is.work {
			*w = work{want: w.want, quiet: is.quiet(w.want)}
		}
	}
	var out []Action
	for _, w := range is.work {
		if a := is.step(w, now); a != nil {
			out = append(out, a)
		}
	}
	return out
}

func (is *Issuer) step(w *work, now time.Time) Action {
	switch {
	case now.Before(w.quiet), now.Before(w.pause):
		return nil
	case w.order != nil:
		if now.Sub(w.sentAt) < is.cfg.Resend {
			return nil
		}
		return is.send(w, *w.order, now)
	case w.state == nil || now.Sub(w.stateAt) >= is.cfg.Reread:
		return is.read(w, now)
	}
	if !w.fenced && w.want.ChecksFence {
		if o, ok := w.want.affirm(w.state); ok {
			return is.send(w, is.number(w, o), now)
		}
	}
	if o, ok := w.want.next(w.state, now); ok {
		return is.send(w, is.number(w, o), now)
	}
	if w.moved < len(w.want.Moves) {
		m := w.want.Moves[w.moved]
		return is.send(w, is.number(w, Order{Kind: KindMove, Prefix: m.Prefix, Source: m.Source}), now)
	}
	return nil
}

func (is *Issuer) read(w *work, now time.Time) Action {
	if w.readSeq != 0 && now.Sub(w.readAt) < is.cfg.Resend {
		return nil
	}
	is.seq++
	w.readSeq, w.readAt = is.seq, now
	return Read{Target: w.want.Target, Seq: is.seq}
}

func (is *Issuer) number(w *work, o Order) Order {
	is.seq++
	o.ID = fmt.Sprintf("%s-%d-%d", is.lease.cfg.Self, is.fence, is.seq)
	o.Fence, o.Target = is.fence, w.want.Target
	return o
}

func (is *Issuer) send(w *work, o Order, now time.Time) Action {
	w.order, w.sentAt, w.readSeq = &o, now, 0
	notAfter := now.Add(is.cfg.SendWithin)
	if end := is.lease.End(); end.Before(notAfter) {
		notAfter = end
	}
	w.lastSend = later(w.lastSend, notAfter)
	is.lastSend = later(is.lastSend, notAfter)
	return Send{Order: o, NotAfter: notAfter}
}

// Replied takes the answer to an order. The state of the target is read again before the next order.
func (is *Issuer) Replied(now time.Time, id ident.TargetID, orderID string, s Status) {
	w := is.find(id)
	if w == nil || w.order == nil || w.order.ID != orderID {
		return
	}
	switch s {
	case StatusStale:
		is.lease.Lose()
	case StatusOK:
		w.fenced = w.fenced || w.order.Kind != KindMove
	case StatusFailed:
		w.pause = now.Add(is.cfg.Resend)
	}
	if w.order.Kind == KindMove {
		w.moved++
	}
	w.order, w.state = nil, nil
}

// StateRead takes the answer to a read. Answers to earlier reads than the last one are ignored, as an
// order may have changed the state since.
func (is *Issuer) StateRead(now time.Time, id ident.TargetID, seq uint64, s State) {
	w := is.find(id)
	if w == nil || seq == 0 || w.readSeq != seq {
		return
	}
	w.state, w.stateAt, w.readSeq = &s, now, 0
}

// Settled reports whether the target was read in the state of the plan, as far as loads are due, and no
// earlier holder's order can change it any more.
func (is *Issuer) Settled(now time.Time, id ident.TargetID) bool {
	w := is.find(id)
	if w == nil || w.state == nil || w.order != nil || !is.lease.Held(now) || is.fence != is.lease.Fence() {
		return false
	}
	if _, due := w.want.next(w.state, now); due {
		return false
	}
	return w.fenced || !w.want.ChecksFence
}
