package cold

import (
	"math"
	"slices"
	"time"

	"geraniumsaddle/core/elect"
	"geraniumsaddle/core/ident"
)

const (
	// window is the span in which a router sends no more than its share to a cold target. It exceeds the second of the
	// bound, because a request may reach its target later than the next one does.
	window = 1200 * time.Millisecond
	// settleTime is the time after a router first learns the list of routers in which it sends nothing to cold targets. Its
	// predecessor on the VM may have used the share within the last second, and other routers have to learn of this one.
	settleTime = 2 * time.Second
	// restartDoubt is the time for which a target that could not be reached may have restarted without a new entry: two
	// heartbeats of targets and the way of the entry through the store.
	restartDoubt = 3 * time.Second
	// plannedPart is the largest part of the bound that the shares of routers with the same list use. The rest is for
	// routers that know another list.
	plannedPart = 2.0 / 3
	// maxStates bounds the targets that are remembered.
	maxStates = 4096
)

// Bounds limit the requests that a cold target gets within a second from all routers together. The zero value limits
// nothing.
type Bounds struct {
	// Overshoot multiplies the rate that a target tolerates, and Slack is a number of requests beyond that.
	Overshoot, Slack float64
}

// Service describes the cold targets of a service.
type Service struct {
	// ColdTime is how long a target is cold after its start.
	ColdTime time.Duration
	// PerSecond is the number of requests per second that a cold target tolerates. Zero means no limit.
	PerSecond float64
}

// limit returns the largest number of requests that a cold target may get within a second.
func (b Bounds) limit(s Service) int {
	return int(min(s.PerSecond*b.Overshoot+b.Slack, math.MaxInt32))
}

// planned returns the sum of the shares of routers that know the same list of routers: the rate that a target tolerates,
// or one request a second if that is less.
func (b Bounds) planned(s Service) int {
	limit := b.limit(s)
	most := max(int(float64(limit)*plannedPart), min(limit, 1))
	return min(max(int(min(s.PerSecond, math.MaxInt32)), 1), most)
}

// Limiter limits the requests of one router to cold targets. It is not safe for concurrent use.
type Limiter struct {
	self     ident.VMID
	bounds   Bounds
	services map[ident.ServiceID]Service
	// routers is the list of VMs whose routers may send, and routersAt the time at which the first one came.
	routers   []ident.VMID
	routersAt time.Time
	// revision counts the changes of what shares are derived from.
	revision int
	states   map[ident.TargetID]*State
}

// State is what a limiter knows of a target. It holds over restarts of the target.
type State struct {
	id        ident.TargetID
	version   ident.ObjectVersion
	born      int64
	changedAt time.Time
	// mayBeCold is false if none of the following times lies ahead, which spares most targets the comparison.
	mayBeCold bool
	// coldUntil is the end of the time that the target itself told, doubtSince the time at which it started without telling
	// one, and doubtUntil the end of the time in which it may have restarted.
	coldUntil, doubtSince, doubtUntil time.Time
	// blockedUntil keeps requests back that would come on top of those that were sent before the target became cold.
	blockedUntil time.Time
	// sends holds the times of the last requests to the cold target, the latest last.
	sends []time.Time
	// share is the router's share as of a revision of the limiter.
	share, shareRevision int
}

// Entry is what the registry says about a target.
type Entry struct {
	// Version is the version of the entry, which tells it from one that is listed again.
	Version ident.ObjectVersion
	// Born tells two starts of a target apart.
	Born int64
	// Remaining is how long the target stays cold, if that is Known.
	Remaining time.Duration
	Known     bool
}

// New returns the limiter of the router on a VM. It allows no requests to cold targets before SetRouters.
func New(self ident.VMID) *Limiter {
	return &Limiter{self: self, states: make(map[ident.TargetID]*State)}
}

// SetBounds sets the bounds.
func (l *Limiter) SetBounds(b Bounds) {
	l.bounds = b
	l.revision++
}

// SetServices sets the services. One that is missing has no limit.
func (l *Limiter) SetServices(services map[ident.ServiceID]Service) {
	l.services = services
	l.revision++
	for _, s := range l.states {
		s.mayBeCold = true // a longer time may apply to it
	}
}

// SetRouters sets the VMs whose routers may send, including this one. The list is not changed afterwards.
func (l *Limiter) SetRouters(routers []ident.VMID, now time.Time) {
	if l.routers == nil {
		l.routersAt = now
	}
	l.routers = routers
	l.revision++
}

// RouterCount returns the number of routers that SetRouters has set.
func (l *Limiter) RouterCount() int { return len(l.routers) }

// ColdTime returns the longest time for which targets of any service are cold after a start.
func (l *Limiter) ColdTime() time.Duration {
	var longest time.Duration
	for _, s := range l.services {
		longest = max(longest, s.ColdTime)
	}
	return longest
}

// State returns the state of a target and creates it on first use.
func (l *Limiter) State(id ident.TargetID) *State {
	s := l.states[id]
	if s == nil {
		l.makeRoom()
		s = &State{id: id}
		l.states[id] = s
	}
	return s
}

