package member

import "time"

// Superseded reports that a router with this router's name and a later epoch is running. This process must stop.
type Superseded struct{ By Update }

func (Superseded) action() {}

// merge applies an update. An entry only increases, ordered by epoch, then incarnation, then state, and Leaving is
// kept within an epoch. Updates that arrive late or more than once therefore never restore an older state.
func (d *Detector) merge(u Update, now time.Time, acts []Action) []Action {
	name, epoch, err := u.ID.Split()
	if err != nil || u.State > StateDead {
		return acts
	}
	if name == d.selfName {
		return d.mergeSelf(u, epoch, now, acts)
	}
	e, ok := d.members[name]
	if !ok {
		// An unknown member that is dead would only occupy the table.
		if u.State == StateDead || len(d.members) >= maxMembers {
			return acts
		}
		return d.addMember(name, u, now, acts)
	}
	_, known, _ := e.update.ID.Split()
	if epoch < known {
		return acts
	}
	if epoch > known {
		d.remove(name)
		return d.addMember(name, u, now, acts)
	}
	before := e.member()
	changed := e.mergeDetails(u)
	if u.Incarnation > e.update.Incarnation || (u.Incarnation == e.update.Incarnation && u.State > e.update.State) {
		d.setState(e, u.Incarnation, u.State, now)
		changed = true
	}
	if changed {
		e.sendsLeft = d.retransmits()
	}
	return d.appendChanged(e, before, now, acts)
}

// mergeDetails takes Leaving, and a missing address with its domain and VM, from an update of the same epoch. It
// reports whether e changed.
func (e *entry) mergeDetails(u Update) bool {
	changed := u.Leaving && !e.update.Leaving
	e.update.Leaving = e.update.Leaving || u.Leaving
	if e.update.Addr == "" && u.Addr != "" {
		e.update.Addr, e.update.Domain, e.update.VM = u.Addr, u.Domain, u.VM
		changed = true
	}
	return changed
}

// setState applies a later incarnation or a higher state. The death of a member that was not suspected here starts a
// suspicion instead, so that the member has time to refute the conclusion of a router that was cut off.
func (d *Detector) setState(e *entry, incarnation uint64, s State, now time.Time) {
	if s == StateDead && e.update.State == StateAlive {
		s = StateSuspect
	}
	if s == StateSuspect {
		e.suspectUntil = now.Add(d.suspicionTimeout())
	}
	if s == StateAlive {
		e.localState = StateAlive
	}
	e.update.Incarnation, e.update.State = incarnation, s
}

// addMember adds the member of an update. One that is reported dead starts as a suspect, so that it can refute.
func (d *Detector) addMember(name string, u Update, now time.Time, acts []Action) []Action {
	if u.State == StateDead {
		u.State = StateSuspect
	}
	e := &entry{update: u, stateSince: now, sendsLeft: d.retransmits(), suspectUntil: now.Add(d.suspicionTimeout())}
	if state, ok := d.vms[u.VM]; ok && state != VMLive {
		e.staleExclusion = true
	}
	d.applyVMList(e)
	d.insert(name, e)
	return append(acts, Changed{Member: e.member()})
}

// appendChanged records the time of a change of state, and appends a Changed action if the visible member differs from
// before.
func (d *Detector) appendChanged(e *entry, before Member, now time.Time, acts []Action) []Action {
	if e.state() != before.State {
		e.stateSince = now
	}
	m := e.member()
	m.StateSince = before.StateSince
	if m == before {
		return acts
	}
	return append(acts, Changed{Member: e.member()})
}

// mergeSelf applies an update about this router: it refutes a suspicion and reports a later epoch.
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

// expireSuspicions declares dead the suspects that did not refute in time.
func (d *Detector) expireSuspicions(now time.Time, acts []Action) []Action {
	for _, name := range d.names {
		e := d.members[name]
		if e.state() != StateSuspect || now.Before(e.suspectUntil) {
			continue
		}
		before := e.member()
		if e.update.State == StateSuspect {
			e.update.State = StateDead
			e.sendsLeft = d.retransmits()
		} else {
			e.localState = StateDead
		}
		acts = d.appendChanged(e, before, now, acts)
	}
	return acts
}
