package node

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/member"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/peer"
	"geraniumsaddle/io/store"
)

const (
	// watchersPerDomain is the number of routers per failure domain that watch the platform.
	watchersPerDomain = 2
	digestInterval    = time.Second
	registerInterval  = 5 * time.Second
)

// members combines the failure detector, the router records and the VM list. It belongs to the control goroutine;
// traffic goroutines read the roster.
type members struct {
	n               *Node
	detector        *member.Detector
	rng             *rand.Rand
	roster          atomic.Pointer[roster]
	vmStates        map[ident.VMID]store.VMState
	digestSentAt    time.Time
	registerTriedAt time.Time
	registered      atomic.Bool
}

// roster is an immutable snapshot of the fleet. All fields but members hold usable routers only; ownDomain and all
// include this router.
type roster struct {
	addrs     map[ident.RouterID]string
	ownDomain []ident.RouterID // sorted
	all       []ident.RouterID // sorted
	members   []member.Member
}

func newMembers(n *Node, rng *rand.Rand) *members {
	m := &members{n: n, rng: rng, vmStates: make(map[ident.VMID]store.VMState)}
	self := member.Update{ID: n.id, Addr: n.peerAddr(), Domain: n.domain, VM: ident.VMID(n.cfg.VM), Incarnation: 1}
	m.detector = member.New(member.Config{Self: self, Rand: rng, Seeds: n.cfg.Peers}, n.clock.Now())
	m.publishRoster()
	return m
}

// publishRoster replaces the roster with the present state of the detector.
func (m *members) publishRoster() {
	self := m.detector.Self()
	r := &roster{addrs: map[ident.RouterID]string{}, ownDomain: []ident.RouterID{self.ID}, all: []ident.RouterID{self.ID}}
	for _, row := range m.detector.Members() {
		r.members = append(r.members, row)
		if !row.Usable() {
			continue
		}
		r.addrs[row.ID] = row.Addr
		r.all = append(r.all, row.ID)
		if row.Domain == m.n.domain {
			r.ownDomain = append(r.ownDomain, row.ID)
		}
	}
	slices.Sort(r.all)
	slices.Sort(r.ownDomain)
	m.roster.Store(r)
	m.n.pools.registry.SetRouters(r.ownDomain)
}

// applyActions performs the actions that the detector returned.
func (m *members) applyActions(acts []member.Action) {
	changed := false
	for _, a := range acts {
		switch a := a.(type) {
		case member.Send:
			m.n.sendToAddr(a.Addr, toPeerMessage(a.Msg))
		case member.Changed:
			changed = true
			m.n.log.Debug("member changed", "member", a.Member.ID, "state", a.Member.State.String(), "leaving", a.Member.Leaving, "dropped", a.Dropped)
		case member.Superseded:
			// Other routers may recover the allotments of this process at any time, so it must not use them any more.
			m.n.log.Error("a later incarnation of this router runs; this process stops", "by", a.By.ID)
			m.n.cancel()
		}
	}
	if changed {
		m.publishRoster()
	}
}

func toPeerMessage(msg member.Message) peer.Message {
	switch msg := msg.(type) {
	case member.Probe:
		return peer.Probe{Probe: msg}
	case member.Ack:
		return peer.ProbeAck{Ack: msg}
	case member.ProbeReq:
		return peer.ProbeReq{ProbeReq: msg}
	}
	return nil
}

// tick probes members, sends digests and registers this router.
func (m *members) tick(now time.Time) {
	if m.n.transport == nil {
		return
	}
	m.applyActions(m.detector.Tick(now))
	if now.Sub(m.digestSentAt) >= digestInterval {
		m.digestSentAt = now
		m.sendDigests()
	}
	m.register(now)
}

