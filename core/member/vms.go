package member

import (
	"slices"
	"time"

	"geraniumsaddle/core/ident"
)

// SetVMs takes the platform's VM list. A VM that it reports as leaving or gone bars the members on it
// for the rest of their epoch, because an older list may arrive later.
func (d *Detector) SetVMs(vms []VM, now time.Time) []Action {
	d.vmsKnown = true
	d.vms = make(map[ident.VMID]VMState, len(vms))
	for _, vm := range vms {
		d.vms[vm.ID] = vm.State
	}
	var acts []Action
	for _, name := range d.names {
		e := d.members[name]
		before := e.member()
		d.join(e)
		acts = d.changed(e, before, now, acts)
	}
	return acts
}

// join applies the VM list to a member. A member that is not listed is used while it is alive.
func (d *Detector) join(e *entry) {
	state, listed := d.vms[e.u.VM]
	e.listed = listed && state != VMGone
	bars := listed && state != VMLive
	e.barred = bars || (e.barred && !e.stale)
	e.stale = e.stale && bars
}

// forget drops dead members that the VM list does not name. Without a VM list nothing is dropped.
func (d *Detector) forget(now time.Time, acts []Action) []Action {
	if !d.vmsKnown {
		return acts
	}
	for _, name := range slices.Clone(d.names) {
		e := d.members[name]
		if e.state() == StateDead && !e.listed && now.Sub(e.since) >= d.cfg.ForgetAfter {
			d.drop(name)
			acts = append(acts, Changed{Member: e.member(), Dropped: true})
		}
	}
	return acts
}
