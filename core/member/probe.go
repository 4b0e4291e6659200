package member

import (
	"slices"
	"time"

	"geraniumsaddle/core/ident"
)

// probe is a probe that has no answer yet.
type probe struct {
	seq        uint64
	memberName string
	waitStart  time.Time // start of the current wait
	sent       time.Time
	indirect   bool
	sync       bool
}

// relay is an indirect probe on behalf of another member.
type relay struct {
	seq      uint64 // of the probe to the target
	replySeq uint64 // of the request
	to       ident.RouterID
	addr     string
	until    time.Time
}

// probeRound sends the probes of one interval: one in the own failure domain and one in another. At longer intervals
// one of them carries the whole member table, and further ones go to a seed and to a member that is believed dead. The
// number of probes does not depend on the size of the fleet.
func (d *Detector) probeRound(now time.Time, acts []Action) []Action {
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
	acts = d.syncWithSeed(now, acts)
	if !now.Before(d.nextDeadProbe) {
		d.nextDeadProbe = now.Add(d.cfg.DeadProbeInterval)
		if e := d.nextDeadMember(); e != nil {
			acts = d.sendProbe(e, false, now, acts)
		}
	}
	return acts
}

// syncWithSeed asks one seed for the member table. The router identifier of a seed is not known before it answers.
func (d *Detector) syncWithSeed(now time.Time, acts []Action) []Action {
	alone := !slices.ContainsFunc(d.names, func(name string) bool { return d.members[name].state() != StateDead })
	if len(d.cfg.Seeds) == 0 || (!alone && now.Before(d.nextSeedSync)) {
		return acts
	}
	d.nextSeedSync = now.Add(d.cfg.SyncInterval)
	addr := d.cfg.Seeds[d.cfg.Rand.IntN(len(d.cfg.Seeds))]
	if addr == d.self.Addr {
		return acts
	}
	d.seq++
	return append(acts, Send{Addr: addr, Msg: Probe{Seq: d.seq, From: d.self, Updates: d.allUpdates(), Sync: true}})
}

func (d *Detector) probing(e *entry) bool {
	return slices.ContainsFunc(d.probes, func(p *probe) bool { return p.memberName == e.update.ID.Name() })
}

// nextLocal iterates over the members of the own failure domain in random order, so that each member is probed within
// a bounded time.
func (d *Detector) nextLocal() *entry {
	return d.nextFrom(&d.localQueue, func() []string {
		var names []string
		for _, name := range d.names {
			if e := d.members[name]; e.update.Domain == d.self.Domain && e.state() != StateDead {
				names = append(names, name)
			}
		}
		return names
	})
}

// nextRemote iterates over a few members of each other failure domain. Rendezvous ranking gives each
// member a similar number of remote probers.
func (d *Detector) nextRemote() *entry {
	return d.nextFrom(&d.remoteQueue, func() []string {
		byDomain := make(map[ident.DomainID][]ident.RouterID)
		var domains []ident.DomainID
		for _, name := range d.names {
			e := d.members[name]
			if e.update.Domain == d.self.Domain || e.state() == StateDead {
				continue
			}
			if byDomain[e.update.Domain] == nil {
				domains = append(domains, e.update.Domain)
			}
			byDomain[e.update.Domain] = append(byDomain[e.update.Domain], e.update.ID)
		}
		var names []string
		for _, dom := range domains {
			ranked := Rank(d.selfName, byDomain[dom])
			for _, id := range ranked[:min(d.cfg.RemotePerDomain, len(ranked))] {
				names = append(names, id.Name())
			}
		}
		return names
	})
}

// nextFrom takes the next member that can be probed from a queue. It refills and shuffles the queue when it is empty.
func (d *Detector) nextFrom(queue *[]string, refill func() []string) *entry {
	for range 2 {
		for len(*queue) > 0 {
			name := (*queue)[0]
			*queue = (*queue)[1:]
			if e, ok := d.members[name]; ok && e.state() != StateDead && e.update.Addr != "" {
				return e
			}
		}
		*queue = refill()
		d.cfg.Rand.Shuffle(len(*queue), func(i, j int) { (*queue)[i], (*queue)[j] = (*queue)[j], (*queue)[i] })
	}
	return nil
}

