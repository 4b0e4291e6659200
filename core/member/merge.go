package member

import "time"

// Superseded says that a later incarnation of this router's name is running. This process must stop.
type Superseded struct{ By Update }

func (Superseded) action() {}

// merge applies an update. The result grows by epoch, then by incarnation, then by state; Leaving is
// kept within an epoch. Updates in any order and number therefore give the same result.
func (d *Detector) merge(u Update, now time.Time, acts []Action) []Action {
	name, epoch, err := u.ID.Split()
	if err != nil || u.State > StateDead {
		return acts
	}
	if name == d.name {
		return d.mergeSelf(u, epoch, now, acts)
	}
	e, ok := d.members[name]
	if !ok {
		// A dead member that is unknown here is of no use, and would stay in the table.
		if u.State == StateDead || len(d.members) >= maxMembers {
			return acts
		}
		return d.replace(name, u, now, acts)
	}
	_, have, _ := e.u.ID.Split()
	if epoch < have {
		return acts
	}
	if epoch > have {
		d.drop(name)
		return d.replace(name, u, now, acts)
	}
	before := e.member()
	changed := e.fill(u)
	if u.Incarnation > e.u.Incarnation || (u.Incarnation == e.u.Incarnation && u.State > e.u.State) {
		d.setState(e, u.Incarnation, u.State, now)
		changed = true
	}
	if changed {
		e.left = d.spreads()
	}
	return d.changed(e, before, now, acts)
}

// fill takes over what an update with the same epoch adds.
func (e *entry) fill(u Update) bool {
	changed := u.Leaving && !e.u.Leaving
	e.u.Leaving = e.u.Leaving || u.Leaving
	if e.u.Addr == "" && u.Addr != "" {
		e.u.Addr, e.u.Domain, e.u.VM = u.Addr, u.Domain, u.VM
		changed = true
	}
	return changed
}

// setState takes a later incarnation or a higher state. A death that comes without a suspicion starts
// one, so that the member has time to refute what a router behind a cut has concluded alone.
func (d *Detector) setState(e *entry, incarnation uint64, s State, now time.Time) {
	if s == StateDead && e.u.State == StateAlive {
		s = StateSuspect
	}
	if s == StateSuspect {
		e.until = now.Add(d.suspicion())
	}
	if s == StateAlive {
		e.local = StateAlive
	}
	e.u.Incarnation, e.u.State = incarnation, s
}

func (d *Detector) replace(name string, u Update, now time.Time, acts []Action) []Action {
	if u.State == StateDead {
		u.State = StateSuspect
	}
	e := &entry{u: u, since: now, left: d.spreads(), until: now.Add(d.suspicion())}
	if state, ok := d.vms[u.VM]; ok && state != VMLive {
		e.stale = true
	}
	d.join(e)
	d.add(name, e)
	return append(acts, Changed{Member: e.member()})
}

// changed appends a Changed action if the visible member differs from before.
func (d *Detector) changed(e *entry, before Member, now time.Time, acts []Action) []Action {
	if e.state() != before.State {
		e.since = now
	}
	m := e.member()
	m.StateSince = before.StateSince
	if m == before {
		return acts
	}
	return append(acts, Changed{Member: e.member()})
}

// mergeSelf refutes a suspicion of this router.
func (d *Detector) mergeSelf(u Update, epoch uint64, now time.Time, acts []Action) []Action {
	_, own, err := d.self.ID.Split()
	switch {
	case err != nil || epoch < own:
	case epoch > own:
		acts = append(acts, Superseded{By: u})
	case u.State != StateAlive && u.Incarnation >= d.self.Incarnation:
		d.self.Incarnation = u.Incarnation + 1
		d.health.worsen(now)
	}
	return acts
}

// expireSuspicions declares members dead whose time to refute is over.
func (d *Detector) expireSuspicions(now time.Time, acts []Action) []Action {
	for _, name := range d.names {
		e := d.members[name]
		if e.state() != StateSuspect || now.Before(e.until) {
			continue
		}
		before := e.member()
		if e.u.State == StateSuspect {
			e.u.State = StateDead
			e.left = d.spreads()
		} else {
			e.local = StateDead
		}
		acts = d.changed(e, before, now, acts)
	}
	return acts
}