// sendDigests sends the digest of the configuration to one router of the own failure domain and to one of another.
func (m *members) sendDigests() {
	r := m.roster.Load()
	var local, remote []ident.RouterID
	for _, id := range r.all {
		switch {
		case id == m.n.id:
		case slices.Contains(r.ownDomain, id):
			local = append(local, id)
		default:
			remote = append(remote, id)
		}
	}
	d := peer.Digest{Digest: m.n.feeds.objects.Digest()}
	for _, ids := range [][]ident.RouterID{local, remote} {
		if len(ids) > 0 {
			m.n.sendToAddr(r.addrs[ids[m.rng.IntN(len(ids))]], d)
		}
	}
}

// register writes the router record, by which other routers find this one.
func (m *members) register(now time.Time) {
	if m.registered.Load() || now.Sub(m.registerTriedAt) < registerInterval {
		return
	}
	m.registerTriedAt = now
	rec := object.Router{Format: object.Format, ID: m.n.id, VM: ident.VMID(m.n.cfg.VM), Domain: m.n.domain, Peer: m.n.peerAddr(), Admin: m.n.AdminAddr()}
	raw, err := json.Marshal(rec)
	if err != nil {
		return
	}
	m.n.spawn(func(ctx context.Context) {
		_, err := m.n.platform.PutResolved(ctx, rec.Key(), raw, store.Any())
		m.n.recordPlatformCall("put_routers", err)
		if err == nil {
			m.registered.Store(true)
		}
	})
}

// applyRouterRecords passes the router records to the detector, except those of this router's name. The detector
// ignores the records of earlier epochs.
func (m *members) applyRouterRecords(v *view) {
	now := m.n.clock.Now()
	for _, id := range sortedRouterIDs(v) {
		r := v.routers[id]
		if r.ID.Name() == m.n.id.Name() {
			continue
		}
		m.applyActions(m.detector.Learn(member.Update{ID: r.ID, Addr: r.Peer, Domain: r.Domain, VM: r.VM, Incarnation: 1}, now))
	}
}

func sortedRouterIDs(v *view) []ident.RouterID {
	ids := make([]ident.RouterID, 0, len(v.routers))
	for id := range v.routers {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b ident.RouterID) int { return cmp.Compare(a, b) })
	return ids
}

// setVMs records a complete VM list and passes it to the detector.
func (m *members) setVMs(vms []store.VM, now time.Time) {
	rows := make([]member.VM, 0, len(vms))
	for _, vm := range vms {
		m.vmStates[vm.Name] = vm.State
		rows = append(rows, member.VM{ID: vm.Name, Domain: vm.Domain, State: member.VMState(vm.State)})
	}
	m.applyActions(m.detector.SetVMs(rows, now))
}

// isWatcher reports whether this router is one of those that watch the platform for its failure domain.
func (n *Node) isWatcher() bool {
	rank := member.Rank("watch", n.members.roster.Load().ownDomain)
	i := slices.Index(rank, n.id)
	return i < 0 || i < watchersPerDomain
}

// shardWriterFor returns the router of the own failure domain that writes a shard, chosen by rendezvous hashing.
func (n *Node) shardWriterFor(k object.Key) ident.RouterID {
	rank := member.Rank(string(k.Kind)+"/"+k.Name, n.members.roster.Load().ownDomain)
	if len(rank) == 0 {
		return n.id
	}
	return rank[0]
}

// peerAddr returns the address of the peer transport, or an empty string without one.
func (n *Node) peerAddr() string {
	if n.transport == nil {
		return ""
	}
	return n.transport.Addr()
}

// sendToAddr sends a message to an address without waiting for its delivery.
func (n *Node) sendToAddr(addr string, m peer.Message) {
	if n.transport == nil || addr == "" || m == nil {
		return
	}
	if err := n.transport.Send(addr, m); err != nil && !errors.Is(err, peer.ErrClosed) {
		n.log.Debug("message could not be sent", "addr", addr, "type", m.Type().String(), "error", err)
	}
}

// sendToRouter sends a message to a usable router and reports whether its address is known.
func (n *Node) sendToRouter(id ident.RouterID, m peer.Message) bool {
	addr, ok := n.members.roster.Load().addrs[id]
	if ok {
		n.sendToAddr(addr, m)
	}
	return ok
}
