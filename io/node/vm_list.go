package node

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/member"
	"geraniumsaddle/io/peer"
	"geraniumsaddle/io/store"
)

const (
	// changeResendPeriod is the time for which a change of the VM list is sent repeatedly, because a message may be
	// lost.
	changeResendPeriod = 3 * time.Second
	// pullInterval is the interval at which a router without a watch compares its VM list with that of a watcher.
	pullInterval = 5 * time.Second
)

// vmList distributes the VM list within a failure domain, because only the watchers read it from the platform. It
// belongs to the control goroutine.
type vmList struct {
	n         *Node
	rows      map[ident.VMID]store.VM
	changedAt map[ident.VMID]time.Time
	// complete is set once rows holds a complete list.
	complete bool
	pulling  bool
	pulledAt time.Time
}

func newVMList(n *Node) *vmList {
	return &vmList{n: n, rows: make(map[ident.VMID]store.VM), changedAt: make(map[ident.VMID]time.Time)}
}

// update applies a list of the platform, and sends the recent changes to the failure domain.
func (l *vmList) update(vms []store.VM, now time.Time) {
	old, first := l.rows, !l.complete
	l.rows, l.complete = make(map[ident.VMID]store.VM, len(vms)), true
	for _, vm := range vms {
		l.rows[vm.Name] = vm
		if old[vm.Name] != vm && !first {
			l.changedAt[vm.Name] = now
		}
	}
	m := peer.VMs{}
	for name, at := range l.changedAt {
		vm, ok := l.rows[name]
		if !ok || now.Sub(at) > changeResendPeriod {
			delete(l.changedAt, name)
			continue
		}
		m.Rows = append(m.Rows, peer.VMRow{Name: vm.Name, Domain: vm.Domain, State: string(vm.State)})
	}
	if len(m.Rows) == 0 {
		return
	}
	slices.SortFunc(m.Rows, func(a, b peer.VMRow) int { return cmp.Compare(a.Name, b.Name) })
	for _, id := range l.n.members.roster.Load().ownDomain {
		if id != l.n.id {
			l.n.sendToRouter(id, m)
		}
	}
}

// receive applies rows that a watcher has sent.
func (l *vmList) receive(m peer.VMs, now time.Time) {
	if l.n.isWatcher() && l.complete {
		return // This router reads the list itself.
	}
	if m.Full {
		l.rows, l.complete = make(map[ident.VMID]store.VM, len(m.Rows)), true
	}
	for _, r := range m.Rows {
		vm := store.VM{Name: r.Name, Domain: r.Domain, State: store.VMState(r.State)}
		l.rows[r.Name] = vm
		l.n.members.vmStates[r.Name] = vm.State
		if s, ok := targetStates[vm.State]; ok {
			l.n.pools.registry.SetVMState(vm.Name, s)
		}
	}
	l.n.pools.publishTable(now)
	if l.complete {
		l.n.members.setVMs(l.sorted(), now)
	}
}

func (l *vmList) sorted() []store.VM {
	out := make([]store.VM, 0, len(l.rows))
	for _, vm := range l.rows {
		out = append(out, vm)
	}
	slices.SortFunc(out, func(a, b store.VM) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// hash returns a hash of the complete list, or zero if there is none.
func (l *vmList) hash() uint64 {
	if !l.complete {
		return 0
	}
	d := xxhash.New()
	for _, vm := range l.sorted() {
		_, _ = d.WriteString(string(vm.Name) + "\n" + string(vm.Domain) + "\n" + string(vm.State) + "\n")
	}
	return max(1, d.Sum64())
}

// tick compares the list with that of a random watcher, if this router is not a watcher itself.
func (l *vmList) tick(now time.Time) {
	if l.pulling || now.Sub(l.pulledAt) < pullInterval || l.n.transport == nil || l.n.isWatcher() {
		return
	}
	ros := l.n.members.roster.Load()
	watchers := member.Rank("watch", ros.ownDomain)
	addr := ros.addrs[watchers[int(l.n.traffic.random()%watchersPerDomain)]]
	l.pulling, l.pulledAt = true, now
	ask := peer.VMs{Hash: l.hash()}
	l.n.spawn(func(ctx context.Context) {
		m, err := l.n.transport.Call(ctx, addr, ask)
		l.n.post(funcEvent{func() {
			l.pulling = false
			if got, ok := m.(peer.VMs); ok && err == nil && got.Full {
				l.receive(got, l.n.clock.Now())
			}
		}})
	})
}

// answer returns the complete list, unless the hash shows that the requesting router has it.
func (l *vmList) answer(ctx context.Context, m peer.VMs) (peer.Message, error) {
	out := peer.VMs{}
	err := l.n.runOnControl(ctx, func() {
		out.Hash = l.hash()
		if out.Hash == 0 || out.Hash == m.Hash {
			return
		}
		out.Full = true
		for _, vm := range l.sorted() {
			out.Rows = append(out.Rows, peer.VMRow{Name: vm.Name, Domain: vm.Domain, State: string(vm.State)})
		}
	})
	return out, err
}
