package quota

import (
	"slices"
	"time"

	"geraniumsaddle/core/ident"
)

// minClocks is the number of other VMs whose clocks have to support an age that rests on the time of day. With this
// VM's own clock they are a majority of three, so that one clock that jumps changes nothing.
const minClocks = 2

// ClockReading is another VM's time of day at the start of this process.
type ClockReading struct {
	VM ident.VMID
	// Wall is the latest that the VM's clock can have shown then, in Unix milliseconds.
	Wall int64
}

// age returns the longest time between the allowances and the start of a later process of the VM, if it is known.
//
// Within one boot the uptime tells it exactly. After a loss of power only times of day remain. They may jump on some
// VMs, so that this VM's clock counts only together with those of others: the age is the larger one of the own clock's
// and of the median of the others'.
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

// AgeKnown reports whether it is known how old the allowances were at the start of a later process of the VM.
func (a *Allowances) AgeKnown(vm ident.VMID, started Moment, clocks []ClockReading) bool {
	_, ok := a.age(vm, started, clocks)
	return ok
}
