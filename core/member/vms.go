package member

import (
	"slices"
	"time"

	"geraniumsaddle/core/ident"
)

// SetVMs applies the platform's VM list. Members on a VM that it reports as leaving or gone are excluded for the rest
// of their epoch, because an older list may arrive later.
func (d *Detector) SetVMs(vms []VM, now time.Time) []Action {
	d.hasVMList = true
	d.vms = make(map[ident.VMID]VMState, len(vms))
	for _, vm := range vms {
		d.vms[vm.ID] = vm.State
	}
	var acts []Action
	for _, name := range d.names {
		e := d.members[name]
		before := e.member()
		d.applyVMList(e)
		acts = d.appendChanged(e, before, now, acts)
	}
	return acts
}

// applyVMList applies the VM list to a member. A member that is not listed stays usable while it is alive.
func (d *Detector) applyVMList(e *entry) {
	state, listed := d.vms[e.update.VM]
	e.listed = listed && state != VMGone
	excludes := listed && state != VMLive
	e.excluded = excludes || (e.excluded && !e.staleExclusion)
	e.staleExclusion = e.staleExclusion && excludes
}

// dropExpired drops dead members that the VM list does not name. Before the first VM list it drops nothing.
func (d *Detector) dropExpired(now time.Time, acts []Action) []Action {
	if !d.hasVMList {
		return acts
	}
	for _, name := range slices.Clone(d.names) {
		e := d.members[name]
		if e.state() == StateDead && !e.listed && now.Sub(e.stateSince) >= d.cfg.DropAfter {
			d.remove(name)
			acts = append(acts, Changed{Member: e.member(), Dropped: true})
		}
	}
	return acts
}