// makeRoom forgets the target whose state changed longest ago if there are too many.
func (l *Limiter) makeRoom() {
	if len(l.states) < maxStates {
		return
	}
	var oldest *State
	for _, s := range l.states {
		if oldest == nil || s.changedAt.Before(oldest.changedAt) {
			oldest = s
		}
	}
	delete(l.states, oldest.id)
}

// SetEntry records the registry entry of a target.
func (l *Limiter) SetEntry(id ident.TargetID, e Entry, now time.Time) {
	s := l.State(id)
	isNew := s.version == 0
	if e.Version <= s.version && !isNew {
		return
	}
	restarted := s.born != e.Born
	s.version, s.born, s.changedAt = e.Version, e.Born, now
	switch {
	case e.Known:
		s.doubtSince = time.Time{}
		s.setRemaining(e.Remaining, now, isNew)
	case isNew || restarted:
		s.doubtSince, s.mayBeCold = now, true
	}
}

// NoteCold records how long a target says in an answer that it stays cold.
func (l *Limiter) NoteCold(id ident.TargetID, remaining time.Duration, now time.Time) {
	s := l.State(id)
	s.changedAt = now
	s.setRemaining(remaining, now, false)
}

// setRemaining records how long the target stays cold. A target that was taken for warm may have got requests just now that
// were not counted.
func (s *State) setRemaining(remaining time.Duration, now time.Time, isNew bool) {
	until := now.Add(max(remaining, 0))
	s.forgetSends(now)
	if !isNew && !now.Before(s.coldUntil) && until.After(now) && len(s.sends) == 0 {
		s.blockedUntil = now.Add(window)
	}
	s.coldUntil, s.mayBeCold = until, true
}

// SuspectRestart records that a target could not be reached, so that it may be restarting.
func (l *Limiter) SuspectRestart(id ident.TargetID, now time.Time) {
	s := l.State(id)
	s.doubtUntil, s.mayBeCold = now.Add(restartDoubt), true
}

// IsCold reports whether a target is cold or may be. evacuatedUntil is the end of the last evacuation of its failure
// domain, or zero.
func (l *Limiter) IsCold(s *State, service ident.ServiceID, evacuatedUntil, now time.Time) bool {
	coldTime := l.services[service].ColdTime
	s.mayBeCold = now.Before(s.coldUntil) || now.Before(s.doubtUntil) || now.Before(s.doubtSince.Add(coldTime))
	return s.mayBeCold || now.Before(evacuatedUntil.Add(coldTime))
}

// limits reports whether requests to a target are limited now.
func (l *Limiter) limits(s *State, service ident.ServiceID, evacuatedUntil, now time.Time) bool {
	return l.bounds != (Bounds{}) && l.IsCold(s, service, evacuatedUntil, now) && l.services[service].PerSecond > 0
}

// Allows reports whether the router may send a request to a target now.
func (l *Limiter) Allows(s *State, service ident.ServiceID, evacuatedUntil, now time.Time) bool {
	return !s.mayBeCold && evacuatedUntil.IsZero() || l.allows(s, service, evacuatedUntil, now)
}

func (l *Limiter) allows(s *State, service ident.ServiceID, evacuatedUntil, now time.Time) bool {
	if !l.limits(s, service, evacuatedUntil, now) {
		return true
	}
	if l.routers == nil || now.Sub(l.routersAt) < settleTime || now.Before(s.blockedUntil) {
		return false
	}
	s.forgetSends(now)
	return len(s.sends) < l.share(s, service)
}

// RecordSend counts a request to a target, and reports whether the target is cold.
func (l *Limiter) RecordSend(s *State, service ident.ServiceID, evacuatedUntil, now time.Time) bool {
	if !l.limits(s, service, evacuatedUntil, now) {
		return false
	}
	s.forgetSends(now)
	s.sends = append(s.sends, now)
	return true
}

func (s *State) forgetSends(now time.Time) {
	n := 0
	for n < len(s.sends) && now.Sub(s.sends[n]) >= window {
		n++
	}
	s.sends = slices.Delete(s.sends, 0, n)
}

// share returns the number of requests that the router may send to a cold target within a window.
func (l *Limiter) share(s *State, service ident.ServiceID) int {
	if s.shareRevision != l.revision {
		s.share = share(s.id, l.self, l.routers, l.bounds.planned(l.services[service]))
		s.shareRevision = l.revision
	}
	return s.share
}

// share returns a router's part of the planned number of requests to a target. What can't be divided evenly goes to the
// routers that rank first for the target, in an order that is the same for all of them.
func share(target ident.TargetID, self ident.VMID, routers []ident.VMID, planned int) int {
	weight := elect.Weight(string(target), self)
	listed, before := false, 0
	for _, vm := range routers {
		if vm == self {
			listed = true
			continue
		}
		if w := elect.Weight(string(target), vm); w < weight || w == weight && vm < self {
			before++
		}
	}
	if !listed {
		return 0
	}
	n := planned / len(routers)
	if before < planned%len(routers) {
		n++
	}
	return n
}
