package edge

import (
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"geraniumsaddle/core/quota"
)

// VMClock reads the clocks of the VM.
type VMClock interface {
	Now() quota.Moment
}

// bootIDFile holds the ID of the current boot.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// KernelClock reads the clocks of the Linux kernel.
type KernelClock struct {
	// boot identifies the current boot, or is empty if it is unknown.
	boot string
}

// NewKernelClock returns the kernel's clocks. If the boot ID cannot be read, their uptimes cannot be compared with
// those of other processes.
func NewKernelClock() *KernelClock {
	b, err := os.ReadFile(bootIDFile)
	if err != nil {
		return &KernelClock{}
	}
	uptime := sinceBoot()
	// The time of the boot is appended, because VMs that are resumed from the same image may share a boot ID.
	bootedAt := time.Now().Add(-uptime).Round(time.Minute).Unix()
	return &KernelClock{boot: strings.TrimSpace(string(b)) + "@" + strconv.FormatInt(bootedAt, 10)}
}

// Now returns the current time.
func (c *KernelClock) Now() quota.Moment {
	return quota.Moment{Boot: c.boot, Uptime: sinceBoot(), Wall: time.Now().UnixMilli()}
}

// sinceBoot returns the time since the boot, including the time in which the VM was suspended.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // The clock exists in every supported kernel.
	}
	return time.Duration(ts.Nano())
}
