package member

import (
	"cmp"
	"slices"
	"time"
)

// Receive applies a message that came from the given address.
func (d *Detector) Receive(addr string, m Message, now time.Time) []Action {
	d.late(now)
	d.heard = now
	var acts []Action
	switch m := m.(type) {
	case Probe:
		acts = d.mergeAll(m.From, m.Updates, now, acts)
		ack := Ack{Seq: m.Seq, From: d.self}
		if m.Sync {
			ack.Updates = d.table()
		} else {
			ack.Updates = d.updates(d.members[m.From.ID.Name()])
		}
		acts = append(acts, Send{To: m.From.ID, Addr: addr, Msg: ack})
	case Ack:
		acts = d.mergeAll(m.From, m.Updates, now, acts)
		acts = d.acked(m, now, acts)
	case ProbeReq:
		acts = d.mergeAll(m.From, m.Updates, now, acts)
		acts = d.relay(addr, m, now, acts)
	}
	d.setWake()
	return acts
}

func (d *Detector) mergeAll(from Update, us []Update, now time.Time, acts []Action) []Action {
	acts = d.merge(from, now, acts)
	for _, u := range us {
		acts = d.merge(u, now, acts)
	}
	return acts
}

// acked ends the probe that the Ack answers, or relays the answer.
func (d *Detector) acked(m Ack, now time.Time, acts []Action) []Action {
	if i := slices.IndexFunc(d.relays, func(r *relay) bool { return r.seq == m.Seq }); i >= 0 && !m.Relayed {
		r := d.relays[i]
		d.relays = slices.Delete(d.relays, i, i+1)
		return append(acts, Send{To: r.to, Addr: r.addr, Msg: Ack{Seq: r.reply, From: m.From, Relayed: true}})
	}
	i := slices.IndexFunc(d.probes, func(p *probe) bool { return p.seq == m.Seq && p.name == m.From.ID.Name() })
	if i < 0 {
		return acts
	}
	d.probes = slices.Delete(d.probes, i, i+1)
	e, ok := d.members[m.From.ID.Name()]
	if !ok || e.u.ID != m.From.ID {
		return acts
	}
	before := e.member()
	e.local = StateAlive
	return d.changed(e, before, now, acts)
}

func (d *Detector) relay(addr string, m ProbeReq, now time.Time, acts []Action) []Action {
	if len(d.relays) >= maxRelays || m.Target.Addr == "" || m.Target.ID.Name() == d.name {
		return acts
	}
	d.seq++
	d.relays = append(d.relays, &relay{
		seq: d.seq, reply: m.Seq, to: m.From.ID, addr: addr, until: now.Add(2 * d.cfg.ProbeTimeout),
	})
	return append(acts, Send{To: m.Target.ID, Addr: m.Target.Addr, Msg: Probe{
		Seq: d.seq, From: d.self, Updates: d.updates(d.members[m.Target.ID.Name()]),
	}})
}

// updates chooses the updates for a message to a member, which may be nil: what is believed of the
// member itself unless it is alive, then the changes that were sent least, then a few others in turn.
func (d *Detector) updates(to *entry) []Update {
	var us []Update
	if to != nil && to.u.State != StateAlive {
		us = append(us, to.u)
	}
	var fresh []*entry
	for _, name := range d.names {
		if e := d.members[name]; e.left > 0 && e != to {
			fresh = append(fresh, e)
		}
	}
	slices.SortStableFunc(fresh, func(a, b *entry) int { return cmp.Compare(b.left, a.left) })
	for _, e := range fresh[:min(len(fresh), d.cfg.MaxUpdates-len(us)-fill)] {
		e.left--
		us = append(us, e.u)
	}
	for range min(fill, len(d.names)) {
		d.fillAt = (d.fillAt + 1) % len(d.names)
		if e := d.members[d.names[d.fillAt]]; e != to && e.left == 0 {
			us = append(us, e.u)
		}
	}
	return us
}

// table returns all updates.
func (d *Detector) table() []Update {
	us := make([]Update, 0, len(d.names))
	for _, name := range d.names {
		us = append(us, d.members[name].u)
	}
	return us
}
