package member

import (
	"slices"
	"time"

	"geraniumsaddle/core/ident"
)

// probe is a probe that has no answer yet.
type probe struct {
	seq      uint64
	name     string
	at       time.Time // start of the current wait
	sent     time.Time
	indirect bool
	sync     bool
}

// relay is an indirect probe that runs for another member.
type relay struct {
	seq   uint64 // of the probe to the target
	reply uint64 // of the request
	to    ident.RouterID
	addr  string
	until time.Time
}

// period sends the probes of one period: one in the own failure domain, one remote, and now and then
// one to a member that is believed dead and one with the whole table. The number does not depend on the
// size of the fleet.
func (d *Detector) period(now time.Time, acts []Action) []Action {
	sync := !now.Before(d.nextSync)
	for _, e := range []*entry{d.nextLocal(), d.nextRemote()} {
		if e == nil || d.probing(e) {
			continue
		}
		acts = d.sendProbe(e, sync, now, acts)
		if sync {
			d.nextSync = now.Add(d.cfg.SyncInterval)
			sync = false
		}
	}
	acts = d.askSeed(now, acts)
	if !now.Before(d.nextDead) {
		d.nextDead = now.Add(d.cfg.DeadProbeInterval)
		if e := d.nextDeadMember(); e != nil {
			acts = d.sendProbe(e, false, now, acts)
		}
	}
	return acts
}

// askSeed asks one seed for the member table. Its router identifier is not known before it answers.
func (d *Detector) askSeed(now time.Time, acts []Action) []Action {
	alone := !slices.ContainsFunc(d.names, func(name string) bool { return d.members[name].state() != StateDead })
	if len(d.cfg.Seeds) == 0 || (!alone && now.Before(d.nextSeed)) {
		return acts
	}
	d.nextSeed = now.Add(d.cfg.SyncInterval)
	addr := d.cfg.Seeds[d.cfg.Rand.IntN(len(d.cfg.Seeds))]
	if addr == d.self.Addr {
		return acts
	}
	d.seq++
	return append(acts, Send{Addr: addr, Msg: Probe{Seq: d.seq, From: d.self, Updates: d.table(), Sync: true}})
}

func (d *Detector) probing(e *entry) bool {
	return slices.ContainsFunc(d.probes, func(p *probe) bool { return p.name == e.u.ID.Name() })
}

// nextLocal goes through the own failure domain in random order, so that each member is probed within
// a bounded time.
func (d *Detector) nextLocal() *entry {
	return d.nextIn(&d.ring, func() []string {
		var names []string
		for _, name := range d.names {
			if e := d.members[name]; e.u.Domain == d.self.Domain && e.state() != StateDead {
				names = append(names, name)
			}
		}
		return names
	})
}

// nextRemote goes through a few members of each other failure domain. Rendezvous ranking gives each
// member a similar number of remote probers.
func (d *Detector) nextRemote() *entry {
	return d.nextIn(&d.remote, func() []string {
		byDomain := make(map[ident.DomainID][]ident.RouterID)
		var domains []ident.DomainID
		for _, name := range d.names {
			e := d.members[name]
			if e.u.Domain == d.self.Domain || e.state() == StateDead {
				continue
			}
			if byDomain[e.u.Domain] == nil {
				domains = append(domains, e.u.Domain)
			}
			byDomain[e.u.Domain] = append(byDomain[e.u.Domain], e.u.ID)
		}
		var names []string
		for _, dom := range domains {
			ranked := Rank(d.name, byDomain[dom])
			for _, id := range ranked[:min(d.cfg.RemotePerDomain, len(ranked))] {
				names = append(names, id.Name())
			}
		}
		return names
	})
}

func (d *Detector) nextIn(ring *[]string, refill func() []string) *entry {
	for range 2 {
		for len(*ring) > 0 {
			name := (*ring)[0]
			*ring = (*ring)[1:]
			if e, ok := d.members[name]; ok && e.state() != StateDead && e.u.Addr != "" {
				return e
			}
		}
		*ring = refill()
		d.cfg.Rand.Shuffle(len(*ring), func(i, j int) { (*ring)[i], (*ring)[j] = (*ring)[j], (*ring)[i] })
	}
	return nil
}

