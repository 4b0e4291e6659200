package edge

import (
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"geraniumsaddle/core/quota"
)

// VMClock tells the time of the VM.
type VMClock interface {
	Now() quota.Moment
}

// bootFile names the present boot of the VM.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// KernelClock is the clock of the kernel.
type KernelClock struct {
	boot string
}

// NewKernelClock returns the kernel's clock. Without a name of the boot, its uptimes cannot be compared with those of
// other processes.
func NewKernelClock() *KernelClock {
	b, err := os.ReadFile(bootIDFile)
	if err != nil {
		return &KernelClock{}
	}
	uptime := sinceBoot()
	// The time of the boot joins its name, because VMs that are resumed from an image may share a name.
	bootedAt := time.Now().Add(-uptime).Round(time.Minute).Unix()
	return &KernelClock{boot: strings.TrimSpace(string(b)) + "@" + strconv.FormatInt(bootedAt, 10)}
}

// Now returns the present time.
func (c *KernelClock) Now() quota.Moment {
	return quota.Moment{Boot: c.boot, Uptime: sinceBoot(), Wall: time.Now().UnixMilli()}
}

// bootTime returns the time since the boot, which goes on while the VM is suspended.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // The clock exists in every supported kernel.
	}
	return time.Duration(ts.Nano())
}