func (d *Detector) nextDeadMember() *entry {
	for range d.names {
		d.deadIndex = (d.deadIndex + 1) % len(d.names)
		if e := d.members[d.names[d.deadIndex]]; e.state() == StateDead && e.update.Addr != "" && !d.probing(e) {
			return e
		}
	}
	return nil
}

func (d *Detector) sendProbe(e *entry, sync bool, now time.Time, acts []Action) []Action {
	d.seq++
	d.probes = append(d.probes, &probe{seq: d.seq, memberName: e.update.ID.Name(), waitStart: now, sent: now, sync: sync})
	msg := Probe{Seq: d.seq, From: d.self, Sync: sync}
	if sync {
		msg.Updates = d.allUpdates()
	} else {
		msg.Updates = d.selectUpdates(e)
	}
	return append(acts, Send{To: e.update.ID, Addr: e.update.Addr, Msg: msg})
}

// expireProbes requests indirect probes when a direct probe times out, and suspects the member when they time out too.
func (d *Detector) expireProbes(now time.Time, acts []Action) []Action {
	var keep []*probe
	for _, p := range d.probes {
		e, ok := d.members[p.memberName]
		switch {
		case !ok:
		case now.Sub(p.waitStart) < d.probeTimeout():
			keep = append(keep, p)
		case !p.indirect && e.state() != StateDead:
			p.indirect, p.waitStart = true, now
			if p.sync {
				d.nextSync = now
			}
			keep = append(keep, p)
			acts = d.requestIndirectProbes(p, e, acts)
		default:
			acts = d.probeFailed(p, e, now, acts)
		}
	}
	d.probes = keep
	d.relays = slices.DeleteFunc(d.relays, func(r *relay) bool { return !now.Before(r.until) })
	return acts
}

func (d *Detector) requestIndirectProbes(p *probe, e *entry, acts []Action) []Action {
	for _, h := range d.indirectProbers(e) {
		acts = append(acts, Send{To: h.update.ID, Addr: h.update.Addr, Msg: ProbeReq{
			Seq: p.seq, From: d.self, Target: e.update, Updates: d.selectUpdates(h),
		}})
	}
	return acts
}

// indirectProbers chooses members of different failure domains where possible, because a third domain may still reach
// the target when the connection between two domains is cut.
func (d *Detector) indirectProbers(target *entry) []*entry {
	var all []*entry
	for _, name := range d.names {
		if e := d.members[name]; e != target && e.state() == StateAlive && e.update.Addr != "" {
			all = append(all, e)
		}
	}
	d.cfg.Rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	var first, rest []*entry
	used := make(map[ident.DomainID]bool)
	for _, e := range all {
		if used[e.update.Domain] {
			rest = append(rest, e)
			continue
		}
		used[e.update.Domain] = true
		first = append(first, e)
	}
	first = append(first, rest...)
	return first[:min(d.cfg.IndirectProbers, len(first))]
}

// probeFailed marks a member as suspect. If this router has received no message since the probe was sent, the fault may
// be its own, and the suspicion is not sent to others.
func (d *Detector) probeFailed(p *probe, e *entry, now time.Time, acts []Action) []Action {
	if e.update.State != StateAlive {
		return acts
	}
	before := e.member()
	if d.lastReceived.After(p.sent) {
		e.update.State, e.localState = StateSuspect, StateAlive
		e.sendsLeft = d.retransmits()
	} else if e.localState == StateAlive {
		e.localState = StateSuspect
	}
	if e.state() == StateSuspect && before.State == StateAlive {
		e.suspectUntil = now.Add(d.suspicionTimeout())
	}
	acts = d.appendChanged(e, before, now, acts)
	if e.update.State == StateSuspect {
		// Tells the member of the suspicion at once, so that it can refute it.
		d.seq++
		acts = append(acts, Send{To: e.update.ID, Addr: e.update.Addr, Msg: Probe{Seq: d.seq, From: d.self, Updates: d.selectUpdates(e)}})
	}
	return acts
}
