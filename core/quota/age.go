package quota

import (
	"slices"
	"time"

	"geraniumsaddle/core/ident"
)

// minClocks is the number of other VMs whose clocks are needed to derive an age from times of day. Together with this
// VM's own clock they are three, so that a single clock that jumps is outvoted.
const minClocks = 2

// ClockReading bounds another VM's time of day at the start of this process.
type ClockReading struct {
	VM ident.VMID
	// Wall is the latest that the VM's clock can have shown then, in Unix milliseconds.
	Wall int64
}

// age returns an upper bound of the time between the sending of the allowances and the start of a later process of the
// VM, and whether it is known.
//
// Within one boot the uptime gives it exactly. After a reboot only times of day remain, which may jump on some VMs.
// The age is then the larger of the age by this VM's clock and the median of the ages by the clocks of other VMs.
func (a *Allowances) age(vm ident.VMID, started Moment, clocks []ClockReading) (time.Duration, bool) {
	if a.Sent.Boot != "" && a.Sent.Boot == started.Boot {
		age := started.Uptime - a.Sent.Uptime
		return age, age >= 0
	}
	var ages []time.Duration
	for _, c := range clocks {
		if sent, ok := a.Clocks[c.VM]; ok && c.VM != vm {
			ages = append(ages, time.Duration(c.Wall-sent)*time.Millisecond)
		}
	}
	if len(ages) < minClocks {
		return 0, false
	}
	slices.Sort(ages)
	own := time.Duration(started.Wall-a.Sent.Wall) * time.Millisecond
	age := max(own, ages[len(ages)/2])
	return age, age >= 0
}

// AgeKnown reports whether the age of the allowances at the start of a later process of the VM is known.
func (a *Allowances) AgeKnown(vm ident.VMID, started Moment, clocks []ClockReading) bool {
	_, ok := a.age(vm, started, clocks)
	return ok
}
