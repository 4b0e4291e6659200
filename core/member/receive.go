package member

import (
	"cmp"
	"slices"
	"time"
)

// Receive handles a message from the given address.
func (d *Detector) Receive(addr string, m Message, now time.Time) []Action {
	d.compensateDelay(now)
	d.lastReceived = now
	var acts []Action
	switch m := m.(type) {
	case Probe:
		acts = d.mergeAll(m.From, m.Updates, now, acts)
		ack := Ack{Seq: m.Seq, From: d.self}
		if m.Sync {
			ack.Updates = d.allUpdates()
		} else {
			ack.Updates = d.selectUpdates(d.members[m.From.ID.Name()])
		}
		acts = append(acts, Send{To: m.From.ID, Addr: addr, Msg: ack})
	case Ack:
		acts = d.mergeAll(m.From, m.Updates, now, acts)
		acts = d.handleAck(m, now, acts)
	case ProbeReq:
		acts = d.mergeAll(m.From, m.Updates, now, acts)
		acts = d.startRelay(addr, m, now, acts)
	}
	d.setNextTick()
	return acts
}

func (d *Detector) mergeAll(from Update, us []Update, now time.Time, acts []Action) []Action {
	acts = d.merge(from, now, acts)
	for _, u := range us {
		acts = d.merge(u, now, acts)
	}
	return acts
}

// handleAck completes the probe that the Ack answers, or relays the answer to the member that asked for the probe.
func (d *Detector) handleAck(m Ack, now time.Time, acts []Action) []Action {
	if i := slices.IndexFunc(d.relays, func(r *relay) bool { return r.seq == m.Seq }); i >= 0 && !m.Relayed {
		r := d.relays[i]
		d.relays = slices.Delete(d.relays, i, i+1)
		return append(acts, Send{To: r.to, Addr: r.addr, Msg: Ack{Seq: r.replySeq, From: m.From, Relayed: true}})
	}
	i := slices.IndexFunc(d.probes, func(p *probe) bool { return p.seq == m.Seq && p.memberName == m.From.ID.Name() })
	if i < 0 {
		return acts
	}
	d.probes = slices.Delete(d.probes, i, i+1)
	e, ok := d.members[m.From.ID.Name()]
	if !ok || e.update.ID != m.From.ID {
		return acts
	}
	before := e.member()
	e.localState = StateAlive
	return d.appendChanged(e, before, now, acts)
}

// startRelay probes the target of a request for an indirect probe, unless too many such probes are running.
func (d *Detector) startRelay(addr string, m ProbeReq, now time.Time, acts []Action) []Action {
	if len(d.relays) >= maxRelays || m.Target.Addr == "" || m.Target.ID.Name() == d.selfName {
		return acts
	}
	d.seq++
	d.relays = append(d.relays, &relay{
		seq: d.seq, replySeq: m.Seq, to: m.From.ID, addr: addr, until: now.Add(2 * d.cfg.ProbeTimeout),
	})
	return append(acts, Send{To: m.Target.ID, Addr: m.Target.Addr, Msg: Probe{
		Seq: d.seq, From: d.self, Updates: d.selectUpdates(d.members[m.Target.ID.Name()]),
	}})
}

// selectUpdates chooses the updates for a message to a member, which may be nil: the state of the member itself unless
// it is alive, then the changes with the most sends left, then a few unchanged members in rotation.
func (d *Detector) selectUpdates(to *entry) []Update {
	var us []Update
	if to != nil && to.update.State != StateAlive {
		us = append(us, to.update)
	}
	var fresh []*entry
	for _, name := range d.names {
		if e := d.members[name]; e.sendsLeft > 0 && e != to {
			fresh = append(fresh, e)
		}
	}
	slices.SortStableFunc(fresh, func(a, b *entry) int { return cmp.Compare(b.sendsLeft, a.sendsLeft) })
	for _, e := range fresh[:min(len(fresh), d.cfg.MaxUpdates-len(us)-fillerUpdates)] {
		e.sendsLeft--
		us = append(us, e.update)
	}
	for range min(fillerUpdates, len(d.names)) {
		d.fillerIndex = (d.fillerIndex + 1) % len(d.names)
		if e := d.members[d.names[d.fillerIndex]]; e != to && e.sendsLeft == 0 {
			us = append(us, e.update)
		}
	}
	return us
}

// allUpdates returns the updates of the whole member table.
func (d *Detector) allUpdates() []Update {
	us := make([]Update, 0, len(d.names))
	for _, name := range d.names {
		us = append(us, d.members[name].update)
	}
	return us
}