func (d *Detector) nextDeadMember() *entry {
	for range d.names {
		d.deadAt = (d.deadAt + 1) % len(d.names)
		if e := d.members[d.names[d.deadAt]]; e.state() == StateDead && e.u.Addr != "" && !d.probing(e) {
			return e
		}
	}
	return nil
}

func (d *Detector) sendProbe(e *entry, sync bool, now time.Time, acts []Action) []Action {
	d.seq++
	d.probes = append(d.probes, &probe{seq: d.seq, name: e.u.ID.Name(), at: now, sent: now, sync: sync})
	msg := Probe{Seq: d.seq, From: d.self, Sync: sync}
	if sync {
		msg.Updates = d.table()
	} else {
		msg.Updates = d.updates(e)
	}
	return append(acts, Send{To: e.u.ID, Addr: e.u.Addr, Msg: msg})
}

// expireProbes asks helpers for an indirect probe, and suspects the member when that is of no avail.
func (d *Detector) expireProbes(now time.Time, acts []Action) []Action {
	var keep []*probe
	for _, p := range d.probes {
		e, ok := d.members[p.name]
		switch {
		case !ok:
		case now.Sub(p.at) < d.timeout():
			keep = append(keep, p)
		case !p.indirect && e.state() != StateDead:
			p.indirect, p.at = true, now
			if p.sync {
				d.nextSync = now
			}
			keep = append(keep, p)
			acts = d.askHelpers(p, e, acts)
		default:
			acts = d.failed(p, e, now, acts)
		}
	}
	d.probes = keep
	d.relays = slices.DeleteFunc(d.relays, func(r *relay) bool { return !now.Before(r.until) })
	return acts
}

func (d *Detector) askHelpers(p *probe, e *entry, acts []Action) []Action {
	for _, h := range d.helpers(e) {
		acts = append(acts, Send{To: h.u.ID, Addr: h.u.Addr, Msg: ProbeReq{
			Seq: p.seq, From: d.self, Target: e.u, Updates: d.updates(h),
		}})
	}
	return acts
}

// helpers chooses members of different failure domains where possible: a cut between two domains is
// passed by a third.
func (d *Detector) helpers(target *entry) []*entry {
	var all []*entry
	for _, name := range d.names {
		if e := d.members[name]; e != target && e.state() == StateAlive && e.u.Addr != "" {
			all = append(all, e)
		}
	}
	d.cfg.Rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	var first, rest []*entry
	used := make(map[ident.DomainID]bool)
	for _, e := range all {
		if used[e.u.Domain] {
			rest = append(rest, e)
			continue
		}
		used[e.u.Domain] = true
		first = append(first, e)
	}
	first = append(first, rest...)
	return first[:min(d.cfg.IndirectProbers, len(first))]
}

// failed suspects a member. If this router has heard nobody since the probe was sent, the fault may be
// its own, and the suspicion is not shared.
func (d *Detector) failed(p *probe, e *entry, now time.Time, acts []Action) []Action {
	if e.u.State != StateAlive {
		return acts
	}
	before := e.member()
	if d.heard.After(p.sent) {
		e.u.State, e.local = StateSuspect, StateAlive
		e.left = d.spreads()
	} else if e.local == StateAlive {
		e.local = StateSuspect
	}
	if e.state() == StateSuspect && before.State == StateAlive {
		e.until = now.Add(d.suspicion())
	}
	acts = d.changed(e, before, now, acts)
	if e.u.State == StateSuspect {
		// The member learns of the suspicion at once and can refute it.
		d.seq++
		acts = append(acts, Send{To: e.u.ID, Addr: e.u.Addr, Msg: Probe{Seq: d.seq, From: d.self, Updates: d.updates(e)}})
	}
	return acts
}
